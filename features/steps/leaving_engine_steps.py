"""Steps with engines that announce in their rows when they leave."""

import msgspec
from behave import given, then, when
from msgspec.structs import replace

from anvilcove.control.endpoints import EndpointEntry
from anvilcove.ports.store import RowId
from anvilcove.standins.memory_engines import EVENT_PERIOD_S


@given('items of {seconds:g} s')
def set_length(context, seconds):
    """Set the number of events of each item."""
    for engine in context.memory.engines:
        engine.events = round(seconds / EVENT_PERIOD_S)


@when('engine 0 says after 1 s that it leaves in 2.5 s')
def announce_leave(context):
    """Write the row of an engine that is reclaimed."""
    site = context.memory
    site.pass_time(1.0)
    engine = site.engines[0]
    assert engine.running, 'no item at the engine'
    value, _ = site.store.rows[RowId('servers', '', engine.address)]
    entry = msgspec.msgpack.decode(value, type=EndpointEntry)
    entry = replace(entry, draining=True, reclaimable=True, leaves_s=2.5)
    site.put('servers', engine.address, msgspec.msgpack.encode(entry))


@then('nothing runs at engine 0 when it leaves')
def check_idle(context):
    """Let the announced time pass."""
    context.memory.pass_time(2.5)
    assert context.memory.engines[0].running == 0


@then('the {count:d} items go on at engine 1 where they stopped')
def check_resumed(context, count):
    """Compare the runs at both engines."""
    context.memory.pass_time(5.0)
    first, second = (engine.runs for engine in context.memory.engines[:2])
    begun = [item for item, after in first + second if not after]
    resumed = [item for item, after in second if after]
    assert len(begun) == count, (first, second)
    assert sorted(resumed) == sorted(item for item, _ in first), second


@then('the {count:d} items run once')
def check_once(context, count):
    """Count the runs at both engines."""
    context.memory.pass_time(5.0)
    runs = sum(len(engine.runs) for engine in context.memory.engines)
    assert runs == count, runs
