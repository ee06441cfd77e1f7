"""Messages between daemons and model engines."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message


class Generate(Message):
    """Start a generation; a higher `priority` is scheduled first.

    `resume_tokens` are tokens that an earlier attempt already produced.
    """

    request_id: str
    prompt: str
    max_tokens: int
    model: str = ''
    priority: int = 0
    resume_tokens: list[str] = field(default_factory=list)


class WorkspaceGenerate(Generate):
    """Generation for a workspace.

    It is a message of its own, as engines that know no workspaces reject the
    field also when it is empty.
    """

    workspace: str = ''


class TokenEvent(Message):
    """A generated token; `version` is -1 if the engine sends none."""

    request_id: str
    index: int
    text: str
    version: int = -1


class DoneEvent(Message):
    """End of a complete generation; `tokens` includes resumed ones."""

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
    """Change of the prefix cache: `stored` is false for an eviction."""

    sequence: int
    prefix: str
    stored: bool


class CacheEvents(Message):
    """Cache events after a sequence number; events may be missing."""

    events: list[CacheEvent]


class EngineOrder(Message):
    """Order to an engine, with the fencing token of its sender.

    `kind` is load_model, load_adapter, load_version or set_role.
    """

    fence: int
    kind: str
    model: str = ''
    version: int = 0
    adapter: str = ''
    role: str = ''


class EngineState(Message):
    """State that an engine reports; `swapping` while it loads a version."""

    endpoint: str
    model: str
    version: int
    role: str = ''
    swapping: bool = False
    adapters: list[str] = field(default_factory=list)
    extra: dict[str, Any] = field(default_factory=dict)
