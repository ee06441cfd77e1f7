"""Which samples are worth generating to their end."""

from anvilcove.decisions.registry import policy
from anvilcove.settings.daemon import HostSettings

LEARNING_SHARE = 0.3
# Without this many intervals seen, the next version is not predicted.
MIN_INTERVALS = 2
# After so many intervals without a version, publishing has stopped. Without
# this rule, samples of engines that cannot load the newest version would be
# restarted for ever.
MAX_OVERDUE = 2.0


class _Publishing:
    __slots__ = ('newest', 'at_s', 'interval_s', 'intervals')

    def __init__(self, newest: int, now: float) -> None:
        self.newest = newest
        self.at_s = now
        self.interval_s = 0.0
        self.intervals = 0


@policy('staleness', 'bounded')
class BoundedStaleness:
    """Stop work that will be outside the bound when it is delivered."""

    __slots__ = ('_by_model',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without knowing how often weights are published."""
        self._by_model: dict[str, _Publishing] = {}

    def published(self, now: float, model: str, version: int) -> None:
        """Learn the interval between versions of a model."""
        known = self._by_model.get(model)
        if known is None:
            self._by_model[model] = _Publishing(version, now)
            return
        interval_s = (now - known.at_s) / max(1, version - known.newest)
        share = LEARNING_SHARE if known.intervals else 1.0
        known.interval_s += share * (interval_s - known.interval_s)
        known.intervals += 1
        known.newest, known.at_s = version, now

    def viable(
        self,
        now: float,
        oldest: int,
        newest: int,
        bound: int,
        model: str = '',
        left_s: float = 0.0,
    ) -> bool:
        """Tell whether a sample will be in bound `left_s` from now.

        Work that has the newest version stays: a restart could not be newer.
        """
        if oldest >= newest:
            return True
        return newest + self._expected(now, model, left_s) - oldest <= bound

    def _expected(self, now: float, model: str, left_s: float) -> int:
        known = self._by_model.get(model)
        if known is None or known.intervals < MIN_INTERVALS or left_s <= 0:
            return 0
        elapsed_s = now - known.at_s
        if elapsed_s > MAX_OVERDUE * known.interval_s:
            return 0
        until = (elapsed_s + left_s) / known.interval_s
        return max(0, int(until) - int(elapsed_s / known.interval_s))
