"""Second attempts beside the slowest first ones."""

from collections import deque

from anvilcove.decisions.registry import policy
from anvilcove.settings.daemon import HostSettings

PERCENTILE = 0.95
REMEMBERED = 256
MIN_SAMPLES = 40
# Finished requests between two computations of the percentile.
REFRESH = 16
# Share of a hedge that a finished request earns; bounds the added load.
EARNED = 0.05
SAVED = 5.0


class ClassLatencies:
    """Recent latencies of one class and their learned percentile."""

    __slots__ = ('_recent', '_until_refresh', 'delay_s')

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: deque[float] = deque(maxlen=REMEMBERED)
        self._until_refresh = MIN_SAMPLES
        self.delay_s: float | None = None

    def add(self, latency_s: float) -> None:
        """Learn one latency."""
        self._recent.append(latency_s)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._until_refresh = REFRESH
            ordered = sorted(self._recent)
            self.delay_s = ordered[int(len(ordered) * PERCENTILE)]


@policy('hedging', 'percentile')
class PercentileHedging:
    """Hedge after the learned percentile while the budget allows."""

    __slots__ = ('_by_class', '_tokens')

    def __init__(self, settings: HostSettings) -> None:
        """Start without knowledge and without budget."""
        self._by_class: dict[str, ClassLatencies] = {}
        self._tokens = 0.0

    def finished(self, class_name: str, latency_s: float) -> None:
        """Learn the latencies of a class."""
        self._tokens = min(self._tokens + EARNED, SAVED)
        known = self._by_class.get(class_name)
        if known is None:
            known = self._by_class[class_name] = ClassLatencies()
        known.add(latency_s)

    def delay_s(self, class_name: str) -> float | None:
        """Return the delay before the second attempt, None for never."""
        known = self._by_class.get(class_name)
        if known is None or self._tokens < 1.0 - 1e-9:
            return None
        return known.delay_s

    def spend(self) -> bool:
        """Take one hedge from the budget when its delay has passed."""
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


# Share of the latency objective after which a second attempt still has a
# chance to be on time.
OBJECTIVE_SHARE = 0.5
# Hedges that a daemon starts with: a host that has just started knows no
# latencies yet and meets the same faults.
FIRST_BUDGET = 5.0


@policy('hedging', 'objective')
class ObjectiveHedging(PercentileHedging):
    """Hedge after the learned percentile, or a share of the objective."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Start with a budget but without knowledge."""
        super().__init__(settings)
        self._tokens = FIRST_BUDGET

    def delay_for(self, class_name: str, objective_s: float) -> float | None:
        """Return the delay before the second attempt, None for never."""
        if self._tokens < 1.0 - 1e-9:
            return None
        bound_s = objective_s * OBJECTIVE_SHARE
        learned_s = self.delay_s(class_name)
        return bound_s if learned_s is None else min(learned_s, bound_s)
