"""Exchange of permits between daemons over HTTP."""

import asyncio

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from msgspec import DecodeError, ValidationError, json

from anvilcove.control.permits import RatePermits
from anvilcove.messages.permits import PermitGrant, PermitRequest
from anvilcove.ports.permits import PeerUnreachable

PERMIT_PATH = '/permit'
# A request waits for its permit, so that a keeper is given up early.
TIMEOUT_S = 0.15


class HttpPermits:
    """Client of the keepers of permits."""

    __slots__ = ('_session',)

    def __init__(self, session: ClientSession) -> None:
        """Use the session for all calls."""
        self._session = session

    async def ask(self, peer: str, request: PermitRequest) -> PermitGrant:
        """Ask the peer at ip:port, or raise PeerUnreachable."""
        try:
            async with self._session.post(
                f'http://{peer}{PERMIT_PATH}',
                data=json.encode(request),
                timeout=ClientTimeout(total=TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    raise PeerUnreachable(f'status {response.status}')
                return json.decode(await response.read(), type=PermitGrant)
        except (
            ClientError,
            OSError,
            asyncio.TimeoutError,
            DecodeError,
            ValidationError,
        ) as error:
            raise PeerUnreachable(repr(error)) from error


async def serve_permits(
    permits: RatePermits, request: web.BaseRequest
) -> web.Response:
    """Answer a daemon that asks for permits."""
    try:
        wanted = json.decode(await request.read(), type=PermitRequest)
    except (DecodeError, ValidationError) as error:
        return web.Response(status=400, text=str(error))
    return web.Response(
        body=json.encode(permits.serve(wanted)),
        content_type='application/json',
    )
