"""Messages in which daemons share the rate that an endpoint takes."""

from msgspec import Struct


class PermitRequest(Struct):
    """Request of a daemon to send `count` requests to an endpoint."""

    endpoint: str
    limit_per_s: float
    count: int


class PermitGrant(Struct):
    """Number of requests that may be sent now.

    If it is lower than asked for, the next one may be sent after `retry_s`.
    """

    count: int
    retry_s: float = 0.0
