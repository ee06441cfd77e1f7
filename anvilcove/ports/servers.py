"""Port of the plain services: one request and its answer."""

from typing import Protocol

from msgspec import Struct, field

from anvilcove.ports.engines import EngineLoad

Headers = list[tuple[str, str]]


class CallerRequest(Struct):
    """A request as its caller sent it.

    `received_s` and `deadline_at_s` are on the daemon's clock; `deadline_at_s`
    is when the caller stops waiting.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    received_s: float
    deadline_at_s: float


class ServerAnswer(Struct):
    """A whole answer; `stamp` is the server's proof of it."""

    status: int
    headers: Headers
    body: bytes
    stamp: str = ''
    load: EngineLoad | None = None


class CallerAnswer(Struct):
    """What a caller gets; `retry_after_s` only beside a refusal.

    `server_failures` counts the servers that ran the request and failed.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''
    retry_after_s: float | None = None
    stamp: str = ''
    server_failures: int = 0


class ServerClient(Protocol):
    """Send requests to services."""

    async def send(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        time_left_s: float,
        repeatable: bool,
    ) -> ServerAnswer:
        """Return a whole answer, or raise an EndpointError.

        A repeatable request may run more than once at the endpoint.
        """
