"""Messages between callers and entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message

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
    """Entry hosts that a caller may use for a while."""

    entries: list[Entry]
    ttl_s: float


class SubmitRequest(Message):
    """One call of a class; `key` identifies a not-repeatable request."""

    request_id: str
    class_name: str
    caller: str
    body: dict[str, Any]
    deadline_ms: int = 0
    repeatable: bool = True
    key: str = ''
    stream: bool = False


class VersionRange(Message):
    """Tokens from `start` up to but not including `end` of one version."""

    version: int
    start: int
    end: int


class Outcome(Message):
    """Final outcome of a request.

    `not_run` means that no endpoint ran it; `unknown` that one may have.
    """

    request_id: str
    outcome: str
    answer: Any = None
    complete: bool = False
    reason: str = ''
    retry_after_ms: int = 0
    versions: list[VersionRange] = field(default_factory=list)


class Refusal(Message):
    """Reason why a listener rejected a call before handling it."""

    error: str
    reason: str
