"""Choice among the services of a route, by their weights.

All that runs on a route chooses here. Services are ordered by weighted
rendezvous hashing: each key prefers a service with the probability of its
weight, and the next one of its order where that can't serve it. A change of
weights moves as few keys as possible.
"""

from collections.abc import Callable, Sequence
from math import log
from typing import Protocol

from xxhash import xxh3_64_intdigest

HASH_RANGE = 1 << 64


class WeightedService(Protocol):
    """Service of a route with its relative weight."""

    @property
    def service(self) -> str:
        """Return the name of the service."""

    @property
    def weight(self) -> float:
        """Return the weight; 0 or less for a service that gets nothing."""


def service_shares(targets: Sequence[WeightedService]) -> dict[str, float]:
    """Return the share of each service that gets some of a route.

    Without any positive weight, all services get the same.
    """
    weights: dict[str, float] = {}
    for target in targets:
        if target.weight > 0:
            known = weights.get(target.service, 0.0)
            weights[target.service] = known + target.weight
    if not weights:
        weights = {target.service: 1.0 for target in targets}
    total = sum(weights.values())
    return {service: weight / total for service, weight in weights.items()}


def service_order(targets: Sequence[WeightedService], key: str) -> list[str]:
    """Return the services of a route as a key prefers them."""
    if len(targets) == 1:
        return [targets[0].service]
    shares = service_shares(targets)
    return sorted(shares, key=lambda name: _distance(name, shares[name], key))


def choose_service(
    targets: Sequence[WeightedService],
    key: str,
    preferences: Sequence[Callable[[str], bool]] = (),
) -> str:
    """Return the first service of the order that meets a preference.

    The preferences are tried one after the other. If no service meets any of
    them, the first one of the order is returned.
    """
    order = service_order(targets, key)
    if len(order) > 1:
        for is_preferred in preferences:
            for service in order:
                if is_preferred(service):
                    return service
    return order[0]


def _distance(service: str, share: float, key: str) -> float:
    digest = xxh3_64_intdigest(f'{service}/{key}'.encode())
    return -log((digest + 1) / (HASH_RANGE + 1)) / share
