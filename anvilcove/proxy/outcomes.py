"""Error answers that the daemon itself sends to callers."""

import random

from anvilcove.ports.servers import CallerAnswer

# A refused caller retries after about this share of the objective, with jitter
# so that refused callers do not retry at the same time.
RETRY_AFTER_SHARE = 0.3
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


def refusal(
    objective_s: float,
    rng: random.Random,
    not_before_s: float = 0.0,
    share_s: float = 0.0,
) -> CallerAnswer:
    """Return a 503 for a request that no server has run or will run.

    No server can take it before `not_before_s` from now. The share of its
    workspace has capacity again in `share_s`, which includes jitter.
    """
    return CallerAnswer(
        status=503,
        retry_after_s=max(
            retry_after_s(objective_s, rng),
            round(not_before_s * rng.uniform(1.0, 1.5), 3),
            round(share_s, 3),
        ),
    )


def stop_refusal() -> CallerAnswer:
    """Return a 503 for a request that another daemon can serve at once."""
    return CallerAnswer(status=503, retry_after_s=0.0)


def crash_refusal(rng: random.Random) -> CallerAnswer:
    """Return a 503 for a request that crashes servers and was not sent."""
    return CallerAnswer(
        status=503,
        retry_after_s=round(MAX_RETRY_AFTER_S * rng.uniform(0.5, 1.5), 3),
    )


def retry_after_s(objective_s: float, rng: random.Random) -> float:
    """Return the seconds, with jitter, until a refused caller may retry."""
    base_s = min(
        max(objective_s * RETRY_AFTER_SHARE, MIN_RETRY_AFTER_S),
        MAX_RETRY_AFTER_S,
    )
    return round(base_s * rng.uniform(0.5, 1.5), 3)


def not_found() -> CallerAnswer:
    """Return a 404 for a request without a matching route."""
    return CallerAnswer(status=404)


def unauthorized() -> CallerAnswer:
    """Return a 401 for a request without the key of a workspace."""
    return CallerAnswer(status=401)


def is_server_failure(status: int) -> bool:
    """Tell whether a server failed, so that another one may do better."""
    return status >= 500


def bad_gateway() -> CallerAnswer:
    """Return a 502 for a failed request that a server may have run."""
    return CallerAnswer(status=502)


def timed_out() -> CallerAnswer:
    """Return a 504 for a late request that a server may have run."""
    return CallerAnswer(status=504)
