"""Settings of a daemon that the decision policies read."""

from typing import Protocol


class HostSettings(Protocol):
    """Settings of a daemon that the decision policies read."""

    @property
    def host(self) -> str:
        """Return the name of the host."""

    @property
    def data_centre(self) -> str:
        """Return the data centre of the host."""
