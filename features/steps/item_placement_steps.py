"""Steps that call the placement of items directly."""

import random

from behave import given, then, when

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.item_moves import (
    EngineUtilization,
    RunningItem,
    select_items_to_move,
)
from anvilcove.decisions.item_placement import (
    EngineSlotView,
    choose_engine,
    is_long_item,
)
from anvilcove.jobs.engine_records import (
    EngineRecords,
    IntervalMeter,
    relative_paces,
)

OBJECTIVE_S = 7.5
BURSTS = 20


@given(
    '{fast:d} engines with a pace of {pace:g} and {slow:d} with a pace of '
    '{other:g}, of {slots:d} slots'
)
def describe_pool(context, fast, pace, slow, other, slots):
    """Describe idle engines of two speeds."""
    paces = [pace] * fast + [other] * slow
    context.engines = [
        EngineSlotView(f'e{n}', slots, 0, pace=p) for n, p in enumerate(paces)
    ]
    context.rng = random.Random(1)
    context.placed = []
    context.waiting = 0


@given('the engines with a pace of {pace:g} run {count:d} {kind} items each')
def fill_engines(context, pace, count, kind):
    """Let the engines of one speed run items."""
    for engine in context.engines:
        if engine.pace == pace:
            engine.in_flight = count
            engine.long_items = count if kind == 'long' else 0


@when('{long:d} long and {short:d} short items start')
def start_items(context, long, short):
    """Place items, long ones first."""
    for is_long in [True] * long + [False] * short:
        chosen = choose_engine(context.engines, context.rng, is_long)
        if chosen is None:
            context.waiting += 1
            continue
        chosen.in_flight += 1
        chosen.long_items += is_long
        context.placed.append((is_long, chosen.pace))


@then('every {kind} item runs on an engine with a pace of {pace:g}')
def check_paces(context, kind, pace):
    """Check where the items of a kind run."""
    paces = {p for is_long, p in context.placed if is_long == (kind == 'long')}
    assert paces == {pace}, paces


@then('no slot is free')
def check_full(context):
    """Check that every slot is taken."""
    assert all(e.in_flight == e.slots for e in context.engines)


@then('{count:d} item waits')
@then('{count:d} items wait')
def check_waiting(context, count):
    """Check how many items were not placed."""
    assert context.waiting == count, context.waiting


@then(
    'an item with hint {hint:d}, {expected:g} s expected and a median of '
    '{middle:d} is {kind}'
)
def check_kind(context, hint, expected, middle, kind):
    """Check whether an item counts as long."""
    found = is_long_item(hint, expected, OBJECTIVE_S, middle)
    assert found == (kind == 'long'), found


@then(
    'an item with hint {hint:d}, nan s expected and a median of {middle:d} is '
    '{kind}'
)
def check_kind_of_nan(context, hint, middle, kind):
    """Check an expected time that is not a number."""
    check_kind(context, hint, float('nan'), middle, kind)


@given(
    'an engine with {slow:d} ms an event and one with {fast:d} ms and '
    '{free:d} free slots'
)
def describe_pair(context, slow, fast, free):
    """Describe two engines with known event intervals."""
    context.pair = [
        EngineUtilization('slow', 12, 12, interval_s=slow / 1000),
        EngineUtilization('fast', 12, 12 - free, interval_s=fast / 1000),
    ]


@when('an item of the slower engine has made {events:d} events')
def describe_item(context, events):
    """Decide about one item without a usable hint."""
    decide_move(context, events, events * context.pair[0].interval_s)


@when(
    'an item of the slower engine has made {events:d} events {age:g} s after '
    'its start'
)
def describe_young_item(context, events, age):
    """Decide about one item that resumed with a part of its events."""
    decide_move(context, events, age)


def decide_move(context, events, age_s):
    """Decide whether the only item is moved."""
    item = RunningItem(
        'item', 'slow', events, age_s=age_s, objective_s=OBJECTIVE_S
    )
    context.moves = select_items_to_move(context.pair, [item])


@then('it is moved')
def check_moved(context):
    """Check that the item is moved."""
    assert [item.item_id for item in context.moves] == ['item']


@then('it is not moved')
def check_not_moved(context):
    """Check that the item stays."""
    assert not context.moves, context.moves


class SetClock:
    """Clock that the steps set."""

    def __init__(self):
        """Start at 0."""
        self.now_s = 0.0

    def now(self):
        """Return the time that was set."""
        return self.now_s


@when('an engine makes {count:d} events {interval:d} ms apart')
def make_events(context, count, interval):
    """Record the events of one run on a new engine."""
    registry = context.registry = EndpointRegistry()
    registry.entry_by_endpoint = {
        'e': EndpointEntry('e', 0, 'llm', '10.0.0.1:80', 'dc', False, 12)
    }
    context.clock = SetClock()
    context.records = EngineRecords(registry, context.clock)
    context.meter = IntervalMeter()
    add_events(context, [interval / 1000] * count)


@when(
    'an engine makes {count:d} events {interval:d} ms apart that are read two '
    'at a time'
)
def make_paired_events(context, count, interval):
    """Record events of which each second one is read with the one before."""
    make_events(context, 0, interval)
    add_events(context, [0.0005, interval / 500] * (count // 2))


@when('it makes {count:d} events {interval:d} ms apart')
def make_more_events(context, count, interval):
    """Record more events of the same run."""
    add_events(context, [interval / 1000] * count)


def add_events(context, intervals):
    """Record event intervals in seconds."""
    for seconds in intervals:
        context.clock.now_s += seconds
        context.records.on_event_interval('e', seconds, context.meter)


@when('{seconds:d} s pass without an event')
def pass_without_event(context, seconds):
    """Advance the clock."""
    context.clock.now_s += seconds


@then('its interval is between {low:d} and {high:d} ms')
def check_interval(context, low, high):
    """Check the interval of the engine."""
    interval_ms = context.records.interval_by_endpoint()['e'] * 1000
    assert low <= interval_ms <= high, interval_ms


@when(
    '{count:d} engines make {events:d} events {interval:d} ms apart and one '
    'sends them {burst:d} at a time'
)
def make_bursts(context, count, events, interval, burst):
    """Record the events of several engines, one of which sends bursts."""
    make_events(context, 0, interval)
    entry = context.registry.entry_by_endpoint['e']
    names = [f'e{n}' for n in range(count)] + ['burst']
    context.registry.entry_by_endpoint = dict.fromkeys(names, entry)
    for name in names:
        meter = IntervalMeter()
        steady = [interval / 1000] * events
        first_s = interval * burst / 10_000
        bursts = ([first_s] + [0.0] * (burst - 1)) * BURSTS
        for seconds in bursts if name == 'burst' else steady:
            context.records.on_event_interval(name, seconds, meter)


@then('the pace of that engine is unknown and the others are equal')
def check_bursts(context):
    """Check which engines have a known interval."""
    paces = relative_paces(context.records.interval_by_endpoint())
    assert set(paces.values()) == {1.0}, paces
    assert 'burst' not in paces, paces
