"""Progress of a request through its attempts."""

import asyncio
from collections.abc import Callable

from anvilcove.control.desired import Route
from anvilcove.decisions.types import INTERACTIVE, RouteRequest
from anvilcove.ports.servers import CallerRequest, ServerAnswer
from anvilcove.state.content import request_content_hash
from anvilcove.state.endpoints import EndpointState

# Limit of the sends of one request that endpoints report as not run. They do
# not count as attempts.
MAX_NOT_RUN_SENDS = 4


class Attempt:
    """Send, in progress, of a request to an endpoint."""

    __slots__ = ('state', 'task', 'started_at_s')

    def __init__(
        self,
        state: EndpointState,
        task: 'asyncio.Task[ServerAnswer]',
        started_at_s: float,
    ) -> None:
        """Store the endpoint whose slot is held and the running send."""
        self.state = state
        self.task = task
        self.started_at_s = started_at_s


class RequestProgress:
    """Attempts of one request and their outcomes.

    `executions` counts the sends that an endpoint may have run,
    `not_run_count` those that were certainly not run.
    """

    __slots__ = (
        'request',
        'content',
        'route',
        'service',
        'owed',
        'may_hedge',
        'tried',
        'executions',
        'not_run_count',
        'may_have_run',
        'last_error_answer',
        'failed_at',
        'running',
        'hedge_at_s',
        'refusal_reason',
        'counted',
        'workspace',
        'waited_s',
    )

    def __init__(
        self,
        request: CallerRequest,
        route: Route,
        service: str,
        owed: bool,
        workspace: str,
    ) -> None:
        """Start without attempts, to be charged to `workspace`."""
        self.owed = owed
        self.workspace = workspace
        # Asked before an attempt that starts beside another one.
        self.may_hedge: Callable[[], bool] = lambda: True
        # Time waited for slots of endpoints.
        self.waited_s = 0.0
        self.request = request
        self.content = request_content_hash(
            request.method, request.host, request.path, request.body
        )
        self.route = route
        self.service = service
        self.tried: set[str] = set()
        self.executions = 0
        self.not_run_count = 0
        self.may_have_run = False
        self.last_error_answer: ServerAnswer | None = None
        # Endpoint of each answer that reports a failed run.
        self.failed_at: list[str] = []
        self.running: list[Attempt] = []
        self.hedge_at_s = float('inf')
        # Reason of a refusal; empty if the request was not refused.
        self.refusal_reason = ''
        # Whether the request was counted for its workspace.
        self.counted = False

    def route_request(self) -> RouteRequest:
        """Return what the routing needs to know of the next attempt."""
        return RouteRequest(
            request_id=self.request.request_id,
            class_name=self.route.name,
            kind=INTERACTIVE,
            pool=self.service,
            excluded=self.tried,
            deadline_at_s=self.request.deadline_at_s,
            workspace=self.workspace,
        )

    def may_send(self) -> bool:
        """Tell whether another send is allowed."""
        if self.not_run_count >= MAX_NOT_RUN_SENDS:
            return False
        if self.may_have_run and not self.route.repeatable:
            return False
        if self.running and not self.route.repeatable:
            return False
        return self.executions + len(self.running) < self.route.max_attempts
