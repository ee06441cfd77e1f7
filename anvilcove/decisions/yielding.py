"""Room that batch work may use at each endpoint.

Interactive work has no fixed reserve: the room of batch work shrinks while
interactive attempts are slower than they were beside little batch work. It
grows again when they are not, and without interactive work it is unbounded.
"""

# Requests in flight per endpoint and host; below one it is a share of time.
FIRST_ROOM = 0.2
MIN_ROOM = 0.02
MAX_ROOM = 1_024.0
WINDOW = 12
# Rank within a window that stands for its slow end.
SLOW_RANK = 10
# Interactive latency may grow by this factor. It lies below the factor of
# 1.5 that the target allows for the 99th percentile.
TOLERANCE = 1.15
DECREASE = 0.7
# An equal step for everyone makes the rooms of hosts that share an endpoint
# converge; the relative one serves large endpoints.
STEP = 0.03
INCREASE = 1.02
# Growth until the first decrease, so that large endpoints fill soon.
FIRST_INCREASE = 1.3
# Without interactive requests for this long, batch work may use more; the
# room then doubles in this time.
QUIET_AFTER_S = 1.0
DOUBLING_S = 0.5
# The base rises by this factor with each window that is slow although batch
# work is at its minimum: then batch work is not the cause.
BASE_DRIFT = 1.1


class BatchRoom:
    """Learned room of one pool."""

    __slots__ = ('_room', '_growth', '_at_s', '_base', '_window')

    def __init__(self) -> None:
        """Start small, as interactive work is about to begin."""
        self._room = FIRST_ROOM
        self._growth = FIRST_INCREASE
        self._at_s = 0.0
        self._base: dict[str, float] = {}
        self._window: dict[str, list[float]] = {}

    def value(self, now: float) -> float:
        """Return the room at a time."""
        quiet_s = now - self._at_s - QUIET_AFTER_S
        if quiet_s <= 0:
            return self._room
        doublings = min(quiet_s / DOUBLING_S, 20.0)
        grown: float = self._room * 2.0**doublings
        return min(grown, MAX_ROOM)

    def started(self, now: float) -> None:
        """Note that interactive work is there."""
        self._at_s = now

    def finished(self, class_name: str, latency_s: float) -> None:
        """Learn from an interactive attempt."""
        window = self._window.setdefault(class_name, [])
        window.append(latency_s)
        if len(window) < WINDOW:
            return
        slow = sorted(window)[SLOW_RANK]
        window.clear()
        base = min(self._base.get(class_name, slow), slow)
        if slow > TOLERANCE * base:
            if self._room <= MIN_ROOM:
                base *= BASE_DRIFT
            self._room = max(self._room * DECREASE, MIN_ROOM)
            self._growth = INCREASE
        else:
            grown = max(self._room * self._growth, self._room + STEP)
            self._room = min(grown, MAX_ROOM)
        self._base[class_name] = base
