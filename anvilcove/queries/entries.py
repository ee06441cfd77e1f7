"""Tell callers which entry hosts to use."""

from aiohttp import web

from anvilcove.daemon.context import Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import refusal, reply
from anvilcove.messages.callers import Entry, EntryList

# A host that was not heard for this long is not named; longer than the
# confirmation window, so that one slow exchange moves no callers.
SILENCE_LIMIT_S = 5.0


@part
class EntriesPart(Part):
    """Serve the entry list and readiness."""

    def routes(self) -> list[web.RouteDef]:
        """Return the callers' routes."""
        return [
            web.get('/v1/entries', self._entries),
            web.get('/readyz', self._ready),
        ]

    async def _entries(self, request: web.Request) -> web.Response:
        context = self.context
        now = context.clock.now()
        hosts = context.peers.entry_hosts(now - SILENCE_LIMIT_S)
        if context.draining:
            own = context.settings.host
            hosts = [member for member in hosts if member.host != own]
        if not hosts:
            return refusal(503, 'not_ready', 'no entry host is known')
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
        return reply(EntryList(entries=entries, ttl_s=ttl_s))

    async def _ready(self, request: web.Request) -> web.Response:
        context = self.context
        if context.draining:
            return refusal(503, 'draining', 'the daemon is shutting down')
        reason = context.refusal_reason()
        if reason:
            return refusal(503, 'not_ready', reason)
        return reply({'ready': True, 'revision': context.config.revision})
