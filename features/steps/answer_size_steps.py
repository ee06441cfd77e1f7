"""Steps with answers of many sizes and the memory held for them."""

import asyncio
import gc
import tracemalloc
from gzip import compress

from behave import given, then, when
from endless_answer_steps import (
    CHUNKED,
    PORT_ERRORS,
    chunk,
    sending_without_end,
)
from loguru import logger
from msgspec.structs import replace
from retry_steps import request_for, settings, start_servers
from stream_answer_steps import HEAD, call_once

from anvilcove.http.connections import AnswerConnector
from anvilcove.http.room import AnswerRoom
from anvilcove.http.sessions import open_session
from anvilcove.node.app import CONTROL_LIMITS
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.platform.store import PlatformStore
from anvilcove.platform.transport import DirectTransport
from anvilcove.ports.store import HistoryLost

TIMEOUT_S = 30.0
MIB = 1 << 20
CALL_BY_PLURAL = {
    'requests': 'a request',
    'streams': 'a stream',
    'generations': 'a generation',
    'store reads': 'a store read',
}
COMPRESSED_MB = 100


@given(
    'a host with {memory:d} MiB and 1 raw server that sends {name} without end'
)
def start_host(context, memory, name):
    """Start an endless server; bound the answers as on such a host."""
    logger.remove()
    start_servers(context, 1)
    context.sent_bytes = 0
    context.servers[0].behaviours = [sending_without_end(context, name)] * 99
    node = replace(settings(), memory_mb=memory)
    context.room = AnswerRoom(node.answer_bound_bytes)


@given('a raw server that answers with {size:d} bytes')
def add_sound(context, size):
    """Add a server whose answers are sound."""

    async def answer(server, writer, attempt):
        writer.write(
            CHUNKED % (b'Attempt-Id: %s\r\n' % attempt.encode())
            + chunk(b'x' * size)
            + b'0\r\n\r\n'
        )

    context.sound_bytes = size
    start_endless = context.servers
    start_servers(context, 1)
    context.servers[0].behaviours = [answer] * 99
    context.servers += start_endless


async def fail(call):
    """Await a call; return its result or error without its frames."""
    try:
        return await call
    except PORT_ERRORS as error:
        return type(error)


async def call_many(context, call, count):
    """Make calls at the same time over the connections of a daemon."""
    address = context.servers[0].address
    async with (
        asyncio.timeout(TIMEOUT_S),
        ServerConnections(room=context.room) as connections,
        open_session(
            AnswerConnector(CONTROL_LIMITS, context.room)
        ) as context.control,
    ):
        if call == 'a store read':
            store = PlatformStore(DirectTransport(address, context.control))
            calls = [store.read_range('t', '') for _ in range(count)]
        else:
            calls = [
                call_once(call, connections, address) for _ in range(count)
            ]
        return await asyncio.gather(*(fail(c) for c in calls))


