"""Decision whether a sample can still meet its staleness bound."""

from anvilcove.decisions.registry import policy
from anvilcove.settings.host import HostSettings

# Weight of a new interval in the moving average.
INTERVAL_SMOOTHING = 0.3
# Observed intervals before the next versions are predicted.
MIN_INTERVALS = 2
# Mean intervals without a new version after which publishing counts as
# stopped. Otherwise samples of engines that cannot load the newest version
# would be restarted forever.
MAX_OVERDUE_INTERVALS = 2.0


class _PublishHistory:
    __slots__ = ('newest', 'published_at_s', 'interval_s', 'interval_count')

    def __init__(self, newest: int, now: float) -> None:
        self.newest = newest
        self.published_at_s = now
        self.interval_s = 0.0
        self.interval_count = 0


@policy('staleness', 'bounded')
class BoundedStaleness:
    """Reject samples that will exceed the bound when they are delivered."""

    __slots__ = ('_history_by_model',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without observed versions."""
        self._history_by_model: dict[str, _PublishHistory] = {}

    def published(self, now: float, model: str, version: int) -> None:
        """Update the mean interval between versions of a model."""
        known = self._history_by_model.get(model)
        if known is None:
            self._history_by_model[model] = _PublishHistory(version, now)
            return
        interval_s = (now - known.published_at_s) / max(
            1, version - known.newest
        )
        weight = INTERVAL_SMOOTHING if known.interval_count else 1.0
        known.interval_s += weight * (interval_s - known.interval_s)
        known.interval_count += 1
        known.newest, known.published_at_s = version, now

    def viable(
        self,
        now: float,
        oldest: int,
        newest: int,
        bound: int,
        model: str = '',
        remaining_s: float = 0.0,
    ) -> bool:
        """Return whether a sample that ends in `remaining_s` meets the bound.

        A sample of the newest version is always viable, as a restart could not
        use a newer one.
        """
        if oldest >= newest:
            return True
        return (
            newest + self._expected_versions(now, model, remaining_s) - oldest
            <= bound
        )

    def _expected_versions(
        self, now: float, model: str, remaining_s: float
    ) -> int:
        known = self._history_by_model.get(model)
        if (
            known is None
            or known.interval_count < MIN_INTERVALS
            or remaining_s <= 0
        ):
            return 0
        elapsed_s = now - known.published_at_s
        if elapsed_s > MAX_OVERDUE_INTERVALS * known.interval_s:
            return 0
        intervals_until_end = (elapsed_s + remaining_s) / known.interval_s
        return max(
            0, int(intervals_until_end) - int(elapsed_s / known.interval_s)
        )
