"""Forward streamed answers; resume broken ones at other endpoints."""

import asyncio
import random
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable
from contextlib import AsyncExitStack, aclosing

from loguru import logger
from msgspec.structs import replace

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import Route
from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.control.stream_origins import StreamOrigins
from anvilcove.decisions.service_choice import (
    choose_service,
    service_order,
)
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    INTERACTIVE,
    OK,
    OVERLOADED,
    RouteRequest,
)
from anvilcove.messages.numbers import parse_decimal
from anvilcove.messages.streams import StreamOrigin
from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointError,
    EndpointFailed,
    EndpointNotRun,
    EndpointRefused,
    is_unreachable,
)
from anvilcove.ports.reports import EndpointReport
from anvilcove.ports.servers import (
    CallerAnswer,
    CallerRequest,
    workspace_field,
)
from anvilcove.ports.streams import (
    StreamAnswer,
    StreamClient,
    StreamPiece,
    StreamSink,
)
from anvilcove.ports.usage import NoUsage, UsageCounter
from anvilcove.proxy.outcomes import (
    bad_gateway,
    crash_refusal,
    refusal,
    timed_out,
)
from anvilcove.proxy.pools import EndpointPools
from anvilcove.proxy.progress import MAX_NOT_RUN_SENDS
from anvilcove.proxy.stream_progress import StreamFailed, StreamProgress
from anvilcove.proxy.time_limits import answer_limit_at_s
from anvilcove.state.clock import Clock
from anvilcove.state.endpoints import EndpointState
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# Share of the objective that a stream may wait for a slot.
MAX_WAIT_SHARE = 0.2
# Time that a stream which has begun may wait for an endpoint of its software
# version. Callers abandon a stream after 2 s without an event.
RESUME_WAIT_S = 1.0
# A stream has stalled if no event arrives for this long, or for this multiple
# of the objective if that is more. Callers give up after less than half of it.
MIN_STALL_S = 5.0
STALL_OBJECTIVES = 8.0


class StreamBroken(Exception):
    """Raised when a stream fails after its first part or its caller left."""


def _stall_limit_s(route: Route) -> float:
    """Return the seconds without an event after which a stream has stalled."""
    return max(MIN_STALL_S, STALL_OBJECTIVES * route.objective_s)


async def _to_caller(sending: Awaitable[None]) -> None:
    """Await a send to the caller; an error is not one of the endpoint."""
    try:
        await sending
    except OSError as error:
        raise StreamBroken(f'caller disconnected: {error}') from error


