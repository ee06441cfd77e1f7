"""Steps with an event loop that is late, on virtual time."""

import asyncio
from contextlib import asynccontextmanager

from behave import given, then, when
from loguru import logger

from anvilcove.node.loop_delay import PERIOD_S, LoopDelay
from anvilcove.platform.transport import DirectTransport
from anvilcove.ports.errors import StoreAnswerLost
from anvilcove.ports.transport import StoreCall
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

READS = 5
# Virtual time after which a loop is no longer late.
MAX_LATE_S = 30.0


class SlowSession:
    """HTTP session whose calls are answered after a time."""

    status = 200

    def __init__(self, answer_s):
        """Keep the time."""
        self.answer_s = answer_s

    @asynccontextmanager
    async def request(self, *call, **options):
        """Answer a call."""
        await asyncio.sleep(self.answer_s)
        yield self

    async def read(self):
        """Return the body of an answer, which comes in several reads."""
        for _ in range(READS):
            await asyncio.sleep(0)
        return b''


def start_loop(context):
    """Start a loop on virtual time."""
    context.virtual = VirtualLoop()
    context.add_cleanup(context.virtual.close)


@given('the event loop of a daemon is late by {late:g} s')
def choose_delay(context, late):
    """Keep the delay; the thread does nothing meanwhile."""
    start_loop(context)
    context.late_s, context.ran_s, context.waited_s = late, 0.0, 0.0


@given('its thread ran for {ran:g} s and waited {waited:g} s for a processor')
def choose_thread(context, ran, waited):
    """Keep what the thread did meanwhile."""
    context.ran_s, context.waited_s = ran, waited


def measure(context):
    """Measure the delay; return the measurement and the log records."""
    loop, records = context.virtual, []
    is_late = []
    delay = LoopDelay(
        LoopClock(loop),
        lambda: context.ran_s * len(is_late),
        lambda: context.waited_s * len(is_late),
    )

    def block():
        is_late.append(True)
        loop.block(PERIOD_S / 2 + context.late_s)

    loop.call_later(PERIOD_S / 2, block)
    sink = logger.add(lambda line: records.append(line.record))
    loop.run_until_complete(delay.wait())
    logger.remove(sink)
    return delay, records


@then('the log names the delay of {late:g} s, caused as {cause}')
def check_line(context, late, cause):
    """Check the one line."""
    _, records = measure(context)
    assert len(records) == 1, records
    extra = records[0]['extra']
    assert (extra['late_s'], extra['cause']) == (late, cause), extra
    assert extra['processor_s'] == context.ran_s, extra
    assert extra['processor_wait_s'] == context.waited_s, extra


@then('nothing is logged, and the longest delay is {late:g} s')
def check_no_line(context, late):
    """Check that the delay only counts."""
    delay, records = measure(context)
    assert not records, records
    assert abs(delay.max_s - late) < 1e-6, delay.max_s


@given('a store that answers calls after {seconds:g} s')
def start_store(context, seconds):
    """Keep the time of an answer."""
    start_loop(context)
    context.http = SlowSession(seconds)


@when(
    '{count:d} calls with a timeout of {timeout:g} s are sent and the event '
    'loop is late by {late:g} s'
)
def send_calls(context, count, timeout, late):
    """Block the loop after the calls were sent, until after their timeout."""
    send_all(context, count, timeout, late, once=True)


@when(
    '{count:d} calls with a timeout of {timeout:g} s are sent and each turn '
    'of the event loop takes {late:g} s'
)
def send_calls_slowly(context, count, timeout, late):
    """Block each turn of the loop after the calls were sent."""
    send_all(context, count, timeout, late, once=False)


def send_all(context, count, timeout, late, once):
    """Send calls and block the loop, in one turn or in each."""
    loop = context.virtual
    transport = DirectTransport('store', context.http)
    call = StoreCall('POST', '/rows', b'', timeout)

    def block():
        loop.block(late)
        if not once and loop.time() < MAX_LATE_S:
            loop.call_soon(block)

    async def send():
        loop.call_later(0.01, block)
        calls = [transport.send(call) for _ in range(count)]
        return await asyncio.gather(*calls, return_exceptions=True)

    context.replies = loop.run_until_complete(send())


@then('all calls are answered')
def check_answered(context):
    """Check that no call failed."""
    assert all(getattr(r, 'status', 0) == 200 for r in context.replies), (
        context.replies
    )


@then('all calls are lost within {seconds:g} s')
def check_lost(context, seconds):
    """Check that each call was given up in time."""
    assert all(isinstance(r, StoreAnswerLost) for r in context.replies), (
        context.replies
    )
    assert context.virtual.time() <= seconds, context.virtual.time()


@when('the event loop is late by {late:g} s')
def block_site(context, late):
    """Let time pass in which nothing of the site runs."""
    context.memory.loop.block(late)
