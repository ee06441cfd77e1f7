"""Steps that call the training policies directly."""

from behave import given, then, when

from anvilcove.decisions.groups import (
    LongestFirst,
    SampleView,
    StragglerView,
    WaitingStep,
)
from anvilcove.decisions.naive_training import AllAtOnce
from anvilcove.decisions.rollout import RolloutState, ServerView, WaveRollout
from anvilcove.decisions.staleness import BoundedStaleness

MAX_TOKENS = 100


@given('the groups policy longest_first')
def groups_policy(context):
    """Create the policy, which uses no settings."""
    context.policy = LongestFirst(None)


@when(
    'samples of prompt {one} had {few:d} tokens and of prompt {other} '
    '{many:d} tokens'
)
def learn_lengths(context, one, few, other, many):
    """Report the lengths of finished samples to the policy."""
    context.policy.finished(one, few, MAX_TOKENS)
    context.policy.finished(other, many, MAX_TOKENS)


@then('the samples of prompts {prompts} start in the order {order}')
def check_order(context, prompts, order):
    """Compare the order in which the samples start."""
    names = prompts.split(', ')
    views = [SampleView(i, name, MAX_TOKENS) for i, name in enumerate(names)]
    found = [names[i] for i in context.policy.starting_order(0.0, views)]
    assert found == order.split(', '), found


@then(
    'of trainers waiting since {first:d}, {second:d} and not at all, number '
    '{number:d} is served next'
)
def check_next(context, first, second, number):
    """Compare the trainer that is served next."""
    needs = [
        WaitingStep('1', 1, 1.0, float(first), 4),
        WaitingStep('2', 1, 2.0, float(second), 4),
        WaitingStep('3', 1, 0.0, None, 4),
    ]
    assert context.policy.next_step(10.0, needs).trainer == str(number)


def decide(context, tokens, rate, other, viable):
    """Return the name of the decision about a running sample."""
    view = StragglerView(
        content='a',
        tokens=tokens,
        max_tokens=MAX_TOKENS,
        running_s=tokens / rate,
        silent_s=0.0,
        rate=float(rate),
        viable=viable,
        rates={'fast': float(other)},
    )
    return type(context.policy.handle_straggler(0.0, view)).__name__


@then(
    'a sample with {tokens:d} tokens at {rate:d} tokens/s and another engine '
    'at {other:d} tokens/s leads to the decision {name}'
)
def check_straggler(context, tokens, rate, other, name):
    """Compare the decision about a viable sample."""
    found = decide(context, tokens, rate, other, viable=True)
    assert found == name, found


@then(
    'a sample that exceeds the staleness bound at {rate:d} tokens/s and '
    'another engine at {other:d} tokens/s leads to the decision {name}'
)
def check_old_straggler(context, rate, other, name):
    """Compare the decision about a sample that is too old."""
    found = decide(context, 20, rate, other, viable=False)
    assert found == name, found


@given('weights of versions 1, 2 and 3 published {apart:d} s apart')
def publish_versions(context, apart):
    """Report the times of the publications to the policy."""
    context.policy = BoundedStaleness(None)
    for version in (1, 2, 3):
        context.policy.published(float(version * apart), 'm', version)
    context.at_s = float(3 * apart)


@then(
    'a sample of version {oldest:d} with bound {bound:d} and {left:d} s left '
    'is viable {later:d} s later'
)
def check_viable(context, oldest, bound, left, later):
    """Check that the sample continues."""
    assert viable(context, oldest, bound, left, later)


@then(
    'a sample of version {oldest:d} with bound {bound:d} and {left:d} s left '
    'is not viable {later:d} s later'
)
def check_not_viable(context, oldest, bound, left, later):
    """Check that the sample is stopped."""
    assert not viable(context, oldest, bound, left, later)


def viable(context, oldest, bound, left, later):
    """Return whether the policy considers a sample viable."""
    now = context.at_s + later
    return context.policy.viable(now, oldest, 3, bound, 'm', float(left))


@given('{count:d} engines in data centres {names} with version 1 at the first')
def create_engines(context, count, names):
    """Create engines that alternate between the data centres."""
    centres = names.split(', ')
    context.servers = [
        ServerView(
            endpoint=f'e{i}',
            data_centre=centres[i % len(centres)],
            version=1 if i == 0 else 0,
            swapping=False,
            load=0.1,
        )
        for i in range(count)
    ]


@then(
    'a wave of the roll-out orders {count:d} engines, the first one in data '
    'centre {centre}'
)
def check_waves(context, count, centre):
    """Compare the number of orders and the first engine."""
    orders = WaveRollout(None).plan(0.0, RolloutState(1, context.servers))
    centres = {s.endpoint: s.data_centre for s in context.servers}
    assert len(orders) == count, orders
    assert centres[orders[0].endpoint] == centre, orders


@then(
    'under load {load:f} a wave of the roll-out orders {count:d} engines, '
    'the first one in data centre {centre}'
)
def check_loaded_waves(context, load, count, centre):
    """Compare the orders when callers use most of the capacity."""
    for server in context.servers:
        server.load = load
    check_waves(context, count, centre)


@then('the naive roll-out orders {count:d} engines')
def check_naive(context, count):
    """Compare the number of orders of the naive roll-out."""
    orders = AllAtOnce(None).plan(0.0, RolloutState(1, context.servers))
    assert len(orders) == count, orders
