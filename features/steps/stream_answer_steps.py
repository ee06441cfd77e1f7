"""Steps with raw servers that answer streams with something else."""

import asyncio
import itertools

from aiohttp import ClientSession
from aiohttp.web_server import Server
from behave import given, then, when
from endless_answer_steps import chunk
from forwarding_steps import RecordingSink
from loguru import logger
from msgspec.structs import replace
from retry_steps import (
    RawServer,
    request_for,
    route_with,
    start_servers,
    stream_forwarder_of,
)

from anvilcove.control.desired import STREAM
from anvilcove.node.http_listener import HttpListener
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.endpoint_relay import RELAY_PATH, RelayedConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.ports.engines import Generation, VersionOrder
from anvilcove.ports.errors import EndpointError
from anvilcove.ports.ways import NoObserver
from anvilcove.proxy.streams import StreamBroken

EVENTS = 4
CUT_TIMEOUT_S = 30.0
HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s\r\n'
    b'Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n'
)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
END = b'0\r\n\r\n'


def event(number):
    """Return an event as a chunk of a body."""
    return chunk(b'id: %d\ndata: x\n\n' % number)


def failure(status, framing=b'Content-Length: 5\r\n\r\nwrong', stamp=b's'):
    """Return an answer that is no stream."""
    return (
        b'HTTP/1.1 %d S\r\nAttempt-Id: q1\r\nServer-Stamp: %s\r\n'
        % (status, stamp)
    ) + framing


ANSWERS = {
    '500 with a text': failure(500),
    '500 in chunks': failure(500, CHUNKED + chunk(b'wrong') + END),
    '500 without an end': failure(500, CHUNKED + chunk(b'wrong')),
    '502 with a text': failure(502),
    '503 that may have run': failure(503),
    '404 with a text': failure(404),
    '302 with a text': failure(
        302, b'Location: /\r\nContent-Length: 0\r\n\r\n'
    ),
    '206 with events': HEAD.replace(b'200 OK', b'206 P')
    + CHUNKED
    + event(3)
    + event(4)
    + END,
    '200 with a text': failure(200),
    '200 without a stamp': HEAD.replace(b'Server-Stamp: s\r\n', b'')
    + CHUNKED
    + event(3)
    + END,
    '200 without a length': HEAD + b'\r\nid: 3\ndata: x\n\n',
    'events from 1 on': HEAD + CHUNKED + event(1) + event(2) + END,
    'an end inside event 3': HEAD + CHUNKED + chunk(b'id: 3\ndata') + END,
    'a head that breaks off': HEAD,
    'a head behind event 3': HEAD + CHUNKED + event(3) + failure(500),
    'bytes that are no answer': b'wrong\r\n\r\n',
}


def sound(after):
    """Return a whole answer with the events after a number."""
    numbers = range(after + 1, EVENTS + 1)
    return HEAD + CHUNKED + b''.join(event(n) for n in numbers) + END


def broken_after(number):
    """Return an answer that ends behind an event, without its end."""
    return HEAD + CHUNKED + b''.join(event(n) for n in range(1, number + 1))


class ScriptedServer(RawServer):
    """Raw server that takes the next answer of a list for all servers."""

    def __init__(self, script, sends):
        """Take answers from `script`; note in `sends` what was asked for."""
        super().__init__()
        self.script = script
        self.sends = sends

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(1)
            lines = head.decode().lower().split('\r\n')
            after = [x for x in lines if x.startswith('last-event-id: ')]
            number = int(after[0].split(': ')[1]) if after else 0
            self.sends.append(number)
            writer.write(next(self.script, None) or sound(number))
            await writer.drain()
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@given('{count:d} raw servers for streams')
def start_streaming_servers(context, count):
    """Start servers that answer in the order in which they are asked."""
    logger.remove()
    start_servers(context, 0)
    context.script, context.sends = iter(()), []

    async def start():
        for _ in range(count):
            server = ScriptedServer(
                (answer for answer in context.script), context.sends
            )
            await server.start()
            context.servers.append(server)

    context.loop.run_until_complete(start())


def answer_with(context, answers):
    """Give all servers one list of answers; sound ones follow."""
    script = iter(answers)
    for server in context.servers:
        server.script = script


@given(
    'the first one asked breaks off after event {number:d}, the next answers '
    '{answer}'
)
def break_and_answer(context, number, answer):
    """Let a stream break off and its resumption get an odd answer."""
    answer_with(context, [broken_after(number), ANSWERS[answer]])


@given(
    'the first one asked breaks off after event {number:d}, all others answer '
    '{answer}'
)
def break_and_answer_always(context, number, answer):
    """Let a stream break off and all its resumptions get an odd answer."""
    answer_with(
        context,
        itertools.chain(
            [broken_after(number)], itertools.repeat(ANSWERS[answer])
        ),
    )


@given('the first one asked answers {answer}')
def answer_first(context, answer):
    """Let only the first send fail."""
    answer_with(context, [ANSWERS[answer]])


@given('all answer {answer}')
def answer_always(context, answer):
    """Let all sends fail."""
    answer_with(context, itertools.repeat(ANSWERS[answer]))


@when('a {kind} stream with {attempts:d} attempts is requested')
def request_stream(context, kind, attempts):
    """Forward a stream and keep what the caller gets."""
    route = replace(
        route_with(attempts, STREAM), resumable=kind == 'resumable'
    )
    context.sink = RecordingSink()
    try:
        context.answer = context.loop.run_until_complete(
            stream_forwarder_of(context).forward(
                request_for('q1', 5.0), route, context.sink
            )
        )
    except StreamBroken as error:
        context.answer = error


def event_bytes(last):
    """Return the events up to a number, as the caller has to get them."""
    return b''.join(b'id: %d\ndata: x\n\n' % n for n in range(1, last + 1))


