"""Differential tests of the policies for admission, routing and limits."""

import random

from behave import then
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from queue_model import (
    CLASS_BY_KIND,
    POOL,
    QueueModel,
    Server,
    build,
    members,
)

from anvilcove.decisions.limits import MAX_LIMIT
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    INTERACTIVE,
    OK,
    OVERLOADED,
    Admit,
    AttemptResult,
    PoolLoad,
    Refuse,
    Route,
    RouteRequest,
)
from anvilcove.state.endpoints import EndpointView

VARIANTS = ('naive', 'real')
OUTCOMES = st.sampled_from([OK, OVERLOADED, ERROR, CRASH, CANCELLED])
# Examples are not shrunk: that takes minutes when a test fails, and the
# generated sequences are short.
COMMON_SETTINGS = {
    'derandomize': True,
    'deadline': None,
    'database': None,
    'phases': [Phase.explicit, Phase.generate],
}
# A run of the queueing model takes a second; a policy takes microseconds.
FEW = settings(max_examples=3, **COMMON_SETTINGS)
MANY = settings(max_examples=80, **COMMON_SETTINGS)
SERVICE_S = 0.05
SERVERS = 4
CAPACITY = SERVERS * 8 / SERVICE_S


def on_time_share(calls):
    """Return the share of calls that were answered by their deadline."""
    return sum(call.on_time for call in calls) / len(calls)


def build_model(variant, seed, hosts=12, slowdown=1.0):
    """Return a model whose first server is slower by the factor `slowdown`."""
    servers = [
        Server(f'e{index}', SERVICE_S * (1.0 if index else slowdown))
        for index in range(SERVERS)
    ]
    return QueueModel(variant, hosts, servers, seed)


ENDPOINT_STATES = st.fixed_dictionaries(
    {
        'leaving': st.booleans(),
        'isolated': st.booleans(),
        'ejected': st.booleans(),
        'in_flight': st.integers(0, 4),
        'limit': st.sampled_from([1.0, 2.5, 4.0]),
    }
)


def build_view(endpoints):
    """Return a view of endpoints in the generated states."""
    view = EndpointView()
    view.update(members(len(endpoints), ('casa-ain', 'casa-sidi')))
    for index, generated in enumerate(endpoints):
        state = view.by_id[f'e{index}']
        state.leaving = generated['leaving']
        state.isolated = generated['isolated']
        state.ejected_until_s = 200.0 if generated['ejected'] else 0.0
        state.in_flight = generated['in_flight']
        state.limit = generated['limit']
    return view


@then('routing never chooses a forbidden endpoint')
def check_routing_rules(context):
    """Check the routing rules for both variants on random views."""

    @MANY
    @given(
        st.lists(ENDPOINT_STATES, min_size=1, max_size=30),
        st.sets(st.integers(0, 5)),
        st.booleans(),
        st.lists(st.sampled_from('abc'), max_size=3),
    )
    def check(endpoints, excluded, isolated, prefixes):
        for variant in VARIANTS:
            view = build_view(endpoints)
            request = RouteRequest(
                request_id='r',
                class_name='lookup',
                kind=INTERACTIVE,
                pool=POOL,
                content='c',
                prefixes=prefixes,
                excluded={f'e{index}' for index in excluded},
                isolated=isolated and variant == 'real',
            )
            usable = {
                state.endpoint
                for state in view.by_id.values()
                if state.has_capacity(100.0)
                and state.endpoint not in request.excluded
            }
            router = build('routing', variant)
            route = router.choose(100.0, request, view, random.Random(1))
            if not isinstance(route, Route):
                must_find = len(endpoints) <= 6 and not isolated
                assert not (must_find and usable), usable
                continue
            state = view.by_id[route.endpoint]
            assert not state.leaving
            assert state.endpoint not in request.excluded
            assert state.in_flight < state.limit
            if variant == 'real':
                assert state.endpoint in usable
                assert not isolated or state.in_flight == 0

    check()


@then('the busiest server has at most 1.15 times the mean load')
def check_level(context):
    """Check the load target and a p95 of at most 1.15 times that of naive."""

    @FEW
    @given(st.integers(1, 1000), st.sampled_from([0.2, 0.5, 0.8]))
    def check(seed, load):
        p95_by_variant = {}
        for variant in VARIANTS:
            model = build_model(variant, seed)
            model.schedule_arrivals(INTERACTIVE, load * CAPACITY, 0, 8, 1.0)
            model.run(10)
            served = [s.served for s in model.servers.values()]
            mean = sum(served) / len(served)
            if variant == 'real':
                assert max(served) <= 1.15 * mean, served
            latencies = sorted(c.ended_s - c.at_s for c in model.calls)
            p95_by_variant[variant] = latencies[int(len(latencies) * 0.95)]
        assert p95_by_variant['real'] <= 1.15 * p95_by_variant['naive'], (
            p95_by_variant
        )

    check()


@then('answers on time with a slow server are at least as many as with naive')
def check_slow_server(context):
    """Check 99% on time, and at most half a percent less than naive."""

    @FEW
    @given(st.integers(1, 1000), st.sampled_from([0.4, 0.6]))
    def check(seed, load):
        shares = {}
        for variant in VARIANTS:
            model = build_model(variant, seed, slowdown=3.0)
            model.schedule_arrivals(INTERACTIVE, load * CAPACITY, 0, 8, 0.3)
            model.run(10)
            shares[variant] = on_time_share(
                [c for c in model.calls if c.at_s > 2]
            )
        assert shares['real'] >= shares['naive'] - 0.005, shares
        assert shares['real'] >= 0.99, shares

    check()


