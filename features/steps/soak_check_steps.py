"""Steps with the checks of the soak, on virtual time."""

import asyncio
from types import SimpleNamespace

from behave import given, then

from anvilcove.platform.standin import ServerStandin
from anvilcove.soak.callers import JobRecord
from anvilcove.soak.closing import (
    ProcessorWaits,
    is_answer,
    wait_with_processor,
)
from anvilcove.soak.placement_checks import EngineRoom, check_owed_items
from anvilcove.soak.run import CompletionLimit
from anvilcove.standins.virtual_loop import VirtualLoop

ITEM = 'early-crash-i1'


@given('an engine whose slots are {state}')
def start_engine(context, state):
    """Build a site of one engine, and a job that needs version 2."""
    context.virtual = VirtualLoop()
    context.add_cleanup(context.virtual.close)
    engine = ServerStandin('e0', model='m')
    engine.version = 1 if 'older' in state else 2
    if 'taken' in state:
        engine.running = engine.slots
    if 'first 3 s' in state:
        context.virtual.call_later(3.0, setattr, engine, 'running', 0)
    context.engine = engine
    context.records = SimpleNamespace(
        engines=[engine], crashed=set(), spare=set(), fault_periods=[]
    )
    context.job = JobRecord('j1', 2, [ITEM])


@given(
    'an item with early crashes that runs again {seconds:g} s after its crash'
)
def run_item(context, seconds):
    """Record two runs of the item and sample the engine between them."""
    context.room = EngineRoom(context.records)

    async def play():
        watching = asyncio.create_task(context.room.watch())
        await asyncio.sleep(seconds)
        watching.cancel()
        await asyncio.wait([watching])

    context.virtual.run_until_complete(play())
    context.engine.runs = [(ITEM, '/', ''), (ITEM, '/', '')]
    context.engine.run_at_s = [0.0, seconds]


@then('the check of placements reports {count:d} violations')
def check_count(context, count):
    """Count the violations."""
    callers = SimpleNamespace(jobs=[context.job])
    found = check_owed_items(context.records, callers, context.room)
    assert len(found) == count, found


@given(
    'a process that ends after {seconds:g} s and waits {share:g} of the time '
    'for a processor'
)
def start_process(context, seconds, share):
    """Wait for the process with its limit."""
    context.virtual = loop = VirtualLoop()
    context.add_cleanup(loop.close)

    def waited_s(name):
        return 0.0 if name == 'self' else share * loop.time()

    context.within = loop.run_until_complete(
        wait_with_processor(
            6.0, ProcessorWaits(1, waited_s), lambda: loop.time() >= seconds
        )
    )


@then('it is {outcome} its limit of 6 s')
def check_limit(context, outcome):
    """Compare the outcome."""
    assert context.within == (outcome == 'within')


@given(
    'a request to a stopping daemon that waited {seconds:g} s for a processor'
)
def keep_wait(context, seconds):
    """Keep the time."""
    context.waited_s = seconds


@then('status {status:d} is {verdict} for a request that has {state}')
def check_answer(context, status, verdict, state):
    """Compare the verdict."""
    allowed = is_answer(status, state == 'run', context.waited_s)
    assert allowed == (verdict == 'allowed')


@given(
    'servers that are down from {start:d} s to {end:d} s after the last fault'
)
def keep_outage(context, start, end):
    """Keep the time."""
    context.outage = range(start, end)


@then('the time for jobs is up after {seconds:d} s')
def check_completion(context, seconds):
    """Poll each second until the time is up."""
    limit = CompletionLimit(0.0)
    now = 1
    while not limit.is_over(float(now), now - 1 in context.outage):
        now += 1
    assert now == seconds, now
