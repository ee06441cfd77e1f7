"""Ports for answers that are streamed event by event."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from msgspec import Struct

from anvilcove.ports.reports import NO_REPORT, EndpointReport
from anvilcove.ports.servers import CallerRequest, Headers


class StreamPiece(Struct):
    """Bytes of one complete event of a stream, as the server sent them."""

    data: bytes
    event_id: int | None = None


class StreamAnswer(Struct):
    """Status and headers of an answer, and its body as events.

    An answer that is no success has its whole body in `body` and no events.
    `sends` counts the sends of the request that may have run.
    """

    status: int
    headers: Headers
    pieces: AsyncIterator[StreamPiece]
    report: EndpointReport = NO_REPORT
    body: bytes = b''
    sends: int = 1

    @property
    def is_stream(self) -> bool:
        """Tell whether the body is a stream of events."""
        return 200 <= self.status < 300


class StreamClient(Protocol):
    """Client of endpoints that stream their answers."""

    def open(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
        after: int | None,
    ) -> AbstractAsyncContextManager[StreamAnswer]:
        """Send a request and open its answer after event `after`.

        EndpointError is raised on entry or while the pieces are read.
        """


class StreamSink(Protocol):
    """Output stream to a caller."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, piece: bytes) -> None:
        """Send a part of the body."""
