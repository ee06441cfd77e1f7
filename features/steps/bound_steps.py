"""Tests of the policies that eject, retry, hedge, quarantine and place.

Each check compares the default variant of a policy with the naive one or
tests its bounds on generated sequences of events.
"""

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
    """Check that at most half of a pool is ejected, on any sequence of events.

    With one failing endpoint, ejection must also save most of the attempts
    that the naive variant wastes.
    """

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
            ejected = sum(1 for until in until_s.values() if until > now)
            assert ejected <= size // 2

    check()
    wasted = {v: attempts_at_failing_endpoint(v) for v in VARIANTS}
    # Ejections of 1, 2, 4, 8 and 16 s leave few attempts within 30 s.
    assert wasted['real'] <= 0.2 * wasted['naive'], wasted


def attempts_at_failing_endpoint(variant):
    """Return the attempts within 30 s at one of four endpoints that fails.

    Each of the 300 steps of 0.1 s is an attempt unless the endpoint is
    ejected.
    """
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
    """Check budget and deadline on any sequence of attempts.

    The budget is 10 retries and 10% of the first attempts.
    """

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
        first_attempts = 0
        policies = {v: build('retry', v) for v in VARIANTS}
        for is_first, attempt, remaining_s in events:
            if is_first:
                first_attempts += 1
                for policy in policies.values():
                    policy.started(0.0)
                continue
            request = RetryRequest(attempt, remaining_s, expected_s=0.5)
            for name, policy in policies.items():
                answer = policy.next_attempt(0.0, request, rng)
                if isinstance(answer, RetryAfter):
                    retries[name] += 1
                    if name == 'real':
                        assert answer.delay_s + 0.5 < remaining_s
        assert retries['real'] <= 10 + 0.1 * first_attempts + 1e-6

    check()


@then('hedges are at most 5% of the finished requests')
def check_hedges(context):
    """Check the budget when every request is slower than the hedge delay."""

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


class PoisonSimulation:
    """Hosts that share endpoints and receive poison and innocent contents.

    The content `poison` crashes the endpoint that runs it.
    """

    def __init__(self, variant, hosts):
        self.hosts = [build('quarantine', variant) for _ in range(hosts)]
        self.crashed = 0
        self.rejected = []
        self.now = 0.0

    def send(self, host, content, concurrent):
        """Send a content to a host that has other contents in flight.

        Unless the content is rejected, all hosts merge the digests of this
        host afterwards.
        """
        self.now += 1.0
        policy = self.hosts[host % len(self.hosts)]
        verdict = policy.verdict(self.now, content)
        if isinstance(verdict, Reject):
            self.rejected.append(content)
            return
        others = [] if isinstance(verdict, Isolate) else concurrent
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
    """Check any order of contents and hosts, with gossip after each send."""
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
            simulation = PoisonSimulation(variant, 12)
            for host, content, concurrent in sends:
                simulation.send(host, content, concurrent)
            crashed[variant] = simulation.crashed
            assert set(simulation.rejected) <= {'poison'}
        assert crashed['real'] <= 2
        assert crashed['real'] <= crashed['naive']

    check()


@then('merged counts are the same in every order')
def check_merge(context):
    """Check that order and repetition of gossip do not change a verdict."""
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
        in_order = build('quarantine', 'real')
        shuffled = build('quarantine', 'real')
        for index in range(3):
            in_order.merge(2.0, digests[index])
            shuffled.merge(2.0, digests[order[index]])
            shuffled.merge(2.0, digests[order[0]])
        for content in ('x', 'y'):
            expected = in_order.verdict(2.0, content)
            assert expected == shuffled.verdict(2.0, content)

    check()


def host_members(number):
    """Return hosts spread over four data centres."""
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
    """Check the spread of 100 callers and which entries a lost host changes.

    The first entry is in the data centre of the caller. Only callers that
    had the lost host among their entries get others.
    """

    @MANY
    @given(st.integers(0, 10_000), st.integers(4, 13))
    def check(slot, number):
        now = slot * 10.0
        hosts = host_members(number)
        entries = build('entries', 'real')
        first_count = dict.fromkeys([h.host for h in hosts], 0)
        for caller in range(100):
            data_centre = f'dc{caller % 4}'
            chosen = entries.choose(now, f'c{caller}', data_centre, hosts, {})
            assert len({h.host for h in chosen}) == min(3, number)
            assert chosen[0].data_centre == data_centre
            first_count[chosen[0].host] += 1
            lost = hosts[0]
            remaining = entries.choose(
                now, f'c{caller}', data_centre, hosts[1:], {}
            )
            if lost not in chosen:
                assert remaining == chosen
        # The naive variant gives all 100 callers the same first host.
        assert max(first_count.values()) <= 60

    check()
    check_loaded_host()


def check_loaded_host():
    """Check that a host far above the mean load is less often the first."""
    hosts = host_members(12)
    load = dict.fromkeys([h.host for h in hosts], 10) | {'h0': 60}
    entries = build('entries', 'real')
    first_hosts = [
        entries.choose(slot * 10.0, 'c', 'dc0', hosts, load)[0].host
        for slot in range(300)
    ]
    # Without weights, each of the three hosts of dc0 would be first in about
    # 100 of the 300 time slots.
    assert first_hosts.count('h0') <= 50


@then('placement meets the demand and settles')
def check_placement(context):
    """Check the number of moves, that they end, and the final placement.

    It must lack no more servers than that of the naive variant.
    """
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
        shortage = {}
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
            shortage[variant] = missing_servers(placed, demands)
        assert shortage['real'] <= shortage['naive']

    check()


def missing_servers(placed, demands):
    """Return how many servers all models lack for their mean load."""
    return sum(
        max(
            d.requests_per_s / 8.0
            - sum(1 for p in placed if p.model == d.model),
            0.0,
        )
        for d in demands
    )
