"""Routing to the endpoint with the least expected wait."""

import random
from math import exp, inf, log

from msgspec.structs import replace

from anvilcove.decisions.affinity import PrefixAffinity, cache_prefixes
from anvilcove.decisions.pool_index import PoolIndex, hash_of
from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    INTERACTIVE,
    OK,
    AttemptResult,
    Candidate,
    NoRoute,
    Route,
    RouteRequest,
)
from anvilcove.decisions.yielding import BatchRoom
from anvilcove.messages.engines import CacheEvent
from anvilcove.settings.daemon import HostSettings
from anvilcove.state.endpoints import EndpointState, EndpointView

# Endpoints that one decision compares: those with a reason, and at least
# some drawn at random. The number does not grow with that of the servers.
# When none of them has room, each further draw takes as many at random.
SAMPLES = 8
RANDOM_SAMPLES = 3
DRAWS = 4
LOCAL_SAMPLES = 2
RING_SAMPLES = 2
# Hosts that follow the last of the late reports move together and swing
# between the servers. Only the mean of many reports counts, less with age.
REPORT_SMOOTHING = 0.05
REPORT_LIFE_S = 10.0
REPORT_WEIGHT = 0.5
# Latencies within this factor count as equal; they differ by chance.
LATENCY_STEP = 1.5
# Time over which own work is remembered to keep the spread level.
WORK_LIFE_S = 10.0
LEVEL_WEIGHT = 0.5
# A prefix that must be computed again costs as much as a full endpoint.
MISS_WEIGHT = 1.0
# Advantage of the own data centre; below the 15% by which the busiest server
# may exceed the mean.
LOCAL_WEIGHT = 0.05
# Endpoints limit and charge for new connections; one with an open one is
# preferred as if it had this much less of its room in use. That is more than
# the level of own work can add, and less than a slower endpoint costs.
CONNECTION_WEIGHT = 0.9
# Random part of a score; decides between equal endpoints only.
NOISE = 0.02
# Other work stays off the endpoint that drains for an isolated request.
RESERVE_S = 1.0
BATCH_SLOT_S = 0.25


class EndpointLearned:
    """What own requests told of one endpoint."""

    __slots__ = ('latency_s', 'work', 'work_at_s', 'load', 'report_at_s')

    def __init__(self) -> None:
        """Start without knowledge."""
        self.latency_s = 0.0
        self.work = 0.0
        self.work_at_s = 0.0
        self.load = 0.0
        self.report_at_s = 0.0

    def work_at(self, now: float) -> float:
        """Return the work sent, which fades with time."""
        return self.work * exp((self.work_at_s - now) / WORK_LIFE_S)

    def add_work(self, now: float, amount: float) -> None:
        """Count one request."""
        self.work = self.work_at(now) + amount
        self.work_at_s = now


class Weighed:
    """A candidate while it is compared."""

    __slots__ = ('state', 'level', 'work', 'score')

    def __init__(
        self, state: EndpointState, level: float, work: float
    ) -> None:
        """Start without a score."""
        self.state = state
        self.level = level
        self.work = work
        self.score = 0.0


