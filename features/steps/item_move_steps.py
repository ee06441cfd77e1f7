"""Steps that call the decision on moves of items."""

import random

from behave import given, then, when

from anvilcove.decisions.item_moves import (
    EngineUtilization,
    RunningItem,
    select_items_to_move,
)
from anvilcove.decisions.item_placement import EngineSlotView, choose_engine


@given('{count:d} engines with {slots:d} slots, all full')
def full_engines(context, count, slots):
    """Describe engines that run as much as they can."""
    used_engines(context, count, slots, slots)


@given('{count:d} engines with {slots:d} slots, of which {used:d} are in use')
def used_engines(context, count, slots, used):
    """Describe engines and their items; later items have more events."""
    context.engines = [
        EngineUtilization(f'e{n}', slots, used) for n in range(count)
    ]
    context.items = [
        RunningItem(f'e{engine}-{n}', f'e{engine}', events=n + 1)
        for engine in range(count)
        for n in range(used)
    ]


@when('engine {number:d} takes {pace:g} times as long for an event')
def slow(context, number, pace):
    """Set the pace of an engine over the median."""
    context.engines[number].pace = pace


@when('the other engines cannot be used')
def unusable(context):
    """Leave all engines but the first out."""
    for engine in context.engines[1:]:
        engine.usable = False


@then('{count:d} of its items are moved, those with the most events')
def moved(context, count):
    """Compare with the items of the first engine."""
    moves = select_items_to_move(context.engines, context.items)
    own = [item for item in context.items if item.endpoint == 'e0']
    expected = sorted(own, key=lambda item: -item.events)[:count]
    assert moves == expected, moves


@when('{count:d} of its items are gone')
def gone(context, count):
    """Free slots of the first engine."""
    context.engines[0].in_flight -= count


@when('{count:d} item of engine {number:d} is gone')
def gone_elsewhere(context, count, number):
    """Free slots of another engine."""
    context.engines[number].in_flight -= count


def chosen(context):
    """Return the engine for a waiting item."""
    views = [
        EngineSlotView(e.endpoint, e.slots, e.in_flight, pace=e.pace)
        for e in context.engines
    ]
    return choose_engine(views, random.Random(1))


@then('a waiting item is not sent to any engine')
def waits(context):
    """Check that the item waits for a slot."""
    assert chosen(context) is None


@then('a waiting item is sent to engine {number:d}')
def placed(context, number):
    """Check the choice."""
    assert chosen(context).endpoint == f'e{number}'
