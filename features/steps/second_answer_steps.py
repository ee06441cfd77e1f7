"""Steps with a raw server that answers a call twice."""

import asyncio
import socket
import struct
import time
from contextlib import aclosing

from behave import given, then, when
from msgspec import Struct
from retry_steps import (
    ANSWER,
    MISDIRECTED,
    SHED,
    RawServers,
    request_for,
    run_and_answer,
    sending,
)

from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.ports.engines import (
    ACCEPTED,
    EngineReport,
    Generation,
    GenerationEnd,
    ItemFailed,
    TokenEvent,
    VersionOrder,
)
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.ports.servers import ServerAnswer

WORK_S = 0.01
CALL_TIMEOUT_S = 0.5
# When the second answer is sent: bytes with the first answer, while the
# connection is idle, and once the next call has been read. The numbers are
# the shares of its bytes that have been sent by then.
MOMENTS = {
    'with the first answer': (1.0, 1.0),
    'while idle': (0.0, 1.0),
    'at the next call': (0.0, 0.0),
    'split by the first answer': (0.5, 0.5),
    'split by the next call': (0.0, 0.5),
    'split by the first byte': (0.0, 0.01),
    'split before the last byte': (0.0, 0.99),
}
REPORT = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: 71\r\n\r\n'
    b'{"models":[{"name":"m","version":1}],"busy":false,"sequence":3,"q":"xx"}'
)
ACCEPTED_ORDER = b'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n'
FIRST_EVENT = 3


class Outcome(Struct):
    """Result of one call, and whether the server ran it."""

    kind: str
    moment: str
    result: object
    ran: bool


def plain_answer(attempt, owner, status='200 OK'):
    """Return an answer; without `attempt` it carries no id."""
    head = f'HTTP/1.1 {status}\r\n'
    if attempt:
        head += f'Attempt-Id: {attempt}\r\n'
    body = f'body of {owner}'
    head += f'Server-Stamp: s-{owner}\r\nContent-Length: {len(body)}\r\n\r\n'
    return (head + body).encode()


