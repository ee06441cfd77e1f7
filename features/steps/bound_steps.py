"""Differential tests of the policies with budgets, floors and counts."""

import random

from behave import then
from decision_steps import MANY, OUTCOMES, VARIANTS
from hypothesis import given
from hypothesis import strategies as st
from queue_model import build

from anvilcove.decisions.types import (
    ERROR,
    Allow,
    AttemptResult,
    Isolate,
    PlacedEndpoint,
    PlacementDemand,
    PlacementState,
    Reject,
    RetryAfter,
    RetryRequest,
)
from anvilcove.messages.membership import HostMember


@then('ejection keeps its floor and saves attempts')
def check_ejection(context):
    """Check the floor on any sequence and the gain with one bad endpoint."""

    @MANY
    @given(
        st.integers(1, 9),
        st.lists(
            st.tuples(st.integers(0, 8), OUTCOMES, st.floats(0.001, 3)),
            max_size=200,
        ),
    )
    def check(size, events):
        pool = [f'e{index}' for index in range(size)]
        ejection = build('ejection', 'real')
        until_s = dict.fromkeys(pool, 0.0)
        for step, (index, outcome, latency_s) in enumerate(events):
            now = step * 0.1
            endpoint = pool[index % size]
            result = AttemptResult(endpoint, outcome, latency_s)
            until_s[endpoint] = ejection.finished(now, result, pool)
            out = sum(1 for until in until_s.values() if until > now)
            assert out <= size // 2

    check()
    wasted = {v: attempts_at_bad_endpoint(v) for v in VARIANTS}
    # Ejections of 1, 2, 4, 8 and 16 s leave few attempts of 30 s.
    assert wasted['real'] <= 0.2 * wasted['naive'], wasted


def attempts_at_bad_endpoint(variant):
    """Return the failures of one endpoint of four within 30 s."""
    pool = ['e0', 'e1', 'e2', 'e3']
    ejection = build('ejection', variant)
    until_s = 0.0
    wasted = 0
    for step in range(300):
        now = step * 0.1
        if until_s <= now:
            wasted += 1
            result = AttemptResult('e0', ERROR, 0.01)
            until_s = ejection.finished(now, result, pool)
    return wasted


@then('retries stay within their budget and deadline')
def check_retries(context):
    """Check the bounds on any sequence."""

    @MANY
    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(1, 5), st.floats(0, 3)),
            max_size=300,
        ),
        st.integers(0, 99),
    )
    def check(events, seed):
        rng = random.Random(seed)
        retries = dict.fromkeys(VARIANTS, 0)
        first = 0
        policies = {v: build('retry', v) for v in VARIANTS}
        for first_attempt, attempt, left_s in events:
            if first_attempt:
                first += 1
                for policy in policies.values():
                    policy.started(0.0)
                continue
            request = RetryRequest(attempt, left_s, expected_s=0.5)
            for name, policy in policies.items():
                answer = policy.next_attempt(0.0, request, rng)
                if isinstance(answer, RetryAfter):
                    retries[name] += 1
                    if name == 'real':
                        assert answer.delay_s + 0.5 < left_s
        assert retries['real'] <= 10 + 0.1 * first + 1e-6

    check()


@then('hedges are at most 5% of the finished requests')
def check_hedges(context):
    """Check the bound when every request looks slow."""

    @MANY
    @given(st.lists(st.floats(0.001, 10), max_size=400))
    def check(latencies):
        hedging = build('hedging', 'real')
        hedges = 0
        for latency_s in latencies:
            delay_s = hedging.delay_s('lookup')
            if delay_s is not None and hedging.spend():
                hedges += 1
                assert delay_s <= max(latencies)
            hedging.finished('lookup', latency_s)
        assert hedges <= 0.05 * len(latencies) + 1e-6

    check()


class PoisonTrial:
    """Hosts that share endpoints, a caller of poison and innocents."""

    def __init__(self, variant, hosts):
        self.hosts = [build('quarantine', variant) for _ in range(hosts)]
        self.crashed = 0
        self.rejected = []
        self.now = 0.0

    def send(self, host, content, beside):
        """Send a content to a host where others are in flight."""
        self.now += 1.0
        policy = self.hosts[host % len(self.hosts)]
        verdict = policy.verdict(self.now, content)
        if isinstance(verdict, Reject):
            self.rejected.append(content)
            return
        others = [] if isinstance(verdict, Isolate) else beside
        others = [
            c for c in others if isinstance(policy.verdict(self.now, c), Allow)
        ]
        if content == 'poison':
            endpoint = f'e{self.crashed}'
            self.crashed += 1
            policy.crashed(self.now, endpoint, [content, *others])
        else:
            policy.finished(self.now, content)
        for other in self.hosts:
            other.merge(self.now, policy.digests(self.now))


