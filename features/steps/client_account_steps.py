"""Steps with the account of the clients of a process."""

import asyncio
import re

from aiohttp import web
from behave import given, then, when
from retry_steps import settings

from anvilcove.http.bodies import read_body
from anvilcove.http.client_account import ClientAccount
from anvilcove.http.client_connections import client_connection
from anvilcove.http.reading_turns import ReadingTurns
from anvilcove.platform.listeners import start_listener
from anvilcove.settings.node import HostLimits
from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.metrics import NodeMetrics

MAX_BODY_BYTES = 1 << 20
WAIT_S = 10.0
HEAD = b'POST /%s HTTP/1.1\r\nHost: h\r\n'


def run(context, work):
    """Run a coroutine on the loop of the scenario, for a limited time."""
    context.loop.run_until_complete(asyncio.wait_for(work, WAIT_S))


async def until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.01)


def create_account(context, connections=0):
    """Create an account with a limit of connections, 0 for none."""
    host = settings()
    host.limits = HostLimits(max_connections=connections)
    context.metrics = NodeMetrics()
    context.account = ClientAccount(host, SystemClock(), context.metrics)


async def listen(context):
    """Open a listener of the account."""
    context.released, context.ended = asyncio.Event(), asyncio.Event()

    async def handle(request):
        body = await read_body(request)
        try:
            if request.path == '/wait':
                await context.released.wait()
        finally:
            client_connection(request).recount()
            context.ended.set()
        return web.Response(body=b'%d' % len(body))

    listener = await start_listener(
        '127.0.0.1:0', handle, lambda: MAX_BODY_BYTES, context.account
    )
    return listener


@given('a listener that reads bodies and answers')
def open_listener(context):
    """Open one listener and connect a client."""

    async def connect():
        create_account(context)
        listener = await listen(context)
        context.reader, context.writer = await asyncio.open_connection(
            *listener.addresses[0]
        )

    run(context, connect())


