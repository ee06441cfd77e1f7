"""Read JSON request bodies and build JSON responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from aiohttp import web
from msgspec import Raw

from anvilcove.http.bodies import read_body
from anvilcove.http.client_connections import client_connection
from anvilcove.messages.base import (
    MessageError,
    decode,
    encode,
    reject_duplicate_fields,
)
from anvilcove.messages.callers import Refusal

M = TypeVar('M')
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
BODY_TIMEOUT = web.AppKey('body_timeout', float)


def json_response(message: object, status: int = 200) -> web.Response:
    """Return a response with a message as JSON."""
    return web.Response(
        body=encode(message), status=status, content_type='application/json'
    )


def error_response(status: int, error: str, reason: str) -> web.Response:
    """Return a JSON error response with an error code and a reason."""
    return json_response(Refusal(error=error, reason=reason), status)


class BadRequest(Exception):
    """Raised when a request body is refused, with the response to send."""

    def __init__(self, response: web.Response) -> None:
        """Store the response to send."""
        super().__init__(response.status)
        self.response = response


def keep_encoded(request: web.Request, body: bytes | Raw) -> None:
    """Count for a client the encoded body that is kept of its message."""
    connection = client_connection(request)
    if connection is not None:
        connection.holds_body(len(bytes(body)))


async def read_message(request: web.Request, message_type: type[M]) -> M:
    """Read and decode the request body, or raise BadRequest."""
    try:
        # A body whose declared length is too large is refused unread.
        if (request.content_length or 0) > request.client_max_size:
            raise web.HTTPRequestEntityTooLarge(
                request.client_max_size, request.content_length or 0
            )
        async with asyncio.timeout(request.app[BODY_TIMEOUT]):
            data = await read_body(request)
        connection = client_connection(request)
        if connection is not None and not connection.holds_document(data):
            raise BadRequest(
                error_response(503, 'no_memory', 'too many large bodies')
            )
        reject_duplicate_fields(data)
        return decode(data, message_type)
    except TimeoutError:
        raise BadRequest(
            error_response(408, 'slow_body', 'body not received in time')
        ) from None
    except web.HTTPRequestEntityTooLarge:
        raise BadRequest(
            error_response(
                413, 'body_too_large', 'body exceeds the size limit'
            )
        ) from None
    except MessageError as error:
        raise BadRequest(
            error_response(400, 'invalid_body', str(error))
        ) from error
