"""Port of streamed answers."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from msgspec import Struct

from anvilcove.ports.servers import CallerRequest, Headers


class StreamPiece(Struct):
    """A whole event of a stream as its server sent it."""

    data: bytes
    event_id: int | None = None


class StreamAnswer(Struct):
    """The start of an answer and what follows it."""

    status: int
    headers: Headers
    pieces: AsyncIterator[StreamPiece]


class StreamClient(Protocol):
    """Open streamed answers."""

    def open(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        time_left_s: float,
        repeatable: bool,
        after: int | None,
    ) -> AbstractAsyncContextManager[StreamAnswer]:
        """Send a request; raise an EndpointError here or from the pieces."""


class StreamSink(Protocol):
    """Where a caller's stream is written."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
