"""Forward streamed answers and carry resumable ones on elsewhere."""

import random

from loguru import logger

from anvilcove.control.desired import Route
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    INTERACTIVE,
    OK,
    OVERLOADED,
    RouteRequest,
)
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.ports.servers import CallerAnswer, CallerRequest
from anvilcove.ports.streams import StreamClient, StreamSink
from anvilcove.proxy.forwarder import MAX_REFUSED_SENDS, choose_service
from anvilcove.proxy.outcomes import bad_gateway, refusal
from anvilcove.proxy.pools import EndpointPools
from anvilcove.state.clock import Clock
from anvilcove.state.endpoints import EndpointState

# Share of the objective that a stream may wait for room.
WAIT_SHARE = 0.2


class StreamBroken(Exception):
    """Raised when a stream that has started cannot go on."""


class StreamProgress:
    """What one stream has come to."""

    __slots__ = ('started', 'sent', 'refused', 'maybe_run', 'last', 'tried')

    def __init__(self) -> None:
        """Start before the first send."""
        self.started = False
        self.sent = 0
        self.refused = 0
        self.maybe_run = False
        self.last: int | None = None
        self.tried: set[str] = set()


class StreamForwarder:
    """Send streamed requests; one that may have run is only ever resumed."""

    __slots__ = ('_pools', '_client', '_clock', '_rng')

    def __init__(
        self,
        pools: EndpointPools,
        client: StreamClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep the pools and the client."""
        self._pools = pools
        self._client = client
        self._clock = clock
        self._rng = rng

    async def forward(
        self, request: CallerRequest, route: Route, sink: StreamSink
    ) -> CallerAnswer | None:
        """Write a stream to its end, or return an answer instead of it.

        Raises StreamBroken once the caller has got a part.
        """
        progress = StreamProgress()
        service = choose_service(route, request.request_id)
        while self._may_send(progress, route, request):
            state = await self._slot(request, route, service, progress)
            if state is None:
                break
            progress.tried.add(state.endpoint)
            outcome = CANCELLED
            started_s = self._clock.now()
            try:
                await self._attempt(request, route, state, sink, progress)
                outcome = OK
                return None
            except EndpointNotRun as error:
                progress.refused += 1
                outcome = OVERLOADED if error.overloaded else CRASH
            except EndpointError as error:
                progress.maybe_run = True
                outcome = CRASH
                logger.bind(
                    request=request.request_id,
                    endpoint=state.endpoint,
                    last=progress.last,
                    reason=str(error)[:160],
                ).info('stream broke off')
            finally:
                self._pools.finish(
                    state,
                    outcome,
                    self._clock.now() - started_s,
                    route.name,
                    INTERACTIVE,
                )
        return self._give_up(progress, route)

    async def _attempt(
        self,
        request: CallerRequest,
        route: Route,
        state: EndpointState,
        sink: StreamSink,
        progress: StreamProgress,
    ) -> None:
        entry = self._pools.registry.entry_by_endpoint.get(state.endpoint)
        if entry is None:
            raise EndpointNotRun('the endpoint has just left')
        left_s = request.deadline_at_s - self._clock.now()
        async with self._client.open(
            entry.address,
            entry.instance,
            request,
            left_s,
            route.resumable,
            progress.last,
        ) as answer:
            progress.sent += 1
            progress.maybe_run = True
            if not progress.started:
                progress.started = True
                await sink.start(answer.status, answer.headers)
            async for piece in answer.pieces:
                await sink.write(piece.data)
                if piece.event_id is not None:
                    progress.last = piece.event_id

    async def _slot(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        progress: StreamProgress,
    ) -> EndpointState | None:
        return await self._pools.wait(
            RouteRequest(
                request_id=request.request_id,
                class_name=route.name,
                kind=INTERACTIVE,
                pool=service,
                excluded=progress.tried,
                deadline_at_s=request.deadline_at_s,
            ),
            route.priority,
            route.objective_s * WAIT_SHARE,
        )

    def _may_send(
        self, progress: StreamProgress, route: Route, request: CallerRequest
    ) -> bool:
        if self._clock.now() >= request.deadline_at_s:
            return False
        if progress.refused >= MAX_REFUSED_SENDS:
            return False
        if progress.sent >= route.max_attempts:
            return False
        return route.resumable or not progress.maybe_run

    def _give_up(self, progress: StreamProgress, route: Route) -> CallerAnswer:
        if progress.started:
            raise StreamBroken(f'after event {progress.last}')
        if progress.maybe_run:
            return bad_gateway()
        return refusal(route.objective_s, self._rng)
