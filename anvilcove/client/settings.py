"""Settings of the client library."""

from msgspec import field

from anvilcove.client.keys import ApiKey
from anvilcove.messages.base import Message


class ClientSettings(Message):
    """Name of the caller, addresses of some entry hosts, and time limits.

    `deadline_ms` applies to calls without a deadline of their own,
    `entry_timeout_ms` to requests for the list of entry hosts. Sites with
    workspaces require the `key` of one.
    """

    caller: str
    addresses: list[str] = field(default_factory=list)
    data_centre: str = ''
    deadline_ms: int = 30_000
    connect_timeout_ms: int = 1_000
    entry_timeout_ms: int = 1_000
    key: ApiKey | None = None
