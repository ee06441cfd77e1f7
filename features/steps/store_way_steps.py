"""Steps for the client of the store, on virtual time."""

import asyncio
import random
from collections import Counter

from behave import given, then, when

from anvilcove.control.relay import RelayedStore
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.transport import StoreCall, StoreReply
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

SILENCE_S = 3600.0
TOLERANCE_S = 0.05


class TimedTransport:
    """Transport that answers each call after a given time."""

    def __init__(self, answer_s):
        """Use the same response time for all calls."""
        self.answer_s = answer_s
        self.time_by_path = {}
        # Calls sent before this time are never answered, by path.
        self.silent_until_s_by_path = {}
        self.sent_by_path = Counter()

    async def send(self, call):
        """Answer, or lose the response when the timeout of the call ends."""
        self.sent_by_path[call.path] += 1
        silent_until_s = self.silent_until_s_by_path.get(call.path, 0.0)
        if asyncio.get_running_loop().time() < silent_until_s:
            await asyncio.sleep(call.timeout_s)
            raise StoreAnswerLost('no answer')
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


async def timed_call(context, path='/write', timeout_s=1.5, **fields):
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
    return context.virtual.run_until_complete(timed_call(context, write=True))


def close_loop(loop):
    """Cancel the calls that are still waiting and close the loop."""
    pending = asyncio.all_tasks(loop)
    for task in pending:
        task.cancel()
    if pending:
        loop.run_until_complete(asyncio.wait(pending))
    loop.close()


@given('a store client whose store answers within {seconds:g} s')
def build_client(context, seconds):
    """Build the client on a virtual loop, without any peer."""
    context.virtual = VirtualLoop()
    context.add_cleanup(close_loop, context.virtual)
    context.transport = TimedTransport(seconds)
    context.relayed = RelayedStore(
        context.transport, None, LoopClock(context.virtual), random.Random(1)
    )


@when('{count:d} writes are sent one after another')
def write_many(context, count):
    """Send writes and check that all of them are answered."""
    for _ in range(count):
        assert write(context).error is None


@when('the store stops answering')
def stop_answering(context):
    """Let every later call wait for longer than its timeout."""
    context.transport.answer_s = SILENCE_S


@when('a write is sent')
@when('another write is sent')
def send_write(context):
    """Send a write and keep its outcome."""
    context.outcome = write(context)


@then('its response is given up as lost after {seconds:g} s')
def check_lost(context, seconds):
    """Check that the call ended in time and its effect is unknown."""
    assert isinstance(context.outcome.error, StoreAnswerLost)
    took_s = context.outcome.took_s
    assert abs(took_s - seconds) < TOLERANCE_S, took_s


@then('it is passed to a peer at once')
def check_passed_on(context):
    """Check that the call failed at once because there is no peer."""
    assert isinstance(context.outcome.error, StoreUnavailable)
    assert 'no peer' in str(context.outcome.error), context.outcome.error
    assert context.outcome.took_s < TOLERANCE_S


@when(
    'a write takes {seconds:g} s while others are answered every {pause:g} s'
)
def slow_write(context, seconds, pause):
    """Send other writes until the slow one has ended."""
    context.transport.time_by_path['/slow'] = seconds

    async def play():
        slow = asyncio.create_task(timed_call(context, '/slow', write=True))
        while not slow.done():
            assert (await timed_call(context, write=True)).error is None
            await asyncio.sleep(pause)
        return slow.result()

    context.outcome = context.virtual.run_until_complete(play())


@when(
    'a repeatable write waits for a partition that is silent for {seconds:g} s'
)
def silent_partition(context, seconds, repeatable=True):
    """Send other writes while the partition of one is silent."""

    async def play():
        loop = asyncio.get_running_loop()
        context.returned_s = loop.time() + seconds
        silent = context.transport.silent_until_s_by_path
        silent['/part'] = context.returned_s
        hanging = asyncio.create_task(
            timed_call(context, '/part', write=True, repeatable=repeatable)
        )
        while not hanging.done():
            assert (await timed_call(context, write=True)).error is None
            await asyncio.sleep(0.1)
        context.answered_s = loop.time()
        return hanging.result()

    context.outcome = context.virtual.run_until_complete(play())


@when('another write waits for a partition that is silent for {seconds:g} s')
def silent_partition_once(context, seconds):
    """Send a write that must not be repeated."""
    silent_partition(context, seconds, repeatable=False)


@then('it is answered at most {seconds:g} s after that')
def check_answered_soon(context, seconds):
    """Check that the call was answered soon after the return."""
    assert context.outcome.error is None, context.outcome.error
    late_s = context.answered_s - context.returned_s
    assert late_s <= seconds + TOLERANCE_S, late_s


@then('it was sent once')
def check_sent_once(context):
    """Check the number of tries."""
    assert context.transport.sent_by_path['/part'] == 1


@then('it is answered after {seconds:g} s')
def check_answered(context, seconds):
    """Check that the call was answered after the expected time."""
    assert context.outcome.error is None, context.outcome.error
    took_s = context.outcome.took_s
    assert abs(took_s - seconds) < TOLERANCE_S, took_s


@when('the store becomes slower in steps, up to {limit:g} s for each write')
def slow_down(context, limit):
    """Add 0.1 s after every 5 writes."""
    context.outcomes = []
    while context.transport.answer_s < limit:
        context.transport.answer_s = min(
            context.transport.answer_s + 0.1, limit
        )
        context.outcomes += [write(context) for _ in range(5)]


@when('the store becomes slow at once, with {seconds:g} s for each write')
def slow_at_once(context, seconds):
    """Send a write each second; the first 3 have the usual speed."""
    context.outcomes = []
    for number in range(13):
        if number == 3:
            context.transport.answer_s = seconds
        context.outcomes.append(write(context))
        context.virtual.run_until_complete(asyncio.sleep(1.0))


@then('at most {count:d} writes fail before writes are answered again')
def check_recovered(context, count):
    """Check that few writes failed and the last one was answered."""
    failed = [n for n, o in enumerate(context.outcomes) if o.error]
    assert len(failed) <= count, failed
    assert context.outcomes[-1].error is None


@then('every write is answered')
def check_all_answered(context):
    """Check that no write failed."""
    assert not [o.error for o in context.outcomes if o.error]


@when('a watch that waits for {seconds:g} s is sent and no change occurs')
def watch(context, seconds):
    """Send a call whose response is expected only after a wait."""
    context.transport.answer_s = seconds
    context.outcome = context.virtual.run_until_complete(
        timed_call(context, '/feed', seconds + 0.8, expected_s=seconds)
    )
