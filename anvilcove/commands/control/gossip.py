"""Exchange state digests with random peers by gossip."""

import asyncio

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.reports import merge_reports, report_digests
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import json_response, read_message
from anvilcove.messages.operators import ClassesShown
from anvilcove.messages.peers import DRAINING, JOINED, Gossip, HostDigest
from anvilcove.settings.classes import declaration_errors
from anvilcove.state.background_tasks import Work
from anvilcove.state.peers import NEVER, PeerState

# Suspected contents in one message; the newest come first.
MAX_GOSSIPED_SUSPECTS = 32
STARTUP_POLL_S = 0.05


@register_component
class GossipComponent(Component):
    """Push-pull gossip; newer declarations are fetched from the peer."""

    control = True

    def __init__(self, context: Context) -> None:
        """Start without exchanges in flight."""
        super().__init__(context)
        self._exchange_tasks: set[asyncio.Task[None]] = set()
        self._fetching = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that peers call."""
        return [
            web.post('/peer/gossip', self._receive),
            web.get('/peer/config', self._get_config),
        ]

    def tasks(self) -> list[Work]:
        """Return the gossip loop."""
        return [self._loop]

    def digest(self, received: Gossip | None = None) -> Gossip:
        """Return the digest of this daemon.

        In reply to `received`, omit what the peer already knows.
        """
        context = self.context
        now = context.clock.now()
        hosts = context.peers.digests(
            now, received.hosts if received else None
        )
        reports = report_digests(context.endpoints, now)
        if received:
            reports = {
                endpoint: digest
                for endpoint, digest in reports.items()
                if endpoint not in received.reports
                or digest.age_ms < received.reports[endpoint].age_ms
            }
        hosts[context.settings.host] = HostDigest(
            beat=context.peers.next_beat(now),
            revision=context.config.revision,
            load=context.in_flight,
            flags=DRAINING * context.draining
            + JOINED * context.confirmation.joined,
        )
        suspects = context.policy('quarantine').digests(now)
        return Gossip(
            host=context.settings.host,
            hosts=hosts,
            leaving=context.endpoints.leaving_records(),
            suspects=suspects[:MAX_GOSSIPED_SUSPECTS],
            weights=context.newest_versions,
            reports=reports,
        )

    def choose_peers(self) -> list[PeerState]:
        """Choose random peers with a recent heartbeat and some without.

        If there are peers without one, at least one of them is chosen.
        """
        context = self.context
        recent_since_s = context.clock.now() - context.confirmation.window_s
        others = context.peers.others()
        recent = [p for p in others if p.beat_at_s >= recent_since_s]
        overdue = [p for p in others if p.beat_at_s < recent_since_s]
        fanout = context.settings.timing.gossip_fanout
        chosen = context.rng.sample(recent, min(fanout, len(recent)))
        probes = max(fanout - len(chosen), 1)
        return chosen + context.rng.sample(overdue, min(probes, len(overdue)))

    def exchange_once(self) -> None:
        """Start one exchange with each chosen peer."""
        for peer in self.choose_peers():
            task = self.context.control_task(self._exchange(peer))
            self._exchange_tasks.add(task)
            task.add_done_callback(self._exchange_tasks.discard)

    async def _loop(self) -> None:
        period_s = self.context.settings.timing.gossip_period_ms / 1000
        while not self.context.peers.others():
            await self.context.clock.sleep(min(STARTUP_POLL_S, period_s))
        while True:
            self.exchange_once()
            await self.context.clock.sleep(period_s)

    async def _exchange(self, peer: PeerState) -> None:
        asked_at_s = self.context.clock.now()
        try:
            answer = await call_peer(
                self.context,
                peer,
                'POST',
                '/peer/gossip',
                Gossip,
                self.digest(),
            )
        except PeerError as error:
            logger.debug('gossip failed: {}', error)
            return
        self._merge(answer, asked_at_s)
        if peer.revision > self.context.config.revision:
            await self._fetch_config(peer)

    async def _receive(self, request: web.Request) -> web.Response:
        gossip = await read_message(request, Gossip)
        self._merge(gossip, NEVER)
        peer = self.context.peers.by_host.get(gossip.host)
        if peer and peer.revision > self.context.config.revision:
            task = self.context.control_task(self._fetch_config(peer))
            self._exchange_tasks.add(task)
            task.add_done_callback(self._exchange_tasks.discard)
        return json_response(self.digest(gossip))

    def _merge(self, gossip: Gossip, asked_at_s: float) -> None:
        context = self.context
        now = context.clock.now()
        context.peers.merge(gossip.hosts, asked_at_s)
        context.endpoints.merge_leaving(gossip.leaving, now)
        if gossip.suspects:
            context.policy('quarantine').merge(now, gossip.suspects)
        merge_reports(context.endpoints, gossip.reports, now)
        for model, version in gossip.weights.items():
            context.record_version(model, version)

    async def _fetch_config(self, peer: PeerState) -> None:
        if self._fetching:
            return
        self._fetching = True
        try:
            shown = await call_peer(
                self.context, peer, 'GET', '/peer/config', ClassesShown
            )
        except PeerError as error:
            logger.warning(
                'class declarations could not be fetched: {}', error
            )
            return
        finally:
            self._fetching = False
        errors = declaration_errors(shown.document)
        if errors:
            logger.error(
                'class declarations of host {} are invalid: {}',
                peer.host,
                errors,
            )
            return
        now = self.context.clock.now()
        if self.context.config.apply(shown.revision, shown.document, now):
            logger.info('revision {} fetched from a peer', shown.revision)

    async def _get_config(self, request: web.Request) -> web.Response:
        config = self.context.config
        return json_response(
            ClassesShown(revision=config.revision, document=config.raw)
        )
