"""Errors of the platform ports."""


class PlatformError(Exception):
    """Base of the errors that ports raise."""


class StoreUnavailable(PlatformError):
    """Raised when a store refused or could not be reached; nothing applied."""


class StoreAnswerLost(PlatformError):
    """Raised when a store call may or may not have taken effect."""


class ObjectNotFound(PlatformError):
    """Raised when the object store has no object of that name."""


class EndpointError(PlatformError):
    """Base of the errors of a call to an endpoint."""


class EndpointNotRun(EndpointError):
    """Raised when the endpoint certainly did not run the call.

    Either no connection was opened or the endpoint refused the call and said
    that nothing was run.
    """

    def __init__(
        self,
        reason: str,
        *,
        overloaded: bool = False,
        unreachable: bool = False,
    ) -> None:
        """Keep whether it was its load or a connection attempt timed out."""
        super().__init__(reason)
        self.overloaded = overloaded
        self.unreachable = unreachable


class EndpointFailed(EndpointError):
    """Raised when a call failed after it may have started to run."""


class EndpointCrashed(EndpointFailed):
    """Raised when the connection broke while the call was running."""


class AnswerMismatch(EndpointFailed):
    """Raised when an answer is incomplete or of another request."""