@then('interactive requests are on time beside batch work')
def check_interactive(context):
    """Check 99.9% on time and a p99 of at most 1.5 times the idle one."""

    @FEW
    @given(st.integers(1, 1000))
    def check(seed):
        shares = {}
        for variant in VARIANTS:
            model = build_model(variant, seed, hosts=4)
            model.schedule_arrivals(INTERACTIVE, 0.2 * CAPACITY, 0, 10, 0.5)
            model.schedule_arrivals('background', 10 * CAPACITY, 3, 10, 20.0)
            model.run(11)
            calls = [c for c in model.calls if c.kind == INTERACTIVE]
            shares[variant] = on_time_share(calls)
            batch = [c for c in model.calls if c.kind != INTERACTIVE]
            if variant == 'real':
                assert any(call.on_time for call in batch)
                idle = [c for c in calls if c.at_s < 3]
                beside = [c for c in calls if c.at_s >= 5]
                assert p99_latency_s(beside) <= 1.5 * p99_latency_s(idle)
        assert shares['real'] >= 0.999, shares
        assert shares['real'] >= shares['naive'], shares

    check()


def p99_latency_s(calls):
    """Return the 99th percentile of the latency."""
    latencies = sorted(call.ended_s - call.at_s for call in calls)
    return latencies[int(len(latencies) * 0.99)]


@then('goodput at 3 times overload is at least 95% of capacity')
def check_goodput(context):
    """Check 95% of capacity, and at most 2% less than naive."""

    @FEW
    @given(st.integers(1, 1000))
    def check(seed):
        goodput = {}
        for variant in VARIANTS:
            model = build_model(variant, seed)
            model.schedule_arrivals(INTERACTIVE, 3 * CAPACITY, 0, 9, 0.3)
            model.run(10)
            # The limits adapt to the overload by reports that are 2 s late.
            good = [c for c in model.calls if c.on_time and c.at_s >= 5]
            goodput[variant] = len(good) / 4
        assert goodput['real'] >= 0.98 * goodput['naive'], goodput
        assert goodput['real'] >= 0.95 * CAPACITY, goodput

    check()


POOL_LOADS = st.builds(
    PoolLoad,
    endpoints=st.integers(0, 10),
    limit=st.floats(1, 200),
    in_flight=st.integers(0, 200),
    queued=st.integers(0, 6000),
    service_time_s=st.floats(0, 2),
)


@then('admission refuses late requests and admits interactive ones when idle')
def check_admission(context):
    """Check that no request is admitted that is expected to end late."""

    @MANY
    @given(st.lists(POOL_LOADS, min_size=1, max_size=20), st.integers(-8, 480))
    def check(loads, eighths):
        # Eighths stay exact when the time is added and subtracted.
        remaining_s = eighths / 8
        policies = {v: build('admission', v) for v in VARIANTS}
        for load in loads:
            answer_by_kind = {
                kind: policies['real'].offer(
                    10.0, request_class, load, 10 + remaining_s
                )
                for kind, request_class in CLASS_BY_KIND.items()
            }
            start_interval_s = load.service_time_s / load.limit
            full = load.in_flight >= load.limit or load.queued
            wait_s = (load.queued + 1) * start_interval_s if full else 0.0
            late = wait_s + load.service_time_s > remaining_s
            # A few requests are always admitted to measure the pool.
            probes = max(0.1 * load.limit, 1.0)
            late = late and (load.queued or load.in_flight >= probes)
            for kind, answer in answer_by_kind.items():
                if remaining_s <= 0 or load.endpoints == 0 or late:
                    assert isinstance(answer, Refuse), (
                        kind,
                        load,
                        remaining_s,
                    )
                if isinstance(answer, Refuse):
                    assert 0 < answer.retry_after_s <= 30
            idle = not full and load.endpoints and remaining_s > 0
            if idle and load.service_time_s <= 0.5 * remaining_s:
                assert isinstance(answer_by_kind['interactive'], Admit), load
            naive = policies['naive'].offer(
                10.0, CLASS_BY_KIND['interactive'], load, 10 + remaining_s
            )
            assert isinstance(naive, Admit)

    check()


@then('limits stay in their bounds and recover')
def check_limits(context):
    """Check the bounds on any sequence, then the fall to 1 and the growth."""

    @MANY
    @given(
        st.lists(
            st.tuples(
                OUTCOMES,
                st.floats(0.001, 5),
                st.integers(1, 50),
                st.floats(0, 2),
            ),
            max_size=200,
        )
    )
    def check(events):
        limits = build('limits', 'real')
        now = 0.0
        for outcome, latency_s, in_flight, gap_s in events:
            now += gap_s
            result = AttemptResult('e0', outcome, latency_s, in_flight, 'c')
            limits.finished(now, result)
            assert 1.0 <= limits.limit('e0') <= MAX_LIMIT
        for _ in range(60):
            now += 1.0
            limits.finished(now, AttemptResult('e0', OVERLOADED, 0.01))
        assert limits.limit('e0') == 1.0
        # Full use without congestion, ten windows of results: the limit grows
        # fast, doubling per round trip.
        for _ in range(80):
            now += 3.0
            full = int(limits.limit('e0'))
            limits.finished(now, AttemptResult('e0', OK, 0.01, full, 'd'))
        assert limits.limit('e0') >= build('limits', 'naive').limit('e0')

    check()
