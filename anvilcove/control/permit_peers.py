"""Exchange of permits between daemons over HTTP."""

from aiohttp import ClientSession
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from anvilcove.control.peer_calls import call_peer, read_message, reply_with
from anvilcove.control.permits import RatePermits
from anvilcove.messages.permits import PermitGrant, PermitRequest

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
        url = f'http://{peer}{PERMIT_PATH}'
        return await call_peer(
            self._session, url, request, PermitGrant, TIMEOUT_S
        )


async def serve_permits(
    permits: RatePermits, request: BaseRequest
) -> Response:
    """Answer a daemon that asks for permits."""
    return reply_with(
        permits.serve(await read_message(request, PermitRequest))
    )
