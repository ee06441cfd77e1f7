"""Differential tests of the policies that admit, route and limit."""

import random

from behave import then
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from queue_model import (
    POOL,
    TARGETS,
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
# Without shrinking: it takes minutes when a test fails, and the generated
# sequences are short.
COMMON = {
    'derandomize': True,
    'deadline': None,
    'database': None,
    'phases': [Phase.explicit, Phase.generate],
}
# A run of the queueing model takes a second; a policy takes microseconds.
FEW = settings(max_examples=3, **COMMON)
MANY = settings(max_examples=80, **COMMON)
SERVICE_S = 0.05
SERVERS = 4
CAPACITY = SERVERS * 8 / SERVICE_S


def on_time(calls):
    """Return the share of calls that were answered on time."""
    return sum(call.on_time for call in calls) / len(calls)


def model_of(variant, seed, hosts=12, slow=1.0):
    """Return hosts that share a few servers, the first one slower."""
    servers = [
        Server(f'e{index}', SERVICE_S * (1.0 if index else slow))
        for index in range(SERVERS)
    ]
    return QueueModel(variant, hosts, servers, seed)


ENDPOINT = st.fixed_dictionaries(
    {
        'leaving': st.booleans(),
        'isolated': st.booleans(),
        'ejected': st.booleans(),
        'in_flight': st.integers(0, 4),
        'limit': st.sampled_from([1.0, 2.5, 4.0]),
    }
)


def view_of(endpoints):
    """Return a view with the generated states."""
    view = EndpointView()
    view.update(members(len(endpoints), ('casa-ain', 'casa-sidi')))
    for index, facts in enumerate(endpoints):
        state = view.by_id[f'e{index}']
        state.leaving = facts['leaving']
        state.isolated = facts['isolated']
        state.ejected_until_s = 200.0 if facts['ejected'] else 0.0
        state.in_flight = facts['in_flight']
        state.limit = facts['limit']
    return view


@then('routing never chooses a forbidden endpoint')
def check_routing_rules(context):
    """Check both variants on random views."""

    @MANY
    @given(
        st.lists(ENDPOINT, min_size=1, max_size=30),
        st.sets(st.integers(0, 5)),
        st.booleans(),
        st.lists(st.sampled_from('abc'), max_size=3),
    )
    def check(endpoints, excluded, isolated, prefixes):
        for variant in VARIANTS:
            view = view_of(endpoints)
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
                few = len(endpoints) <= 6 and not isolated
                assert not (few and usable), usable
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
    """Check the target and a margin of 5% against naive."""

    @FEW
    @given(st.integers(1, 1000), st.sampled_from([0.2, 0.5, 0.8]))
    def check(seed, load):
        slowest = {}
        for variant in VARIANTS:
            model = model_of(variant, seed)
            model.arrivals(INTERACTIVE, load * CAPACITY, 0, 8, 1.0)
            model.run(10)
            served = [s.served for s in model.servers.values()]
            mean = sum(served) / len(served)
            if variant == 'real':
                assert max(served) <= 1.15 * mean, served
            latencies = sorted(c.ended_s - c.at_s for c in model.calls)
            slowest[variant] = latencies[int(len(latencies) * 0.95)]
        assert slowest['real'] <= 1.15 * slowest['naive'], slowest

    check()


@then('answers on time with a slow server are at least those of naive')
def check_slow_server(context):
    """Check a margin of half a percent against naive."""

    @FEW
    @given(st.integers(1, 1000), st.sampled_from([0.4, 0.6]))
    def check(seed, load):
        share = {}
        for variant in VARIANTS:
            model = model_of(variant, seed, slow=3.0)
            model.arrivals(INTERACTIVE, load * CAPACITY, 0, 8, 0.3)
            model.run(10)
            share[variant] = on_time([c for c in model.calls if c.at_s > 2])
        assert share['real'] >= share['naive'] - 0.005, share
        assert share['real'] >= 0.99, share

    check()


@then('interactive work is on time beside batch work')
def check_interactive(context):
    """Check the targets of 99.9% and 1.5 times the idle latency."""

    @FEW
    @given(st.integers(1, 1000))
    def check(seed):
        shares = {}
        for variant in VARIANTS:
            model = model_of(variant, seed, hosts=4)
            model.arrivals(INTERACTIVE, 0.2 * CAPACITY, 0, 10, 0.5)
            model.arrivals('background', 10 * CAPACITY, 3, 10, 20.0)
            model.run(11)
            calls = [c for c in model.calls if c.kind == INTERACTIVE]
            shares[variant] = on_time(calls)
            batch = [c for c in model.calls if c.kind != INTERACTIVE]
            if variant == 'real':
                assert any(call.on_time for call in batch)
                idle = [c for c in calls if c.at_s < 3]
                beside = [c for c in calls if c.at_s >= 5]
                assert slow_end(beside) <= 1.5 * slow_end(idle)
        assert shares['real'] >= 0.999, shares
        assert shares['real'] >= shares['naive'], shares

    check()


def slow_end(calls):
    """Return the 99th percentile of the latency."""
    latencies = sorted(call.ended_s - call.at_s for call in calls)
    return latencies[int(len(latencies) * 0.99)]


@then('goodput at 3 times overload is at least 95% of capacity')
def check_goodput(context):
    """Check the target and a margin of 2% against naive."""

    @FEW
    @given(st.integers(1, 1000))
    def check(seed):
        goodput = {}
        for variant in VARIANTS:
            model = model_of(variant, seed)
            model.arrivals(INTERACTIVE, 3 * CAPACITY, 0, 9, 0.3)
            model.run(10)
            # The limits learn the overload from reports that are 2 s late.
            good = [c for c in model.calls if c.on_time and c.at_s >= 5]
            goodput[variant] = len(good) / 4
        assert goodput['real'] >= 0.98 * goodput['naive'], goodput
        assert goodput['real'] >= 0.95 * CAPACITY, goodput

    check()


LOAD = st.builds(
    PoolLoad,
    endpoints=st.integers(0, 10),
    limit=st.floats(1, 200),
    in_flight=st.integers(0, 200),
    queued=st.integers(0, 6000),
    service_time_s=st.floats(0, 2),
)


@then('admission keeps the deadline and refuses batch work first')
def check_admission(context):
    """Check that no admitted request is expected to end too late."""

    @MANY
    @given(st.lists(LOAD, min_size=1, max_size=20), st.integers(-8, 480))
    def check(loads, eighths):
        # Eighths are exact, also after adding and taking off the time.
        left_s = eighths / 8
        policies = {v: build('admission', v) for v in VARIANTS}
        for load in loads:
            verdict = {
                kind: policies['real'].offer(10.0, target, load, 10 + left_s)
                for kind, target in TARGETS.items()
            }
            turn_s = load.service_time_s / load.limit
            full = load.in_flight >= load.limit or load.queued
            wait_s = (load.queued + 1) * turn_s if full else 0.0
            late = wait_s + load.service_time_s > left_s
            # Few requests are always let through to measure the pool.
            probes = max(0.1 * load.limit, 1.0)
            late = late and (load.queued or load.in_flight >= probes)
            for kind, answer in verdict.items():
                if left_s <= 0 or load.endpoints == 0 or late:
                    assert isinstance(answer, Refuse), (kind, load, left_s)
                if isinstance(answer, Refuse):
                    assert 0 < answer.retry_after_s <= 30
            idle = not full and load.endpoints and left_s > 0
            if idle and load.service_time_s <= 0.5 * left_s:
                assert isinstance(verdict['interactive'], Admit), load
            naive = policies['naive'].offer(
                10.0, TARGETS['interactive'], load, 10 + left_s
            )
            assert isinstance(naive, Admit)

    check()


@then('limits stay in their bounds and recover')
def check_limits(context):
    """Check bounds on any sequence, the floor and the growth."""

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
        # Ten turns of full use without congestion double it each time.
        for _ in range(80):
            now += 3.0
            full = int(limits.limit('e0'))
            limits.finished(now, AttemptResult('e0', OK, 0.01, full, 'd'))
        assert limits.limit('e0') >= build('limits', 'naive').limit('e0')

    check()
