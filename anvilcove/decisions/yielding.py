"""Adaptive concurrency limit of batch work at each endpoint.

No capacity is reserved for interactive work. Instead the batch limit shrinks
while interactive latency is above its baseline, which is the latency with
little batch work. The limit grows while latency is normal. Pools without
interactive work have no limit.
"""

# Limits are requests in flight per endpoint and host. A limit below 1 is the
# share of time slots in which one request may run.
INITIAL_LIMIT = 0.2
MIN_LIMIT = 0.02
MAX_LIMIT = 1_024.0
WINDOW_SIZE = 12
# Index in the sorted window of the latency that represents its slow end.
SLOW_INDEX = 10
# Factor by which interactive latency may exceed its baseline. It is below the
# factor of 1.5 that the target allows for the 99th percentile.
LATENCY_TOLERANCE = 1.15
DECREASE_FACTOR = 0.7
# The limit grows by the larger of a step and a factor. The step, equal for all
# hosts, makes the limits of hosts that share an endpoint converge; the factor
# suits large endpoints.
INCREASE_STEP = 0.03
INCREASE_FACTOR = 1.02
# Factor until the first decrease, so that large endpoints are soon fully used.
INITIAL_INCREASE_FACTOR = 1.3
# After this long without interactive requests the batch limit begins to grow,
# and doubles in each of the following intervals.
IDLE_AFTER_S = 1.0
DOUBLING_S = 0.5
# The baseline rises by this factor with each window that is slow although the
# batch limit is at its minimum: then batch work is not the cause.
BASELINE_DRIFT = 1.1


class BatchLimit:
    """Adaptive batch limit of one pool."""

    __slots__ = (
        '_limit',
        '_increase_factor',
        '_interactive_at_s',
        '_baseline_by_class',
        '_window_by_class',
    )

    def __init__(self) -> None:
        """Start with a low limit, as interactive work is about to begin."""
        self._limit = INITIAL_LIMIT
        self._increase_factor = INITIAL_INCREASE_FACTOR
        self._interactive_at_s = 0.0
        self._baseline_by_class: dict[str, float] = {}
        self._window_by_class: dict[str, list[float]] = {}

    def value(self, now: float) -> float:
        """Return the current limit in requests per endpoint."""
        idle_s = now - self._interactive_at_s - IDLE_AFTER_S
        if idle_s <= 0:
            return self._limit
        doublings = min(idle_s / DOUBLING_S, 20.0)
        grown: float = self._limit * 2.0**doublings
        return min(grown, MAX_LIMIT)

    def started(self, now: float) -> None:
        """Record the start of an interactive request."""
        self._interactive_at_s = now

    def finished(self, class_name: str, latency_s: float) -> None:
        """Adjust the limit after an interactive attempt."""
        window = self._window_by_class.setdefault(class_name, [])
        window.append(latency_s)
        if len(window) < WINDOW_SIZE:
            return
        slow_s = sorted(window)[SLOW_INDEX]
        window.clear()
        baseline_s = min(
            self._baseline_by_class.get(class_name, slow_s), slow_s
        )
        if slow_s > LATENCY_TOLERANCE * baseline_s:
            if self._limit <= MIN_LIMIT:
                baseline_s *= BASELINE_DRIFT
            self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)
            self._increase_factor = INCREASE_FACTOR
        else:
            grown = max(
                self._limit * self._increase_factor,
                self._limit + INCREASE_STEP,
            )
            self._limit = min(grown, MAX_LIMIT)
        self._baseline_by_class[class_name] = baseline_s
