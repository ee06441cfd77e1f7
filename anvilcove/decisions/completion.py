"""Whether a request that arrives during a planned stop can be completed."""

from collections import OrderedDict, deque

from msgspec import Struct

# Answered requests of a route whose times are kept, and routes, of which the
# one answered longest ago is forgotten: operators replace routes all day.
MAX_SAMPLES = 64
MAX_ROUTES = 500
# A request may take this much longer than the slowest of them.
SLACK_FACTOR = 1.2
SLACK_S = 0.2
# Requests that come in this time after the begin of a stop may be cut in the
# last part of its grace period: callers have not learned of the stop before.
# Source: the users' rules of planned stops.
EARLY_S = 3.0
LAST_PART = 1 / 6


class StopTimes(Struct, frozen=True):
    """Course of a planned stop, in seconds.

    It began `since_s` ago, the connections close in `left_s`, and the process
    is killed `grace_s` after its begin.
    """

    since_s: float
    left_s: float
    grace_s: float

    @property
    def may_cut_early_ones(self) -> bool:
        """Tell whether a request that comes now may be cut by the close."""
        closes_at_s = self.since_s + self.left_s
        last_part_at_s = self.grace_s * (1 - LAST_PART)
        return self.since_s <= EARLY_S and closes_at_s >= last_part_at_s


def surely_ends(limit_s: float, left_s: float) -> bool:
    """Tell whether a request that is answered in `limit_s` ends in time."""
    return limit_s + SLACK_S <= left_s


class AnswerTimes:
    """Time that the answers of each route took lately."""

    __slots__ = ('_samples_by_route',)

    def __init__(self) -> None:
        """Start without samples."""
        self._samples_by_route: OrderedDict[str, deque[float]] = OrderedDict()

    def add(self, route: str, took_s: float) -> None:
        """Add the seconds from the arrival of a request to its answer."""
        samples = self._samples_by_route.get(route)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES)
            self._samples_by_route[route] = samples
            if len(self._samples_by_route) > MAX_ROUTES:
                self._samples_by_route.popitem(last=False)
        samples.append(took_s)
        self._samples_by_route.move_to_end(route)

    def expected_s(self, route: str, limit_s: float) -> float:
        """Return the seconds that a request may take, at most `limit_s`.

        A route without samples may take all of them.
        """
        samples = self._samples_by_route.get(route)
        if not samples:
            return limit_s
        return min(max(samples) * SLACK_FACTOR + SLACK_S, limit_s)

    def can_complete(
        self, route: str, limit_s: float, stop: StopTimes, estimated: bool
    ) -> bool:
        """Tell whether a request that arrives during a stop is taken.

        It is answered in `limit_s` at the latest. Requests of one route differ
        in length, so that the last ones are an estimate of it only; it counts
        if the request may be cut, and is `estimated` at all.
        """
        if surely_ends(limit_s, stop.left_s):
            return True
        if not estimated or not stop.may_cut_early_ones:
            return False
        return self.expected_s(route, limit_s) <= stop.left_s
