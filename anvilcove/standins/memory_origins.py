"""Exchange of the origins of streams between daemons of one process."""

import asyncio

from anvilcove.control.stream_origins import StreamOrigins
from anvilcove.messages.streams import (
    OriginQuery,
    OriginRecords,
    OriginReply,
)
from anvilcove.ports.peers import PeerUnreachable

ROUND_TRIP_S = 0.002
TIMEOUT_S = 0.15


class MemoryOrigins:
    """Client of the peers of one process, by the address of their daemon."""

    def __init__(self, origins_by_peer: dict[str, StreamOrigins]) -> None:
        """Use a map that may still grow."""
        self._origins_by_peer = origins_by_peer

    async def keep(self, peer: str, records: OriginRecords) -> None:
        """Tell a peer; one that is not in the map does not answer."""
        (await self._reach(peer)).keep(records)

    async def find(self, peer: str, query: OriginQuery) -> OriginReply:
        """Ask a peer; one that is not in the map does not answer."""
        return (await self._reach(peer)).serve(query)

    async def _reach(self, peer: str) -> StreamOrigins:
        origins = self._origins_by_peer.get(peer)
        if origins is None:
            await asyncio.sleep(TIMEOUT_S)
            raise PeerUnreachable(peer)
        await asyncio.sleep(ROUND_TRIP_S)
        return origins
