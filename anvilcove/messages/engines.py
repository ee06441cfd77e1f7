"""Messages of the model engines."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message


class Generate(Message):
    """Generate tokens; a higher `priority` is scheduled first.

    `resume_tokens` are tokens that an earlier attempt already produced.
    """

    request_id: str
    prompt: str
    max_tokens: int
    model: str = ''
    priority: int = 0
    resume_tokens: list[str] = field(default_factory=list)


class TokenEvent(Message):
    """One generated token; version -1 when the engine does not tell it."""

    request_id: str
    index: int
    text: str
    version: int = -1


class DoneEvent(Message):
    """End marker of a complete generation."""

    request_id: str
    tokens: int


class CancelGeneration(Message):
    """Stop a generation."""

    request_id: str


class LoadReport(Message):
    """Load of an endpoint, as of `reported_at_s` on its own clock."""

    endpoint: str
    running: int
    queued: int
    capacity: int = 0
    reported_at_s: float = 0.0


class CacheEvent(Message):
    """A prompt prefix entered (`stored`) or left the cache."""

    sequence: int
    prefix: str
    stored: bool


class CacheEvents(Message):
    """Cache events after a sequence number; gaps are possible."""

    events: list[CacheEvent]


class EngineOrder(Message):
    """Order to an engine.

    `kind` is load_model, load_adapter, load_version or set_role.
    """

    fence: int
    kind: str
    model: str = ''
    version: int = 0
    adapter: str = ''
    role: str = ''


class EngineState(Message):
    """What an engine says it runs."""

    endpoint: str
    model: str
    version: int
    role: str = ''
    swapping: bool = False
    adapters: list[str] = field(default_factory=list)
    extra: dict[str, Any] = field(default_factory=dict)
