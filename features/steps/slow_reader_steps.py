"""Steps for callers that read slowly and the memory held for them."""

import asyncio
import logging
import socket
import tracemalloc
from contextlib import contextmanager, suppress
from errno import ENOPROTOOPT
from gzip import compress
from random import Random
from re import findall
from types import SimpleNamespace

from aiohttp import web
from behave import given, then, when
from loguru import logger
from retry_steps import request_for, settings

from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.slow_readers import HeldClient
from anvilcove.http.client_account import ClientAccount
from anvilcove.http.client_connections import ClientServer, client_connection
from anvilcove.platform.admitted_calls import AdmittedCall, read_counted
from anvilcove.platform.caller_sink import ResponseSink, release_body
from anvilcove.platform.family import PlatformListeners
from anvilcove.platform.listeners import CallerListener, start_listener
from anvilcove.platform.servers import PlatformStreams
from anvilcove.platform.settings import load_node_settings
from anvilcove.platform.standin_wire import HostAddresses, settings_text
from anvilcove.settings.node import HostLimits
from anvilcove.state.clock import SystemClock
from anvilcove.state.memory_room import FixedBounds, MemoryRoom, NoRoom
from anvilcove.telemetry.metrics import NodeMetrics

MB = 1 << 20
NOW_S = 100.0
# Age in seconds and bytes taken since then, by kind of caller.
KINDS = {'slow': (50.0, 50), 'normal': (50.0, 50 * MB), 'new': (0.002, 0)}
FAST_PATH = '/fast'


def groups_of(load):
    """Yield count, bytes and kind of each group of a load."""
    for part in load.split(', '):
        count, _, size, _, *kind = part.split()
        yield int(count), int(float(size) * MB), ''.join(kind)


@given('held answers: {load}')
def hold_answers(context, load):
    """Create the answers; earlier ones of a load are older."""
    context.held_answers = []
    for count, size, kind in groups_of(load):
        age_s, taken = KINDS[kind]
        for _ in range(count):
            number = len(context.held_answers)
            since_s = NOW_S - age_s + number * 1e-6
            context.held_answers.append(
                HeldClient(number, size, since_s, taken)
            )


@when('{bound:g} MB may be held')
def set_bound(context, bound):
    """Set the bound."""
    context.bound = int(bound * MB)


@then('policy {name} ends {ended}')
def check_ended(context, name, ended):
    """Compare the callers that a policy ends with a group, or with none."""
    chosen = policy_class('slow_readers', name)().choose(
        context.held_answers, context.bound, NOW_S
    )
    sizes = [answer.held_bytes for answer in chosen]
    expected = [] if ended == 'nobody' else groups_of(ended)
    assert sizes == [s for n, s, _ in expected for _ in range(n)], (
        len(sizes),
        sizes[:2],
    )


@contextmanager
def logged_ends(context):
    """Collect the log lines of callers that are ended."""
    context.lines = []
    sink = logger.add(
        lambda line: context.lines.append(line.record['extra']),
        filter=lambda record: 'caller ended' in record['message'],
        level=0,
    )
    yield
    logger.remove(sink)


@given('a host that may hold {bound:g} MB')
def create_host(context, bound):
    """Create the account of a host on a clock of its own."""
    context.clock = SimpleNamespace(now=lambda: context.now_s)
    context.now_s = NOW_S
    context.metrics, context.bound = NodeMetrics(), int(bound * MB)
    limited = settings()
    limited.limits = HostLimits(held_mb=bound)
    context.held = ClientAccount(limited, context.clock, context.metrics)


class FakeConnection:
    """Connection of a caller that takes `pace` bytes per second."""

    workspace = ''

    def __init__(self, context, number, pace):
        self.request_id = f'{"slow" if pace < MB else "fast"}-{number}'
        self.pace, self.context = pace, context
        self.written, self.since_s, self.ended = 0, context.now_s, False

    def written_bytes(self):
        return self.written

    def unsent_bytes(self):
        taken = (self.context.now_s - self.since_s) * self.pace
        return max(int(self.written - taken), 0)

    def received_bytes(self):
        return 0

    def is_awaited(self):
        return True

    def held_bytes(self):
        return self.unsent_bytes() + 20_000

    def end(self):
        self.ended = True


