"""Calls with JSON messages between daemons over HTTP."""

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from aiohttp import ClientSession, ClientTimeout
from aiohttp.web_exceptions import HTTPBadRequest
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from loguru import logger
from msgspec import Struct, json

from anvilcove.http.bodies import read_body
from anvilcove.messages.base import DECODE_ERRORS
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.ports.peers import PeerUnreachable

M = TypeVar('M', bound=Struct)
PeerHandlers = Mapping[str, Callable[[BaseRequest], Awaitable[StreamResponse]]]


async def call_peer(
    session: ClientSession,
    url: str,
    message: Struct,
    reply_type: type[M],
    timeout_s: float,
) -> M:
    """Post a message and return the reply, or raise PeerUnreachable."""
    try:
        async with session.post(
            url,
            data=json.encode(message),
            timeout=ClientTimeout(total=timeout_s),
        ) as response:
            if response.status != 200:
                raise PeerUnreachable(f'status {response.status}')
            return json.decode(await response.read(), type=reply_type)
    except (*CALL_ERRORS, *DECODE_ERRORS) as error:
        raise PeerUnreachable(repr(error)) from error


async def read_message(request: BaseRequest, message_type: type[M]) -> M:
    """Return the message of a peer; a malformed one is answered with 400."""
    try:
        return json.decode(await read_body(request), type=message_type)
    except DECODE_ERRORS as error:
        log_rejected(request, str(error))
        raise HTTPBadRequest(text=str(error)) from error


async def serve_by_path(
    handlers: PeerHandlers, request: BaseRequest
) -> StreamResponse:
    """Answer a peer; a path that this build does not know with 404."""
    handler = handlers.get(request.path)
    if handler is None:
        log_rejected(request, 'unknown path')
        return Response(status=404)
    return await handler(request)


def log_rejected(request: BaseRequest, reason: str) -> None:
    """Log a message of a peer that this build cannot serve."""
    logger.bind(
        peer=request.remote, path=request.path[:160], reason=reason[:160]
    ).warning('peer message rejected')


def reply_with(message: Struct) -> Response:
    """Return the response that carries a message."""
    return Response(body=json.encode(message), content_type='application/json')
