"""Steps that call the decision about moving items directly."""

import random

from behave import given, then, when

from anvilcove.decisions.item_moves import (
    EngineUtilization,
    RunningItem,
    select_items_to_move,
)
from anvilcove.decisions.item_placement import EngineSlotView, choose_engine


@given('{count:d} engines with {slots:d} slots, all full')
def describe_full_engines(context, count, slots):
    """Describe engines without a free slot."""
    describe_engines(context, count, slots, slots)


@given('{count:d} engines with {slots:d} slots, of which {used:d} are in use')
def describe_engines(context, count, slots, used):
    """Describe engines and their items; later items have more events."""
    context.engines = [
        EngineUtilization(f'e{n}', slots, used) for n in range(count)
    ]
    context.items = [
        RunningItem(f'e{engine}-{n}', f'e{engine}', events=n + 1)
        for engine in range(count)
        for n in range(used)
    ]


@when('engine {number:d} takes {pace:g} times the median time per event')
def set_pace(context, number, pace):
    """Set the time per event of an engine relative to the median."""
    context.engines[number].pace = pace


@when('the other engines cannot be used')
def disable_others(context):
    """Mark all engines but the first as unusable."""
    for engine in context.engines[1:]:
        engine.usable = False


@then('{count:d} of its items are moved, those with the most events')
def check_moves(context, count):
    """Compare with the items of the first engine."""
    moves = select_items_to_move(context.engines, context.items)
    own = [item for item in context.items if item.endpoint == 'e0']
    expected = sorted(own, key=lambda item: -item.events)[:count]
    assert moves == expected, moves


@when('{count:d} of its items have ended')
def end_items(context, count):
    """Free slots of the first engine."""
    context.engines[0].in_flight -= count


@when('{count:d} item of engine {number:d} has ended')
def end_items_elsewhere(context, count, number):
    """Free slots of another engine."""
    context.engines[number].in_flight -= count


def choose(context):
    """Return the engine for a waiting item."""
    views = [
        EngineSlotView(e.endpoint, e.slots, e.in_flight, pace=e.pace)
        for e in context.engines
    ]
    return choose_engine(views, random.Random(1))


@then('a waiting item is not sent to any engine')
def check_waits(context):
    """Check that the item waits for a slot."""
    assert choose(context) is None


@then('a waiting item is sent to engine {number:d}')
def check_placed(context, number):
    """Check which engine was chosen."""
    assert choose(context).endpoint == f'e{number}'
