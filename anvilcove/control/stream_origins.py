"""Where streams began, so that any host can go on with them.

A caller that resumes a stream at another host names only its first attempt.
While endpoints of several software versions serve, the daemon that gets the
first event of a stream tells a few peers where it came from, before the caller
gets it. Otherwise the version is known without that.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.rendezvous import rendezvous_order
from anvilcove.messages.streams import (
    OriginQuery,
    OriginRecords,
    OriginReply,
    StreamOrigin,
)
from anvilcove.ports.peers import OriginPort, PeerUnreachable
from anvilcove.state.clock import Clock

# Peers that remember the origin of a stream.
KEEPER_COUNT = 3
# The first event is passed on once this many of them remember it, or after
# this time.
MIN_KEPT = 2
PUBLISH_TIMEOUT_S = 0.15
# Further peers that are asked for an origin that the keepers don't know.
MAX_PEERS_ASKED = 12
MAX_ORIGINS = 10_000
# Age of the list of endpoints up to which it tells all software versions.
MAX_VIEW_AGE_S = 1.0


class StreamOrigins:
    """Origins of the streams of this daemon, and those kept for peers."""

    __slots__ = (
        '_registry',
        '_nodes',
        '_port',
        '_clock',
        '_origin_by_request',
        '_own_requests',
        '_tasks',
        'registry_age_s',
    )

    def __init__(
        self,
        registry: EndpointRegistry,
        nodes: NodeDirectory,
        port: OriginPort,
        clock: Clock,
    ) -> None:
        """Start without origins."""
        self._registry = registry
        self._nodes = nodes
        self._port = port
        self._clock = clock
        self._origin_by_request: OrderedDict[str, StreamOrigin] = OrderedDict()
        # Requests whose origin no peer remembers yet, by service.
        self._own_requests: dict[str, OrderedDict[str, None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        # Returns the seconds since the list of endpoints was last read.
        self.registry_age_s: Callable[[], float] = lambda: 0.0
        registry.on_new_software = self._on_new_software

    async def begin(self, origin: StreamOrigin, ambiguous: bool) -> None:
        """Record an origin before the first event of its stream is passed on.

        Peers have to remember it if it is `ambiguous`, or if several software
        versions serve.
        """
        self._remember(origin)
        if ambiguous or len(self._software(origin.service)) > 1:
            await self._publish([origin])
        else:
            own = self._own_requests.setdefault(origin.service, OrderedDict())
            own[origin.request_id] = None
            if len(own) > MAX_ORIGINS:
                own.popitem(last=False)

    async def find(
        self, request_id: str, service: str, ambiguous: bool
    ) -> StreamOrigin | None:
        """Return where the stream of a request began, None if unknown.

        `service` is the one to which new streams of this kind go; if this is
        `ambiguous`, only a recorded origin counts.
        """
        known = self._origin_by_request.get(request_id)
        if known is not None:
            return known
        replies = await self._ask_peers(OriginQuery(request_id, service))
        for reply in replies:
            if reply.origin is not None:
                return reply.origin
        software = self._software(service).union(
            *(reply.software for reply in replies)
        )
        current = self.registry_age_s() <= MAX_VIEW_AGE_S
        if ambiguous or len(software) != 1 or not (replies or current):
            return None
        return StreamOrigin(request_id, service, software.pop())

    def keep(self, records: OriginRecords) -> None:
        """Remember origins of a peer."""
        for origin in records.origins:
            self._remember(origin)

    def serve(self, query: OriginQuery) -> OriginReply:
        """Answer a peer that looks for an origin."""
        return OriginReply(
            self._origin_by_request.get(query.request_id),
            sorted(self._software(query.service)),
        )

    def _software(self, service: str) -> set[str]:
        return self._registry.recent_software(service, self._clock.now())

    def _remember(self, origin: StreamOrigin) -> None:
        self._origin_by_request.pop(origin.request_id, None)
        self._origin_by_request[origin.request_id] = origin
        if len(self._origin_by_request) > MAX_ORIGINS:
            self._origin_by_request.popitem(last=False)

    def _on_new_software(self, service: str) -> None:
        """Tell peers the origins that were plain until now."""
        requests = self._own_requests.pop(service, OrderedDict())
        origins = [
            self._origin_by_request[request_id]
            for request_id in requests
            if request_id in self._origin_by_request
        ]
        if origins:
            self._spawn(self._publish(origins))

    async def _publish(self, origins: list[StreamOrigin]) -> None:
        peers_by_host = self._peers_by_host()
        origins_by_host: dict[str, list[StreamOrigin]] = {}
        for origin in origins:
            order = rendezvous_order(origin.request_id, peers_by_host)
            for host in order[:KEEPER_COUNT]:
                origins_by_host.setdefault(host, []).append(origin)
        pending: set[asyncio.Task[Any]] = {
            self._spawn(self._tell(peers_by_host[host], host, for_host))
            for host, for_host in origins_by_host.items()
        }
        deadline_at_s = self._clock.now() + PUBLISH_TIMEOUT_S
        missing = min(MIN_KEPT, len(pending))
        while missing > 0 and pending:
            done, pending = await asyncio.wait(
                pending,
                timeout=max(deadline_at_s - self._clock.now(), 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                return
            missing -= sum(task.result() for task in done)

    async def _tell(
        self, peer: str, host: str, origins: list[StreamOrigin]
    ) -> bool:
        """Tell a peer origins; return whether it remembers them."""
        try:
            await self._port.keep(peer, OriginRecords(origins))
        except PeerUnreachable as error:
            logger.bind(
                peer=host, origins=len(origins), reason=str(error)
            ).info('origins of streams not told')
            return False
        return True

    async def _ask_peers(self, query: OriginQuery) -> list[OriginReply]:
        """Return the replies of peers; the last one has the origin if any."""
        peers_by_host = self._peers_by_host()
        order = rendezvous_order(query.request_id, peers_by_host)
        replies: list[OriginReply] = []
        for hosts in (
            order[:KEEPER_COUNT],
            order[KEEPER_COUNT : KEEPER_COUNT + MAX_PEERS_ASKED],
        ):
            asked = (self._ask(peers_by_host[host], query) for host in hosts)
            for reply in await asyncio.gather(*asked):
                if reply is not None:
                    replies.append(reply)
            if any(reply.origin is not None for reply in replies):
                break
        return replies

    async def _ask(self, peer: str, query: OriginQuery) -> OriginReply | None:
        try:
            return await self._port.find(peer, query)
        except PeerUnreachable as error:
            logger.bind(
                peer=peer, request=query.request_id, reason=str(error)
            ).info('peer not asked for the origin of a stream')
            return None

    def _peers_by_host(self) -> dict[str, str]:
        return {node.host: node.peers for node in self._nodes.alive()}

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
