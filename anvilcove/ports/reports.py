"""What endpoints say about themselves in their answers."""

from msgspec import Struct


class EndpointReport(Struct, frozen=True):
    """Report of an endpoint, sent with an answer.

    `leaving`: it takes no new work. `limit_per_s`: the requests per second
    that it takes from all hosts together, None if it names no limit.
    `unsound` names the values that are malformed and say nothing.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    unsound: tuple[str, ...] = ()


# Values of `unsound`.
UNSOUND_LEAVING = 'leaving'
UNSOUND_LIMIT = 'limit'
UNSOUND_LOAD = 'load'
NO_REPORT = EndpointReport()
