"""Simplest variant of each policy, the baseline of comparisons."""

import random

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    Admit,
    Allow,
    AttemptResult,
    Candidate,
    GiveUp,
    NoRoute,
    PlacementOrder,
    PlacementState,
    PoolLoad,
    Refuse,
    RetryAfter,
    RetryRequest,
    Route,
    RouteRequest,
)
from anvilcove.messages.engines import CacheEvent
from anvilcove.messages.membership import HostMember
from anvilcove.messages.peers import SuspectDigest
from anvilcove.settings.classes import ClassTarget
from anvilcove.settings.host import HostSettings
from anvilcove.state.endpoints import EndpointView


@policy('admission', 'naive')
class AdmitAll:
    """Admit every request with the same priority."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
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
    """Choose the endpoints of a pool in round-robin order."""

    __slots__ = ('_next_by_pool',)

    def __init__(self, settings: HostSettings) -> None:
        """Start each pool at its first endpoint."""
        self._next_by_pool: dict[str, int] = {}

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Return the next endpoint; skip leaving, full and excluded ones."""
        ids = view.ids_by_pool.get(request.pool, [])
        start = self._next_by_pool.get(request.pool, 0)
        for offset in range(len(ids)):
            position = (start + offset) % len(ids)
            state = view.by_id[ids[position]]
            if (
                state.leaving
                or state.in_flight >= state.limit
                or state.endpoint in request.excluded
            ):
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

    def finished(
        self, now: float, result: AttemptResult, pool: str, kind: str
    ) -> None:
        """Ignore the result."""

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Ignore the cache events."""


FIXED_LIMIT = 64.0
RETRY_DELAY_S = 0.05
MAX_ATTEMPTS = 3
ENTRY_HOST_COUNT = 3


@policy('limits', 'naive')
class FixedLimit:
    """Allow the same number of requests at every endpoint."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def limit(self, endpoint: str) -> float:
        """Return the fixed limit."""
        return FIXED_LIMIT

    def finished(self, now: float, result: AttemptResult) -> None:
        """Ignore the result."""

    def forget(self, endpoint: str) -> None:
        """Do nothing, as no state is kept."""


@policy('ejection', 'naive')
class NeverEject:
    """Never eject an endpoint."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Return 0 for not ejected."""
        return 0.0

    def heard(self, now: float, endpoint: str) -> float:
        """Return 0 for not ejected."""
        return 0.0

    def limits_endpoint(self, result: AttemptResult) -> bool:
        """Attribute each failure to the endpoint."""
        return True

    def take_changes(self) -> dict[str, float]:
        """Return no changes."""
        return {}


@policy('retry', 'naive')
class FixedRetries:
    """Retry a fixed number of times after a fixed delay."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def started(self, now: float) -> None:
        """Do nothing, as no counts are kept."""

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Return the fixed delay until the attempts are used up."""
        if request.attempt >= MAX_ATTEMPTS:
            return GiveUp('attempts used up')
        return RetryAfter(RETRY_DELAY_S)


@policy('hedging', 'naive')
class NeverHedge:
    """Never run a second attempt beside the first."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def finished(self, class_name: str, latency_s: float) -> None:
        """Ignore the result."""

    def delay_s(self, class_name: str) -> float | None:
        """Return None for never."""
        return None

    def spend(self) -> bool:
        """Return that no hedge is left."""
        return False


@policy('quarantine', 'naive')
class AllowAll:
    """Run every content, however often it has crashed an endpoint."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Do nothing, as no counts are kept."""

    def finished(self, now: float, content: str) -> None:
        """Do nothing, as no counts are kept."""

    def retract_crashes(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Do nothing, as no counts are kept."""

    def verdict(self, now: float, content: str) -> Allow:
        """Allow the content."""
        return Allow()

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Ignore the counts of a peer."""

    def digests(self, now: float) -> list[SuspectDigest]:
        """Return no counts to gossip."""
        return []


@policy('placement', 'naive')
class NeverMove:
    """Leave every engine as it is."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Return no orders."""
        return []


@policy('entries', 'naive')
class FirstHosts:
    """Return the same hosts to every caller."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def choose(
        self,
        now: float,
        caller: str,
        data_centre: str,
        hosts: list[HostMember],
        load_by_host: dict[str, int],
    ) -> list[HostMember]:
        """Return the first hosts of the list."""
        return hosts[:ENTRY_HOST_COUNT]
