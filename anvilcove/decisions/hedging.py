"""Hedging: a second, parallel attempt for a slow request."""

from collections import deque

from anvilcove.decisions.registry import policy
from anvilcove.settings.host import HostSettings

PERCENTILE = 0.95
MAX_SAMPLES = 256
MIN_SAMPLES = 40
# Finished requests between two updates of the percentile.
SAMPLES_PER_REFRESH = 16
# Hedges added to the budget by each finished request; bounds the extra load.
HEDGES_PER_REQUEST = 0.05
MAX_SAVED_HEDGES = 5.0


class ClassLatencies:
    """Recent latencies of one class and their percentile."""

    __slots__ = ('_samples', '_samples_until_refresh', 'delay_s')

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._samples_until_refresh = MIN_SAMPLES
        self.delay_s: float | None = None

    def add(self, latency_s: float) -> None:
        """Add a latency; update the percentile at intervals."""
        self._samples.append(latency_s)
        self._samples_until_refresh -= 1
        if self._samples_until_refresh <= 0:
            self._samples_until_refresh = SAMPLES_PER_REFRESH
            sorted_samples = sorted(self._samples)
            self.delay_s = sorted_samples[
                int(len(sorted_samples) * PERCENTILE)
            ]


@policy('hedging', 'percentile')
class PercentileHedging:
    """Hedge after a latency percentile while the budget allows."""

    __slots__ = ('_latencies_by_class', '_tokens')

    def __init__(self, settings: HostSettings) -> None:
        """Start without latencies and with an empty budget."""
        self._latencies_by_class: dict[str, ClassLatencies] = {}
        self._tokens = 0.0

    def finished(self, class_name: str, latency_s: float) -> None:
        """Record the latency of a finished request."""
        self._tokens = min(self._tokens + HEDGES_PER_REQUEST, MAX_SAVED_HEDGES)
        latencies = self._latencies_by_class.get(class_name)
        if latencies is None:
            latencies = self._latencies_by_class[class_name] = ClassLatencies()
        latencies.add(latency_s)

    def delay_s(self, class_name: str) -> float | None:
        """Return the delay before the second attempt, None for never."""
        latencies = self._latencies_by_class.get(class_name)
        if latencies is None or self._tokens < 1.0 - 1e-9:
            return None
        return latencies.delay_s

    def spend(self) -> bool:
        """Take one hedge from the budget; return whether there was one."""
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


# Share of the latency objective after which a second attempt can still be on
# time.
OBJECTIVE_SHARE = 0.5
# Initial budget: a host that has just started has measured no latencies yet
# but meets the same faults.
INITIAL_HEDGES = 5.0


@policy('hedging', 'objective')
class ObjectiveHedging(PercentileHedging):
    """Hedge after the percentile or a share of the objective."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Start without latencies and with the initial budget."""
        super().__init__(settings)
        self._tokens = INITIAL_HEDGES

    def hedge_delay_s(
        self, class_name: str, objective_s: float
    ) -> float | None:
        """Return the smaller of the two delays, None if no hedge is left."""
        if self._tokens < 1.0 - 1e-9:
            return None
        objective_delay_s = objective_s * OBJECTIVE_SHARE
        learned_delay_s = self.delay_s(class_name)
        return (
            objective_delay_s
            if learned_delay_s is None
            else min(learned_delay_s, objective_delay_s)
        )
