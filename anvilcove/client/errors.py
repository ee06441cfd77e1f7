"""Errors that the client library raises."""


class CallError(Exception):
    """Base of the errors of a call."""

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        """Keep when the call may be made again; 0 means at once."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class NotRunError(CallError):
    """Raised when the request was certainly not run."""


class InvalidRequestError(NotRunError):
    """Raised when the service refuses the request for its contents."""


class UnknownOutcomeError(CallError):
    """Raised when a not-repeatable request may have been run."""


class FailedError(CallError):
    """Raised when a repeatable request got no whole answer."""


class EntryUnreachable(Exception):
    """Raised when nothing was sent to an entry host."""


class EntryRefused(CallError):
    """Raised when one host ran nothing; another host may do better."""


class ConnectionBroken(Exception):
    """Raised when an entry host may have received the request."""
