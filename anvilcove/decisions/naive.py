"""Plain variant of each policy, the baseline of every comparison."""

import random

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    Admit,
    Candidate,
    NoRoute,
    PoolLoad,
    Refuse,
    Route,
    RouteRequest,
)
from anvilcove.settings.classes import ClassTarget
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.endpoints import EndpointView


@policy('admission', 'naive')
class AdmitAll:
    """Admit every request, first come first served."""

    __slots__ = ()

    def __init__(self, settings: DaemonSettings) -> None:
        """Take no settings."""

    def offer(
        self,
        now: float,
        target: ClassTarget,
        load: PoolLoad,
        deadline_at_s: float,
    ) -> Admit | Refuse:
        """Admit the request."""
        return Admit()


@policy('routing', 'naive')
class RoundRobin:
    """Choose the endpoints of a pool in turn."""

    __slots__ = ('_next_by_pool',)

    def __init__(self, settings: DaemonSettings) -> None:
        """Start every pool at its first endpoint."""
        self._next_by_pool: dict[str, int] = {}

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Return the next endpoint that is not leaving or excluded."""
        ids = view.ids_by_pool.get(request.pool, [])
        start = self._next_by_pool.get(request.pool, 0)
        for offset in range(len(ids)):
            position = (start + offset) % len(ids)
            state = view.by_id[ids[position]]
            if state.leaving or state.endpoint in request.excluded:
                continue
            self._next_by_pool[request.pool] = position + 1
            candidate = Candidate(
                endpoint=state.endpoint,
                in_flight=state.in_flight,
                limit=state.limit,
                report_age_s=now - state.report_at_s,
                score=0.0,
            )
            return Route(state.endpoint, [candidate], 'next in turn')
        return NoRoute('no live endpoint in the pool')