def stream_answer(attempt, owner, after=0):
    """Return a stream of two events; without `attempt` it carries no id."""
    head = 'HTTP/1.1 200 OK\r\n'
    if attempt:
        head += f'Attempt-Id: {attempt}\r\n'
    head += (
        f'Server-Stamp: s-{owner}\r\nWeight-Versions: 1\r\n'
        'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    )
    for number in (after + 1, after + 2):
        event = f'id: {number}\ndata: {owner}\n\n'
        head += f'{len(event):x}\r\n{event}\r\n'
    return (head + '0\r\n\r\n').encode()


def own_answer(path, attempt, after):
    """Return the answer of a call that ran."""
    if path == '/-/report':
        return REPORT
    if path == '/-/order':
        return ACCEPTED_ORDER
    if path.startswith('/i/'):
        return stream_answer(attempt, attempt, after)
    return plain_answer(attempt, attempt)


def second_answer(first, form):
    """Return the bytes of the second answer to the first call, q1."""
    if form == 'refused without an id':
        return SHED
    if form == 'misdirected without an id':
        return MISDIRECTED
    if form == 'as 503 without an id':
        return plain_answer('', 'q1', '503 Service Unavailable')
    if form == 'as 500 without an id':
        return plain_answer('', 'q1', '500 Internal Server Error')
    if form == 'as its failure':
        return plain_answer('q1', 'q1', '500 Internal Server Error')
    if first == 'report':
        return REPORT
    if first == 'order':
        return ACCEPTED_ORDER
    attempt = {'with its id': 'q1', 'without an id': ''}.get(form, 'q7')
    if first == 'item':
        return stream_answer(attempt, 'q1')
    return plain_answer(attempt, attempt or 'q1')


class TwiceServer:
    """Server that answers the first call of its first connection twice."""

    def __init__(self, first, form, moment):
        """Choose the second answer and when its bytes are sent."""
        self.first = first
        self.second = second_answer(first, form)
        self.moment = moment
        self.ran = []
        self.address = ''
        self._connections = 0
        self._writers = []
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        self._connections += 1
        twice = self._connections == 1
        try:
            count = 0
            while True:
                path, headers = await read_call(reader)
                count += 1
                if twice and count == 2:
                    # The rest of the second answer comes before the answer.
                    writer.write(self.second[self._sent(1) :])
                await self._answer(writer, path, headers, twice and count == 1)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _sent(self, phase):
        return int(len(self.second) * MOMENTS[self.moment][phase])

    async def _answer(self, writer, path, headers, is_first):
        attempt = headers.get('attempt-id', '')
        if is_first and self.first == 'refused':
            data = SHED
        else:
            self.ran.append(attempt or path)
            await asyncio.sleep(WORK_S)
            after = int(headers.get('last-event-id', '0'))
            data = own_answer(path, attempt, after)
            if is_first and self.second.startswith(b'HTTP/1.1 500'):
                data = plain_answer('q1', 'q1', '500 Internal Server Error')
        if is_first:
            data += self.second[: self._sent(0)]
        writer.write(data)
        if is_first and self._sent(1) > self._sent(0):
            await asyncio.sleep(WORK_S)
            writer.write(self.second[self._sent(0) : self._sent(1)])

    def break_connections(self):
        """Reset every connection."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self):
        """Stop listening."""
        self._server.close()


async def read_call(reader):
    """Read a call; return its path and headers."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines[1:] if line)
    await reader.readexactly(int(headers.get('content-length', '0')))
    return lines[0].split()[1], headers


class Calls:
    """Clients of one server; each method makes one kind of call."""

    def __init__(self, connections, address):
        """Use these connections."""
        self.address = address
        self.servers = PlatformServers(connections)
        self.streams = PlatformStreams(connections)
        self.engines = PlatformEngines(connections)

    async def request(self, attempt, repeatable=True):
        """Send a request."""
        return await self.servers.send(
            self.address, 'i-1', request_for(attempt), 2.0, repeatable
        )

    async def single(self, attempt):
        """Send a request that may run once."""
        return await self.request(attempt, repeatable=False)

    async def stream(self, attempt):
        """Read a stream; its last piece tells whose it is."""
        request = request_for(attempt)
        request.path = f'/i/{attempt}'
        async with self.streams.open(
            self.address, 'i-1', request, 2.0, False, None
        ) as answer:
            return [piece.data async for piece in answer.pieces]

    async def item(self, attempt, after=0):
        """Read a generation."""
        generation = Generation(
            attempt, 'h', f'/i/{attempt}', {}, b'x', 5.0, after
        )
        stream = self.engines.generate(self.address, 'i-1', generation)
        async with aclosing(stream):
            return [event async for event in stream]

    async def resumed_item(self, attempt):
        """Read the rest of a generation."""
        return await self.item(attempt, FIRST_EVENT)

    async def order(self, attempt):
        """Give a version order."""
        order = VersionOrder('m', 2, 'd', 1, 3, True)
        return await self.engines.order(self.address, 'i-1', order)

    async def report(self, attempt):
        """Read a report."""
        return await self.engines.report(self.address)


def is_own(kind, result, attempt):
    """Tell whether a result is the answer to this call."""
    if kind in ('request', 'single'):
        return (
            isinstance(result, ServerAnswer)
            and result.status == 200
            and result.body == f'body of {attempt}'.encode()
            and result.stamp == f's-{attempt}'
        )
    if kind == 'stream':
        events = [f'id: {n}\ndata: {attempt}\n\n'.encode() for n in (1, 2)]
        return result == events
    if kind == 'order':
        return result == ACCEPTED
    if kind == 'report':
        return isinstance(result, EngineReport)
    after = FIRST_EVENT if kind == 'resumed_item' else 0
    return isinstance(result, list) and result[1:] == [
        TokenEvent(after + 1, attempt, 1),
        TokenEvent(after + 2, attempt, 1),
        GenerationEnd(after + 2),
    ]


async def call_twice(connections, server, first, kind, attempt):
    """Make the first call, then the one that is checked; return its result."""
    calls = Calls(connections, server.address)
    try:
        await getattr(calls, 'request' if first == 'refused' else first)('q1')
    except (EndpointError, ItemFailed):
        pass
    # Time for bytes that arrive while the connection is idle.
    await asyncio.sleep(2.5 * WORK_S)
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await getattr(calls, kind)(attempt)
    except (EndpointError, ItemFailed, TimeoutError) as error:
        return error


async def check_calls(context, kinds, attempt):
    """Make each pair of calls with each moment of the second answer."""
    context.outcomes = await asyncio.gather(
        *(
            check_call(context, kind, moment, attempt)
            for kind in kinds
            for moment in MOMENTS
        )
    )


async def check_call(context, kind, moment, attempt):
    """Make a pair of calls and return the outcome of the second one."""
    server = TwiceServer(context.first, context.form, moment)
    await server.start()
    context.servers.append(server)
    async with ServerConnections() as connections:
        result = await call_twice(
            connections, server, context.first, kind, attempt
        )
        await asyncio.sleep(2 * WORK_S)
    names = (attempt, '/-/order', '/-/report')
    first_runs = 0 if context.first == 'refused' else 1
    ran = any(name in server.ran[first_runs:] for name in names)
    return Outcome(kind, moment, result, ran)


@given('a raw server that answers a {first} twice, the second time {form}')
def choose_second_answer(context, first, form):
    """Keep which call is answered twice, and how."""
    context.first, context.form = first, form
    context.servers = []
    context.site = RawServers(context.servers)


@when('each kind of call follows and the second answer comes at each moment')
def call_each(context):
    """Make each kind of call after the one that is answered twice."""
    kinds = (
        'request',
        'single',
        'stream',
        'item',
        'resumed_item',
        'order',
        'report',
    )
    context.loop.run_until_complete(check_calls(context, kinds, 'q2'))


@when('the same request follows and the second answer comes at each moment')
def call_again(context):
    """Send the request again with the same id."""
    context.loop.run_until_complete(check_calls(context, ['request'], 'q1'))


@then('each call got its own answer or failed')
def check_own(context):
    """Check that no call got the answer of another."""
    attempt = 'q1' if context.form == 'as its failure' else 'q2'
    wrong = [
        outcome
        for outcome in context.outcomes
        if not isinstance(outcome.result, EndpointError | TimeoutError)
        and not is_own(outcome.kind, outcome.result, attempt)
    ]
    assert not wrong, wrong


@then('no call counts as not run that the server has run')
def check_not_run(context):
    """Check each call that is reported as not run."""
    wrong = [
        outcome
        for outcome in context.outcomes
        if isinstance(outcome.result, EndpointNotRun) and outcome.ran
    ]
    assert not wrong, wrong


CHUNKED = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
)


