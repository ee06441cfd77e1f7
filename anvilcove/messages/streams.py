"""Messages in which daemons tell one another where streams began."""

from msgspec import Struct, field


class StreamOrigin(Struct, frozen=True):
    """Where the first event of a stream came from.

    `request_id` is that of the caller's attempt which got it.
    """

    request_id: str
    service: str
    software: str


class OriginRecords(Struct):
    """Origins that a daemon asks a peer to remember."""

    origins: list[StreamOrigin]


class OriginsKept(Struct):
    """Answer of a peer that remembers origins."""


class OriginQuery(Struct):
    """Question for the origin of a stream of a service."""

    request_id: str
    service: str


class OriginReply(Struct):
    """Origin, if known, and the software versions seen in the service."""

    origin: StreamOrigin | None = None
    software: list[str] = field(default_factory=list)
