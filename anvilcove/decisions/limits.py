"""Concurrency limit per endpoint, learned from latency and refusals."""

from math import exp

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    AttemptResult,
)
from anvilcove.settings.daemon import HostSettings
from anvilcove.state.endpoints import DEFAULT_LIMIT, EndpointState

INITIAL_LIMIT = DEFAULT_LIMIT
MIN_LIMIT = 1.0
MAX_LIMIT = 1_024.0
# Attempts of one class in a latency sample. The median of a window ignores
# the few requests that are far longer than the rest.
WINDOW = 8
# A median up to this many times the lowest one counts as not congested.
TOLERANCE = 1.5
MIN_GRADIENT = 0.5
REFUSAL_FACTOR = 0.7
ERROR_FACTOR = 0.9
# Without congestion for this long the limit doubles per turn again.
PROBE_AFTER_S = 2.0
# Refusals of long generations lower the limit at least this often.
LONGEST_TURN_S = 1.0
# Reports lag by 2 s and more: a queue in them lowers the limit only this
# often, so that the effect of the last change is seen before the next one.
REPORT_LAG_S = 2.0
# The lowest latency is forgotten within two periods, so that a server that
# became slower for good is not throttled for ever.
BASE_PERIOD_S = 30.0


class LatencyWindow:
    """Medians of short windows of one class, against their minimum."""

    __slots__ = ('_samples', '_low', '_previous_low', '_period_at_s')

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: list[float] = []
        self._low = float('inf')
        self._previous_low = float('inf')
        self._period_at_s = 0.0

    def add(self, now: float, latency_s: float) -> float | None:
        """Return median over minimum when a window is complete."""
        self._samples.append(latency_s)
        if len(self._samples) < WINDOW:
            return None
        median = sorted(self._samples)[WINDOW // 2]
        self._samples.clear()
        if now - self._period_at_s > BASE_PERIOD_S:
            self._previous_low = self._low
            self._low = median
            self._period_at_s = now
        self._low = min(self._low, median)
        return median / max(min(self._low, self._previous_low), 1e-6)


class EndpointLimit:
    """Limit of one endpoint and what it was learned from."""

    __slots__ = (
        'value',
        '_decreased_at_s',
        '_turn_s',
        '_windows',
        '_queue_ratio',
        '_at_s',
    )

    def __init__(self) -> None:
        """Start with the initial limit."""
        self.value = INITIAL_LIMIT
        self._decreased_at_s = float('-inf')
        self._turn_s = 0.0
        self._windows: dict[str, LatencyWindow] = {}
        self._queue_ratio = 0.0
        self._at_s = 0.0

    def finished(self, now: float, result: AttemptResult) -> None:
        """Adjust the limit to one result."""
        if result.outcome == OVERLOADED:
            self._decrease(now, REFUSAL_FACTOR)
        elif result.outcome in (ERROR, CRASH):
            self._decrease(now, ERROR_FACTOR)
        elif result.outcome == OK:
            self._learn(now, result)

    def _learn(self, now: float, result: AttemptResult) -> None:
        self._turn_s += 0.2 * (result.latency_s - self._turn_s)
        window = self._windows.setdefault(result.class_name, LatencyWindow())
        ratio = window.add(now, result.latency_s)
        wait = 1.0 + self._smoothed_queue(now, result.queue_ratio)
        if ratio is not None and ratio > TOLERANCE:
            self._decrease(now, max(TOLERANCE / ratio, MIN_GRADIENT))
        elif wait > TOLERANCE:
            # The minimum was learned under load; the queue shows it.
            if now - self._decreased_at_s >= REPORT_LAG_S:
                self._decrease(now, max(TOLERANCE / wait, MIN_GRADIENT))
        elif result.in_flight > self.value - 1:
            self._increase(now)

    def _smoothed_queue(self, now: float, queue_ratio: float) -> float:
        weight = 1 - exp(-max(now - self._at_s, 0.0) / REPORT_LAG_S)
        self._at_s = now
        self._queue_ratio += weight * (queue_ratio - self._queue_ratio)
        return self._queue_ratio

    def _increase(self, now: float) -> None:
        quiet = now - self._decreased_at_s > PROBE_AFTER_S
        step = 1.0 if quiet else 1.0 / self.value
        self.value = min(self.value + step, MAX_LIMIT)

    def _decrease(self, now: float, factor: float) -> None:
        # Results of one turn describe the same congestion; only the first
        # of them lowers the limit.
        if now - self._decreased_at_s < min(self._turn_s, LONGEST_TURN_S):
            return
        self._decreased_at_s = now
        self.value = max(self.value * factor, MIN_LIMIT)


def queue_ratio(state: EndpointState) -> float:
    """Return the queue over the capacity in the last load report."""
    report = state.report
    if report is None or report.capacity <= 0:
        return 0.0
    return report.queued / report.capacity


@policy('limits', 'gradient')
class GradientLimit:
    """Raise the limit while latency is low, lower it when it grows."""

    __slots__ = ('_by_endpoint',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without knowledge."""
        self._by_endpoint: dict[str, EndpointLimit] = {}

    def limit(self, endpoint: str) -> float:
        """Return the current limit, also for an unknown endpoint."""
        known = self._by_endpoint.get(endpoint)
        return known.value if known else INITIAL_LIMIT

    def finished(self, now: float, result: AttemptResult) -> None:
        """Learn from a finished attempt; `in_flight` is before its end."""
        known = self._by_endpoint.get(result.endpoint)
        if known is None:
            known = self._by_endpoint[result.endpoint] = EndpointLimit()
        known.finished(now, result)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint."""
        self._by_endpoint.pop(endpoint, None)
