"""Errors and port of the calls to other daemons."""

from typing import Protocol

from anvilcove.messages.streams import (
    OriginQuery,
    OriginRecords,
    OriginReply,
)


class PeerUnreachable(Exception):
    """Raised when a peer does not answer in time."""


class OriginPort(Protocol):
    """Client of the peers that remember where streams began.

    Calls go to the peer at ip:port or raise PeerUnreachable.
    """

    async def keep(self, peer: str, records: OriginRecords) -> None:
        """Ask a peer to remember origins."""

    async def find(self, peer: str, query: OriginQuery) -> OriginReply:
        """Ask a peer for an origin."""
