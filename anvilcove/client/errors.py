"""Errors that the client library raises."""


class CallError(Exception):
    """Base class of the errors of a call."""

    def __init__(self, reason: str, retry_after_s: float = 0.0) -> None:
        """Store the delay before a retry in seconds; 0 means no delay."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class NotRunError(CallError):
    """Raised when the request certainly did not run."""


class InvalidRequestError(NotRunError):
    """Raised when the service rejects the request as invalid."""


class UnknownOutcomeError(CallError):
    """Raised when a request that is not repeatable may have run."""


class FailedError(CallError):
    """Raised when a repeatable request got no complete answer."""


class EntryUnreachable(Exception):
    """Raised when the connection failed before the request was sent."""


class EntryRefused(CallError):
    """Raised when one host refused the request without running it.

    Another host may still accept it.
    """


class ConnectionBroken(Exception):
    """Raised when the exchange failed after the request was sent.

    The entry host may have received the request.
    """
