"""Messages between callers and entry daemons."""

from typing import Any

from msgspec import Raw, field

from anvilcove.messages.base import Message, decode

ANSWERED = 'answered'
NOT_RUN = 'not_run'
UNKNOWN = 'unknown'
FAILED = 'failed'


class Entry(Message):
    """Address of one entry host."""

    host: str
    address: str
    data_centre: str


class EntryList(Message):
    """Entry hosts that a caller may use for `ttl_s`."""

    entries: list[Entry]
    ttl_s: float


class SubmitRequest(Message):
    """Request of a class; `key` identifies one that is not repeatable.

    `body` is an object. It stays encoded, as it may take many times the
    memory if it is decoded.
    """

    request_id: str
    class_name: str
    caller: str
    body: Raw
    deadline_ms: int = 0
    repeatable: bool = True
    key: str = ''
    stream: bool = False

    def decode_body(self) -> dict[str, Any]:
        """Return the decoded body, or raise MessageError."""
        return decode(bytes(self.body), dict[str, Any])


class VersionRange(Message):
    """Version that generated the tokens from `start` to before `end`."""

    version: int
    start: int
    end: int


class Outcome(Message):
    """Final outcome of a request.

    `outcome` is answered, failed, not_run (no endpoint ran the request) or
    unknown (one may have run it).
    """

    request_id: str
    outcome: str
    answer: Any = None
    complete: bool = False
    reason: str = ''
    retry_after_ms: int = 0
    versions: list[VersionRange] = field(default_factory=list)


class Refusal(Message):
    """Answer to a call that is rejected: an error code and the reason."""

    error: str
    reason: str
