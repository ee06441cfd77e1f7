"""Port that is told what connections show about the way to endpoints."""

from typing import Protocol


class WayObserver(Protocol):
    """Observer of the connections to endpoints, by their ip:port."""

    def sent(self, address: str) -> None:
        """Note that something was sent on an open connection."""

    def heard(self, address: str) -> None:
        """Note that something arrived from an endpoint."""

    def failed(self, address: str, reason: str) -> None:
        """Note that the way to an endpoint failed."""


class NoObserver:
    """Observer for clients that are used alone."""

    __slots__ = ()

    def sent(self, address: str) -> None:
        """Ignore it."""

    def heard(self, address: str) -> None:
        """Ignore it."""

    def failed(self, address: str, reason: str) -> None:
        """Ignore it."""
