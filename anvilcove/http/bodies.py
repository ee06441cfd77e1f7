"""Bodies of requests, which are read without large buffers."""

import asyncio
from collections.abc import AsyncIterator, Callable

from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_request import BaseRequest

# Time after which a body of which nothing arrives is checked again.
CHECK_PERIOD_S = 1.0

# Memory of a decoded value with its name, and what stands between values.
VALUE_BYTES = 160
VALUE_SEPARATORS = (b',', b'[', b'{')

# Called with the bytes read so far; may raise to refuse the body.
CheckBody = Callable[[int], None]


async def body_parts(
    request: BaseRequest,
    max_bytes: int,
    read_bytes: int = 0,
    check: CheckBody | None = None,
) -> AsyncIterator[bytes]:
    """Yield the body of a request as it arrives.

    `read_bytes` were read before. `check` is called for each part, and each
    second without one. Raises HTTPRequestEntityTooLarge above `max_bytes`, 0
    for no limit.
    """
    while part := await _next_part(request, read_bytes, check):
        read_bytes += len(part)
        if max_bytes and read_bytes > max_bytes:
            raise HTTPRequestEntityTooLarge(max_bytes, read_bytes)
        yield part


async def read_body(request: BaseRequest) -> bytes:
    """Return the body of a request within the limit of the request.

    `BaseRequest.read` lets as much arrive as the limit before it is read and
    decompressed, and keeps a copy.
    """
    parts = body_parts(request, request.client_max_size)
    return b''.join([part async for part in parts])


def document_bytes(data: bytes) -> int:
    """Return the memory of a JSON document with what it is decoded to."""
    values = sum(map(data.count, VALUE_SEPARATORS))
    return len(data) + values * VALUE_BYTES


async def _next_part(
    request: BaseRequest, read_bytes: int, check: CheckBody | None
) -> bytes:
    if check is None:
        return await request.content.readany()
    while True:
        limit = asyncio.timeout(CHECK_PERIOD_S)
        try:
            async with limit:
                return await request.content.readany()
        except TimeoutError:
            if not limit.expired():
                raise
        finally:
            check(read_bytes)
