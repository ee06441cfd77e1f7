"""Steps on the way to the store, on virtual time."""

import asyncio
import random

from behave import given, then, when

from anvilcove.control.relay import RelayedStore
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.transport import StoreCall, StoreReply
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

SILENCE_S = 3600.0
TOLERANCE_S = 0.05


class TimedTransport:
    """Answer each call after a time."""

    def __init__(self, answer_s):
        """Start with the same time for all calls."""
        self.answer_s = answer_s
        self.time_by_path = {}

    async def send(self, call):
        """Answer, or lose the answer when the time of the call is over."""
        time_s = self.time_by_path.get(call.path, self.answer_s)
        try:
            async with asyncio.timeout(call.timeout_s):
                await asyncio.sleep(time_s)
        except TimeoutError as error:
            raise StoreAnswerLost('no answer') from error
        return StoreReply(200, b'')


class Outcome:
    """How a call ended, and when."""

    def __init__(self, error, took_s):
        """Keep the error, if any, and the time that it took."""
        self.error = error
        self.took_s = took_s


async def outcome(context, path='/write', timeout_s=1.5, **fields):
    """Send a call and return its outcome."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    error = None
    call = StoreCall('POST', path, b'', timeout_s, **fields)
    try:
        await context.relayed.send(call)
    except (StoreAnswerLost, StoreUnavailable) as raised:
        error = raised
    return Outcome(error, loop.time() - started_s)


def write(context):
    """Send a write and return its outcome."""
    return context.virtual.run_until_complete(outcome(context, write=True))


def close_loop(loop):
    """End the calls that are still waiting, then the loop."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.wait(pending))
    loop.close()


@given('a way to a store that answers within {seconds:g} s')
def way(context, seconds):
    """Build the way on a virtual loop, without any peer."""
    context.virtual = VirtualLoop()
    context.add_cleanup(close_loop, context.virtual)
    context.transport = TimedTransport(seconds)
    context.relayed = RelayedStore(
        context.transport, None, LoopClock(context.virtual), random.Random(1)
    )


@when('{count:d} writes are sent one after another')
def write_many(context, count):
    """Check that all of them are answered."""
    for _ in range(count):
        assert write(context).error is None


@when('the store answers nothing any more')
def silence(context):
    """Keep every later call waiting."""
    context.transport.answer_s = SILENCE_S


@when('a write is sent')
@when('another write is sent')
def send_write(context):
    """Keep the outcome."""
    context.outcome = write(context)


@then('its answer is lost after {seconds:g} s')
def lost(context, seconds):
    """Check that the effect counts as unknown."""
    assert isinstance(context.outcome.error, StoreAnswerLost)
    took_s = context.outcome.took_s
    assert abs(took_s - seconds) < TOLERANCE_S, took_s


@then('it goes to a peer at once')
def to_peer(context):
    """Check that the lack of peers, and no silence, ended the call."""
    assert isinstance(context.outcome.error, StoreUnavailable)
    assert 'no peer' in str(context.outcome.error), context.outcome.error
    assert context.outcome.took_s < TOLERANCE_S


@when(
    'a write takes {seconds:g} s while others are answered every {pause:g} s'
)
def slow_write(context, seconds, pause):
    """Send others until the slow one has ended."""
    context.transport.time_by_path['/slow'] = seconds

    async def play():
        slow = asyncio.create_task(outcome(context, '/slow', write=True))
        while not slow.done():
            assert (await outcome(context, write=True)).error is None
            await asyncio.sleep(pause)
        return slow.result()

    context.outcome = context.virtual.run_until_complete(play())


@then('it is answered after {seconds:g} s')
def answered(context, seconds):
    """Check the outcome."""
    assert context.outcome.error is None, context.outcome.error
    took_s = context.outcome.took_s
    assert abs(took_s - seconds) < TOLERANCE_S, took_s


@when('it becomes slower step by step, up to {limit:g} s for each write')
def slower(context, limit):
    """Add a tenth of a second after each few writes."""
    context.outcomes = []
    while context.transport.answer_s < limit:
        context.transport.answer_s = min(
            context.transport.answer_s + 0.1, limit
        )
        context.outcomes += [write(context) for _ in range(5)]


@when('it becomes slow at once, with {seconds:g} s for each write')
def slow_at_once(context, seconds):
    """Send a write each second, the first ones at the usual speed."""
    context.outcomes = []
    for number in range(13):
        if number == 3:
            context.transport.answer_s = seconds
        context.outcomes.append(write(context))
        context.virtual.run_until_complete(asyncio.sleep(1.0))


@then('writes are answered again after at most {count:d} that are lost')
def soon_answered(context, count):
    """Check that losses are few and none of them is late."""
    failed = [n for n, o in enumerate(context.outcomes) if o.error]
    assert len(failed) <= count, failed
    assert context.outcomes[-1].error is None


@then('every write is answered')
def all_answered(context):
    """Check that none was given up."""
    assert not [o.error for o in context.outcomes if o.error]


@when('a watch of {seconds:g} s is sent and no change comes')
def watch(context, seconds):
    """Send a call that waits by its nature."""
    context.transport.answer_s = seconds
    context.outcome = context.virtual.run_until_complete(
        outcome(context, '/feed', seconds + 0.8, expected_s=seconds)
    )
