"""Messages between entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message

DRAINING = 1
JOINED = 2


class HostDigest(Message, array_like=True):
    """Gossiped facts of one host.

    `flags` is the sum of DRAINING and JOINED; the latter says that the
    revision came from the table or from a majority. `age_ds` is the time, in
    tenths of a second rounded up, since the host certainly produced this
    beat, as the sender knows it.
    """

    beat: int
    revision: int
    load: int
    flags: int = 0
    age_ds: int = 0

    @property
    def draining(self) -> bool:
        """Tell whether the host is shutting down."""
        return bool(self.flags & DRAINING)

    @property
    def joined(self) -> bool:
        """Tell whether the host ever learned the newest revision."""
        return bool(self.flags & JOINED)


class SuspectDigest(Message, array_like=True):
    """Crashes of one endpoint that involved a content hash."""

    content: str
    endpoint: str
    crashes: int


class ReportDigest(Message, array_like=True):
    """Load report of an endpoint and the time since it was asked for."""

    running: int
    queued: int
    capacity: int
    age_ms: int


class Gossip(Message, omit_defaults=True):
    """Digest that two daemons exchange, as request and as answer.

    Leaving marks are written `endpoint@address`.
    """

    host: str
    hosts: dict[str, HostDigest]
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    weights: dict[str, int] = field(default_factory=dict)
    reports: dict[str, ReportDigest] = field(default_factory=dict)


class Announce(Message, omit_defaults=True):
    """Urgent news sent to every peer at once.

    `beat` numbers the digest that `draining` belongs to.
    """

    host: str
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    draining: bool = False
    beat: int = 0
    revision: int = 0
    document: dict[str, Any] | None = None


class Announced(Message):
    """Revision in force at the receiving daemon."""

    host: str
    revision: int


class ClaimState(Message):
    """What the holder of a claim's nonce knows about it.

    `state` is `active`, `abandoned` (never sent, never will be), or
    `unknown` when the holder has no memory of it.
    """

    nonce: str
    state: str