@when(
    '{count:d} callers of 1 byte per second get {size:g} MB each, and '
    '{others:d} normal ones as much'
)
def serve_callers(context, count, size, others):
    """Serve them in turn; normal ones take 4 MB per second."""
    context.peak, normal, open_fast = 0, count // others, []
    context.connections_made = []
    with logged_ends(context):
        for number in range(count + others):
            context.now_s += 0.01
            is_fast = number % (normal + 1) == normal
            made = FakeConnection(context, number, 4 * MB if is_fast else 1)
            made.written = int(size * MB)
            context.connections_made.append(made)
            context.held.hold(made)
            if is_fast:
                open_fast.append(made)
            for done in [f for f in open_fast if not f.unsent_bytes()]:
                open_fast.remove(done)
                context.held.release(done)
            context.peak = max(context.peak, context.held.counted_bytes)


@then('at most {bound:g} MB were held at any time')
def check_peak(context, bound):
    """Check the largest number of bytes, and that the bound was in use."""
    assert bound * MB * 0.8 < context.peak <= bound * MB, context.peak


@then('only slow callers were ended, each with one log line and counted')
def check_slow_ended(context):
    """Compare the log lines and the metric with the connections."""
    ended = [c.request_id for c in context.connections_made if c.ended]
    assert ended and all(n.startswith('slow') for n in ended), ended
    assert sorted(ended) == sorted(line['request'] for line in context.lines)
    counted = [
        int(line.split()[-1])
        for line in context.metrics.render().decode().splitlines()
        if line.startswith('anvilcove_slow_callers_ended_total')
    ]
    assert sum(counted) == len(ended), (counted, len(ended))


@then('nothing is held after all have left')
def check_all_left(context):
    """Let all connections end."""
    for connection in context.connections_made:
        context.held.release(connection)
    check_nothing_held(context)


@then('nothing is held')
def check_nothing_held(context):
    """Check the account."""
    assert (len(context.held), context.held.counted_bytes) == (0, 0)


