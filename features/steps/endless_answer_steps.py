"""Steps with raw servers that send bytes without end."""

import asyncio

from behave import given, then, when
from retry_steps import (
    forwarder_of,
    request_for,
    route_with,
    run_and_answer,
    start_servers,
)

from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.endpoint_relay import RelayedConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.ports.engines import Generation, VersionOrder
from anvilcove.ports.errors import PlatformError
from anvilcove.ports.peers import PeerUnreachable
from anvilcove.ports.ways import NoObserver

CALL_TIMEOUT_S = 5.0
# A store answers with errors of its own port.
PORT_ERRORS = (PlatformError, PeerUnreachable)
BLOCK = b'x' * 65_536
HEAD = (
    b'HTTP/1.1 200 OK\r\n%sServer-Stamp: s\r\nWeight-Versions: 1\r\n'
    b'Content-Type: text/event-stream\r\n'
)
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def chunk(data):
    """Return data as one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(data), data)


# What a server sends first, and what it repeats after that.
ENDLESS = {
    'a status line': (b'HTTP/1.1 200 ', BLOCK),
    'empty lines': (b'', b'\r\n' * 4096),
    'header lines': (HEAD, b''.join(b'X-%d: 1\r\n' % i for i in range(999))),
    'one header': (HEAD + b'X: ', BLOCK),
    '100 Continue': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'a chunked body': (CHUNKED, chunk(BLOCK)),
    'a body of 100 GB': (
        HEAD + b'Content-Length: 100000000000\r\n\r\n',
        BLOCK,
    ),
    'a chunk extension': (CHUNKED + b'5;', BLOCK),
    'zeros of chunk size': (CHUNKED, b'0' * 65_536),
    'trailers': (CHUNKED + b'0\r\n', b'A: b\r\n' * 999),
    'long header lines': (HEAD, (b'X: ' + b'x' * 8000 + b'\r\n') * 8),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n' * 8192),
    'a line of an event': (CHUNKED + chunk(b'data: '), chunk(BLOCK)),
    'data lines': (CHUNKED, chunk(b'data: 1\n' * 1000)),
    'comments': (CHUNKED, chunk(b': x\n\n' * 1000)),
}


def sending_without_end(context, name):
    """Return a behaviour that sends until the connection is closed."""
    first, repeated = ENDLESS[name]

    async def send(server, writer, attempt):
        identity = b'Attempt-Id: %s\r\n' % attempt.encode() if attempt else b''
        writer.write(first % identity if b'%s' in first else first)
        while True:
            writer.write(repeated)
            context.sent_bytes += len(repeated)
            await writer.drain()

    return send


@given('1 raw server that sends {name} without end')
def start_endless(context, name):
    """Start a server that answers each request without end."""
    start_servers(context, 1)
    context.sent_bytes = 0
    context.servers[0].behaviours = [sending_without_end(context, name)] * 9


@given('2 raw servers of which one sends a chunked body without end')
def start_endless_and_sound(context):
    """Start two servers; the first request at either gets no end."""
    start_servers(context, 2)
    context.sent_bytes = 0
    behaviour = sending_without_end(context, 'a chunked body')

    async def first_only(server, writer, attempt):
        if (
            any(len(other.received) > 1 for other in context.servers)
            or sum(len(other.received) for other in context.servers) > 1
        ):
            await run_and_answer(server, writer, attempt)
        else:
            await behaviour(server, writer, attempt)

    for server in context.servers:
        server.behaviours = [first_only] * 9


@given('1 raw server that streams {count:d} events of 64 kB')
def start_long_stream(context, count):
    """Start a server that streams many whole events."""
    start_servers(context, 1)

    async def send(server, writer, attempt):
        writer.write(CHUNKED % (b'Attempt-Id: %s\r\n' % attempt.encode()))
        for number in range(1, count + 1):
            writer.write(chunk(b'id: %d\ndata: %s\n\n' % (number, BLOCK)))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    context.servers[0].behaviours = [send]


async def read_stream(context, pause_s=0.0):
    """Read a stream to its end; return its number of events."""
    client = PlatformStreams(context.connections)
    address = context.servers[0].address
    events = 0
    async with client.open(
        address, 'i', request_for('q1'), 2.0, True, None
    ) as answer:
        async for piece in answer.pieces:
            events += piece.event_id is not None
            await asyncio.sleep(pause_s)
    return events


async def make_other_call(context, call, address):
    """Make a call of the store, of peers or of the own interface."""
    # Its module needs this one.
    from malformed_answer_steps import make_call as make_malformed_call

    await make_malformed_call(context, call, address)


async def call_through_peer(context, call, address):
    """Make a call of a host that is cut off, through its one peer."""
    from stream_answer_steps import OnePeer, call_once, start_peer

    stack = {'session': context.session}
    async with ServerConnections() as own, ServerConnections() as peer:
        stack['peer'] = peer
        ip = await start_peer(stack)
        RelayedConnections(own).attach(
            context.session, NoObserver(), OnePeer(ip)
        )
        try:
            await call_once(call.removesuffix(' through a peer'), own, address)
        finally:
            await stack['listener'].cleanup()


async def make_call(context, call):
    """Make a call to the first server."""
    address = context.servers[0].address
    engines = PlatformEngines(context.connections)
    if call == 'a request':
        await PlatformServers(context.connections).send(
            address, 'i', request_for('q1'), 2.0, True
        )
    elif call == 'a stream':
        await read_stream(context)
    elif call == 'a generation':
        generation = Generation('q1', 'h', '/p/1', {}, b'', 2.0, 0)
        async for _ in engines.generate(address, 'i', generation):
            pass
    elif call == 'a report':
        await engines.report(address)
    elif call == 'an order':
        await engines.order(
            address, 'i', VersionOrder('m', 2, 'd', 1, 0, True)
        )
    elif call.endswith(' through a peer'):
        await call_through_peer(context, call, address)
    else:
        await make_other_call(context, call, address)


@when('{call} is made')
def make(context, call):
    """Make a call and keep the error that ends it."""

    async def make_in_time():
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await make_call(context, call)

    context.error = None
    started_s = context.loop.time()
    try:
        context.loop.run_until_complete(make_in_time())
    except Exception as error:
        context.error = error
    context.took_s = context.loop.time() - started_s


@when('the stream is read with a pause of {pause_s:g} s after each event')
def read_slowly(context, pause_s):
    """Read a stream like a caller that is slower than its server."""
    context.events = context.loop.run_until_complete(
        read_stream(context, pause_s)
    )


@when('a request is forwarded on a route with {attempts:d} attempts')
def forward_one(context, attempts):
    """Forward a request that may run more than once."""
    context.answer = context.loop.run_until_complete(
        forwarder_of(context).forward(request_for('q1'), route_with(attempts))
    )


@then('the call fails with an endpoint error before any timeout')
def check_early_error(context):
    """Check that no time limit has ended the call."""
    error = context.error
    assert isinstance(error, PORT_ERRORS), repr(error)
    while error is not None:
        assert not isinstance(error, TimeoutError), repr(context.error)
        assert 'TimeoutError' not in repr(error), repr(context.error)
        error = error.__cause__ or error.__context__


@then('the call fails with an endpoint error within {limit:d} s')
def check_error(context, limit):
    """Check the kind of the error, and the time that the call took."""
    assert isinstance(context.error, PORT_ERRORS), repr(context.error)
    assert context.took_s < limit, context.took_s


@then('the server could send at most {megabytes:d} MB')
def check_sent(context, megabytes):
    """Check how much the server could send, buffers of sockets included."""
    sent = context.sent_bytes
    assert sent <= megabytes * 1_000_000, f'{sent / 1e6:.1f} MB'


@then('{count:d} events were read')
def check_events(context, count):
    """Check that no event is missing."""
    assert context.events == count, context.events
