"""HTTP handlers for the list of entry hosts and for readiness."""

from aiohttp import web

from anvilcove.daemon.context import Component
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import error_response, json_response
from anvilcove.messages.callers import Entry, EntryList

# A host without a new digest for this long is left out of the entry list. The
# time exceeds the confirmation window, so that one slow gossip exchange does
# not move callers to other hosts.
HEARTBEAT_TIMEOUT_S = 5.0


@register_component
class EntriesComponent(Component):
    """Serve the list of entry hosts and the readiness check."""

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for callers."""
        return [
            web.get('/v1/entries', self._entries),
            web.get('/readyz', self._ready),
        ]

    async def _entries(self, request: web.Request) -> web.Response:
        context = self.context
        now = context.clock.now()
        hosts = context.peers.entry_hosts(now - HEARTBEAT_TIMEOUT_S)
        if context.draining:
            own_host = context.settings.host
            hosts = [member for member in hosts if member.host != own_host]
        if not hosts:
            return error_response(503, 'not_ready', 'no entry host is known')
        loads = {p.host: p.load for p in context.peers.others()}
        loads[context.settings.host] = context.in_flight
        chosen = context.policy('entries').choose(
            now,
            request.query.get('caller', ''),
            request.query.get('data_centre', ''),
            hosts,
            loads,
        )
        entries = [
            Entry(
                host=member.host,
                address=member.address,
                data_centre=member.data_centre,
            )
            for member in chosen
        ]
        ttl_s = context.settings.timing.entry_ttl_ms / 1000
        return json_response(EntryList(entries=entries, ttl_s=ttl_s))

    async def _ready(self, request: web.Request) -> web.Response:
        context = self.context
        if context.draining:
            return error_response(
                503, 'draining', 'the daemon is shutting down'
            )
        reason = context.refusal_reason()
        if reason:
            return error_response(503, 'not_ready', reason)
        return json_response(
            {'ready': True, 'revision': context.config.revision}
        )
