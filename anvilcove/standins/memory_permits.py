"""Exchange of permits between daemons of one process."""

import asyncio

from anvilcove.control.permits import RatePermits
from anvilcove.messages.permits import PermitGrant, PermitRequest
from anvilcove.ports.peers import PeerUnreachable

ROUND_TRIP_S = 0.002
TIMEOUT_S = 0.15


class MemoryPermits:
    """Client of the keepers of permits, by the address of their daemon."""

    def __init__(self, permits_by_peer: dict[str, RatePermits]) -> None:
        """Use a map that may still grow."""
        self.permits_by_peer = permits_by_peer

    async def ask(self, peer: str, request: PermitRequest) -> PermitGrant:
        """Ask a peer; one that is not in the map does not answer."""
        permits = self.permits_by_peer.get(peer)
        if permits is None:
            await asyncio.sleep(TIMEOUT_S)
            raise PeerUnreachable(peer)
        await asyncio.sleep(ROUND_TRIP_S)
        return permits.serve(request)