@policy('routing', 'least_expected_wait')
class LeastExpectedWait:
    """Compare a few drawn endpoints; never look at all of them."""

    __slots__ = (
        '_host',
        '_data_centre',
        '_index',
        '_affinity',
        '_learned',
        '_room_by_pool',
        '_freed_by_pool',
        '_reserved',
    )

    def __init__(self, settings: HostSettings) -> None:
        """Start without knowledge."""
        self._host = settings.host
        self._data_centre = settings.data_centre
        self._index = PoolIndex()
        self._affinity = PrefixAffinity()
        self._learned: dict[str, EndpointLearned] = {}
        self._room_by_pool: dict[str, BatchRoom] = {}
        self._freed_by_pool: dict[str, str] = {}
        self._reserved: dict[str, tuple[str, float]] = {}

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Choose among the endpoints that have room."""
        self._index.follow(view)
        if request.isolated:
            return self._choose_isolated(now, request, view, rng)
        if request.prefixes:
            prefixes = cache_prefixes(request.prefixes)
            request = replace(request, prefixes=prefixes)
        room = self._room(now, request)
        match = self._affinity.holders(now, request.prefixes)
        ids = view.ids_by_pool.get(request.pool, [])
        draws = DRAWS if len(ids) > SAMPLES else 1
        for draw in range(draws):
            if draw == 0 and draws > 1:
                drawn = self._first_draw(request, view, match, rng)
            else:
                drawn = view.sample(request.pool, SAMPLES, rng)
            usable = [s for s in drawn if self._usable(now, request, s, room)]
            if usable:
                return self._best(now, request, usable, match, rng)
        return NoRoute('no endpoint of the pool has room')

    def finished(
        self, now: float, result: AttemptResult, pool: str, kind: str
    ) -> None:
        """Learn the latency of an endpoint and that it has room again."""
        self._freed_by_pool[pool] = result.endpoint
        if result.outcome != OK:
            return
        learned = self._learned.setdefault(result.endpoint, EndpointLearned())
        known = learned.latency_s or result.latency_s
        learned.latency_s = known + 0.1 * (result.latency_s - known)
        room = self._room_by_pool.get(pool)
        if kind == INTERACTIVE and room is not None:
            room.finished(result.class_name, result.latency_s)

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Learn the prefix cache of an endpoint from late, gappy events."""
        self._affinity.observe(now, endpoint, events)

    def _room(self, now: float, request: RouteRequest) -> float:
        room = self._room_by_pool.get(request.pool)
        if request.kind == INTERACTIVE:
            if room is None:
                room = self._room_by_pool[request.pool] = BatchRoom()
            room.started(now)
            return inf
        return inf if room is None else room.value(now)

    def _first_draw(
        self,
        request: RouteRequest,
        view: EndpointView,
        match: dict[str, float],
        rng: random.Random,
    ) -> list[EndpointState]:
        """Draw those that probably fit, and others at random."""
        pool = request.pool
        states: dict[str, EndpointState] = {}
        for state in self._index.sample_in(
            pool, self._data_centre, LOCAL_SAMPLES, rng
        ):
            states[state.endpoint] = state
        if request.prefixes and not match:
            position = hash_of(request.prefixes[0])
            for state in self._index.near(pool, position, RING_SAMPLES):
                states[state.endpoint] = state
        freed = self._freed_by_pool.get(pool, '')
        for endpoint in (freed, *match):
            known = view.by_id.get(endpoint)
            if known is not None and known.pool == pool:
                states[endpoint] = known
        count = max(SAMPLES - len(states), RANDOM_SAMPLES)
        for state in view.sample(pool, count, rng):
            states[state.endpoint] = state
        return list(states.values())

    def _usable(
        self,
        now: float,
        request: RouteRequest,
        state: EndpointState,
        room: float,
    ) -> bool:
        if not state.has_room(now) or state.endpoint in request.excluded:
            return False
        reserved = self._reserved.get(state.endpoint)
        if reserved is not None and reserved[1] > now:
            return False
        if room >= 1.0:
            return state.in_flight < room
        # Less than one request at a time: use the endpoint in that share of
        # the time slots, which differ from host to host.
        slot = int(now / BATCH_SLOT_S)
        key = hash_of(f'{self._host}/{state.endpoint}/{slot}')
        return state.in_flight == 0 and key < room * 2.0**64

    def _best(
        self,
        now: float,
        request: RouteRequest,
        states: list[EndpointState],
        match: dict[str, float],
        rng: random.Random,
    ) -> Route:
        weighed = self._weigh(now, states)
        mean_work = sum(w.work for w in weighed) / len(weighed)
        preferred = ''
        if request.prefixes and not match:
            near = self._index.near(
                request.pool, hash_of(request.prefixes[0]), 1
            )
            preferred = near[0].endpoint if near else ''
        for candidate in weighed:
            endpoint = candidate.state.endpoint
            hit = match.get(endpoint, float(endpoint == preferred))
            candidate.score = self._score(now, candidate, mean_work)
            if request.prefixes:
                candidate.score += MISS_WEIGHT * (1 - hit)
            candidate.score += NOISE * rng.random()
        best = min(weighed, key=_score_of)
        state = best.state
        learned = self._learned.setdefault(state.endpoint, EndpointLearned())
        learned.add_work(now, best.level)
        self._affinity.sent(now, state.endpoint, request.prefixes)
        hit = match.get(state.endpoint, 0.0)
        reason = 'prefix held' if hit else 'least expected wait'
        return Route(state.endpoint, _candidates(now, weighed), reason)

    def _weigh(self, now: float, states: list[EndpointState]) -> list[Weighed]:
        latencies = []
        for state in states:
            learned = self._learned.get(state.endpoint)
            latencies.append(learned.latency_s if learned else 0.0)
        known = [latency for latency in latencies if latency > 0]
        lowest = min(known, default=1.0)
        weighed = []
        for state, latency in zip(states, latencies, strict=True):
            steps = 0
            if latency > lowest:
                steps = int(log(latency / lowest) / log(LATENCY_STEP))
            learned = self._learned.get(state.endpoint)
            work = learned.work_at(now) if learned else 0.0
            weighed.append(Weighed(state, LATENCY_STEP**steps, work))
        return weighed

    def _score(
        self, now: float, candidate: Weighed, mean_work: float
    ) -> float:
        state = candidate.state
        busy = state.in_flight / state.limit
        busy += self._reported_load(now, state)
        excess = (candidate.work - mean_work) / (mean_work + 1.0)
        level = LEVEL_WEIGHT * max(min(excess, 1.0), -1.0)
        score = candidate.level * (1.0 + busy + level)
        if state.data_centre == self._data_centre:
            score -= LOCAL_WEIGHT
        if state.has_connection(now):
            score -= CONNECTION_WEIGHT
        return score

    def _reported_load(self, now: float, state: EndpointState) -> float:
        report = state.report
        if report is None or report.capacity <= 0:
            return 0.0
        learned = self._learned.get(state.endpoint)
        if learned is None:
            learned = self._learned[state.endpoint] = EndpointLearned()
        if learned.report_at_s != state.report_at_s:
            learned.report_at_s = state.report_at_s
            load = (report.running + report.queued) / report.capacity
            learned.load += REPORT_SMOOTHING * (load - learned.load)
        age_s = max(now - state.report_at_s, 0.0)
        return REPORT_WEIGHT * learned.load * exp(-age_s / REPORT_LIFE_S)

    def _choose_isolated(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        # All hosts try a content at the same few endpoints, so that sending
        # it again elsewhere reaches no further endpoints.
        position = hash_of(request.content)
        near = self._index.near(request.pool, position, SAMPLES)
        usable = [
            state
            for state in near
            if state.has_room(now)
            and state.endpoint not in request.excluded
            and self._may_take(now, request, state)
        ]
        for state in usable:
            if state.in_flight == 0:
                self._reserved.pop(state.endpoint, None)
                weighed = self._weigh(now, [state])
                candidates = _candidates(now, weighed)
                return Route(state.endpoint, candidates, 'runs alone')
        if usable:
            state = min(usable, key=lambda s: s.in_flight)
            until_s = now + RESERVE_S
            self._reserved[state.endpoint] = (request.request_id, until_s)
        return NoRoute('no endpoint is idle for an isolated request')

    def _may_take(
        self, now: float, request: RouteRequest, state: EndpointState
    ) -> bool:
        reserved = self._reserved.get(state.endpoint)
        return (
            reserved is None
            or reserved[1] <= now
            or reserved[0] == request.request_id
        )


def _score_of(candidate: Weighed) -> float:
    return candidate.score


def _candidates(now: float, weighed: list[Weighed]) -> list[Candidate]:
    return [
        Candidate(
            endpoint=w.state.endpoint,
            in_flight=w.state.in_flight,
            limit=w.state.limit,
            report_age_s=now - w.state.report_at_s,
            score=w.score,
        )
        for w in weighed
    ]
