"""Share of an endpoint's room that batch work may use.

Interactive work has no fixed reserve: the share falls while interactive
attempts are slower than they were without batch work and grows again when
they are not, or when there is no interactive work.
"""

FIRST_SHARE = 0.3
MIN_SHARE = 0.02
WINDOW = 12
# Rank within a window that stands for its slow end.
SLOW_RANK = 10
# Interactive latency may grow by this factor. It lies below the factor of
# 1.5 that the target allows for the 99th percentile.
TOLERANCE = 1.25
DECREASE = 0.6
INCREASE = 0.03
# Without interactive results for this long the share recovers by itself.
QUIET_AFTER_S = 2.0
RECOVERY_PER_S = 0.2
# The base rises by this factor with each window that is slow although batch
# work is at its minimum: then batch work is not the cause.
BASE_DRIFT = 1.1


class BatchShare:
    """Learned share of one pool."""

    __slots__ = ('_share', '_at_s', '_base_by_class', '_window_by_class')

    def __init__(self) -> None:
        """Give batch work everything until interactive work is seen."""
        self._share = 1.0
        self._at_s = float('-inf')
        self._base_by_class: dict[str, float] = {}
        self._window_by_class: dict[str, list[float]] = {}

    def value(self, now: float) -> float:
        """Return the share at a time."""
        quiet_s = now - self._at_s - QUIET_AFTER_S
        if quiet_s <= 0:
            return self._share
        return min(self._share + RECOVERY_PER_S * quiet_s, 1.0)

    def started(self, now: float) -> None:
        """Make room at once when interactive work begins."""
        if now - self._at_s > QUIET_AFTER_S:
            self._share = min(self.value(now), FIRST_SHARE)
        self._at_s = now

    def finished(self, class_name: str, latency_s: float) -> None:
        """Learn from an interactive attempt."""
        window = self._window_by_class.setdefault(class_name, [])
        window.append(latency_s)
        if len(window) < WINDOW:
            return
        slow = sorted(window)[SLOW_RANK]
        window.clear()
        base = min(self._base_by_class.get(class_name, slow), slow)
        if slow > TOLERANCE * base:
            if self._share <= MIN_SHARE:
                base *= BASE_DRIFT
            self._share = max(self._share * DECREASE, MIN_SHARE)
        else:
            self._share = min(self._share + INCREASE, 1.0)
        self._base_by_class[class_name] = base
