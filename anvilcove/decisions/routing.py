"""Routing of requests to the endpoint with the least expected wait."""

import random
from math import exp, inf, log

from anvilcove.decisions.affinity import PrefixCacheIndex, cache_prefixes
from anvilcove.decisions.pool_index import PoolIndex, ring_hash
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
from anvilcove.decisions.yielding import BatchLimit
from anvilcove.messages.engines import CacheEvent, LoadReport
from anvilcove.settings.host import HostSettings
from anvilcove.state.endpoint_estimates import CallSpeed
from anvilcove.state.endpoints import EndpointState, EndpointView

# Number of endpoints compared per decision, independent of the size of the
# pool. The first draw takes likely good ones and a minimum number at random.
# If none of them can take the request, each further draw takes CANDIDATE_COUNT
# at random.
CANDIDATE_COUNT = 8
MIN_RANDOM_CANDIDATES = 3
MAX_DRAWS = 4
LOCAL_CANDIDATE_COUNT = 2
RING_CANDIDATE_COUNT = 2
# Load reports arrive late, and hosts that all follow the last one oscillate
# together between the endpoints. So a moving average of many reports is used,
# whose weight decays with age.
REPORT_SMOOTHING = 0.05
REPORT_DECAY_S = 10.0
REPORT_WEIGHT = 0.5
# Latencies within this factor count as equal, as the difference is noise.
LATENCY_BUCKET_RATIO = 1.5
LOG_BUCKET_RATIO = log(LATENCY_BUCKET_RATIO)
# Decay time and weight of the work that this daemon has sent to an endpoint,
# which balance its work over the endpoints.
WORK_DECAY_S = 10.0
BALANCE_WEIGHT = 0.5
# A prefix that must be computed again costs as much as a full endpoint.
MISS_WEIGHT = 1.0
# Bonus of an endpoint in the data centre of this host. It is below the 15% by
# which the busiest endpoint may exceed the mean.
LOCAL_WEIGHT = 0.05
# Bonus of an endpoint with an open connection, in units of its utilization:
# endpoints limit and charge for new connections. It is more than the balance
# of sent work can add, and less than the penalty of a slower endpoint.
CONNECTION_WEIGHT = 0.9
# Random part of a score, which only breaks ties between equal endpoints.
TIE_BREAK_NOISE = 0.02
# Time for which an endpoint is reserved for an isolated request: other
# requests avoid it, so that it becomes idle.
RESERVATION_S = 1.0
BATCH_TIME_SLOT_S = 0.25


class EndpointStatistics:
    """Statistics of one endpoint: latency, sent work and reported load."""

    __slots__ = (
        'latency_s',
        'work',
        'work_at_s',
        'load',
        'report_at_s',
        'speed',
    )

    def __init__(self) -> None:
        """Start without measurements."""
        self.latency_s = 0.0
        self.work = 0.0
        self.work_at_s = 0.0
        self.load = 0.0
        self.report_at_s = 0.0
        # Speed of an endpoint that names its slowness, None for others.
        self.speed: CallSpeed | None = None

    def add_result(self, now: float, result: AttemptResult) -> None:
        """Add the latency of a successful attempt."""
        if result.slowness is not None:
            self.speed = self.speed or CallSpeed()
            self.speed.add(
                now, result.latency_s, result.slowness, result.load_share
            )
        known = self.latency_s or result.latency_s
        self.latency_s = known + 0.1 * (result.latency_s - known)

    def decayed_work(self, now: float) -> float:
        """Return the sent work, decayed by its age."""
        return self.work * exp((self.work_at_s - now) / WORK_DECAY_S)

    def add_work(self, now: float, amount: float) -> None:
        """Add the work of one request."""
        self.work = self.decayed_work(now) + amount
        self.work_at_s = now


