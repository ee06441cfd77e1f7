"""Starting order of the waiting items of all open steps."""

# Upper bound of an item's expected time, as a share of its step's objective.
# Length hints are right at the median only; some are several times too high.
MAX_HINT_SHARE = 0.9
# Relative step of the running median per sample.
MEDIAN_STEP = 0.05


class HintCalibration:
    """Running medians of time and events per hinted token.

    Both are 0 before any sample.
    """

    __slots__ = ('seconds_per_token', 'events_per_token')

    def __init__(self) -> None:
        """Start without samples."""
        self.seconds_per_token = 0.0
        self.events_per_token = 0.0

    def observe(self, hint: int, took_s: float, events: int = 0) -> None:
        """Update the medians with an item that ran without interruption."""
        if hint <= 0 or took_s <= 0:
            return
        self.seconds_per_token = _updated_median(
            self.seconds_per_token, took_s / hint
        )
        if events > 0:
            self.events_per_token = _updated_median(
                self.events_per_token, events / hint
            )

    def expected_events(self, hint: int) -> float:
        """Return the expected number of events of an item, 0 if unknown."""
        return max(hint, 0) * self.events_per_token

    def expected_s(self, hint: int, objective_s: float) -> float:
        """Return the expected time of an item in seconds."""
        expected_s = hint * self.seconds_per_token
        return min(expected_s, objective_s * MAX_HINT_SHARE)


def _updated_median(known: float, sample: float) -> float:
    if not known:
        return sample
    factor = 1 + MEDIAN_STEP if sample > known else 1 - MEDIAN_STEP
    return known * factor


def latest_start_s(
    submitted_s: float, objective_s: float, expected_s: float
) -> float:
    """Return the latest start at which an item meets its step's objective.

    Items start in this order, so long items of a new step start before short
    items of an older step that can still wait.
    """
    return submitted_s + objective_s - expected_s
