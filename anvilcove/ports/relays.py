"""Port that tells when calls to endpoints go through peers."""

from typing import Protocol


class RelayPort(Protocol):
    """Peers that relay calls to endpoints for this host."""

    def needed(self) -> bool:
        """Tell whether calls go through peers at once."""

    def needed_after_failure(self, address: str) -> bool:
        """Tell whether a call that found no way goes through a peer."""

    def addresses(self) -> list[str]:
        """Return the peers to ask, ip:port each, the first one first."""

    def avoid(self, peer: str) -> None:
        """Ask a peer no more for a while."""

    def may_relay(self, address: str) -> bool:
        """Tell whether this host sends calls of peers to an endpoint."""

    def count_call(self, outcome: str) -> None:
        """Count a call that went through a peer."""


class NoRelay:
    """Replacement for clients that are used alone: no peers."""

    __slots__ = ()

    def needed(self) -> bool:
        """Return False."""
        return False

    def needed_after_failure(self, address: str) -> bool:
        """Return False."""
        return False

    def addresses(self) -> list[str]:
        """Return no peer."""
        return []

    def avoid(self, peer: str) -> None:
        """Ignore it."""

    def may_relay(self, address: str) -> bool:
        """Return False."""
        return False

    def count_call(self, outcome: str) -> None:
        """Ignore it."""
