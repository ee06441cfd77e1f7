"""Exchange of the origins of streams between daemons over HTTP."""

from aiohttp import ClientSession
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response

from anvilcove.control.peer_calls import call_peer, read_message, reply_with
from anvilcove.control.stream_origins import StreamOrigins
from anvilcove.messages.streams import (
    OriginQuery,
    OriginRecords,
    OriginReply,
    OriginsKept,
)

KEEP_PATH = '/origins/keep'
FIND_PATH = '/origins/find'
# The first event of a stream waits for the peers that remember its origin.
TIMEOUT_S = 0.15


class HttpOrigins:
    """Client of the peers that remember where streams began."""

    __slots__ = ('_session',)

    def __init__(self, session: ClientSession) -> None:
        """Use the session for all calls."""
        self._session = session

    async def keep(self, peer: str, records: OriginRecords) -> None:
        """Ask the peer at ip:port to remember, or raise PeerUnreachable."""
        url = f'http://{peer}{KEEP_PATH}'
        await call_peer(self._session, url, records, OriginsKept, TIMEOUT_S)

    async def find(self, peer: str, query: OriginQuery) -> OriginReply:
        """Ask the peer at ip:port, or raise PeerUnreachable."""
        url = f'http://{peer}{FIND_PATH}'
        return await call_peer(
            self._session, url, query, OriginReply, TIMEOUT_S
        )


async def serve_origins(
    origins: StreamOrigins, request: BaseRequest
) -> Response:
    """Answer a daemon that tells origins or asks for one."""
    if request.path == KEEP_PATH:
        origins.keep(await read_message(request, OriginRecords))
        return reply_with(OriginsKept())
    return reply_with(origins.serve(await read_message(request, OriginQuery)))
