"""Port of the platform's interface to which one daemon at a time calls."""

from collections.abc import Mapping
from typing import Protocol

from msgspec import Struct

from anvilcove.ports.errors import PlatformError


class DutyError(PlatformError):
    """Base class of the errors of calls that are a duty."""


class DutyUnanswered(DutyError):
    """Raised without an answer; the call may have taken effect.

    `sent` tells whether a connection was opened, so that it may have arrived.
    """

    def __init__(self, reason: str, *, sent: bool = True) -> None:
        """Create the error; by default the call may have arrived."""
        super().__init__(reason)
        self.sent = sent


class DutyThrottled(DutyError):
    """Raised when the interface takes no further calls at the moment."""


class DutyRejected(DutyError):
    """Raised when the interface rejects a call; repeating it is of no use."""


class NoneAvailable(DutyError):
    """Raised when no server of the ordered kind is available there now."""


class DutyNotHeld(DutyError):
    """Raised when nothing was sent as this daemon may not act now."""


class SizeOrder(Struct, frozen=True):
    """Number of servers that a service shall have in a data centre."""

    service: str
    data_centre: str
    servers: int
    reclaimable: bool = False


class DutyPort(Protocol):
    """Client of the interface; every call names its holder and its fence.

    Calls end within CALL_TIMEOUT_S of control/duties.py and raise DutyError.
    """

    async def report_usage(
        self, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report the requests by workspace of a window."""

    async def order_size(self, fence: int, order: SizeOrder) -> None:
        """Order servers, or raise NoneAvailable."""


class NoDuties:
    """Client for deployments without the interface."""

    __slots__ = ()

    async def report_usage(
        self, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Raise DutyUnanswered."""
        raise DutyUnanswered('no interface', sent=False)

    async def order_size(self, fence: int, order: SizeOrder) -> None:
        """Raise DutyUnanswered."""
        raise DutyUnanswered('no interface', sent=False)
