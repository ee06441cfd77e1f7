"""Which waiting item of the open steps starts first."""

# Share of a step's time that the hint of an item may count for at most; hints
# are right at the median only, and some are several times too high.
LONGEST_SHARE = 0.9
# Step of the running median, relative to its value.
MEDIAN_STEP = 0.05


class HintScale:
    """Learned seconds per hinted token, 0 before the first whole item."""

    __slots__ = ('seconds_per_token',)

    def __init__(self) -> None:
        """Start without knowledge."""
        self.seconds_per_token = 0.0

    def observe(self, hint: int, took_s: float) -> None:
        """Learn from an item that has run without a break."""
        if hint <= 0 or took_s <= 0:
            return
        ratio = took_s / hint
        known = self.seconds_per_token
        if not known:
            self.seconds_per_token = ratio
        else:
            step = 1 + MEDIAN_STEP if ratio > known else 1 - MEDIAN_STEP
            self.seconds_per_token = known * step

    def expected_s(self, hint: int, objective_s: float) -> float:
        """Return how long an item will probably run."""
        expected_s = hint * self.seconds_per_token
        return min(expected_s, objective_s * LONGEST_SHARE)


def latest_start_s(
    submitted_s: float, objective_s: float, expected_s: float
) -> float:
    """Return when an item must start for its step to be in time.

    Items start in this order: long ones of a new step go before short ones of
    an older step, which still have time.
    """
    return submitted_s + objective_s - expected_s
