"""Read JSON request bodies and build JSON responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web

from anvilcove.messages.base import (
    MessageError,
    decode,
    encode,
    refuse_repeated_names,
)
from anvilcove.messages.callers import Refusal

M = TypeVar('M')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BODY_TIMEOUT = web.AppKey('body_timeout', float)


def reply(message: object, status: int = 200) -> web.Response:
    """Return a response with a message as JSON."""
    return web.Response(
        body=encode(message), status=status, content_type='application/json'
    )


def refusal(status: int, error: str, reason: str) -> web.Response:
    """Return a JSON error response with an error code and a reason."""
    return reply(Refusal(error=error, reason=reason), status)


class BadRequest(Exception):
    """Raised when a request body is refused, with the response to send."""

    def __init__(self, response: web.Response) -> None:
        """Store the response to send."""
        super().__init__(response.status)
        self.response = response


async def read_message(request: web.Request, message_type: type[M]) -> M:
    """Read and decode the request body, or raise BadRequest."""
    try:
        # A body whose declared length is too large is refused unread.
        if (request.content_length or 0) > request.client_max_size:
            raise web.HTTPRequestEntityTooLarge(
                request.client_max_size, request.content_length or 0
            )
        async with asyncio.timeout(request.app[BODY_TIMEOUT]):
            data = await request.read()
        refuse_repeated_names(data)
        return decode(data, message_type)
    except TimeoutError:
        raise BadRequest(
            refusal(408, 'slow_body', 'body not received in time')
        ) from None
    except web.HTTPRequestEntityTooLarge:
        raise BadRequest(
            refusal(413, 'body_too_large', 'body exceeds the size limit')
        ) from None
    except MessageError as error:
        raise BadRequest(refusal(400, 'invalid_body', str(error))) from error
