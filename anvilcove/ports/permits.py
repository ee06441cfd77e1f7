"""Port through which a daemon asks a peer for permits."""

from typing import Protocol

from anvilcove.messages.permits import PermitGrant, PermitRequest


class PermitPort(Protocol):
    """Client of the peers that keep the permits of endpoints."""

    async def ask(self, peer: str, request: PermitRequest) -> PermitGrant:
        """Ask the peer at ip:port, or raise PeerUnreachable."""
