"""Messages between entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message

DRAINING = 1
JOINED = 2


class HostDigest(Message, array_like=True):
    """State of one host, as spread by gossip.

    `beat` is its heartbeat counter. `flags` is the sum of DRAINING and JOINED;
    JOINED means that the revision came from the table or from a majority.
    `age_ds` is an upper bound of the age of the heartbeat, as the sender knows
    it, in tenths of a second rounded up.
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
        """Tell whether its revision came from the table or a majority."""
        return bool(self.flags & JOINED)


class SuspectDigest(Message, array_like=True, forbid_unknown_fields=False):
    """Number of crashes of an endpoint on requests with one content hash.

    `age_s` is the time since the counts of the content last changed. More
    fields are accepted, as they would otherwise hide the host whose row a
    newer build wrote.
    """

    content: str
    endpoint: str
    crashes: int
    age_s: float = 0.0


class ReportDigest(Message, array_like=True):
    """Load report of an endpoint, requested `age_ms` ago."""

    running: int
    queued: int
    capacity: int
    age_ms: int


class Gossip(Message, omit_defaults=True):
    """State that two daemons exchange, as request and as answer.

    `leaving` lists the endpoints that are leaving, as `endpoint@address`;
    `weights` maps models to their newest version.
    """

    host: str
    hosts: dict[str, HostDigest]
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    weights: dict[str, int] = field(default_factory=dict)
    reports: dict[str, ReportDigest] = field(default_factory=dict)


class Announce(Message, omit_defaults=True):
    """Announcement of urgent changes, sent to every peer without delay.

    `beat` is the heartbeat counter of the host when it set `draining`; host
    digests with an older heartbeat do not revert it.
    """

    host: str
    leaving: list[str] = field(default_factory=list)
    suspects: list[SuspectDigest] = field(default_factory=list)
    draining: bool = False
    beat: int = 0
    revision: int = 0
    document: dict[str, Any] | None = None


class Announced(Message):
    """Answer to an announcement: the revision that the receiver uses."""

    host: str
    revision: int


class ClaimState(Message):
    """State of a claim at the process that holds its nonce.

    `state` is `active`, `abandoned` (the request was not and will not be
    sent) or `unknown` (the process has no record of the nonce).
    """

    nonce: str
    state: str
