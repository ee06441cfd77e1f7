"""Port of the services: one request and one complete answer."""

from typing import Protocol

from msgspec import Struct, field

from anvilcove.ports.engines import EngineLoad
from anvilcove.ports.reports import NO_REPORT, EndpointReport

Headers = list[tuple[str, str]]


class CallerRequest(Struct):
    """A request as its caller sent it.

    `received_s` and `deadline_at_s` are times of the daemon's clock. The
    caller stops waiting at `deadline_at_s`. A request that resumes a stream
    has `resumes` set to the request whose answer brought the first event, ''
    if the caller does not name it, and `resumed_after` to the last event.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    received_s: float
    deadline_at_s: float
    resumes: str = ''
    resumed_after: str = ''
    # Workspace that the request belongs to, '' for none, and its priority.
    workspace: str = ''
    priority: int | None = None


def workspace_field(request: CallerRequest) -> dict[str, str]:
    """Return the workspace of a request as a field for the log, if any."""
    return {'workspace': request.workspace} if request.workspace else {}


class ServerAnswer(Struct):
    """Complete answer; `stamp` is the server's proof that it ran the call.

    `sends` counts the sends of the call that may have run. `run_failed`: the
    server reports that it ran the call and that the run failed.
    """

    status: int
    headers: Headers
    body: bytes
    stamp: str = ''
    load: EngineLoad | None = None
    sends: int = 1
    run_failed: bool = False
    report: EndpointReport = NO_REPORT


class CallerAnswer(Struct):
    """Answer to a caller; `retry_after_s` is set only for a refusal.

    `failed_at` names the endpoint of each answer that reports a failed run.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    retry_after_s: float | None = None
    stamp: str = ''
    failed_at: list[str] = field(default_factory=list)


class ServerClient(Protocol):
    """Client of the services."""

    async def send(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
    ) -> ServerAnswer:
        """Return the complete answer, or raise an EndpointError.

        A repeatable request may run more than once at the endpoint.
        """
