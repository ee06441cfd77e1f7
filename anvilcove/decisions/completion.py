"""Whether a request that arrives during a planned stop can be completed."""

from collections import OrderedDict, deque

# Answered requests of a route whose times are kept, and routes, of which the
# one answered longest ago is forgotten: operators replace routes all day.
MAX_SAMPLES = 64
MAX_ROUTES = 500
# A request may take this much longer than the slowest of them.
SLACK_FACTOR = 1.2
SLACK_S = 0.2


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

    def can_complete(self, route: str, limit_s: float, left_s: float) -> bool:
        """Tell whether a request that arrives now ends within `left_s`."""
        return self.expected_s(route, limit_s) <= left_s
