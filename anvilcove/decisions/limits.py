"""Adaptive concurrency limit per endpoint, from latency and refusals."""

from math import exp

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    AttemptResult,
)
from anvilcove.settings.host import HostSettings
from anvilcove.state.endpoints import DEFAULT_LIMIT, EndpointState

INITIAL_LIMIT = DEFAULT_LIMIT
MIN_LIMIT = 1.0
MAX_LIMIT = 1_024.0
# Attempts of one class per latency window. The median of a window ignores the
# few requests that take much longer than the others.
WINDOW_SIZE = 8
# Median latency relative to the lowest one above which an endpoint counts as
# congested.
LATENCY_TOLERANCE = 1.5
MIN_GRADIENT = 0.5
REFUSAL_FACTOR = 0.7
ERROR_FACTOR = 0.9
# After this long without a decrease the limit grows fast again: it doubles per
# round trip.
FAST_INCREASE_AFTER_S = 2.0
# The limit is lowered at most once per round trip. This bounds that interval,
# so that refusals lower it often enough when generations take long.
MAX_DECREASE_INTERVAL_S = 1.0
# Load reports lag by 2 s and more. A queue that they show lowers the limit at
# most this often, so that the effect of one decrease shows before the next.
REPORT_LAG_S = 2.0
# The lowest latency expires within two periods, so that a server that has
# become permanently slower is not throttled forever.
BASELINE_PERIOD_S = 30.0


class LatencyWindow:
    """Median latency of short windows, compared with the lowest median."""

    __slots__ = (
        '_samples',
        '_lowest_median_s',
        '_previous_lowest_median_s',
        '_period_started_at_s',
    )

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: list[float] = []
        self._lowest_median_s = float('inf')
        self._previous_lowest_median_s = float('inf')
        self._period_started_at_s = 0.0

    def add(self, now: float, latency_s: float) -> float | None:
        """Return median / lowest median when a window is complete."""
        self._samples.append(latency_s)
        if len(self._samples) < WINDOW_SIZE:
            return None
        median = sorted(self._samples)[WINDOW_SIZE // 2]
        self._samples.clear()
        if now - self._period_started_at_s > BASELINE_PERIOD_S:
            self._previous_lowest_median_s = self._lowest_median_s
            self._lowest_median_s = median
            self._period_started_at_s = now
        self._lowest_median_s = min(self._lowest_median_s, median)
        return median / max(
            min(self._lowest_median_s, self._previous_lowest_median_s), 1e-6
        )


class EndpointLimit:
    """Adaptive concurrency limit of one endpoint."""

    __slots__ = (
        'value',
        '_decreased_at_s',
        '_smoothed_latency_s',
        '_window_by_class',
        '_queue_ratio',
        '_queue_ratio_at_s',
    )

    def __init__(self) -> None:
        """Start with the initial limit."""
        self.value = INITIAL_LIMIT
        self._decreased_at_s = float('-inf')
        self._smoothed_latency_s = 0.0
        self._window_by_class: dict[str, LatencyWindow] = {}
        self._queue_ratio = 0.0
        self._queue_ratio_at_s = 0.0

    def finished(self, now: float, result: AttemptResult) -> None:
        """Adjust the limit after a finished attempt."""
        if result.outcome == OVERLOADED:
            self._decrease(now, REFUSAL_FACTOR)
        elif result.outcome in (ERROR, CRASH):
            self._decrease(now, ERROR_FACTOR)
        elif result.outcome == OK:
            self._adjust_to_latency(now, result)

    def _adjust_to_latency(self, now: float, result: AttemptResult) -> None:
        self._smoothed_latency_s += 0.2 * (
            result.latency_s - self._smoothed_latency_s
        )
        window = self._window_by_class.setdefault(
            result.class_name, LatencyWindow()
        )
        ratio = window.add(now, result.latency_s)
        queue_slowdown = 1.0 + self._smooth_queue_ratio(
            now, result.queue_ratio
        )
        if ratio is not None and ratio > LATENCY_TOLERANCE:
            self._decrease(now, max(LATENCY_TOLERANCE / ratio, MIN_GRADIENT))
        elif queue_slowdown > LATENCY_TOLERANCE:
            # The lowest latency was measured under load, so only the queue
            # shows the congestion.
            if now - self._decreased_at_s >= REPORT_LAG_S:
                self._decrease(
                    now, max(LATENCY_TOLERANCE / queue_slowdown, MIN_GRADIENT)
                )
        elif result.in_flight > self.value - 1:
            self._increase(now)

    def _smooth_queue_ratio(self, now: float, queue_ratio: float) -> float:
        weight = 1 - exp(
            -max(now - self._queue_ratio_at_s, 0.0) / REPORT_LAG_S
        )
        self._queue_ratio_at_s = now
        self._queue_ratio += weight * (queue_ratio - self._queue_ratio)
        return self._queue_ratio

    def _increase(self, now: float) -> None:
        fast = now - self._decreased_at_s > FAST_INCREASE_AFTER_S
        step = 1.0 if fast else 1.0 / self.value
        self.value = min(self.value + step, MAX_LIMIT)

    def _decrease(self, now: float, factor: float) -> None:
        # The results of one round trip describe the same congestion; only the
        # first of them lowers the limit.
        if now - self._decreased_at_s < min(
            self._smoothed_latency_s, MAX_DECREASE_INTERVAL_S
        ):
            return
        self._decreased_at_s = now
        self.value = max(self.value * factor, MIN_LIMIT)


def queue_ratio(state: EndpointState) -> float:
    """Return queue length / capacity of the last load report, or 0."""
    report = state.report
    if report is None or report.capacity <= 0:
        return 0.0
    return report.queued / report.capacity


@policy('limits', 'gradient')
class GradientLimit:
    """Raise the limit while latency is low; lower it as latency grows."""

    __slots__ = ('_limit_by_endpoint',)

    def __init__(self, settings: HostSettings) -> None:
        """Start every endpoint at the initial limit."""
        self._limit_by_endpoint: dict[str, EndpointLimit] = {}

    def limit(self, endpoint: str) -> float:
        """Return the current limit; the initial one for a new endpoint."""
        known = self._limit_by_endpoint.get(endpoint)
        return known.value if known else INITIAL_LIMIT

    def finished(self, now: float, result: AttemptResult) -> None:
        """Adjust the limit; `in_flight` still includes the attempt."""
        known = self._limit_by_endpoint.get(result.endpoint)
        if known is None:
            known = self._limit_by_endpoint[result.endpoint] = EndpointLimit()
        known.finished(now, result)

    def forget(self, endpoint: str) -> None:
        """Delete the limit of an endpoint."""
        self._limit_by_endpoint.pop(endpoint, None)
