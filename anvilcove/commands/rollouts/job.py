"""State of a caller's request until its final outcome."""

from msgspec.structs import replace

from anvilcove.decisions.types import RouteRequest
from anvilcove.messages.callers import (
    ANSWERED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Outcome,
    SubmitRequest,
)
from anvilcove.settings.classes import ClassTarget
from anvilcove.state.answers import RequestRecord

STATUS_BY_OUTCOME = {ANSWERED: 200, NOT_RUN: 503, UNKNOWN: 502, FAILED: 502}
OVERLOAD_STATUS = 429
CONFLICT_STATUS = 409
RETRY_AFTER_S = 0.5
CONFLICT_REASON = 'the same identifier or key was used with another body'


class RequestAbandoned(Exception):
    """Raised when no further attempt is made for a request."""

    def __init__(
        self,
        reason: str,
        retry_after_s: float = RETRY_AFTER_S,
        status: int = STATUS_BY_OUTCOME[NOT_RUN],
    ) -> None:
        """Store the retry-after time and the HTTP status of the response."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        self.status = status


class RequestRun:
    """A request with its target class, route and count of attempts."""

    __slots__ = (
        'message',
        'target',
        'record',
        'route',
        'priority',
        'attempts',
        'failovers',
        'uncertain_attempts',
    )

    def __init__(
        self,
        message: SubmitRequest,
        target: ClassTarget,
        record: RequestRecord,
        route: RouteRequest,
    ) -> None:
        """Start with no attempt made."""
        self.message = message
        self.target = target
        self.record = record
        self.route = route
        self.priority = 0
        self.attempts = 0
        # Number of endpoints to which no connection could be opened.
        self.failovers = 0
        # Number of attempts that an endpoint may have executed.
        self.uncertain_attempts = 0

    @property
    def attempt_id(self) -> str:
        """Return the identifier of the current attempt at an engine.

        Each attempt has its own, so that a late cancellation of one attempt
        does not stop the next. The suffix cannot collide: identifiers of
        callers contain no tilde.
        """
        if self.attempts <= 1:
            return self.message.request_id
        return f'{self.message.request_id}~{self.attempts}'

    def with_request_id(self, outcome: Outcome) -> Outcome:
        """Return an outcome with the identifier of this request."""
        return replace(outcome, request_id=self.message.request_id)

    def abort_outcome(self, error: RequestAbandoned) -> Outcome:
        """Return the final outcome after the last attempt failed.

        It is `not run` only if no attempt may have been executed.
        """
        kind = NOT_RUN
        if self.uncertain_attempts:
            kind = FAILED if self.message.repeatable else UNKNOWN
        self.record.status = (
            error.status if kind == NOT_RUN else STATUS_BY_OUTCOME[kind]
        )
        return Outcome(
            request_id=self.message.request_id,
            outcome=kind,
            reason=str(error),
            retry_after_ms=int(error.retry_after_s * 1000),
        )

    def unknown_outcome(
        self, reason: str, retry_after_s: float = 0.0
    ) -> Outcome:
        """Return the outcome of a request that may have been executed.

        A retry-after time of 0 means that asking again does not help.
        """
        return Outcome(
            request_id=self.message.request_id,
            outcome=UNKNOWN,
            reason=reason,
            retry_after_ms=int(retry_after_s * 1000),
        )


def conflict_outcome(request_id: str) -> Outcome:
    """Return the refusal of an identifier or key reused with another body."""
    return Outcome(
        request_id=request_id, outcome=NOT_RUN, reason=CONFLICT_REASON
    )
