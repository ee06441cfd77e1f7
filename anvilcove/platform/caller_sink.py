"""Writer of streamed responses to callers, which may read slowly."""

from aiohttp.http import StreamWriter
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from multidict import CIMultiDict

from anvilcove.http.client_connections import (
    ClientConnection,
    client_connection,
)
from anvilcove.node.service import NodeService
from anvilcove.ports.servers import Headers

# Bytes that a caller may leave unread before reading from its endpoint is
# slowed down.
FREE_BYTES = 262_144
# Above that, reading waits at most this time after each block. Endpoints cut
# connections whose data is not read for seconds.
BLOCK_BYTES = 65_536
MAX_PAUSE_S = 0.5


class ResponseSink:
    """Writer of a streamed response to the connection of its caller."""

    __slots__ = ('response', '_request', '_connection', '_block_bytes')

    def __init__(self, request: BaseRequest) -> None:
        """Create the writer; nothing is sent before `start`."""
        self.response = StreamResponse()
        self._request = request
        self._connection = client_connection(request)
        # Bytes since the last pause.
        self._block_bytes = 0

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.response = StreamResponse(
            status=status, headers=CIMultiDict(headers)
        )
        self.response.enable_chunked_encoding()
        await self.response.prepare(self._request)

    async def write(self, piece: bytes) -> None:
        """Send a part of the body; wait for a slow caller a short time."""
        connection = self._connection
        if connection is None:
            await self.response.write(piece)
            return
        writer = self._request.writer
        assert isinstance(writer, StreamWriter)
        connection.writes(len(piece))
        await writer.write(piece, drain=False)
        connection.recount()
        self._block_bytes += len(piece)
        if (
            self._block_bytes >= BLOCK_BYTES
            and connection.unsent_bytes() > FREE_BYTES
        ):
            self._block_bytes = 0
            await connection.wait_until_taken(MAX_PAUSE_S)


def release_body(
    service: NodeService, connection: ClientConnection | None
) -> None:
    """Release the room for the body of a call; its answer has arrived."""
    if connection is not None and service.memory_room is not None:
        service.memory_room.release(connection.reserved_bytes)
        connection.reserved_bytes = 0
        # The body is kept until the answer is written.
        connection.recount()
