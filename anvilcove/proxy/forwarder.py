"""Forward requests to services, with retries and hedged attempts."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import Route
from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.decisions.hedging import ObjectiveHedging
from anvilcove.decisions.service_choice import (
    choose_service,
    service_shares,
)
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    INTERACTIVE,
    OK,
    OVERLOADED,
)
from anvilcove.ports.errors import (
    EndpointCrashed,
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
    ServerClient,
)
from anvilcove.ports.usage import NoUsage, UsageCounter
from anvilcove.proxy.outcomes import (
    bad_gateway,
    crash_refusal,
    is_server_failure,
    refusal,
    timed_out,
)
from anvilcove.proxy.pools import EndpointPools
from anvilcove.proxy.progress import Attempt, RequestProgress
from anvilcove.proxy.time_limits import answer_limit_at_s
from anvilcove.settings.host import HostSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# Share of the objective that a request may wait for a slot before it is
# refused. A later refusal leaves the caller too little time to retry
# elsewhere.
MAX_WAIT_SHARE = 0.2
MIN_WAIT_S = 0.02
# A hedged attempt starts after half of the objective. An endpoint that has not
# answered by then, and whose answer is no longer needed, counts as failing.
SLOW_ATTEMPT_SHARE = 0.5


class Forwarder:
    """Forward requests to endpoints of the services of their route."""

    __slots__ = (
        '_pools',
        '_servers',
        '_crashes',
        '_reports',
        '_hedging',
        '_clock',
        '_rng',
        '_metrics',
        '_log_context',
        'usage',
        'uses_slowness',
    )

    def __init__(
        self,
        settings: HostSettings,
        pools: EndpointPools,
        servers: ServerClient,
        crashes: ContentCrashes,
        reports: EndpointReports,
        clock: Clock,
        rng: random.Random,
        metrics: NodeMetrics,
        log_context: Callable[[], dict[str, float | str]],
    ) -> None:
        """Set up.

        `log_context` returns the versions and ages of the data that decisions
        are based on, as fields for the log.
        """
        self._log_context = log_context
        # Counts what runs for workspaces.
        self.usage: UsageCounter = NoUsage()
        # Whether loads that name a slowness are used.
        self.uses_slowness = True
        self._pools = pools
        self._servers = servers
        self._crashes = crashes
        self._reports = reports
        self._hedging = ObjectiveHedging(settings)
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def forward(
        self,
        request: CallerRequest,
        route: Route,
        owed: bool = False,
        charged_to: str = '',
        may_hedge: Callable[[], bool] = lambda: True,
        service: str = '',
    ) -> CallerAnswer:
        """Return the answer of a server or an error answer of this daemon.

        Its first attempt goes to `service` unless that is ''.

        An `owed` request has to be made until it succeeds: it is not refused
        for its content, and no second attempt starts before the objective has
        passed, unless the first one fails. It names no workspace to servers,
        but is charged to the workspace `charged_to`. `may_hedge` is asked
        before each attempt that starts beside another one.
        """
        service = service or self.choose_service(route, request.request_id)
        progress = RequestProgress(
            request, route, service, owed, request.workspace or charged_to
        )
        progress.may_hedge = may_hedge
        deadline_at_s = min(
            request.deadline_at_s, answer_limit_at_s(request, route)
        )
        answered = False
        try:
            answer = await self._run(progress, deadline_at_s)
            answered = True
        finally:
            for attempt in progress.running:
                self._count_run(progress, attempt)
                self._abandon(progress, attempt, answered)
        self._log_answer(progress, answer)
        return answer

    def choose_service(self, route: Route, request_id: str) -> str:
        """Return the service of a route to which a request should go."""
        return choose_service(
            route.targets, request_id, self._pools.preferences(())
        )

    def is_sound(self, endpoint: str) -> bool | None:
        """Tell whether an endpoint completes most of its runs, if known."""
        return self._pools.is_sound(endpoint)

    async def _run(
        self, progress: RequestProgress, deadline_at_s: float
    ) -> CallerAnswer:
        if not await self._may_send_content(progress, deadline_at_s):
            return self._unsuccessful_answer(progress)
        wait_s = self._max_wait_s(progress, deadline_at_s)
        if not await self._start_attempt(progress, wait_s):
            return self._unsuccessful_answer(progress)
        while True:
            now = self._clock.now()
            if now >= deadline_at_s:
                return self._unsuccessful_answer(
                    progress, deadline_passed=True
                )
            if not progress.running:
                if not await self._may_send_content(progress, deadline_at_s):
                    return self._unsuccessful_answer(progress)
                if not progress.may_send():
                    return self._unsuccessful_answer(progress)
                wait_s = self._max_wait_s(progress, deadline_at_s)
                if not await self._start_attempt(progress, wait_s):
                    return self._unsuccessful_answer(progress)
                continue
            await asyncio.wait(
                [attempt.task for attempt in progress.running],
                timeout=max(
                    min(deadline_at_s, progress.hedge_at_s) - now, 0.0
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answer = self._collect_finished(progress)
            if answer is not None:
                return answer
            await self._start_due_hedge(progress)

    async def _start_due_hedge(self, progress: RequestProgress) -> None:
        if self._clock.now() < progress.hedge_at_s or not progress.running:
            return
        progress.hedge_at_s = float('inf')
        if not progress.may_send() or self._crashes.is_rejected(
            progress.content
        ):
            return
        # The hedging budget only limits attempts before the objective has
        # passed. After that a second attempt always starts.
        overdue_at_s = (
            progress.running[-1].started_at_s + progress.route.objective_s
        )
        if self._clock.now() >= overdue_at_s or self._hedging.spend():
            if not progress.may_hedge():
                progress.hedge_at_s = (
                    self._clock.now() + progress.route.objective_s
                )
                return
            await self._start_attempt(progress, 0.0)
        else:
            progress.hedge_at_s = overdue_at_s

    async def _start_attempt(
        self, progress: RequestProgress, wait_s: float
    ) -> bool:
        """Send the request to another endpoint if one has a free slot in time.

        Returns whether it was sent.
        """
        request, route = progress.request, progress.route
        asked_at_s = self._clock.now()
        state = await self._pools.acquire_at_any(
            route.targets,
            progress.route_request(),
            route.priority if request.priority is None else request.priority,
            wait_s,
        )
        progress.waited_s += self._clock.now() - asked_at_s
        if state is None:
            return False
        progress.service = state.pool
        entry = self._pools.registry.entry_by_endpoint.get(state.endpoint)
        if entry is None:
            self._pools.release(state)
            return False
        now = self._clock.now()
        if progress.tried:
            self._metrics.request_retried(route.name)
        progress.tried.add(state.endpoint)
        task = asyncio.create_task(
            self._servers.send(
                entry.address,
                entry.instance,
                request,
                request.deadline_at_s - now,
                route.repeatable,
            )
        )
        progress.running.append(Attempt(state, task, now))
        if route.repeatable:
            delay_s = None
            if not progress.owed:
                delay_s = self._hedging.hedge_delay_s(
                    route.name, route.objective_s
                )
            progress.hedge_at_s = now + (delay_s or route.objective_s)
        return True

    def _collect_finished(
        self, progress: RequestProgress
    ) -> CallerAnswer | None:
        """Process finished attempts; return the first final answer, if any."""
        final: CallerAnswer | None = None
        for attempt in list(progress.running):
            if not attempt.task.done():
                continue
            progress.running.remove(attempt)
            answer = self._finish_attempt(progress, attempt)
            if answer is not None and final is None:
                final = answer
        return final

    def _finish_attempt(
        self, progress: RequestProgress, attempt: Attempt
    ) -> CallerAnswer | None:
        route = progress.route
        latency_s = self._clock.now() - attempt.started_at_s
        error = attempt.task.exception()
        if isinstance(error, OSError):
            error = EndpointCrashed(f'{error!r}')
        if isinstance(error, EndpointError):
            self._record_report(progress, attempt, error.report)
            self._record_failure(progress, attempt, error, latency_s)
            self._crashes.on_failure(
                progress.request.request_id,
                progress.content,
                attempt.state.endpoint,
                error,
            )
            return None
        if error is not None:
            raise error
        answer = attempt.task.result()
        self._record_report(progress, attempt, answer.report)
        # A failing server may answer 500 to a content that it did not run.
        success = not is_server_failure(answer.status)
        if success:
            self._crashes.finished(
                progress.content,
                progress.request.request_id,
                attempt.state.endpoint,
            )
        progress.executions += answer.sends
        progress.may_have_run = True
        self._count_run(progress, attempt)
        load = answer.load
        if load and load.names_slowness and not self.uses_slowness:
            load = None
        self._pools.finish(
            attempt.state,
            OK if success else ERROR,
            latency_s,
            route.name,
            INTERACTIVE,
            load,
            progress.content,
        )
        if success:
            self._hedging.finished(route.name, latency_s)
            return CallerAnswer(
                answer.status, answer.headers, answer.body, stamp=answer.stamp
            )
        progress.last_error_answer = answer
        if answer.run_failed:
            progress.failed_at.append(attempt.state.endpoint)
        return None

    def _count_run(self, progress: RequestProgress, attempt: Attempt) -> None:
        """Count a request once, from its first attempt that may have run."""
        workspace = progress.request.workspace
        if not workspace or progress.owed:
            return
        self.usage.worked(workspace, self._clock.now() - attempt.started_at_s)
        if progress.counted:
            return
        progress.counted = True
        sent_at_s = [other.started_at_s for other in progress.running]
        self.usage.began(workspace, min([attempt.started_at_s, *sent_at_s]))

    def _record_report(
        self,
        progress: RequestProgress,
        attempt: Attempt,
        report: EndpointReport | None,
    ) -> None:
        self._reports.record(
            attempt.state.endpoint, report, progress.request.request_id
        )

    def _record_failure(
        self,
        progress: RequestProgress,
        attempt: Attempt,
        error: EndpointError,
        latency_s: float,
    ) -> None:
        outcome = ERROR
        if isinstance(error, EndpointNotRun):
            progress.not_run_count += 1
            outcome = OVERLOADED if error.overloaded else ERROR
            if error.unreachable:
                outcome = CRASH
        else:
            progress.executions += (
                error.sends if isinstance(error, EndpointFailed) else 1
            )
            progress.may_have_run = True
            self._count_run(progress, attempt)
            if isinstance(error, EndpointCrashed):
                outcome = CRASH
            elif isinstance(error, EndpointRefused) and error.overloaded:
                outcome = OVERLOADED
        self._pools.finish(
            attempt.state,
            outcome,
            latency_s,
            progress.route.name,
            INTERACTIVE,
            content='' if is_unreachable(error) else progress.content,
        )
        self._metrics.attempt_failed(progress.service, outcome)
        logger.bind(
            request=progress.request.request_id,
            endpoint=attempt.state.endpoint,
            outcome=outcome,
            after_ms=round(latency_s * 1000),
            reason=str(error)[:160],
        ).info('attempt failed')

    def _abandon(
        self, progress: RequestProgress, attempt: Attempt, answered: bool
    ) -> None:
        """Cancel a send whose answer is no longer needed.

        If `answered` tells that the request itself was answered, an endpoint
        that has taken more than SLOW_ATTEMPT_SHARE of the objective counts as
        failing.
        """
        route = progress.route
        elapsed_s = self._clock.now() - attempt.started_at_s
        slow = answered and elapsed_s > route.objective_s * SLOW_ATTEMPT_SHARE
        attempt.task.cancel()
        if attempt.task.done() and not attempt.task.cancelled():
            # Retrieved so that asyncio does not report it as unhandled.
            attempt.task.exception()
        self._pools.finish(
            attempt.state,
            ERROR if slow else CANCELLED,
            elapsed_s,
            route.name,
            INTERACTIVE,
            content=progress.content,
        )

    async def _may_send_content(
        self, progress: RequestProgress, deadline_at_s: float
    ) -> bool:
        if progress.owed:
            # Its delay has passed; the next one follows a further crash.
            return not progress.may_have_run or await self._crashes.may_run(
                progress.content
            )
        return await self._crashes.may_send(
            progress.request.request_id,
            progress.content,
            progress.may_have_run,
            deadline_at_s,
        )

    def _unsuccessful_answer(
        self, progress: RequestProgress, deadline_passed: bool = False
    ) -> CallerAnswer:
        error_answer = progress.last_error_answer
        if error_answer is not None:
            return CallerAnswer(
                error_answer.status,
                error_answer.headers,
                error_answer.body,
                failed_at=progress.failed_at,
            )
        if progress.may_have_run or progress.running:
            return timed_out() if deadline_passed else bad_gateway()
        if self._crashes.is_rejected(progress.content):
            progress.refusal_reason = 'crashes endpoints'
            return crash_refusal(self._rng)
        progress.refusal_reason = self._refusal_reason(progress)
        return refusal(
            progress.route.objective_s,
            self._rng,
            self._pools.retry_s(progress.service),
            self._pools.share_retry_s(progress.route_request()),
        )

    def _refusal_reason(self, progress: RequestProgress) -> str:
        if self._pools.available_count(progress.service) == 0:
            return 'no endpoint'
        if progress.not_run_count:
            return 'refused by endpoints'
        excess = self._pools.excess(progress.route_request())
        return 'over its share' if excess > 1 else 'no room'

    def _max_wait_s(
        self, progress: RequestProgress, deadline_at_s: float
    ) -> float:
        """Return how long the request may wait for a slot."""
        services = service_shares(progress.route.targets)
        if not any(map(self._pools.available_count, services)):
            return 0.0
        wait_s = max(progress.route.objective_s * MAX_WAIT_SHARE, MIN_WAIT_S)
        return min(wait_s, max(deadline_at_s - self._clock.now(), 0.0))

    def _log_answer(
        self, progress: RequestProgress, answer: CallerAnswer
    ) -> None:
        request, route = progress.request, progress.route
        latency_s = self._clock.now() - request.received_s
        on_time = answer.status < 400 and latency_s <= route.objective_s
        self._metrics.request_finished(
            route.name, answer.status, latency_s, on_time
        )
        if progress.refusal_reason:
            self._metrics.request_refused(route.name, progress.refusal_reason)
            self._metrics.workspace_refused(
                progress.workspace, progress.refusal_reason
            )
        context = self._log_context()
        if progress.workspace:
            context['workspace'] = progress.workspace
            context['waited_ms'] = round(progress.waited_s * 1000)
            excess = self._pools.excess(progress.route_request())
            if excess:
                context['excess'] = round(excess, 2)
        logger.bind(
            request=request.request_id,
            route=route.name,
            service=progress.service,
            tried=sorted(progress.tried),
            refused=progress.not_run_count,
            status=answer.status,
            latency_ms=round(latency_s * 1000),
            left_ms=round((request.deadline_at_s - self._clock.now()) * 1000),
            endpoints=self._pools.available_count(progress.service),
            retry_after_s=answer.retry_after_s,
            refusal=progress.refusal_reason,
            **context,
        ).log(
            DECISION if progress.refusal_reason else 'INFO', 'request answered'
        )