@when('a caller asks for the stream and reads nothing')
def ask_and_not_read(context):
    """Serve the stream of the raw server until its caller is ended."""
    context.held._clock = SystemClock()
    streams = PlatformStreams(context.connections)
    address = context.servers[0].address

    async def handle(request):
        client_connection(request).begin(request.path)
        if request.path == FAST_PATH:
            return web.Response(body=b'x' * int(0.15 * MB))
        sink = ResponseSink(request)
        await sink.start(200, [])
        async with streams.open(
            address, 'i', request_for('q1'), 60.0, True, None
        ) as answer:
            async for piece in answer.pieces:
                await sink.write(piece.data)
                context.most_held = context.held.counted_bytes
        return sink.response

    async def ask():
        runner = await start_listener(
            '127.0.0.1:0', handle, lambda: 1024, account=context.held
        )
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(runner.addresses[0])
        caller.sendall(b'GET /stream HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(30.0):
            while not context.lines:
                await asyncio.sleep(0.02)
            host, port = runner.addresses[0]
            async with context.session.get(
                f'http://{host}:{port}{FAST_PATH}'
            ) as response:
                context.fast_answer = await response.read()
            while len(context.held):
                await asyncio.sleep(0.02)
        caller.close()
        await runner.cleanup()

    with logged_ends(context):
        context.loop.run_until_complete(ask())


@then('it is ended when more than {bound:g} MB were held')
def check_ended_at_bound(context, bound):
    """Check the log line, and that the stream went on until the bound."""
    (line,) = context.lines
    assert line['request'] == '/stream', line
    assert line['held'] > bound * MB >= context.most_held, line


@then('another caller reads an answer of {size:g} MB whole')
def check_other(context, size):
    """Check the answer of the caller that came after the end."""
    assert len(context.fast_answer) == int(size * MB)


@when(
    'a caller that takes {pace:g} MB per second holds {size:g} MB and a body '
    'reserves {reserved:g} MB'
)
def hold_beside_body(context, pace, size, reserved):
    """Hold an answer while a body reserves more than the bound."""
    reader = FakeConnection(context, 1, pace * MB)
    reader.written = int(size * MB)
    context.connections_made = [reader]
    context.held.hold(reader)
    context.held.reserved_bytes = lambda: int(reserved * MB)
    context.held.enforce()


@then('nobody is ended')
def check_nobody_ended(context):
    """Check that every connection is still open."""
    assert not any(made.ended for made in context.connections_made)


@when('a caller that takes nothing holds {size:g} MB')
def hold_slow(context, size):
    """Hold an answer that is older than the other and not read at all."""
    context.now_s += 0.1
    slow = FakeConnection(context, 2, 0)
    slow.written = int(size * MB)
    context.connections_made.append(slow)
    context.held.hold(slow)
    context.now_s += 2.0
    # What the first caller has not taken yet grows again.
    reader = context.connections_made[0]
    reader.written += MB * 9
    context.held.grew(reader)


@then('the caller that takes nothing is ended')
def check_slow_is_ended(context):
    """Check that the other caller is still open."""
    assert [made.ended for made in context.connections_made] == [False, True]


@given('room of {size:g} MB for bodies')
def create_room(context, size):
    """Create empty room."""
    context.room = MemoryRoom(FixedBounds(int(size * MB)))
    context.bodies = []


def settle(context):
    """Let all tasks go on that can."""
    for _ in range(5):
        context.loop.run_until_complete(asyncio.sleep(0))


@when('bodies of {sizes} arrive')
def reserve_bodies(context, sizes):
    """Ask for room for each body."""
    for text in sizes.replace(' and', ',').split(', '):
        size = int(float(text.split()[0]) * MB)
        task = context.loop.create_task(context.room.reserve(size, 600.0))
        context.bodies.append((text, task))
    settle(context)


@then('those of {sizes} are read and the others wait in order')
def check_read(context, sizes):
    """Check which bodies have room."""
    read = [text for text, task in context.bodies if task.done()]
    assert ', '.join(read) == sizes, read


@when('the caller of the first waiting body leaves')
def leave(context):
    """Cancel the first task that waits."""
    waiting = next(b for b in context.bodies if not b[1].done())
    waiting[1].cancel()
    settle(context)
    context.bodies.remove(waiting)


@then('a body of {size:g} MB with no time left is refused')
def check_refused(context, size):
    """Ask for room with a time of 0."""
    try:
        context.loop.run_until_complete(
            context.room.reserve(int(size * MB), 0.0)
        )
    except NoRoom:
        return
    raise AssertionError('not refused')


@when('all bodies are released')
def release_bodies(context):
    """Release what the tasks have reserved."""
    for _, task in context.bodies:
        context.room.release(task.result())


@then('a body of {size:g} MB is read alone')
def check_alone(context, size):
    """Reserve more than the bound in empty room."""
    assert context.room.reserved_bytes == 0
    reserved = context.loop.run_until_complete(
        context.room.reserve(int(size * MB), 0.0)
    )
    assert reserved == context.room.reserved_bytes == 2 * size * MB


@when('a body of {size} bytes is sent compressed')
def send_compressed(context, size):
    """Send it with its compressed length, which is small."""
    data = compress(b'x' * int(size))
    assert len(data) < 1000
    send_bodies(context, size, lambda _: data, {'Content-Encoding': 'gzip'})


@then('the encoding is not forwarded')
def check_encoding(context):
    """Check the names of the headers that endpoints get."""
    names = {name.lower() for name, _ in context.forwarded}
    assert 'host' in names and 'content-encoding' not in names, names


@when('bodies of unknown length of {sizes} bytes are sent')
def send_chunked(context, sizes):
    """Send each in parts."""

    async def parts(size):
        for start in range(0, size, 10_000):
            # The end arrives after the room for what is known so far.
            while start == 80_000 and not context.room.reserved_bytes:
                await asyncio.sleep(0.001)
            yield b'x' * min(10_000, size - start)

    send_bodies(context, sizes, parts, {})


def send_bodies(context, sizes, make_body, headers):
    """Send each to a listener that takes at most 256 kB."""
    service = SimpleNamespace(
        memory_room=context.room, max_body_bytes=lambda: 262_144
    )
    held = ClientAccount(settings(), SystemClock(), NodeMetrics())
    context.answers, reservations = [], [0]
    context.room.on_reserved = lambda: reservations.append(
        context.room.reserved_bytes
    )

    async def handle(request):
        try:
            body = await read_counted(service, request, 5.0)
            reserved = context.room.reserved_bytes
            call = AdmittedCall(None, None, body, False)
            context.forwarded = call.forwarded(request)
            return web.Response(
                text=f'{len(body)} reserving {max(reservations)} at most '
                f'and {reserved} at the end'
            )
        finally:
            release_body(service, client_connection(request))

    async def send():
        runner = await start_listener(
            '127.0.0.1:0', handle, service.max_body_bytes, account=held
        )
        host, port = runner.addresses[0]
        for size in sizes.replace(' and', ',').split(', '):
            async with context.session.post(
                f'http://{host}:{port}/',
                data=make_body(int(size)),
                headers=headers,
            ) as response:
                text = await response.text()
                if response.status == 200:
                    assert text.startswith(f'{size} '), text
                    text = text.replace(size, '200', 1)
                else:
                    text = str(response.status)
                context.answers.append(text)
        await runner.cleanup()

    context.loop.run_until_complete(send())


@then('they are answered {answers}')
def check_answers(context, answers):
    """Compare the statuses and what was reserved."""
    assert ', '.join(context.answers) == answers, context.answers
    assert context.room.reserved_bytes == 0


@when('{length:d} bytes are posted to no route with HTTP/{version} and Expect')
def post_to_no_route(context, length, version):
    """Send the body after the answer 100, at once with HTTP/1.0."""
    service = SimpleNamespace(
        memory_room=context.room,
        max_body_bytes=lambda: 8_000_000,
        state=SimpleNamespace(stopping=False),
        now=SystemClock().now,
        has_desired_state=lambda: True,
        route=lambda host, path: None,
    )
    listener = CallerListener(service, Random(1))
    head = (
        f'POST /none HTTP/{version}\r\nHost: h\r\nConnection: close\r\n'
        f'Expect: 100-continue\r\nContent-Length: {length}\r\n\r\n'
    )

    async def post():
        runner = await start_listener(
            '127.0.0.1:0',
            listener.handle,
            service.max_body_bytes,
            ClientAccount(settings(), SystemClock(), NodeMetrics()),
        )
        reader, writer = await asyncio.open_connection(*runner.addresses[0])
        writer.write(head.encode())
        context.raw_answer = b''
        async with asyncio.timeout(5.0):
            if version == '1.1':
                context.raw_answer = await reader.readuntil(b'\r\n\r\n')
            tracemalloc.start()
            for start in range(0, length, 65_536):
                writer.write(b'x' * min(65_536, length - start))
                await writer.drain()
            while part := await reader.read(65_536):
                context.raw_answer += part
            _, context.kept_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        writer.close()
        await runner.cleanup()

    context.loop.run_until_complete(post())


@then('the answers are {statuses}')
def check_raw_statuses(context, statuses):
    """Compare the status lines."""
    found = findall(rb'HTTP/1\.[01] (\d+)', context.raw_answer)
    assert b', '.join(found).decode() == statuses, context.raw_answer


@then('at most {size:g} MB of them was kept')
def check_kept(context, size):
    """Check the peak of memory while the body was read."""
    assert context.kept_bytes <= size * MB, context.kept_bytes


class RefusingSocket:
    """Socket of a kernel that does not know an option."""

    family, proto = socket.AF_INET, socket.IPPROTO_TCP

    def setsockopt(self, *arguments):
        if socket.TCP_NOTSENT_LOWAT in arguments:
            raise OSError(ENOPROTOOPT, "Protocol not available")


class FakeTransport(asyncio.Transport):
    """Transport that records its limits."""

    high = None

    def set_write_buffer_limits(self, high=None, low=None):
        self.high = high

    def is_closing(self):
        return False

    def close(self):
        pass


@given('a kernel that refuses to limit unsent bytes')
def create_refusing_transport(context):
    """Create the transport of a connection."""
    context.transport = FakeTransport({'socket': RefusingSocket()})


@when('a caller connects')
def connect_caller(context):
    """Tell a connection that it is made; an error is kept."""
    context.error = None

    async def connect():
        server = ClientServer(
            ClientAccount(settings(), SystemClock(), NodeMetrics()),
            lambda request: None,
            tcp_keepalive=False,
        )
        connection = server()
        try:
            connection.connection_made(context.transport)
        except OSError as error:
            context.error = error
        # Its task begins before the connection ends.
        await asyncio.sleep(0)
        connection.connection_lost(None)

    context.loop.run_until_complete(connect())


@then('it is connected without an error')
def check_connected(context):
    """Check that the refusal of the option did not escape."""
    assert context.error is None, context.error


@then('its connection is paused by the first byte that is not taken')
def check_limit(context):
    """Check the limit of the transport."""
    assert context.transport.high == 0


@when('a stream whose body of {size:g} MB has room pauses')
def pause_with_body(context, size):
    """Count a connection before and after its room is released."""
    service = SimpleNamespace(memory_room=MemoryRoom(FixedBounds(4 * MB)))

    async def pause():
        connection = ClientServer(context.held, lambda request: None)()
        connection.body_bytes = int(size * MB)
        connection.reserved_bytes = await service.memory_room.reserve(
            connection.body_bytes, 1.0
        )
        connection.pause_writing()
        context.counted = [context.held.counted_bytes]
        release_body(service, connection)
        context.counted.append(context.held.counted_bytes)
        context.held.release(connection)

    context.loop.run_until_complete(pause())
    assert service.memory_room.reserved_bytes == 0
    check_nothing_held(context)


@then('less than {size:g} MB are counted for its caller')
def check_counted(context, size):
    """Check the bytes counted while the body has room."""
    assert 0 < context.counted[0] < size * MB, context.counted


@then('{size:g} MB more once the room is released')
def check_counted_later(context, size):
    """Check that the body is counted from then on."""
    before, after = context.counted
    assert after - before == size * MB, context.counted


class LastParts(CallerListener):
    """Listener that streams the parts of a stub of the service."""

    async def _respond(self, request):
        return await self._stream(request, None, None)


@when('a caller that reads nothing is ended by the last part of a stream')
def end_by_last_part(context):
    """Stream 8 MB in one part, which exceeds the bound."""

    async def stream(request, route, sink):
        await sink.start(200, [])
        await sink.write(b'x' * 8 * MB)

    service = SimpleNamespace(
        state=SimpleNamespace(stopping=False), stream=stream, memory_room=None
    )
    caller_listener = LastParts(service, Random(1))
    context.errors = []
    handler = logging.Handler(logging.ERROR)
    handler.emit = lambda record: context.errors.append(record.getMessage())

    async def read():
        caller_http = await start_listener(
            '127.0.0.1:0',
            caller_listener.handle,
            lambda: 1024,
            account=context.held,
        )
        reader, writer = await asyncio.open_connection(
            *caller_http.addresses[0], limit=4096
        )
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(20.0):
            context.answer = b''
            with suppress(ConnectionResetError):
                while part := await reader.read(65_536):
                    context.answer += part
        writer.close()
        await caller_http.cleanup()

    logging.getLogger('aiohttp.server').addHandler(handler)
    with logged_ends(context):
        context.loop.run_until_complete(read())
    logging.getLogger('aiohttp.server').removeHandler(handler)


@then('its answer is incomplete and no error is logged')
def check_end_logged(context):
    """Check the answer, the line of the end and the log of errors."""
    assert not context.answer.endswith(b'0\r\n\r\n')
    assert len(context.lines) == 1, context.lines
    assert not context.errors, context.errors


class LargeAnswers(CallerListener):
    """Listener that gives each caller the same answer."""

    answer = b''

    async def _respond(self, request):
        return web.Response(body=self.answer)


@when('a caller has read the head of an answer of {size:g} MB')
def read_head(context, size):
    """Count the calls in flight before and after the rest is read."""
    context.held._clock = SystemClock()
    service = SimpleNamespace(
        state=SimpleNamespace(stopping=True),
        account=context.held,
        memory_room=None,
    )
    caller_listener = LargeAnswers(service, Random(1))
    caller_listener.answer = b'x' * int(size * MB)

    async def read():
        caller_http = await start_listener(
            '127.0.0.1:0',
            caller_listener.handle,
            lambda: 1024,
            account=context.held,
        )
        listeners = PlatformListeners(caller_http, [], caller_listener)
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(caller_http.addresses[0])
        caller.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=caller, limit=4096)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        async with asyncio.timeout(20.0):
            await reader.readuntil(b'\r\n\r\n')
            context.in_flight = [listeners.in_flight()]
            context.body_bytes = len(await reader.read())
            while listeners.in_flight():
                await asyncio.sleep(0.01)
        context.in_flight.append(listeners.in_flight())
        writer.close()
        await listeners.close()

    context.loop.run_until_complete(read())


@then('{count:d} call is in flight at its daemon')
def check_in_flight(context, count):
    """Check the calls in flight while the answer was read."""
    assert context.in_flight[0] == count, context.in_flight


@then('none when the caller has read {size:g} MB')
def check_read_whole(context, size):
    """Check the calls in flight after it, and that it was whole."""
    assert context.in_flight[1:] == [0], context.in_flight
    assert context.body_bytes == int(size * MB), context.body_bytes


@given('a settings file with the limits {limits}')
def write_limits(context, limits):
    """Write the settings of a daemon of the soak with a table of limits."""
    addresses = HostAddresses('d', '127.0.0.1', 's:1', [], 1, 2, 3, 4, 5.0)
    lines = [settings_text(addresses), '[limits]', *limits.split(', ')]
    path = context.folder / 'settings.toml'
    path.write_text('\n'.join(lines))
    context.settings = load_node_settings(path)


@then('{bound:g} MB may be held for slow readers')
def check_setting(context, bound):
    """Check the bound of the settings."""
    assert context.settings.held_bound_bytes() == bound * MB
