"""Progress of a stream through its attempts."""

from anvilcove.ports.errors import EndpointFailed
from anvilcove.ports.servers import CallerRequest
from anvilcove.ports.streams import StreamAnswer
from anvilcove.proxy.outcomes import is_server_failure
from anvilcove.state.content import request_content_hash


class StreamFailed(EndpointFailed):
    """Raised for an answer of an endpoint that is no part of a stream."""

    def __init__(self, answer: StreamAnswer) -> None:
        """Keep the answer, whose body was read whole."""
        super().__init__(f'status {answer.status}', sends=answer.sends)
        self.answer = answer
        self.report = answer.report


class StreamProgress:
    """Attempts of one stream and how much of it was sent to the caller.

    `attempts` counts the sends that broke off and that an endpoint may have
    run.
    """

    __slots__ = (
        'started',
        'attempts',
        'not_run_count',
        'may_have_run',
        'last_event_id',
        'software',
        'tried',
        'content',
        'received_pieces',
        'counted',
        'status',
        'error_answer',
        'sent',
        'heard',
    )

    def __init__(self, request: CallerRequest) -> None:
        """Start without attempts."""
        self.content = request_content_hash(
            request.method, request.host, request.path, request.body
        )
        # Whether a server has sent a part of the body.
        self.received_pieces = False
        # Whether the request was counted for its workspace.
        self.counted = False
        self.started = False
        self.attempts = 0
        self.not_run_count = 0
        self.may_have_run = False
        self.last_event_id: int | None = None
        # Software version of the endpoint that sent the first event, None
        # before it. What two versions write does not fit together.
        self.software: str | None = None
        self.tried: set[str] = set()
        # Whether an endpoint may run it, and whether the current attempt has
        # brought an event.
        self.sent = False
        self.heard = False
        # Status that was sent to the caller, 0 before its head.
        self.status = 0
        # Last answer of an endpoint that is no stream.
        self.error_answer: StreamAnswer | None = None

    @property
    def is_answered(self) -> bool:
        """Tell whether an endpoint rejected the request, before any event.

        Other endpoints would answer the same.
        """
        answer = self.error_answer
        return (
            not self.started
            and answer is not None
            and not is_server_failure(answer.status)
        )