@given('each server refuses {one:w} without an id')
def refuse_at_each(context, one):
    """Refuse the next request at each server."""
    for server in context.servers:
        server.behaviours = [sending(SHED)]


@then('{count:d} servers have received {attempt:w}')
def check_reached(context, count, attempt):
    """Count the servers that the request reached."""
    received = [server.received for server in context.servers]
    assert sum(attempt in names for names in received) == count, received


@given('the server refuses {one:w} without an id')
def refuse_one(context, one):
    """Refuse the next request."""
    context.servers[0].behaviours = [sending(SHED)]


@given('the server refuses {one:w} and {two:w} without an id')
def refuse_two(context, one, two):
    """Refuse the next two requests."""
    context.servers[0].behaviours = [sending(SHED), sending(SHED)]


@given('the server answers {one} and refuses {two} without an id')
def answer_and_refuse(context, one, two):
    """Answer a request and refuse the next one."""
    context.servers[0].behaviours = [run_and_answer, sending(SHED)]


def send_plain(context, attempt, repeatable):
    """Send a request; keep its answer or error."""
    client = PlatformServers(context.connections)
    try:
        context.answer = context.loop.run_until_complete(
            client.send(
                context.servers[0].address,
                'i-1',
                request_for(attempt),
                2.0,
                repeatable,
            )
        )
    except EndpointError as error:
        context.answer = error