@then('the caller gets the events 1 to {last:d}, each once, and the end')
def check_whole(context, last):
    """Check the body and that it is ended as complete."""
    assert context.answer is None, context.answer
    assert context.sink.data == event_bytes(last), context.sink.data
    assert context.sink.starts == 1


@then('{count:d} sends began with the events after none, 2 and 2')
def check_sends(context, count):
    """Check where each send went on."""
    assert context.sends == [0, 2, 2], context.sends


@then('the stream is broken after the events 1 and 2, without an end')
def check_broken(context):
    """Check that the caller sees that the stream is cut."""
    assert isinstance(context.answer, StreamBroken), context.answer
    assert context.sink.data == event_bytes(2), context.sink.data


@then(
    'the caller gets status {status:d} and the body {body}, after {runs:d} '
    'runs'
)
@then('the caller gets status {status:d} and the body , after {runs:d} runs')
def check_answer(context, status, runs, body=''):
    """Check an answer that is no stream."""
    assert context.answer is not None
    assert context.answer.status == status, context.answer
    assert context.answer.body == body.encode(), context.answer
    assert context.sink.starts == 0
    assert len(context.sends) == runs, context.sends


WITH_LENGTH = HEAD + b'Content-Length: 15\r\n\r\nid: 1\ndata: x\n\n'
IN_CHUNKS = HEAD + CHUNKED + event(1) + END
REPORT = b'{"models":[],"busy":false,"sequence":2}'
WHOLE_ANSWERS = {
    'a request': WITH_LENGTH,
    'a request in chunks': IN_CHUNKS,
    'a stream': IN_CHUNKS,
    'a stream with a length': WITH_LENGTH,
    'a generation': IN_CHUNKS,
    'a report': b'HTTP/1.1 200 OK\r\nContent-Length: 39\r\n\r\n' + REPORT,
    'an order': b'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n',
}


class OnePeer:
    """Relay port of a host that is cut off and has one peer."""

    def __init__(self, address):
        """Name the address of the peer."""
        self.address = address

    def needed(self):
        """Relay all calls."""
        return bool(self.address)

    def needed_after_failure(self, address):
        """Relay no further call."""
        return False

    def addresses(self):
        """Return the address of the peer."""
        return [self.address]

    def may_relay(self, address):
        """Let the peer relay all calls."""
        return True

    def avoid(self, peer):
        """Use the peer again all the same."""

    def count_call(self, outcome):
        """Count nothing."""


async def start_peer(stack):
    """Start a host that relays calls; return its address."""
    connections = RelayedConnections(stack['peer'])
    connections.attach(stack['session'], NoObserver(), OnePeer(''))
    handler = connections.relay_handlers()[RELAY_PATH]
    listener = HttpListener(Server(handler, access_log=None), 0.1)
    await listener.open('127.0.0.1', 0)
    stack['listener'] = listener
    ip, port = listener.addresses[0]
    return f'{ip}:{port}'


async def call_once(kind, connections, address):
    """Make a call; return what its caller would use."""
    engines = PlatformEngines(connections)
    if kind.startswith('a request'):
        return await PlatformServers(connections).send(
            address, 'i', request_for('q1'), 2.0, True
        )
    if kind.startswith('a stream'):
        async with PlatformStreams(connections).open(
            address, 'i', request_for('q1'), 2.0, True, None
        ) as answer:
            return [piece async for piece in answer.pieces]
    if kind == 'a generation':
        generation = Generation('q1', 'h', '/p/1', {}, b'', 2.0, 0)
        return [e async for e in engines.generate(address, 'i', generation)]
    if kind == 'a report':
        return await engines.report(address)
    order = VersionOrder('m', 2, 'd', 1, 0, True)
    return await engines.order(address, 'i', order)


def cutting(data, end):
    """Return a behaviour that answers with some bytes and closes."""

    async def send_part(server, writer, attempt):
        writer.write(data)
        await writer.drain()
        if end == 'reset':
            await asyncio.sleep(0.002)
            writer.transport.abort()
        else:
            writer.close()

    return send_part


async def cut_everywhere(context, call, end):
    """Make a call for each length of its answer; keep the outcomes."""
    kind = call.removesuffix(' through a peer')
    data = WHOLE_ANSWERS[kind]
    stack = {}
    async with (
        ServerConnections() as stack['own'],
        ServerConnections() as stack['peer'],
        ClientSession() as stack['session'],
    ):
        if call != kind:
            relayed = RelayedConnections(stack['own'])
            peer = await start_peer(stack)
            relayed.attach(stack['session'], NoObserver(), OnePeer(peer))
        for length in [*range(len(data)), len(data)]:
            server = RawServer()
            await server.start()
            server.behaviours = [cutting(data[:length], end)] * 9
            try:
                outcome = await call_once(kind, stack['own'], server.address)
            except EndpointError as error:
                outcome = error
            context.outcomes.append(outcome)
            server.close()
            server.break_connections()
        if 'listener' in stack:
            await stack['listener'].cleanup()


@when(
    '{call} is answered in part, up to each byte, and the connection is {end}'
)
def cut_answers(context, call, end):
    """Cut the answer to a call at each of its bytes."""
    logger.remove()
    context.outcomes = []

    async def cut_in_time():
        async with asyncio.timeout(CUT_TIMEOUT_S):
            await cut_everywhere(context, call, end)

    context.loop.run_until_complete(cut_in_time())


@then('each of these calls failed with an endpoint error')
def check_cut(context):
    """Check that only the whole answer, the last one, was taken."""
    *cut, whole = context.outcomes
    for length, outcome in enumerate(cut):
        assert isinstance(outcome, EndpointError), (length, outcome)
    assert not isinstance(whole, Exception), repr(whole)
