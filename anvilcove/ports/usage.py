"""Port that is told which requests of workspaces run."""

from typing import Protocol


class UsageCounter(Protocol):
    """Counter of the requests and the service time of workspaces."""

    def began(self, workspace: str, at_s: float) -> None:
        """Count a request that began to run at a time of the clock."""

    def worked(self, workspace: str, seconds: float) -> None:
        """Add service time that has just ended."""


class NoUsage:
    """Counter for deployments that report no usage."""

    __slots__ = ()

    def began(self, workspace: str, at_s: float) -> None:
        """Ignore it."""

    def worked(self, workspace: str, seconds: float) -> None:
        """Ignore it."""
