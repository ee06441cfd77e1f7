"""Order in which daemons take over the work of a daemon that is gone."""

import random
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

# The first daemon takes over at once, the others after this delay and a random
# time. So all work of a daemon that is gone usually goes to a single daemon,
# which needs only one write.
TAKEOVER_DELAY_S = 0.25
TAKEOVER_JITTER_S = 0.4


def takeover_rank(
    own: str, preferred_owner: str, others: Iterable[str]
) -> int:
    """Return how many daemons come before `own` in the takeover order.

    The `preferred_owner` of new work is first. The order of the others is
    the same on all daemons. It is a hash order, as the order of host names
    would group hosts by location.
    """
    if own == preferred_owner:
        return 0
    own_order_key = _order_key(own)
    daemons_before = sum(
        name != preferred_owner and _order_key(name) < own_order_key
        for name in others
    )
    return daemons_before + bool(preferred_owner)


def fallback_owner(hosts: Iterable[str]) -> str:
    """Return the substitute for a lost preferred owner, '' without hosts."""
    return min(hosts, key=_order_key, default='')


def takeover_delay_s(rank: int, rng: random.Random) -> float:
    """Return the delay of a daemon's takeover in seconds."""
    if rank == 0:
        return 0.0
    return TAKEOVER_DELAY_S + rng.uniform(0.0, TAKEOVER_JITTER_S)


def _order_key(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
