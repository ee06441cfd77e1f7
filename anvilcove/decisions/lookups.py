"""Choice of the hosts that an answer to a lookup names."""

import random

from msgspec import Struct
from xxhash import xxh3_64_intdigest

from anvilcove.decisions.registry import policy

# Callers accept up to this many addresses in a lookup answer.
MAX_ADDRESSES = 64
# A draw of the hosts holds for as long as callers keep an answer at least.
SLOT_S = 2.0
# Expected share of the hosts in an answer. It is above the half that stays in
# at least, so that the weights are kept in most draws.
MIN_EXPECTED_SHARE = 0.6
# Tolerance of sums of shares.
ROUNDING = 1e-9


class LookupHost(Struct):
    """Host that callers may use; `capacity` is 0.0 if it is unknown."""

    host: str
    address: str
    data_centre: str
    capacity: float = 0.0


@policy('lookups', 'naive')
class AllHosts:
    """Name all hosts, at most MAX_ADDRESSES drawn at random."""

    __slots__ = ()

    def choose(
        self, now: float, hosts: list[LookupHost], rng: random.Random
    ) -> list[str]:
        """Return the addresses in their order."""
        addresses = [host.address for host in hosts]
        if len(addresses) > MAX_ADDRESSES:
            addresses = rng.sample(addresses, MAX_ADDRESSES)
        return sorted(addresses)


@policy('lookups', 'capacity')
class HostsByCapacity(AllHosts):
    """Leave weak hosts out of a part of the answers.

    Callers choose among the addresses of an answer at random, so that a host
    gets connections in proportion to the share of the answers that name it.
    """

    __slots__ = ('_slot', '_capacities', '_omitted')

    def __init__(self) -> None:
        """Start without a draw."""
        # Hosts that are left out in a time slot, and what they depend on.
        self._slot = -1
        self._capacities: list[tuple[str, float]] = []
        self._omitted: set[str] = set()

    def choose(
        self, now: float, hosts: list[LookupHost], rng: random.Random
    ) -> list[str]:
        """Return the addresses in their order.

        At most half of the hosts of a data centre are left out.
        """
        if len({host.capacity for host in hosts if host.capacity > 0}) > 1:
            slot = int(now / SLOT_S)
            capacities = [(host.host, host.capacity) for host in hosts]
            if slot != self._slot or capacities != self._capacities:
                self._slot, self._capacities = slot, capacities
                self._omitted = _draw_omitted(slot, hosts)
            hosts = [host for host in hosts if host.host not in self._omitted]
        return super().choose(now, hosts, rng)


def _draw_omitted(slot: int, hosts: list[LookupHost]) -> set[str]:
    """Return the hosts that are left out in a time slot."""
    reference = _reference_capacity(hosts)
    # The higher, the more a host would have to be stronger to be named.
    excess_by_host = {
        host.host: _uniform(f'{host.host}/{slot}') - _weight(host, reference)
        for host in hosts
    }
    by_data_centre: dict[str, list[LookupHost]] = {}
    for host in hosts:
        by_data_centre.setdefault(host.data_centre, []).append(host)
    omitted: set[str] = set()
    for members in by_data_centre.values():
        ranked = sorted(members, key=lambda host: -excess_by_host[host.host])
        omitted.update(
            host.host
            for host in ranked[: len(members) // 2]
            if excess_by_host[host.host] >= 0
        )
    return omitted


def _weight(host: LookupHost, reference: float) -> float:
    """Return the share of the answers that name a host."""
    if host.capacity <= 0:
        return 1.0
    return min(host.capacity / reference, 1.0)


def _reference_capacity(hosts: list[LookupHost]) -> float:
    """Return the capacity from which on hosts are in all answers.

    It is that of the strongest host unless too few would be named then.
    """
    known = sorted(host.capacity for host in hosts if host.capacity > 0)
    # Hosts that are in all answers, and the capacities of the others.
    full = len(hosts) - len(known)
    partial = sum(known)
    wanted = MIN_EXPECTED_SHARE * len(hosts)
    reference = known[-1]
    while known and full + partial / reference < wanted - ROUNDING:
        capacity = known.pop()
        full += 1
        partial -= capacity
        if full >= wanted:
            return capacity
        # All hosts at least as strong as the reference are in all answers.
        reference = max(
            partial / (wanted - full), known[-1] if known else capacity
        )
    return reference


def _uniform(key: str) -> float:
    digest: int = xxh3_64_intdigest(key.encode())
    return digest / 2.0**64
