"""Retries within a budget that first attempts earn."""

import random

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import GiveUp, RetryAfter, RetryRequest
from anvilcove.settings.daemon import HostSettings

# Share of a retry that a first attempt earns. Retries then add at most a
# tenth to the load, so that an overload ends when its cause ends.
EARNED = 0.1
# Retries that may be saved up; also what a daemon starts with.
SAVED = 10.0
MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.025
LONGEST_BACKOFF_S = 1.0


@policy('retry', 'budget')
class RetryBudget:
    """Token bucket for the retries of the whole daemon."""

    __slots__ = ('_tokens',)

    def __init__(self, settings: HostSettings) -> None:
        """Start with the saved retries."""
        self._tokens = SAVED

    def started(self, now: float) -> None:
        """Count a first attempt; it earns a share of a retry."""
        self._tokens = min(self._tokens + EARNED, SAVED)

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Spend a retry from the budget or give up at once."""
        if request.attempt >= MAX_ATTEMPTS:
            return GiveUp('attempts used up')
        # The sum of ten tenths is a little less than one.
        if self._tokens < 1.0 - 1e-9:
            return GiveUp('retry budget used up')
        bound_s = FIRST_BACKOFF_S * 2.0**request.attempt
        delay_s = rng.uniform(0.0, min(bound_s, LONGEST_BACKOFF_S))
        if now + delay_s + request.expected_s >= request.deadline_at_s:
            return GiveUp('a retry cannot finish before the deadline')
        self._tokens -= 1.0
        return RetryAfter(delay_s)