def encode(size, parts):
    """Return a request with a body of a size, in parts of its bytes."""
    body = b'x' * size
    head = HEAD % b'' + b'Content-Length: %d\r\n\r\n' % size
    step = -(-size // parts)
    return [head, *(body[n : n + step] for n in range(0, size, step))]


@when('a client sends {requests} and keeps its connection')
def send_requests(context, requests):
    """Send the parts with pauses, and read the answers."""
    numbers = [int(number) for number in re.findall(r'\d+', requests)]
    count = 1
    if 'chunks' in requests:
        head = HEAD % b'' + b'Transfer-Encoding: chunked\r\n\r\n'
        parts = [head, b'1\r\nx\r\n' * 20_000, b'0\r\n\r\n']
    elif 'bodies' in requests:
        count, size = numbers
        parts = encode(size, 1) * count
    else:
        parts = encode(*numbers)

    async def send():
        for part in parts:
            context.writer.write(part)
            await context.writer.drain()
            await asyncio.sleep(0.005)
        context.statuses = []
        for _ in range(count):
            head = await context.reader.readuntil(b'\r\n\r\n')
            context.statuses.append(int(head.split()[1]))
            length = re.search(rb'Content-Length: (\d+)', head)
            await context.reader.readexactly(int(length[1]))

    run(context, send())


@then('its answers have status {status:d}')
def check_statuses(context, status):
    """Check each status."""
    assert set(context.statuses) == {status}, context.statuses


@then('nothing is held for it')
def check_nothing(context):
    """Wait until the account is empty."""
    account = context.account
    run(context, until(lambda: not len(account)))
    assert account.counted_bytes == 0, account.counted_bytes


@when('a client sends {count:d} bytes of a body that has no end')
def send_part(context, count):
    """Send a part of the largest body."""
    head = HEAD % b'' + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES

    async def send():
        context.writer.write(head + b'x' * count)
        await until(lambda: context.account.counted_bytes >= count)

    run(context, send())


@then('between {least:d} and {most:d} bytes are held for it')
def check_held(context, least, most):
    """Compare the account."""
    held = context.account.counted_bytes
    assert least <= held <= most, held


@when('a client sends a request that waits for its answer')
def send_one_waiting(context):
    """Send a whole request whose handler waits."""

    async def send():
        context.writer.write(HEAD % b'wait' + b'Content-Length: 2\r\n\r\nxx')
        await until(lambda: len(context.account) == 1)

    run(context, send())


@then('nothing is held for it, also when its handler has ended')
def check_nothing_later(context):
    """Let the handler end, which counts the connection once more."""
    run(context, context.ended.wait())
    check_nothing(context)


@when('it leaves')
def leave(context):
    """Close the connection of the client."""
    context.writer.close()


@when('a client sends {count:d} header lines of {size:d} bytes')
def send_head(context, count, size):
    """Send lines without the empty one, and read what comes."""
    lines = [b'X%d: %s\r\n' % (n, b'x' * size) for n in range(count)]

    async def send():
        context.writer.write(HEAD % b'' + b''.join(lines))
        context.answer = await context.reader.read()

    run(context, send())


@then('it gets status {status:d} and its connection is closed')
def check_refusal(context, status):
    """Check the answer, behind which the connection has ended."""
    assert context.answer.startswith(b'HTTP/1.1 %d ' % status), context.answer


@then('{count:d} closed connection is counted for its head')
def check_counter(context, count):
    """Check the metric."""
    line = (
        f'anvilcove_client_connections_closed_total{{reason="head"}} {count}'
    )
    assert line in context.metrics.render().decode()


@given('two listeners that share {limit:d} connections')
def open_two(context, limit):
    """Open two listeners of one account."""

    async def open_both():
        create_account(context, connections=limit)
        context.listeners = [await listen(context), await listen(context)]

    run(context, open_both())


async def connect_to(context, listener):
    """Connect a client and wait until it is counted or closed."""
    reader, writer = await asyncio.open_connection(*listener.addresses[0])
    await asyncio.sleep(0.05)
    return reader, writer


@when(
    '{others:d} client of the second listener and {count:d} of the first '
    'connect in turn'
)
def connect_all(context, others, count):
    """Connect them one after another."""

    async def connect():
        first, second = context.listeners
        context.others = [
            await connect_to(context, second) for _ in range(others)
        ]
        context.clients = [
            await connect_to(context, first) for _ in range(count)
        ]

    run(context, connect())


@when('the first of the 5 has sent a request that waits for its answer')
def send_waiting(context):
    """Send a whole request whose handler waits."""

    async def send():
        context.clients[0][1].write(
            HEAD % b'wait' + b'Content-Length: 2\r\n\r\nxx'
        )
        await until(lambda: len(context.account) == 1)

    run(context, send())


@when('one more client of the first listener connects')
def connect_one_more(context):
    """Connect above the limit."""

    async def connect():
        context.clients.append(await connect_to(context, context.listeners[0]))

    run(context, connect())


@then('only the second of the 5 is closed')
def check_closed(context):
    """Check which connections have ended."""
    every = [*context.others, *context.clients]
    closed = []
    for number, (reader, _) in enumerate(every):
        if reader.at_eof() or reader.exception() is not None:
            closed.append(number)
    assert closed == [len(context.others) + 1], closed
    context.released.set()


@given('connections that wait for their turns')
def queue_turns(context):
    """Queue three connections, the first of them twice."""
    context.read = []
    context.turns = ReadingTurns()

    class Costly:
        def __init__(self, name):
            self.name = name

        def take_turn(self):
            context.read.append((self.name, context.ticks))

    first, second, third = Costly('a'), Costly('b'), Costly('c')

    async def queue():
        for connection in (first, second, third, first):
            context.turns.wait(connection, 0.001)

    context.ticks = 0
    run(context, queue())


@when('the loop goes on')
def go_on(context):
    """Count the iterations of the loop until all have read."""

    async def tick():
        while len(context.read) < 4:
            context.ticks += 1
            await asyncio.sleep(0)

    run(context, tick())


@then('one reads at a time, in the order of their arrival')
def check_turns(context):
    """Check the order, and that others ran between two reads."""
    assert [name for name, _ in context.read] == ['a', 'b', 'c', 'a']
    ticks = [tick for _, tick in context.read]
    assert len(set(ticks)) == len(ticks), ticks
