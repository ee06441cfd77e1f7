"""Order in which daemons take over the work of a daemon that is gone."""

import random
from collections.abc import Collection, Iterable

from xxhash import xxh3_64_intdigest

# The first daemon takes over at once, the others after this delay and a random
# time. So all work of a daemon that is gone usually goes to a single daemon,
# which needs only one write.
TAKEOVER_DELAY_S = 0.25
TAKEOVER_JITTER_S = 0.4


def takeover_rank(
    own: str,
    preferred_owner: str,
    others: Iterable[str],
    restarted: Collection[str] = (),
) -> int:
    """Return how many daemons come before `own` in the takeover order.

    The `preferred_owner` of new work is first, then the daemons that were
    `restarted` as planned a short time ago: while daemons are stopped and
    started in turn, all others will still be stopped. Within both parts the
    order is the same on all daemons. It is a hash order, as the order of host
    names would group hosts by location.
    """
    if own == preferred_owner:
        return 0
    own_order_key = _order_key(own, restarted)
    daemons_before = sum(
        name != preferred_owner and _order_key(name, restarted) < own_order_key
        for name in others
    )
    return daemons_before + bool(preferred_owner)


def fallback_owner(
    hosts: Iterable[str], restarted: Collection[str] = ()
) -> str:
    """Return the substitute for a lost preferred owner, '' without hosts."""
    return min(hosts, key=lambda name: _order_key(name, restarted), default='')


def takeover_delay_s(rank: int, rng: random.Random) -> float:
    """Return the delay of a daemon's takeover in seconds."""
    if rank == 0:
        return 0.0
    return TAKEOVER_DELAY_S + rng.uniform(0.0, TAKEOVER_JITTER_S)


def _order_key(name: str, restarted: Collection[str]) -> tuple[bool, int]:
    return name not in restarted, xxh3_64_intdigest(name.encode())
