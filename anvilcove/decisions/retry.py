"""Retries within a budget that is refilled by first attempts."""

import random

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import GiveUp, RetryAfter, RetryRequest
from anvilcove.settings.host import HostSettings

# Retries added to the budget by each first attempt. Retries then add at most a
# tenth to the load, so that an overload ends when its cause ends.
RETRIES_PER_REQUEST = 0.1
# Upper bound of the budget, and its value at the start of a daemon.
MAX_SAVED_RETRIES = 10.0
MAX_ATTEMPTS = 4
INITIAL_BACKOFF_S = 0.025
MAX_BACKOFF_S = 1.0


@policy('retry', 'budget')
class RetryBudget:
    """Token bucket for the retries of the whole daemon."""

    __slots__ = ('_tokens',)

    def __init__(self, settings: HostSettings) -> None:
        """Start with a full budget."""
        self._tokens = MAX_SAVED_RETRIES

    def started(self, now: float) -> None:
        """Record a first attempt, which adds to the budget."""
        self._tokens = min(
            self._tokens + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES
        )

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Take a retry from the budget and return its delay, or give up."""
        if request.attempt >= MAX_ATTEMPTS:
            return GiveUp('attempts used up')
        # The floating-point sum of ten tenths is slightly less than one.
        if self._tokens < 1.0 - 1e-9:
            return GiveUp('retry budget used up')
        max_delay_s = INITIAL_BACKOFF_S * 2.0**request.attempt
        delay_s = rng.uniform(0.0, min(max_delay_s, MAX_BACKOFF_S))
        if now + delay_s + request.expected_s >= request.deadline_at_s:
            return GiveUp('a retry cannot finish before the deadline')
        self._tokens -= 1.0
        return RetryAfter(delay_s)
