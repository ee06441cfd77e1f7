"""Plain variant of each policy, the baseline of every comparison."""

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
from anvilcove.settings.daemon import HostSettings
from anvilcove.state.endpoints import EndpointView


@policy('admission', 'naive')
class AdmitAll:
    """Admit every request, first come first served."""

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
    """Choose the endpoints of a pool in turn."""

    __slots__ = ('_next_by_pool',)

    def __init__(self, settings: HostSettings) -> None:
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
        """Learn nothing."""

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Ignore the prefix caches."""


FIXED_LIMIT = 64.0
RETRY_DELAY_S = 0.05
MAX_ATTEMPTS = 3
NAMED_HOSTS = 3


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
        """Learn nothing."""

    def forget(self, endpoint: str) -> None:
        """Forget nothing."""


@policy('ejection', 'naive')
class NeverEject:
    """Keep every endpoint in."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Eject nothing."""
        return 0.0


@policy('retry', 'naive')
class FixedRetries:
    """Repeat a fixed number of times after a fixed delay."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def started(self, now: float) -> None:
        """Count nothing."""

    def next_attempt(
        self, now: float, request: RetryRequest, rng: random.Random
    ) -> RetryAfter | GiveUp:
        """Allow the fixed number of attempts."""
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
        """Learn nothing."""

    def delay_s(self, class_name: str) -> float | None:
        """Never hedge."""
        return None

    def spend(self) -> bool:
        """Never hedge."""
        return False


@policy('quarantine', 'naive')
class AllowAll:
    """Run every content however often it crashed an endpoint."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def crashed(self, now: float, endpoint: str, contents: list[str]) -> None:
        """Count nothing."""

    def finished(self, now: float, content: str) -> None:
        """Count nothing."""

    def forgive(
        self, now: float, endpoint: str, contents: list[str], reachable: bool
    ) -> None:
        """Forgive nothing."""

    def verdict(self, now: float, content: str) -> Allow:
        """Allow the content."""
        return Allow()

    def merge(self, now: float, digests: list[SuspectDigest]) -> None:
        """Adopt nothing."""

    def digests(self, now: float) -> list[SuspectDigest]:
        """Gossip nothing."""
        return []


@policy('placement', 'naive')
class NeverMove:
    """Leave every engine as it is."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def plan(self, now: float, state: PlacementState) -> list[PlacementOrder]:
        """Move nothing."""
        return []


@policy('entries', 'naive')
class FirstHosts:
    """Tell every caller the same hosts."""

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
        return hosts[:NAMED_HOSTS]
