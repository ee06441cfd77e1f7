"""Settings of the client library."""

from msgspec import field

from anvilcove.messages.base import Message


class ClientSettings(Message):
    """Caller and the addresses of some entry hosts to ask first."""

    caller: str
    addresses: list[str] = field(default_factory=list)
    data_centre: str = ''
    deadline_ms: int = 30_000
    connect_timeout_ms: int = 1_000
    entry_timeout_ms: int = 1_000
