"""Calls with JSON messages between daemons over HTTP."""

import asyncio
from typing import TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from msgspec import DecodeError, Struct, ValidationError, json

from anvilcove.ports.peers import PeerUnreachable

M = TypeVar('M', bound=Struct)


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
    except (
        ClientError,
        OSError,
        asyncio.TimeoutError,
        DecodeError,
        ValidationError,
    ) as error:
        raise PeerUnreachable(repr(error)) from error


async def read_message(request: web.BaseRequest, message_type: type[M]) -> M:
    """Return the message of a peer; a malformed one is answered with 400."""
    try:
        return json.decode(await request.read(), type=message_type)
    except (DecodeError, ValidationError) as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def reply_with(message: Struct) -> web.Response:
    """Return the response that carries a message."""
    return web.Response(
        body=json.encode(message), content_type='application/json'
    )
