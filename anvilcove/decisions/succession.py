"""Which daemon takes over what another one has left."""

import random
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

# The first in line acts at once, the others later and spread over a time, so
# that work which was left together stays together and one write is enough.
OTHERS_WAIT_S = 0.25
OTHERS_SPREAD_S = 0.4


def succession_rank(own: str, home: str, others: Iterable[str]) -> int:
    """Return how many daemons are before `own` in line.

    The home of new work is first. The order of the others is the same on all
    daemons and does not follow their names, which group hosts by place.
    """
    if own == home:
        return 0
    own_key = _key(own)
    before = sum(name != home and _key(name) < own_key for name in others)
    return before + bool(home)


def first_in_line(hosts: Iterable[str]) -> str:
    """Return the daemon that stands in for a lost home, '' without any."""
    return min(hosts, key=_key, default='')


def takeover_delay_s(rank: int, rng: random.Random) -> float:
    """Return how long a daemon waits before it takes work over."""
    if rank == 0:
        return 0.0
    return OTHERS_WAIT_S + rng.uniform(0.0, OTHERS_SPREAD_S)


def _key(name: str) -> int:
    return xxh3_64_intdigest(name.encode())