@when('{attempt:w} is sent on the kept connection')
def send_on_kept(context, attempt):
    """Send a repeatable request on the connection that is open."""
    count = len(context.servers[0].writers)
    send_plain(context, attempt, repeatable=True)
    assert len(context.servers[0].writers) == count


@when('{attempt:w} that may run once is sent')
def send_once(context, attempt):
    """Send a request on whichever connection the client chooses."""
    context.count = len(context.servers[0].writers)
    send_plain(context, attempt, repeatable=False)
    assert isinstance(context.answer, ServerAnswer), context.answer


@then('the server has received {attempt:w} once, on a new connection')
def check_new_connection(context, attempt):
    """Check that the client opened a connection for the request."""
    assert len(context.servers[0].writers) == context.count + 1
    assert context.servers[0].received.count(attempt) == 1


@then('the server has one connection')
def check_one_connection(context):
    """Check that every request used the same connection."""
    assert len(context.servers[0].writers) == 1, context.servers[0].writers


@when('{attempt:w} is sent on a new connection')
def send_on_new(context, attempt):
    """Send a request while a call occupies the open connection."""
    server = context.servers[0]
    behaviours = server.behaviours
    done = asyncio.Event()

    async def occupy(server, writer, attempt):
        await done.wait()
        await run_and_answer(server, writer, attempt)

    async def occupied():
        client = PlatformServers(context.connections)
        server.behaviours = [occupy, *behaviours]
        first = asyncio.ensure_future(
            client.send(
                server.address, 'i-1', request_for('occupying'), 2.0, True
            )
        )
        while 'occupying' not in server.received:
            await asyncio.sleep(0.001)
        try:
            context.answer = await client.send(
                server.address, 'i-1', request_for(attempt), 2.0, True
            )
        except EndpointError as error:
            context.answer = error
        done.set()
        await first

    context.loop.run_until_complete(occupied())


@given('the server resets its connections after {framing} answers')
def reset_after_answers(context, framing):
    """Reset each connection right after the last byte of its answer."""
    reset_after(context, ANSWER if framing == 'sized' else CHUNKED)


@given(
    'the server resets its connections {seconds:g} s of a blocked event loop'
    ' after each answer'
)
def reset_after_blocked(context, seconds):
    """Block the event loop, also that of the client, before each reset."""
    reset_after(context, ANSWER, seconds)


def reset_after(context, data, blocked_s=0.0):
    """Reset each connection after its answer and a blocked event loop."""

    async def answer_and_reset(server, writer, attempt):
        writer.write(data % attempt.encode())
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        await writer.drain()
        # Time for the bytes to arrive: a reset discards those on the way.
        await asyncio.sleep(0.002)
        time.sleep(blocked_s)
        writer.transport.abort()

    context.servers[0].behaviours = [answer_and_reset] * 99


@when('{count:d} requests are sent one after another')
def send_many(context, count):
    """Send repeatable requests and keep each answer."""
    context.answers = []
    for number in range(count):
        send_plain(context, f'q{number + 1}', repeatable=True)
        context.answers.append(context.answer)


@then('each is answered')
def check_each(context):
    """Check that each request got a complete answer."""
    for answer in context.answers:
        assert isinstance(answer, ServerAnswer), answer
        assert answer.body == b'ok', answer
