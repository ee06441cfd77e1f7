"""Share the rates that endpoints name among all daemons."""

import asyncio
from collections.abc import Callable

from loguru import logger
from msgspec.structs import replace

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.rate_permits import PermitBuckets
from anvilcove.decisions.rendezvous import rendezvous_order
from anvilcove.messages.permits import PermitGrant, PermitRequest
from anvilcove.ports.peers import PeerUnreachable
from anvilcove.ports.permits import PermitPort
from anvilcove.settings.node import NodeSettings
from anvilcove.state.background_tasks import spawn_logged
from anvilcove.state.clock import Clock
from anvilcove.state.endpoints import EndpointState

# Daemons that are asked for a permit, one after the other.
KEEPER_COUNT = 2
# A keeper that did not answer is not asked again for this time.
UNREACHABLE_S = 1.0
# Share of the limit for all that do not reach the first keeper: others may
# reach it meanwhile.
FALLBACK_SHARE = 0.25
# An endpoint that has not named its limit for this long gets a request as
# soon as a permit is granted, as the limit may have ended.
REFRESH_S = 2.0


class RatePermits:
    """Permits for requests to endpoints that name a limit.

    For each endpoint one daemon, its keeper, grants the permits of all of
    them. Daemons that do not reach it ask the second one for a part of the
    limit, and those that reach neither grant themselves an equal share of one.
    """

    __slots__ = (
        'on_answer',
        '_settings',
        '_registry',
        '_nodes',
        '_port',
        '_clock',
        '_buckets',
        '_own_shares',
        '_asking_by_endpoint',
        '_retry_at_s_by_endpoint',
        '_unreachable_until_s_by_host',
    )

    def __init__(
        self,
        settings: NodeSettings,
        registry: EndpointRegistry,
        nodes: NodeDirectory,
        port: PermitPort,
        clock: Clock,
    ) -> None:
        """Start without permits."""
        # Called with the pool of an endpoint whose keeper has answered, and
        # the time until its next permit.
        self.on_answer: Callable[[str, float], None] = lambda pool, retry_s: (
            None
        )
        self._settings = settings
        self._registry = registry
        self._nodes = nodes
        self._port = port
        self._clock = clock
        self._buckets = PermitBuckets(first_tokens=1.0)
        self._own_shares = PermitBuckets(first_tokens=0.0)
        self._asking_by_endpoint: dict[str, asyncio.Task[None]] = {}
        self._retry_at_s_by_endpoint: dict[str, float] = {}
        self._unreachable_until_s_by_host: dict[str, float] = {}

    def serve(self, request: PermitRequest) -> PermitGrant:
        """Grant permits to a daemon, as the keeper of an endpoint."""
        return self._buckets.take(self._clock.now(), request)

    def refresh(self, pool: str) -> None:
        """Ask for a permit where a limit was named a while ago."""
        now = self._clock.now()
        for state in self._registry.view.limited_in_pool(pool):
            if now - state.limit_named_at_s >= REFRESH_S:
                self.request(state)

    def request_for_pool(self, pool: str, excluded: set[str]) -> None:
        """Ask for one permit at the endpoint that can probably grant it."""
        now = self._clock.now()
        asked = [
            state
            for state in self._registry.view.limited_in_pool(pool)
            if state.endpoint not in excluded and state.accepts_work(now)
        ]
        if asked:
            self.request(min(asked, key=self._order_key))

    def retry_s(self, pool: str) -> float:
        """Return the time until the next permit, if nothing else is free.

        It is 0 if it is not known, or an endpoint of the pool has no limit.
        """
        limited = self._registry.view.limited_in_pool(pool)
        if not limited or any(
            not state.leaving and state.rate_limit_per_s is None
            for state in self._registry.view.in_pool(pool)
        ):
            return 0.0
        now = self._clock.now()
        return min(
            max(self._retry_at_s_by_endpoint.get(s.endpoint, 0.0) - now, 0.0)
            for s in limited
        )

    def request(self, state: EndpointState, count: int = 1) -> None:
        """Ask for permits in the background, once at a time."""
        endpoint = state.endpoint
        retry_at_s = self._retry_at_s_by_endpoint.get(endpoint, 0.0)
        if endpoint in self._asking_by_endpoint:
            return
        if retry_at_s > self._clock.now():
            return
        self._asking_by_endpoint[endpoint] = spawn_logged(
            self._obtain(state, count), 'request for permits'
        )

    def _order_key(self, state: EndpointState) -> tuple[float, int]:
        retry_at_s = self._retry_at_s_by_endpoint.get(state.endpoint, 0.0)
        asking = state.endpoint in self._asking_by_endpoint
        return max(retry_at_s, self._clock.now()), state.in_flight + asking

    async def _obtain(self, state: EndpointState, count: int) -> None:
        limit_per_s = state.rate_limit_per_s
        try:
            if limit_per_s is None:
                return
            grant = await self._ask_keepers(
                PermitRequest(state.endpoint, limit_per_s, count)
            )
        finally:
            del self._asking_by_endpoint[state.endpoint]
        now = self._clock.now()
        self._retry_at_s_by_endpoint.pop(state.endpoint, None)
        if grant.count < count:
            self._retry_at_s_by_endpoint[state.endpoint] = now + grant.retry_s
            self._forget_former_endpoints()
        if grant.count:
            state.add_permits(now, grant.count)
        self.on_answer(state.pool, grant.retry_s)

    async def _ask_keepers(self, request: PermitRequest) -> PermitGrant:
        peers_by_host = {node.host: node.peers for node in self._nodes.alive()}
        own = self._settings.host
        order = rendezvous_order(request.endpoint, [*peers_by_host, own])
        for position, host in enumerate(order[:KEEPER_COUNT]):
            if position == 1:
                limit_per_s = request.limit_per_s * FALLBACK_SHARE
                request = replace(request, limit_per_s=limit_per_s)
            if host == own:
                return self.serve(request)
            if self._unreachable_until_s(host) > self._clock.now():
                continue
            try:
                return await self._port.ask(peers_by_host[host], request)
            except PeerUnreachable as error:
                self._unreachable_until_s_by_host[host] = (
                    self._clock.now() + UNREACHABLE_S
                )
                logger.bind(
                    peer=host, endpoint=request.endpoint, reason=str(error)
                ).info('keeper of permits not reached')
        share_per_s = request.limit_per_s / (len(peers_by_host) + 1)
        request = replace(request, limit_per_s=share_per_s)
        return self._own_shares.take(self._clock.now(), request)

    def _unreachable_until_s(self, host: str) -> float:
        return self._unreachable_until_s_by_host.get(host, float('-inf'))

    def _forget_former_endpoints(self) -> None:
        for endpoint in list(self._retry_at_s_by_endpoint):
            if endpoint not in self._registry.view.by_id:
                del self._retry_at_s_by_endpoint[endpoint]
