"""Answers that the daemon gives in its own name."""

import random

from anvilcove.ports.servers import CallerAnswer

# A refused caller comes back after a time drawn around this share of the
# objective, so that refused callers don't return together.
RETRY_SHARE = 0.3
MIN_RETRY_S = 0.05
MAX_RETRY_S = 2.0


def refusal(objective_s: float, rng: random.Random) -> CallerAnswer:
    """Return a refusal of a request that has not run and never will."""
    return CallerAnswer(
        status=503,
        retry_after_s=retry_after_s(objective_s, rng),
    )


def retry_after_s(objective_s: float, rng: random.Random) -> float:
    """Return when a refused caller should come back."""
    base_s = min(max(objective_s * RETRY_SHARE, MIN_RETRY_S), MAX_RETRY_S)
    return round(base_s * rng.uniform(0.5, 1.5), 3)


def not_found() -> CallerAnswer:
    """Return the answer where no route matches."""
    return CallerAnswer(status=404)


def bad_gateway() -> CallerAnswer:
    """Return the answer where a server may have run the request."""
    return CallerAnswer(status=502)


def timed_out() -> CallerAnswer:
    """Return the answer where the time is up and a server may have run."""
    return CallerAnswer(status=504)
