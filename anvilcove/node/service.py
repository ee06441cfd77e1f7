"""Operations that a daemon offers to callers and trainers."""

import asyncio
import random
from collections.abc import Callable
from math import inf

from loguru import logger
from msgspec import Struct

from anvilcove.control.desired import JOB, DesiredStateView, Route
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.access import Admitted, Denied, decide_access
from anvilcove.decisions.completion import AnswerTimes, StopTimes
from anvilcove.http.client_account import ClientAccount
from anvilcove.jobs.intake import JobIntake, JobNotAccepted, LargeItems
from anvilcove.jobs.reader import JobReader
from anvilcove.jobs.records import OtherWorkspace
from anvilcove.jobs.types import JobSpec
from anvilcove.ports.servers import CallerAnswer, CallerRequest
from anvilcove.ports.streams import StreamSink
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.proxy.outcomes import bad_gateway, not_found, refusal
from anvilcove.proxy.streams import StreamForwarder
from anvilcove.proxy.time_limits import answer_limit_s
from anvilcove.state.background_tasks import spawn_logged
from anvilcove.state.clock import Clock
from anvilcove.state.memory_room import MemoryRoom
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# Name in logs and metrics for reads and ends of jobs, which have no route.
JOBS_ROUTE = 'jobs'


class NodeState(Struct):
    """Lifecycle state of the daemon.

    While it stops, since `stops_at_s` on its clock, `closes_at_s` is the time
    at which it closes the connections of requests that are not answered by
    then, and `grace_s` the time after which it is killed.
    """

    stopping: bool = False
    stops_at_s: float = inf
    closes_at_s: float = inf
    grace_s: float = inf

    def stop_times(self, now: float) -> StopTimes:
        """Return how far the stop has come."""
        return StopTimes(
            now - self.stops_at_s, self.closes_at_s - now, self.grace_s
        )