@policy('routing', 'least_expected_wait')
class LeastExpectedWait:
    """Compare a few drawn endpoints, never the whole pool."""

    __slots__ = (
        '_host',
        '_data_centre',
        '_pool_index',
        '_prefix_index',
        '_statistics_by_endpoint',
        '_batch_limit_by_pool',
        '_last_finished_by_pool',
        '_reservation_by_endpoint',
    )

    def __init__(self, settings: HostSettings) -> None:
        """Start without statistics."""
        self._host = settings.host
        self._data_centre = settings.data_centre
        self._pool_index = PoolIndex()
        self._prefix_index = PrefixCacheIndex()
        self._statistics_by_endpoint: dict[str, EndpointStatistics] = {}
        self._batch_limit_by_pool: dict[str, BatchLimit] = {}
        self._last_finished_by_pool: dict[str, str] = {}
        self._reservation_by_endpoint: dict[str, tuple[str, float]] = {}

    def choose(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        """Choose an endpoint that can take one more request."""
        self._pool_index.track(view)
        if request.isolated:
            return self._choose_isolated(now, request, view, rng)
        prefixes = cache_prefixes(request.prefixes) if request.prefixes else []
        limit = self._limit_per_endpoint(now, request)
        share_by_endpoint = self._prefix_index.matched_shares(now, prefixes)
        # The endpoints that should hold a prefix which none is known to hold.
        successors = (
            self._pool_index.successors(
                request.pool, ring_hash(prefixes[0]), RING_CANDIDATE_COUNT
            )
            if prefixes and not share_by_endpoint
            else []
        )
        ids = view.ids_by_pool.get(request.pool, [])
        draws = MAX_DRAWS if len(ids) > CANDIDATE_COUNT else 1
        for draw in range(draws):
            if draw == 0 and draws > 1:
                drawn = self._first_draw(
                    request, view, successors, share_by_endpoint, rng
                )
            elif request.software is not None:
                drawn = _sample_software(request, view, rng)
            else:
                drawn = view.sample(request.pool, CANDIDATE_COUNT, rng)
            usable = self._usable(now, request, drawn, limit)
            if usable and request.excluded:
                # A further attempt gains nothing at an endpoint that is full.
                usable = self._not_full(now, usable) or usable
            if usable:
                preferred = successors[0].endpoint if successors else ''
                return self._choose_best(
                    now, prefixes, usable, share_by_endpoint, preferred, rng
                )
        return NoRoute('no endpoint of the pool has room')

    def finished(
        self, now: float, result: AttemptResult, pool: str, kind: str
    ) -> None:
        """Record the latency of an endpoint and that it freed a slot."""
        self._last_finished_by_pool[pool] = result.endpoint
        if result.outcome != OK:
            return
        statistics = self._statistics_by_endpoint.setdefault(
            result.endpoint, EndpointStatistics()
        )
        statistics.add_result(now, result)
        batch_limit = self._batch_limit_by_pool.get(pool)
        if kind == INTERACTIVE and batch_limit is not None:
            batch_limit.finished(result.class_name, result.latency_s)

    def observe_cache(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Apply prefix-cache events, which may be late or incomplete."""
        self._prefix_index.apply_events(now, endpoint, events)

    def _limit_per_endpoint(self, now: float, request: RouteRequest) -> float:
        limit = self._batch_limit_by_pool.get(request.pool)
        if request.kind == INTERACTIVE:
            if limit is None:
                limit = self._batch_limit_by_pool[request.pool] = BatchLimit()
            limit.started(now)
            return inf
        return inf if limit is None else limit.value(now)

    def _first_draw(
        self,
        request: RouteRequest,
        view: EndpointView,
        successors: list[EndpointState],
        share_by_endpoint: dict[str, float],
        rng: random.Random,
    ) -> list[EndpointState]:
        """Draw endpoints that are likely good, and others at random."""
        pool = request.pool
        states: dict[str, EndpointState] = {}
        for state in self._pool_index.sample_data_centre(
            pool, self._data_centre, LOCAL_CANDIDATE_COUNT, rng
        ):
            states[state.endpoint] = state
        for state in successors:
            states[state.endpoint] = state
        last_finished = self._last_finished_by_pool.get(pool, '')
        for endpoint in (last_finished, *share_by_endpoint):
            known = view.by_id.get(endpoint)
            if known is not None and known.pool == pool:
                states[endpoint] = known
        count = max(CANDIDATE_COUNT - len(states), MIN_RANDOM_CANDIDATES)
        for state in view.sample(pool, count, rng):
            states[state.endpoint] = state
        return list(states.values())

    def _not_full(
        self, now: float, states: list[EndpointState]
    ) -> list[EndpointState]:
        """Return the endpoints that did not just answer that they are full."""
        found = []
        for state in states:
            known = self._statistics_by_endpoint.get(state.endpoint)
            if known is None or known.speed is None:
                found.append(state)
            elif not known.speed.is_full(now):
                found.append(state)
        return found

    def _usable(
        self,
        now: float,
        request: RouteRequest,
        states: list[EndpointState],
        limit: float,
    ) -> list[EndpointState]:
        """Return the endpoints that may take the request."""
        excluded, software = request.excluded, request.software
        return [
            state
            for state in states
            if state.has_capacity(now, request.last_resort)
            and state.endpoint not in excluded
            and (software is None or software == state.software)
            and not self._is_reserved(now, state.endpoint)
            and (limit == inf or self._is_below(now, state, limit))
        ]

    def _is_reserved(self, now: float, endpoint: str) -> bool:
        if not self._reservation_by_endpoint:
            return False
        reservation = self._reservation_by_endpoint.get(endpoint)
        return reservation is not None and reservation[1] > now

    def _is_below(
        self, now: float, state: EndpointState, limit: float
    ) -> bool:
        if limit >= 1.0:
            return state.in_flight < limit
        # A limit below 1: use the endpoint in that share of the time slots,
        # which differ between hosts.
        slot = int(now / BATCH_TIME_SLOT_S)
        position = ring_hash(f'{self._host}/{state.endpoint}/{slot}')
        return state.in_flight == 0 and position < limit * 2.0**64

    def _choose_best(
        self,
        now: float,
        prefixes: list[str],
        states: list[EndpointState],
        share_by_endpoint: dict[str, float],
        preferred: str,
        rng: random.Random,
    ) -> Route:
        factors, works = self._factors_and_works(now, states)
        mean_work = sum(works) / len(works)
        candidates = []
        best, best_score, best_factor = states[0], inf, 1.0
        for state, factor, work in zip(states, factors, works, strict=True):
            endpoint = state.endpoint
            load = state.in_flight / state.limit
            if state.report is not None:
                load += self._reported_load(now, state, state.report)
            excess = (work - mean_work) / (mean_work + 1.0)
            balance = BALANCE_WEIGHT * (
                1.0 if excess > 1.0 else -1.0 if excess < -1.0 else excess
            )
            score = factor * (1.0 + load + balance)
            if state.data_centre == self._data_centre:
                score -= LOCAL_WEIGHT
            if state.idle_connections and state.has_connection(now):
                score -= CONNECTION_WEIGHT
            if prefixes:
                held_share = share_by_endpoint.get(
                    endpoint, 1.0 if endpoint == preferred else 0.0
                )
                score += MISS_WEIGHT * (1 - held_share)
            score += TIE_BREAK_NOISE * rng.random()
            candidates.append(
                Candidate(
                    endpoint,
                    state.in_flight,
                    state.limit,
                    now - state.report_at_s,
                    score,
                )
            )
            if score < best_score:
                best, best_score, best_factor = state, score, factor
        self._statistics(best.endpoint).add_work(now, best_factor)
        self._prefix_index.record_request(now, best.endpoint, prefixes)
        held = share_by_endpoint.get(best.endpoint, 0.0)
        reason = 'prefix held' if held else 'least expected wait'
        return Route(best.endpoint, candidates, reason)

    def _statistics(self, endpoint: str) -> EndpointStatistics:
        found = self._statistics_by_endpoint.get(endpoint)
        if found is None:
            found = self._statistics_by_endpoint[endpoint] = (
                EndpointStatistics()
            )
        return found

    def _factors_and_works(
        self, now: float, states: list[EndpointState]
    ) -> tuple[list[float], list[float]]:
        """Return the relative latency and the sent work of each endpoint."""
        known = self._statistics_by_endpoint
        found = [known.get(state.endpoint) for state in states]
        latencies = [
            0.0
            if one is None
            else one.latency_s
            if one.speed is None
            else one.speed.usual_s(now)
            for one in found
        ]
        lowest = min([s for s in latencies if s > 0], default=1.0)
        factors, works = [], []
        for one, latency in zip(found, latencies, strict=True):
            factor = 1.0
            if latency > lowest:
                bucket = int(log(latency / lowest) / LOG_BUCKET_RATIO)
                factor = LATENCY_BUCKET_RATIO**bucket
            if one is not None and one.speed is not None:
                factor *= one.speed.factor(now)
            factors.append(factor)
            works.append(0.0 if one is None else one.decayed_work(now))
        return factors, works

    def _reported_load(
        self, now: float, state: EndpointState, report: LoadReport
    ) -> float:
        if report.capacity <= 0:
            return 0.0
        statistics = self._statistics(state.endpoint)
        reported_at_s = state.report_at_s
        if statistics.report_at_s != reported_at_s:
            statistics.report_at_s = reported_at_s
            load = (report.running + report.queued) / report.capacity
            statistics.load += REPORT_SMOOTHING * (load - statistics.load)
        age_s = max(now - reported_at_s, 0.0)
        return REPORT_WEIGHT * statistics.load * exp(-age_s / REPORT_DECAY_S)

    def _choose_isolated(
        self,
        now: float,
        request: RouteRequest,
        view: EndpointView,
        rng: random.Random,
    ) -> Route | NoRoute:
        # All hosts run a content on the same few endpoints, so that a retry
        # through another host cannot crash further endpoints.
        position = ring_hash(request.content)
        successors = self._pool_index.successors(
            request.pool, position, CANDIDATE_COUNT
        )
        usable = [
            state
            for state in successors
            if state.has_capacity(now)
            and state.endpoint not in request.excluded
            and request.suits(state.software)
            and self._is_free_or_reserved_for(now, request, state)
        ]
        for state in usable:
            if state.in_flight == 0:
                self._reservation_by_endpoint.pop(state.endpoint, None)
                candidate = Candidate(
                    state.endpoint,
                    state.in_flight,
                    state.limit,
                    now - state.report_at_s,
                    0.0,
                )
                return Route(state.endpoint, [candidate], 'runs alone')
        if usable:
            state = min(usable, key=lambda s: s.in_flight)
            until_s = now + RESERVATION_S
            self._reservation_by_endpoint[state.endpoint] = (
                request.request_id,
                until_s,
            )
        return NoRoute('no endpoint is idle for an isolated request')

    def _is_free_or_reserved_for(
        self, now: float, request: RouteRequest, state: EndpointState
    ) -> bool:
        reservation = self._reservation_by_endpoint.get(state.endpoint)
        return (
            reservation is None
            or reservation[1] <= now
            or reservation[0] == request.request_id
        )


def _sample_software(
    request: RouteRequest, view: EndpointView, rng: random.Random
) -> list[EndpointState]:
    """Draw from the endpoints of the requested software version.

    Few of a large pool may have it, so that random draws would miss them.
    """
    states = [
        s for s in view.in_pool(request.pool) if request.suits(s.software)
    ]
    return rng.sample(states, min(CANDIDATE_COUNT, len(states)))
