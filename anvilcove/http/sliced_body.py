"""Bodies of calls that are written in parts, as the server takes them."""

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

# A larger body would be copied whole by the transport that cannot send it yet.
SLICE_BYTES = 65_536


class SlicedBody(BytesPayload):
    """Body of which the transport copies one part at a time."""

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write up to a number of bytes, or all."""
        body = memoryview(self._value)[:content_length]
        for start in range(0, len(body), SLICE_BYTES):
            await writer.write(body[start : start + SLICE_BYTES])

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write all bytes."""
        await self.write_with_length(writer, None)


def call_body(body: bytes) -> bytes | SlicedBody | None:
    """Return what a session sends as the body of a call, None for none."""
    if len(body) <= SLICE_BYTES:
        return body or None
    return SlicedBody(body)
