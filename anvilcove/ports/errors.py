"""Exceptions that the ports raise."""

from anvilcove.ports.reports import EndpointReport


class PlatformError(Exception):
    """Base class of the errors of ports."""


class StoreUnavailable(PlatformError):
    """Raised when a store call certainly had no effect.

    The store refused it or could not be reached.
    """


class StoreAnswerLost(PlatformError):
    """Raised when a store call may or may not have taken effect."""


class StoreAnswerTooLarge(StoreAnswerLost):
    """Raised when the answer of a store is larger than it may be."""


class ObjectNotFound(PlatformError):
    """Raised when the object store has no object of that name."""


class EndpointError(PlatformError):
    """Base class of the errors of calls to endpoints.

    `report` is what the endpoint said about itself, None without an answer.
    """

    report: EndpointReport | None = None


class EndpointNotRun(EndpointError):
    """Raised when the endpoint certainly did not run the call.

    Either no connection was opened, or the endpoint refused the call and
    reported that nothing was run. `overloaded`: it refused because of its
    load. `unreachable`: no connection could be opened; the native adapter
    sets it only if the attempt to connect timed out.
    """

    def __init__(
        self,
        reason: str,
        *,
        overloaded: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Create the error; both flags are off by default."""
        super().__init__(reason)
        self.overloaded = overloaded
        self.unreachable = unreachable


def is_unreachable(error: EndpointError) -> bool:
    """Tell whether an endpoint was not reached, whatever the call was."""
    return isinstance(error, EndpointNotRun) and error.unreachable


def was_reached(error: Exception) -> bool:
    """Tell whether an endpoint may have read the call that failed."""
    return not isinstance(error, EndpointNotRun) or error.overloaded


class EndpointFailed(EndpointError):
    """Raised when a call failed after it may have started to run.

    `sends` counts the sends of the call that may have run.
    """

    def __init__(self, reason: str, *, sends: int = 1) -> None:
        """Create the error; by default the call was sent once."""
        super().__init__(reason)
        self.sends = sends


class EndpointRefused(EndpointFailed):
    """Raised when an endpoint refused a call, but maybe another one.

    The call itself may have run. `overloaded`: the endpoint refused because
    of its load.
    """

    def __init__(
        self, reason: str, *, sends: int = 1, overloaded: bool = False
    ) -> None:
        """Create the error; the flag is off by default."""
        super().__init__(reason, sends=sends)
        self.overloaded = overloaded


class EndpointCrashed(EndpointFailed):
    """Raised when the connection broke while the call was running."""


class AnswerMismatch(EndpointFailed):
    """Raised when an answer is incomplete, malformed or of another request."""