class NodeService:
    """Entry points of the daemon, independent of the protocol."""

    __slots__ = (
        'state',
        'jobs',
        'account',
        'memory_room',
        '_desired',
        '_nodes',
        '_forwarder',
        '_streams',
        '_intake',
        'answer_times',
        '_is_cut',
        '_expects_workspaces',
        '_metrics',
        '_clock',
        '_rng',
    )

    def __init__(
        self,
        state: NodeState,
        desired: DesiredStateView,
        nodes: NodeDirectory,
        forwarder: Forwarder,
        streams: StreamForwarder,
        intake: JobIntake,
        jobs: JobReader,
        account: ClientAccount,
        memory_room: MemoryRoom,
        is_cut: Callable[[], bool],
        expects_workspaces: bool,
        metrics: NodeMetrics,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Store the components that handle the requests.

        `account` and `memory_room` bound the memory for callers, `is_cut`
        tells whether this host is cut from all endpoints,
        `expects_workspaces` whether the desired state will have workspaces.
        """
        self.account = account
        self.memory_room = memory_room
        # Decides which requests are still taken during a planned stop.
        self.answer_times = AnswerTimes()
        self._is_cut = is_cut
        self._expects_workspaces = expects_workspaces
        self._metrics = metrics
        self.state = state
        self.jobs = jobs
        self._desired = desired
        self._nodes = nodes
        self._forwarder = forwarder
        self._streams = streams
        self._intake = intake
        self._clock = clock
        self._rng = rng

    def now(self) -> float:
        """Return the time on the daemon's clock, in seconds."""
        return self._clock.now()

    def ready(self) -> bool:
        """Tell whether the daemon takes new callers."""
        return self._desired.current is not None and not self.state.stopping

    def addresses(self, region: str) -> list[str]:
        """Return the addresses of daemons that callers should use."""
        return self._nodes.caller_addresses(
            region, self.ready(), self._is_cut(), self._rng
        )

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None if no route matches."""
        state = self._desired.current
        return state.find_route(host, path) if state is not None else None

    def admit(
        self, route: Route, key: str | None, request_id: str
    ) -> Admitted | Denied:
        """Decide whether a key admits a request on a route."""
        state = self._desired.current
        directory = state.workspaces if state is not None else None
        return self._recorded(
            decide_access(directory, route.public, key), route.name, request_id
        )

    def admit_to_jobs(
        self, host: str, key: str | None, job_id: str
    ) -> Admitted | Denied:
        """Decide whether a key admits to the batch jobs of a host name."""
        state = self._desired.current
        if state is None:
            return Admitted()
        public = any(
            route.public and route.kind == JOB
            for route in state.routes_by_host.get(host, ())
        )
        return self._recorded(
            decide_access(state.workspaces, public, key), JOBS_ROUTE, job_id
        )

    def _recorded(
        self, decision: Admitted | Denied, route: str, subject: str
    ) -> Admitted | Denied:
        """Log and count a call that is denied."""
        if isinstance(decision, Denied):
            logger.bind(
                request=subject[:120], route=route, reason=decision.reason
            ).log(DECISION, 'access denied')
            self._metrics.access_denied(route, decision.reason)
        return decision

    def can_complete(
        self, route: str, limit_s: float, subject: str, estimated: bool
    ) -> bool:
        """Tell whether a request that takes up to `limit_s` can be answered.

        During a planned stop, one that would be cut is better sent to another
        daemon. Refusals are logged and counted. Early in the stop, times of
        other requests tell it of those that are `estimated`.
        """
        if not self.state.stopping:
            return True
        stop = self.state.stop_times(self._clock.now())
        if self.answer_times.can_complete(route, limit_s, stop, estimated):
            return True
        logger.bind(
            request=subject[:120],
            route=route,
            since_ms=round(stop.since_s * 1000),
            left_ms=round(stop.left_s * 1000),
            limit_ms=round(limit_s * 1000),
            expected_ms=round(
                self.answer_times.expected_s(route, limit_s) * 1000
            ),
        ).log(DECISION, 'request refused: the daemon stops before its end')
        self._metrics.request_refused(route, 'stopping')
        return False

    def configuration(self) -> int:
        """Return the version of the desired state in force, 0 for none."""
        return self._desired.current.version if self._desired.current else 0

    def has_workspaces(self) -> bool:
        """Tell whether calls have to be made for a workspace."""
        state = self._desired.current
        return state is not None and state.workspaces is not None

    def can_judge_access(self) -> bool:
        """Tell whether it is known which keys are needed, if any."""
        return not self._expects_workspaces or self.has_desired_state()

    def has_desired_state(self) -> bool:
        """Tell whether a desired state is known."""
        return self._desired.current is not None

    def max_body_bytes(self) -> int:
        """Return the limit for request bodies, 1 MiB without desired state."""
        state = self._desired.current
        return state.limits.max_body_bytes if state else 1 << 20

    def body_refused(self, route: str) -> None:
        """Count a call that was refused for want of memory for its body."""
        self._metrics.request_refused(route, 'no memory for the body')

    async def forward(
        self, request: CallerRequest, route: Route
    ) -> CallerAnswer:
        """Forward a request to a service and return the answer."""
        answer = await self._forwarder.forward(request, route)
        self._metrics.request_of_workspace(request.workspace, answer.status)
        return answer

    async def stream(
        self, request: CallerRequest, route: Route, sink: StreamSink
    ) -> CallerAnswer | None:
        """Stream the answer to `sink`, or return an unstreamed answer."""
        answer = await self._streams.forward(request, route, sink)
        status = 200 if answer is None else answer.status
        self._metrics.request_of_workspace(request.workspace, status)
        return answer

    async def refuse_submission(
        self, job_id: str, route: Route
    ) -> CallerAnswer:
        """Return the answer to a submission for which there is no memory.

        A refusal promises that no part of the job runs, which is not so if
        the submission is repeated.
        """
        self.body_refused(route.name)
        if await self._intake.may_exist(job_id):
            return bad_gateway()
        return refusal(route.objective_s, self._rng)

    async def submit(
        self,
        spec: JobSpec,
        route: Route,
        large: LargeItems | None = None,
        on_decided: Callable[[], None] = lambda: None,
    ) -> CallerAnswer:
        """Submit a batch job; answer with status 202 if it is accepted.

        `large` has the items of a large job. `on_decided` is called once the
        submission is needed no more, which may be after the answer.
        """
        if route.kind != JOB:
            on_decided()
            return not_found()
        deadline_at_s = self._clock.now() + answer_limit_s(route)
        accepting = spawn_logged(
            self._intake.accept(
                spec, deadline_at_s, self.has_workspaces(), large
            ),
            f'acceptance of {spec.job_id}',
            (OtherWorkspace, JobNotAccepted),
        )
        accepting.add_done_callback(lambda _: on_decided())
        # A store call that is not answered lasts longer than the deadline. It
        # goes on, as the write may take effect.
        await asyncio.wait([accepting], timeout=route.timeout_s)
        if not accepting.done():
            logger.bind(job=spec.job_id).warning(
                'submission not decided at the timeout of its route'
            )
            return bad_gateway()
        try:
            accepting.result()
        except OtherWorkspace:
            # The answer does not tell that the job exists.
            logger.bind(job=spec.job_id, workspace=spec.workspace).log(
                DECISION, 'submission refused: a job of another workspace'
            )
            return not_found()
        except JobNotAccepted as error:
            logger.bind(
                job=spec.job_id,
                reason=str(error),
                uncertain=error.uncertain,
            ).warning('job not accepted')
            if error.uncertain:
                return bad_gateway()
            return refusal(route.objective_s, self._rng)
        return CallerAnswer(status=202)