@when('{count:d} {calls} are made at the same time')
def make_many(context, count, calls):
    """Make calls and measure the peak of what was allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        context.outcomes = context.loop.run_until_complete(
            call_many(context, CALL_BY_PLURAL[calls], count)
        )
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then('each call fails with an endpoint error')
def check_all_failed(context):
    """Check the kinds of the errors."""
    for outcome in context.outcomes:
        assert isinstance(outcome, type), outcome
        assert issubclass(outcome, PORT_ERRORS), outcome


@then('at most {megabytes:d} MiB were held for them, buffers included')
def check_peak(context, megabytes):
    """Check the peak, which includes the buffers of the raw server."""
    peak_mib = context.peak_bytes / MIB
    assert peak_mib <= megabytes, f'{peak_mib:.1f} MiB'
    assert context.room.held_bytes == 0, context.room.held_bytes


@when('both get {count:d} requests at the same time')
def call_both(context, count):
    """Make sound calls beside such without end."""

    async def call_all():
        async with (
            asyncio.timeout(TIMEOUT_S),
            ServerConnections(room=context.room) as connections,
        ):
            client = PlatformServers(connections)
            sound, endless = (server.address for server in context.servers)
            calls = [
                client.send(address, 'i', request_for(f'q{n}'), 5.0, False)
                for n in range(count)
                for address in (endless, sound)
            ]
            return await asyncio.gather(*(fail(c) for c in calls))

    context.outcomes = context.loop.run_until_complete(call_all())


@then('the {count:d} requests to the sound server are answered whole')
def check_sound(context, count):
    """Check the answers of the sound server."""
    sound = context.outcomes[1::2]
    assert len(sound) == count
    for answer in sound:
        assert not isinstance(answer, type), answer
        assert len(answer.body) == context.sound_bytes


@given('1 raw server that sends an event and then bytes that are no chunk')
def start_turning(context):
    """Start a server whose body turns into something else."""
    logger.remove()
    start_servers(context, 1)

    async def turn(server, writer, attempt):
        head = HEAD if attempt else HEAD.replace(b'Attempt-Id: q1\r\n', b'')
        if not attempt:
            head = head.replace(b'Server-Stamp: s\r\n', b'')
        writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        writer.write(chunk(b'id: 1\ndata: x\n\n'))
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(b'zz\r\nno chunk\r\n')
        await asyncio.sleep(TIMEOUT_S)

    context.servers[0].behaviours = [turn] * 9


@given('1 raw server that answers with {size:d} bytes in chunks of {part:d}')
def start_sound(context, size, part):
    """Start a server with a sound answer."""
    logger.remove()
    start_servers(context, 1)

    async def answer(server, writer, attempt):
        head = b'HTTP/1.1 200 OK\r\n'
        if attempt:
            head += b'Attempt-Id: q1\r\nServer-Stamp: s\r\n'
        writer.write(head + b'Transfer-Encoding: chunked\r\n\r\n')
        left = size
        while left:
            count = min(left, part * 1000)
            whole, rest = divmod(count, part)
            writer.write(chunk(b'x' * part) * whole)
            writer.write(chunk(b'x' * rest) if rest else b'')
            await writer.drain()
            left -= count
        writer.write(b'0\r\n\r\n')

    context.servers[0].behaviours = [answer] * 9


@when('a request is made to it')
def make_request(context):
    """Make a request and keep its body."""

    async def call():
        async with ServerConnections() as connections:
            return await call_once(
                'a request', connections, context.servers[0].address
            )

    context.body = context.loop.run_until_complete(call()).body


@when('an object is read from it over the connections of a daemon')
def read_object(context):
    """Read an object from the store."""

    async def call():
        async with open_session(AnswerConnector(CONTROL_LIMITS)) as control:
            address = context.servers[0].address
            store = PlatformStore(DirectTransport(address, control))
            return await store.get_object('o')

    context.body = context.loop.run_until_complete(call())


@when(
    'the changes of a table are read from it over the connections of a daemon'
)
def read_changes(context):
    """Read the changes of a table from the store."""

    async def call():
        async with open_session(AnswerConnector(CONTROL_LIMITS)) as control:
            address = context.servers[0].address
            store = PlatformStore(DirectTransport(address, control))
            try:
                return await store.changes('t', 1, 5.0)
            except HistoryLost as error:
                return error

    context.outcome = context.loop.run_until_complete(call())


@then('the history counts as lost')
def check_history(context):
    """Check the error."""
    assert isinstance(context.outcome, HistoryLost), context.outcome


@then('the body has {size:d} bytes')
def check_body(context, size):
    """Check the length of a body."""
    assert len(context.body) == size, len(context.body)


@given(
    '1 raw server that answers an own read with {megabytes:d} MB, compressed'
)
def start_compressed(context, megabytes):
    """Start a server that sends a compressed list of rows."""
    logger.remove()
    start_servers(context, 1)
    rows = b'{"rows":[' + b' ' * (megabytes * 1_000_000) + b']}'
    body = compress(rows)

    async def answer(server, writer, attempt):
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n'
            b'Content-Length: %d\r\n\r\n' % len(body)
        )
        writer.write(body)

    context.servers[0].behaviours = [answer] * 9


@given('1 raw server that answers with 3 events and then with {size:d} bytes')
def start_two_answers(context, size):
    """Start a server that sends the second body in two parts."""
    logger.remove()
    start_servers(context, 1)
    context.goes_on = asyncio.Event()

    async def send_events(server, writer, attempt):
        events = [chunk(b'id: %d\ndata: x\n\n' % n) for n in (1, 2, 3)]
        head = CHUNKED % b'Attempt-Id: q1\r\n'
        writer.write(head + events[0])
        await asyncio.sleep(0.05)
        writer.write(b''.join(events[1:]) + b'0\r\n\r\n')

    async def send_parts(server, writer, attempt):
        head = b'HTTP/1.1 200 OK\r\nAttempt-Id: q2\r\nServer-Stamp: s\r\n'
        writer.write(head + b'Content-Length: %d\r\n\r\n' % size)
        writer.write(b'x' * 1000)
        await context.goes_on.wait()
        writer.write(b'x' * (size - 1000))

    context.servers[0].behaviours = [send_events, send_parts]


@when('the events are read after the second answer has begun')
def read_behind(context):
    """Read the events of an answer that is complete beside the next one."""
    address = context.servers[0].address

    async def read():
        async with (
            asyncio.timeout(TIMEOUT_S),
            ServerConnections() as connections,
            PlatformStreams(connections).open(
                address, 'i', request_for('q1'), 9.0, True, None
            ) as stream,
        ):
            await anext(stream.pieces)
            await asyncio.sleep(0.2)
            second = asyncio.create_task(
                PlatformServers(connections).send(
                    address, 'i', request_for('q2'), 9.0, True
                )
            )
            while len(context.servers[0].received) < 2:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            events = [piece async for piece in stream.pieces]
            assert len(events) == 2, events
            context.goes_on.set()
            return await second

    context.body = context.loop.run_until_complete(read()).body


@then('both answers came on one connection')
def check_one_connection(context):
    """Count the connections that the server has accepted."""
    assert len(context.servers[0].writers) == 1, context.servers[0].writers
