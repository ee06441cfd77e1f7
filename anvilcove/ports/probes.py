"""Port that finds out whether an endpoint is gone."""

from typing import Protocol


class EndpointProbe(Protocol):
    """Opener of single connections to endpoints."""

    async def refuses_connections(self, address: str) -> bool:
        """Open a connection; return whether the address refused it."""

    async def accepts_connections(self, address: str) -> bool:
        """Open a connection; return whether the address accepted it."""
