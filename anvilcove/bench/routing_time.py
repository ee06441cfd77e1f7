"""CPU time of a routing decision by the number of servers."""

import random
import time
from typing import Any

from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.types import (
    INTERACTIVE,
    OK,
    AttemptResult,
    Route,
    RouteRequest,
)
from anvilcove.messages.engines import LoadReport
from anvilcove.messages.membership import ENGINE, EndpointMember
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
)
from anvilcove.state.endpoints import EndpointView

SIZES = (10, 100, 1_000, 7_800)
DATA_CENTRES = 14
PREFIXES = 200
DECISIONS = 4_000


def offline_settings() -> DaemonSettings:
    """Return settings that policies need outside a daemon."""
    unused = AdapterSettings(address='127.0.0.1:1')
    return DaemonSettings(
        host='h1',
        data_centre='dc0',
        listen_address='127.0.0.1:0',
        platform=PlatformSettings(
            table=unused, objects=unused, weights=unused, membership=unused
        ),
        keys=KeySettings(peer='bench', operator='bench'),
    )


def build_view(size: int) -> EndpointView:
    """Return a view of `size` engines, each with a load report."""
    view = EndpointView()
    view.update(
        [
            EndpointMember(
                endpoint=f'e{number}',
                address=f'127.0.0.1:{number + 1}',
                data_centre=f'dc{number % DATA_CENTRES}',
                pool='pool',
                kind=ENGINE,
            )
            for number in range(size)
        ]
    )
    for state in view.by_id.values():
        state.report = LoadReport(
            endpoint=state.endpoint, running=4, queued=0, capacity=8
        )
    return view


def measure(variant: str, size: int, seed: int) -> float:
    """Return the mean CPU time of a decision, in microseconds."""
    return measure_view(build_view(size), random.Random(seed), variant)


def measure_view(
    view: EndpointView,
    rng: random.Random,
    variant: str = 'least_expected_wait',
) -> float:
    """Return the mean CPU time of a decision in a view, in microseconds."""
    router = policy_class('routing', variant)(offline_settings())
    _run_decisions(router, view, rng, DECISIONS // 4)
    started_s = time.process_time()
    _run_decisions(router, view, rng, DECISIONS)
    return (time.process_time() - started_s) / DECISIONS * 1e6


def _run_decisions(
    router: Any, view: EndpointView, rng: random.Random, count: int
) -> None:
    """Route `count` requests, of which about ten are in flight at a time."""
    running: list[str] = []
    for number in range(count):
        now = number * 0.01
        request = RouteRequest(
            request_id='r',
            class_name='ask',
            kind=INTERACTIVE,
            pool='pool',
            prefixes=[f'p{rng.randrange(PREFIXES)}'],
        )
        route = router.choose(now, request, view, rng)
        if isinstance(route, Route):
            running.append(route.endpoint)
            view.by_id[route.endpoint].in_flight += 1
        if len(running) > 10:
            endpoint = running.pop(0)
            view.by_id[endpoint].in_flight -= 1
            result = AttemptResult(endpoint, OK, 0.1, 1, 'ask')
            router.finished(now, result, 'pool', INTERACTIVE)
