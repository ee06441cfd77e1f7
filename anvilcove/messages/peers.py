"""Messages between entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message


class HostDigest(Message, array_like=True):
    """Gossiped facts of one host.

    `joined` says that the revision came from the table or from a majority.
    `age_ms` is the time since the host certainly produced this beat, as the
    sender knows it.
    """

    beat: int
    revision: int
    load: int
    draining: bool
    joined: bool = False
    age_ms: int = 0


class SuspectDigest(Message, array_like=True):
    """Crashes of one endpoint that involved a content hash."""

    content: str
    endpoint: str
    crashes: int


class Gossip(Message, omit_defaults=True):
    """Digest that two daemons exchange, as request and as answer.

    Leaving marks are written `endpoint@address`.
    """

    host: str
    hosts: dict[str, HostDigest]
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    weights: dict[str, int] = field(default_factory=dict)


class Announce(Message, omit_defaults=True):
    """Urgent news sent to every peer at once."""

    host: str
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    draining: bool = False
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