@then('poison costs at most two endpoints and innocents always run')
def check_poison(context):
    """Check any order of callers and hosts, with gossip between sends."""
    innocents = ['a', 'b', 'c', 'd']

    @MANY
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 11),
                st.sampled_from(['poison', *innocents]),
                st.lists(st.sampled_from(innocents), unique=True),
            ),
            max_size=60,
        )
    )
    def check(sends):
        crashed = {}
        for variant in VARIANTS:
            trial = PoisonTrial(variant, 12)
            for host, content, beside in sends:
                trial.send(host, content, beside)
            crashed[variant] = trial.crashed
            assert set(trial.rejected) <= {'poison'}
        assert crashed['real'] <= 2
        assert crashed['real'] <= crashed['naive']

    check()


@then('merged counts are the same in every order')
def check_merge(context):
    """Check that gossip in any order, also repeated, gives one verdict."""
    event = st.tuples(
        st.integers(0, 2),
        st.booleans(),
        st.sampled_from(['e0', 'e1', 'e2']),
        st.sampled_from(['x', 'y']),
    )

    @MANY
    @given(st.lists(event, max_size=20), st.permutations([0, 1, 2]))
    def check(events, order):
        hosts = [build('quarantine', 'real') for _ in range(3)]
        for host, crash, endpoint, content in events:
            if crash:
                hosts[host].crashed(1.0, endpoint, [content])
            else:
                hosts[host].finished(1.0, content)
        digests = [host.digests(1.0) for host in hosts]
        forward = build('quarantine', 'real')
        shuffled = build('quarantine', 'real')
        for index in range(3):
            forward.merge(2.0, digests[index])
            shuffled.merge(2.0, digests[order[index]])
            shuffled.merge(2.0, digests[order[0]])
        for content in ('x', 'y'):
            first = forward.verdict(2.0, content)
            assert first == shuffled.verdict(2.0, content)

    check()


def host_members(number):
    """Return hosts in four data centres."""
    return [
        HostMember(
            host=f'h{index}',
            address=f'127.0.0.1:{index + 1}',
            data_centre=f'dc{index % 4}',
        )
        for index in range(number)
    ]


@then('entries are level and stable')
def check_entries(context):
    """Check the spread of many callers and the effect of a lost host."""

    @MANY
    @given(st.integers(0, 10_000), st.integers(4, 13))
    def check(slot, number):
        now = slot * 10.0
        hosts = host_members(number)
        entries = build('entries', 'real')
        first = dict.fromkeys([h.host for h in hosts], 0)
        for caller in range(100):
            place = f'dc{caller % 4}'
            named = entries.choose(now, f'c{caller}', place, hosts, {})
            assert len({h.host for h in named}) == min(3, number)
            assert named[0].data_centre == place
            first[named[0].host] += 1
            gone = hosts[0]
            left = entries.choose(now, f'c{caller}', place, hosts[1:], {})
            if gone not in named:
                assert left == named
        # The naive variant sends all hundred callers to one host.
        assert max(first.values()) <= 60

    check()
    check_loaded_host()


def check_loaded_host():
    """Check that a host far above the mean load is named less often."""
    hosts = host_members(12)
    load = dict.fromkeys([h.host for h in hosts], 10) | {'h0': 60}
    entries = build('entries', 'real')
    first = [
        entries.choose(slot * 10.0, 'c', 'dc0', hosts, load)[0].host
        for slot in range(300)
    ]
    # Three hosts of the data centre share evenly without the weight.
    assert first.count('h0') <= 50


@then('placement meets the demand and settles')
def check_placement(context):
    """Check moves per plan, the end state and that it is kept."""
    demand = st.builds(
        PlacementDemand,
        model=st.sampled_from(['a', 'b']),
        requests_per_s=st.floats(0, 20),
        service_time_s=st.just(1.0),
    )

    @MANY
    @given(
        st.lists(st.sampled_from(['a', 'b']), min_size=2, max_size=10),
        st.lists(demand, max_size=2, unique_by=lambda d: d.model),
    )
    def check(models, demands):
        short = {}
        for variant in VARIANTS:
            placement = build('placement', variant)
            placed = [
                PlacedEndpoint(f'e{index}', model)
                for index, model in enumerate(models)
            ]
            moves = []
            for step in range(200):
                state = PlacementState(placed, demands, slots=8.0)
                orders = placement.plan(step * 5.0, state)
                assert len(orders) <= 1
                for order in orders:
                    assert order.reason
                    moves.append(step)
                    placed[int(order.endpoint[1:])].model = order.model
            assert len(moves) <= len(models)
            assert not moves or moves[-1] < 150
            short[variant] = missing(placed, demands)
        assert short['real'] <= short['naive']

    check()


def missing(placed, demands):
    """Return the servers that the models lack for their mean load."""
    return sum(
        max(
            d.requests_per_s / 8.0
            - sum(1 for p in placed if p.model == d.model),
            0.0,
        )
        for d in demands
    )
