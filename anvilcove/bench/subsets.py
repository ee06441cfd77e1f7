"""Measure the load imbalance when daemons know only some servers."""

import random
import statistics

from msgspec import Struct

from anvilcove.daemon.app import load_modules
from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.types import INTERACTIVE, Route, RouteRequest
from anvilcove.messages.membership import SERVICE, EndpointMember
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
)
from anvilcove.state.endpoints import EndpointView

# Daemons and servers of one data centre at the planned size: 2,200 daemons
# and 7,800 servers over 14 data centres.
DAEMONS = 157
SERVERS = 557
REQUESTS_PER_SERVER = 8
POOL = 'pool'


class SubsetLoss(Struct):
    """Load of the busiest server over the mean, for one subset size.

    `busiest_to_mean` and `spread` are mean and standard deviation over seeds.
    """

    known: int
    busiest_to_mean: float
    spread: float


def _policy_settings() -> DaemonSettings:
    adapter = AdapterSettings(address='127.0.0.1:1')
    return DaemonSettings(
        host='h1',
        data_centre='a',
        listen_address='127.0.0.1:1',
        platform=PlatformSettings(
            table=adapter, objects=adapter, weights=adapter, membership=adapter
        ),
        keys=KeySettings(peer='k', operator='k'),
    )


def _random_views(known: int, rng: random.Random) -> list[EndpointView]:
    """Return one view per daemon with `known` random servers."""
    views = []
    for _ in range(DAEMONS):
        view = EndpointView()
        view.update(
            [
                EndpointMember(
                    endpoint=f's{index}',
                    address=f'127.0.0.1:{index + 1}',
                    data_centre='a',
                    pool=POOL,
                    kind=SERVICE,
                )
                for index in rng.sample(range(SERVERS), known)
            ]
        )
        views.append(view)
    return views


def _measure_busiest_to_mean(known: int, variant: str, seed: int) -> float:
    """Route requests that never finish; return busiest load over mean."""
    rng = random.Random(seed)
    settings = _policy_settings()
    routers = [
        policy_class('routing', variant)(settings) for _ in range(DAEMONS)
    ]
    views = _random_views(known, rng)
    load: dict[str, int] = {}
    for number in range(SERVERS * REQUESTS_PER_SERVER):
        position = rng.randrange(DAEMONS)
        request = RouteRequest(
            request_id=str(number),
            class_name='lookup',
            kind=INTERACTIVE,
            pool=POOL,
        )
        route = routers[position].choose(0.0, request, views[position], rng)
        if not isinstance(route, Route):
            continue
        views[position].by_id[route.endpoint].in_flight += 1
        load[route.endpoint] = load.get(route.endpoint, 0) + 1
    return max(load.values()) / (sum(load.values()) / SERVERS)


def measure_loss(
    sizes: list[int], seeds: list[int], variant: str = 'least_expected_wait'
) -> list[SubsetLoss]:
    """Measure the imbalance for each number of known servers."""
    load_modules()
    results = []
    for known in sizes:
        ratios = [
            _measure_busiest_to_mean(known, variant, seed) for seed in seeds
        ]
        results.append(
            SubsetLoss(
                known=known,
                busiest_to_mean=statistics.mean(ratios),
                spread=statistics.pstdev(ratios),
            )
        )
    return results