class StreamForwarder:
    """Forward streamed requests.

    A request that may have run is only sent again, to resume its stream, if
    the route is resumable.
    """

    __slots__ = (
        '_pools',
        '_client',
        '_crashes',
        '_reports',
        '_origins',
        '_clock',
        '_rng',
        '_metrics',
        'usage',
    )

    def __init__(
        self,
        pools: EndpointPools,
        client: StreamClient,
        crashes: ContentCrashes,
        reports: EndpointReports,
        origins: StreamOrigins,
        clock: Clock,
        rng: random.Random,
        metrics: NodeMetrics,
    ) -> None:
        """Set up; `client` opens the streams at the endpoints."""
        self._origins = origins
        # Counts what runs for workspaces.
        self.usage: UsageCounter = NoUsage()
        self._metrics = metrics
        self._pools = pools
        self._client = client
        self._crashes = crashes
        self._reports = reports
        self._clock = clock
        self._rng = rng

    async def forward(
        self, request: CallerRequest, route: Route, sink: StreamSink
    ) -> CallerAnswer | None:
        """Write a whole stream to `sink` and return None.

        If no part was sent yet, a failure returns an error answer instead;
        after that it raises StreamBroken. So does the timeout of the route,
        also while events arrive.
        """
        progress = StreamProgress(request)
        limit_at_s = answer_limit_at_s(request, route)
        limit = asyncio.timeout(max(limit_at_s - self._clock.now(), 0.0))
        try:
            async with limit:
                return await self._forward(
                    request, route, sink, progress, limit
                )
        except TimeoutError:
            if not limit.expired():
                raise
        return self._late_answer(request, route, progress)

    async def _forward(
        self,
        request: CallerRequest,
        route: Route,
        sink: StreamSink,
        progress: StreamProgress,
        limit: asyncio.Timeout,
    ) -> CallerAnswer | None:
        """Write a whole stream, in attempts until `limit` cancels it."""
        if route.resumable and (request.resumes or request.resumed_after):
            service = await self._find_origin(request, route, progress)
            if service is None:
                return refusal(route.objective_s, self._rng)
        else:
            service = self._choose_service(request, route, progress)
        while await self._crashes.may_send(
            request.request_id,
            progress.content,
            progress.may_have_run,
            request.deadline_at_s,
        ) and self._may_send(progress, route, request):
            if not progress.started and progress.software is None:
                service = self._choose_service(request, route, progress)
            state = await self._acquire_slot(request, route, service, progress)
            if state is None:
                break
            progress.tried.add(state.endpoint)
            logger.bind(
                request=request.request_id,
                **workspace_field(request),
                endpoint=state.endpoint,
                software=state.software,
                after=progress.last_event_id,
            ).info('stream sent')
            if await self._run_attempt(
                request, route, state, sink, progress, limit
            ):
                return None
        return self._unsuccessful_answer(request, progress, route, service)

    async def _run_attempt(
        self,
        request: CallerRequest,
        route: Route,
        state: EndpointState,
        sink: StreamSink,
        progress: StreamProgress,
        limit: asyncio.Timeout,
    ) -> bool:
        """Stream from one endpoint; return whether the stream is whole.

        Releases the slot and records what became of the attempt.
        """
        outcome = CANCELLED
        content = progress.content
        started_at_s = self._clock.now()
        progress.sent, progress.heard = True, False
        try:
            await self._attempt(
                request, route, state, sink, progress, started_at_s
            )
            outcome = OK
            return True
        except EndpointNotRun as error:
            self._record_report(request, state, error.report)
            progress.not_run_count += 1
            progress.sent = False
            outcome = OVERLOADED if error.overloaded else ERROR
            if is_unreachable(error):
                outcome, content = CRASH, ''
        except EndpointError as error:
            self._record_report(request, state, error.report)
            outcome = self._record_failure(request, state, progress, error)
        finally:
            if limit.expired() and not progress.heard:
                # An endpoint whose events still arrive is sound.
                outcome = ERROR
            if progress.may_have_run or outcome in (CANCELLED, ERROR):
                self._count_run(request, progress, started_at_s)
                self.usage.worked(
                    request.workspace, self._clock.now() - started_at_s
                )
            self._pools.finish(
                state,
                outcome,
                self._clock.now() - started_at_s,
                route.name,
                INTERACTIVE,
                content=content,
            )
        return False

    def _record_failure(
        self,
        request: CallerRequest,
        state: EndpointState,
        progress: StreamProgress,
        error: EndpointError,
    ) -> str:
        """Record a run that failed; return its outcome for the policies."""
        progress.attempts += (
            error.sends if isinstance(error, EndpointFailed) else 1
        )
        progress.may_have_run = True
        outcome = CRASH
        if isinstance(error, EndpointRefused):
            outcome = OVERLOADED
        elif isinstance(error, StreamFailed):
            progress.error_answer = error.answer
            outcome = OK if progress.is_answered else ERROR
        if not progress.received_pieces:
            self._crashes.on_failure(
                request.request_id, progress.content, state.endpoint, error
            )
        logger.bind(
            request=request.request_id,
            endpoint=state.endpoint,
            last=progress.last_event_id,
            reason=str(error)[:160],
        ).info('stream broke off')
        return outcome

    async def _attempt(
        self,
        request: CallerRequest,
        route: Route,
        state: EndpointState,
        sink: StreamSink,
        progress: StreamProgress,
        started_at_s: float,
    ) -> None:
        entry = self._pools.registry.entry_by_endpoint.get(state.endpoint)
        if entry is None:
            raise EndpointNotRun('endpoint has left the pool')
        remaining_s = request.deadline_at_s - self._clock.now()
        opening = self._client.open(
            entry.address,
            entry.instance,
            request,
            remaining_s,
            route.resumable,
            progress.last_event_id,
        )
        async with AsyncExitStack() as stack:
            answer = await self._opened(
                stack.enter_async_context(opening), route
            )
            self._record_report(request, state, answer.report)
            progress.may_have_run = True
            self._count_run(request, progress, started_at_s)
            if answer.is_stream:
                await self._pass_on(
                    request, route, sink, answer, state, progress
                )
        if not answer.is_stream:
            raise StreamFailed(answer)

    async def _opened(
        self, opening: Awaitable[StreamAnswer], route: Route
    ) -> StreamAnswer:
        """Wait for the head of an answer.

        A stream that may go on elsewhere does not wait longer than for an
        event.
        """
        if not route.resumable:
            return await opening
        limit_s = _stall_limit_s(route)
        try:
            async with asyncio.timeout(limit_s):
                return await opening
        except TimeoutError as error:
            raise EndpointFailed(f'no answer for {limit_s} s') from error

    async def _pass_on(
        self,
        request: CallerRequest,
        route: Route,
        sink: StreamSink,
        answer: StreamAnswer,
        state: EndpointState,
        progress: StreamProgress,
    ) -> None:
        """Write the events of an answer to the caller."""
        if progress.started and answer.status != progress.status:
            raise AnswerMismatch(
                f'status {answer.status} follows {progress.status}'
            )
        pieces = self._without_stall(answer.pieces, route)
        async with aclosing(pieces):
            async for piece in pieces:
                if not progress.received_pieces:
                    progress.received_pieces = True
                    self._crashes.finished(
                        progress.content,
                        request.request_id,
                        state.endpoint,
                    )
                # Until its first part the stream may begin anew at any
                # endpoint, whose head the caller then gets.
                await self._start(
                    request, route, sink, answer, state, progress
                )
                await _to_caller(sink.write(piece.data))
                if piece.event_id is not None:
                    progress.heard = True
                    self._pools.heard(state)
                    progress.last_event_id = piece.event_id
        await self._start(request, route, sink, answer, state, progress)

    def _count_run(
        self, request: CallerRequest, progress: StreamProgress, at_s: float
    ) -> None:
        """Count a stream once; a resumption belongs to an earlier one."""
        if progress.counted or request.resumes:
            return
        progress.counted = True
        self.usage.began(request.workspace, at_s)

    async def _find_origin(
        self, request: CallerRequest, route: Route, progress: StreamProgress
    ) -> str | None:
        """Return the service at which a stream goes on, None if unknown.

        Sets the software version that it has to go on at.
        """
        origin = await self._origins.find(
            request.resumes,
            service_order(route.targets, request.resumes)[0],
            ambiguous=len(route.targets) > 1,
        )
        outcome = 'resumed'
        if origin is None:
            outcome = 'origin unknown'
        elif all(origin.service != t.service for t in route.targets):
            outcome = 'service no longer on the route'
        elif not self._pools.available_count(origin.service, origin.software):
            outcome = 'software version no longer serves'
        logger.bind(
            request=request.request_id,
            resumes=request.resumes,
            after=request.resumed_after,
            service=origin.service if origin else '',
            software=origin.software if origin else '',
            outcome=outcome,
        ).log(DECISION, 'stream resumed by its caller')
        self._metrics.stream_resumed(outcome)
        if origin is None or outcome != 'resumed':
            return None
        progress.software = origin.software
        progress.last_event_id = parse_decimal(request.resumed_after)
        return origin.service

    async def _start(
        self,
        request: CallerRequest,
        route: Route,
        sink: StreamSink,
        answer: StreamAnswer,
        state: EndpointState,
        progress: StreamProgress,
    ) -> None:
        """Send the head to the caller, unless it was sent before."""
        if progress.started:
            return
        progress.software = state.software
        if route.resumable and not request.resumes:
            await self._origins.begin(
                StreamOrigin(request.request_id, state.pool, state.software),
                ambiguous=len(route.targets) > 1,
            )
        progress.started = True
        progress.status = answer.status
        await _to_caller(sink.start(answer.status, answer.headers))

    def _record_report(
        self,
        request: CallerRequest,
        state: EndpointState,
        report: EndpointReport | None,
    ) -> None:
        self._reports.record(state.endpoint, report, request.request_id)

    async def _without_stall(
        self, pieces: AsyncIterator[StreamPiece], route: Route
    ) -> AsyncGenerator[StreamPiece, None]:
        """Yield the pieces; raise EndpointFailed if the events stop.

        Only whole events count, not comments that keep a connection alive.
        The time that the caller takes to read does not count.
        """
        limit_s = _stall_limit_s(route)
        patience_s = limit_s
        while True:
            waits_since_s = self._clock.now()
            try:
                async with asyncio.timeout(patience_s):
                    piece = await anext(pieces)
            except StopAsyncIteration:
                return
            except TimeoutError as error:
                raise EndpointFailed(f'no event for {limit_s} s') from error
            waited_s = self._clock.now() - waits_since_s
            has_event = piece.event_id is not None
            patience_s = limit_s if has_event else patience_s - waited_s
            yield piece

    def _choose_service(
        self, request: CallerRequest, route: Route, progress: StreamProgress
    ) -> str:
        """Return the service for the next attempt of a new stream."""
        return choose_service(
            route.targets,
            request.request_id,
            self._pools.preferences(progress.tried),
        )

    async def _acquire_slot(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        progress: StreamProgress,
    ) -> EndpointState | None:
        if progress.software is None:
            targets = route.targets
        else:
            targets = tuple(t for t in route.targets if t.service == service)
        if not self._pools.available_count(service, progress.software):
            return None
        wanted = RouteRequest(
            request_id=request.request_id,
            class_name=route.name,
            kind=INTERACTIVE,
            pool=service,
            excluded=progress.tried,
            deadline_at_s=request.deadline_at_s,
            software=progress.software,
            workspace=request.workspace,
        )
        wait_s = route.objective_s * MAX_WAIT_SHARE
        priority = route.priority
        if request.priority is not None:
            priority = request.priority
        state = await self._pools.acquire_at_any(
            targets, wanted, priority, wait_s
        )
        if state is None and progress.software is not None:
            # Few endpoints may have the version. One whose connection broke
            # is better than none.
            wanted = replace(wanted, excluded=set(), last_resort=True)
            state = await self._pools.acquire(wanted, priority, RESUME_WAIT_S)
        return state

    def _may_send(
        self, progress: StreamProgress, route: Route, request: CallerRequest
    ) -> bool:
        if self._clock.now() >= request.deadline_at_s:
            return False
        if progress.not_run_count >= MAX_NOT_RUN_SENDS:
            return False
        if progress.attempts >= route.max_attempts or progress.is_answered:
            return False
        return route.resumable or not progress.may_have_run

    def _late_answer(
        self, request: CallerRequest, route: Route, progress: StreamProgress
    ) -> CallerAnswer:
        """Return the answer to a request whose time is up.

        After a part of the stream, raises StreamBroken.
        """
        log = logger.bind(
            request=request.request_id,
            route=route.name,
            last=progress.last_event_id,
            tried=sorted(progress.tried),
            sent=progress.sent,
        )
        log.log(DECISION, 'stream ended at the timeout of its route')
        self._metrics.stream_timed_out(route.name)
        if progress.started:
            raise StreamBroken('timeout of the route')
        if progress.may_have_run or progress.sent:
            return timed_out()
        return refusal(route.objective_s, self._rng)

    def _unsuccessful_answer(
        self,
        request: CallerRequest,
        progress: StreamProgress,
        route: Route,
        service: str,
    ) -> CallerAnswer:
        if progress.started:
            raise StreamBroken(f'after event {progress.last_event_id}')
        answer = progress.error_answer
        if answer is not None:
            return CallerAnswer(answer.status, answer.headers, answer.body)
        if progress.may_have_run:
            return bad_gateway()
        if self._crashes.is_rejected(progress.content):
            return crash_refusal(self._rng)
        wanted = RouteRequest(
            request_id=request.request_id,
            class_name=route.name,
            kind=INTERACTIVE,
            pool=service,
            workspace=request.workspace,
        )
        return refusal(
            route.objective_s,
            self._rng,
            self._pools.retry_s(service),
            self._pools.share_retry_s(wanted),
        )
