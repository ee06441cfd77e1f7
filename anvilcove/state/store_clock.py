"""Relation of the store's clock to the local one."""

# Rate by which two steady clocks may drift apart.
MAX_DRIFT = 1e-3
# The store tells its time in whole milliseconds.
RESOLUTION_MS = 1.0
# Smaller contradictions count as the jitter of one clock.
TOLERANCE_MS = 50.0
UNKNOWN = float('inf')


class StoreClock:
    """Bounds of the store's time, as follows from its answers.

    An answer tells the store's time at some moment between the start of its
    call and its arrival. Two answers that no common difference of the clocks
    explains show that the store has restarted with another clock; all that
    is known of the former one is then discarded.
    """

    __slots__ = (
        'known_since_s',
        'restarts',
        '_min_difference_ms',
        '_max_difference_ms',
        '_bounds_at_s',
    )

    def __init__(self) -> None:
        """Start without an answer; the store's time is unknown."""
        self.restarts = 0
        self.forget()

    def forget(self) -> None:
        """Discard what is known, so that the store's time is unknown."""
        # Local time of the first answer since the store's last restart.
        self.known_since_s = UNKNOWN
        # Bounds of store time minus local time, and their local time.
        self._min_difference_ms = float('-inf')
        self._max_difference_ms = float('inf')
        self._bounds_at_s = 0.0

    def record(
        self, sent_at_s: float, received_at_s: float, store_ms: float
    ) -> None:
        """Record an answer of the store and the local times of its call."""
        known_min, known_max = self._differences_ms(received_at_s)
        new_min = store_ms - received_at_s * 1000
        new_max = store_ms + RESOLUTION_MS - sent_at_s * 1000
        contradiction_ms = max(known_min, new_min) - min(known_max, new_max)
        if self.known_since_s == UNKNOWN:
            self.known_since_s = received_at_s
        elif contradiction_ms > TOLERANCE_MS:
            self.restarts += 1
            self.known_since_s = received_at_s
        elif contradiction_ms <= 0.0:
            new_min = max(known_min, new_min)
            new_max = min(known_max, new_max)
        self._min_difference_ms = new_min
        self._max_difference_ms = new_max
        self._bounds_at_s = received_at_s

    def latest_ms(self, at_s: float) -> float:
        """Return the upper bound of the store's time, inf if unknown."""
        return at_s * 1000 + self._differences_ms(at_s)[1]

    def estimate_ms(self, at_s: float) -> float | None:
        """Return the store's probable time, None if unknown."""
        if self.known_since_s == UNKNOWN:
            return None
        return at_s * 1000 + sum(self._differences_ms(at_s)) / 2

    def latest_local_s(self, store_ms: float) -> float:
        """Return the latest local time of a store time, inf if unknown.

        A time from before the first answer may be one of a former clock of
        the store, so that only the time of this answer is certain.
        """
        local_s = (store_ms - self._min_difference_ms) / 1000
        return max(local_s, self.known_since_s)

    def _differences_ms(self, at_s: float) -> tuple[float, float]:
        drift_ms = abs(at_s - self._bounds_at_s) * MAX_DRIFT * 1000
        return (
            self._min_difference_ms - drift_ms,
            self._max_difference_ms + drift_ms,
        )
