"""Steps that forward requests to raw servers that break connections."""

import asyncio
import random

from behave import given, then, when

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import (
    SAFE,
    STREAM,
    DesiredState,
    DesiredStateView,
    Route,
    Target,
)
from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.permits import RatePermits
from anvilcove.control.stream_origins import StreamOrigins
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.reward_calls import RewardCalls
from anvilcove.jobs.reward_gate import RewardGate
from anvilcove.jobs.types import Item, RewardCall
from anvilcove.platform.probes import ConnectionProbe
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.proxy.pools import EndpointPools
from anvilcove.proxy.streams import StreamBroken, StreamForwarder
from anvilcove.settings.node import (
    NodeBounds,
    NodeListeners,
    NodeSettings,
    StoreSettings,
)
from anvilcove.standins.memory_origins import MemoryOrigins
from anvilcove.standins.memory_permits import MemoryPermits
from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.metrics import NodeMetrics

ANSWER = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
SHED = (
    b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
MISDIRECTED = (
    b'HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-2\r\n'
    b'Content-Length: 0\r\n\r\n'
)
FAILURE = (
    b'HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: q1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
STREAMED = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Stamp: s\r\n'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n'
)
# What a server does after it has broken its connections.
AFTERWARDS = {
    'refuses connections': None,
    'answers as not run': SHED,
    'answers as not that one': MISDIRECTED,
    'fails': FAILURE,
}
SERVICE = 'app'


class RawServer:
    """Server that answers in raw bytes, as `behaviours` tells.

    Each request takes the next behaviour, a coroutine function of the server,
    the writer and the attempt id; later requests are answered.
    """

    def __init__(self):
        """Create a server that answers every request."""
        self.behaviours = []
        # Attempt id of each request that was read.
        self.received = []
        # Attempt id of each request that began to run.
        self.runs = []
        self.writers = []
        self.address = ''
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().lower().split('\r\n')
                headers = dict(
                    line.split(': ', 1) for line in lines[1:] if line
                )
                await reader.readexactly(
                    int(headers.get('content-length', '0'))
                )
                attempt = headers.get('attempt-id', '')
                self.received.append(attempt)
                behaviour = run_and_answer
                if self.behaviours:
                    behaviour = self.behaviours.pop(0)
                await behaviour(self, writer, attempt)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def break_connections(self):
        """Reset every connection."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def close(self):
        """Stop listening."""
        self._server.close()


class RawServers:
    """Raw servers with the `stop` that `after_scenario` calls."""

    def __init__(self, servers):
        """Keep the servers."""
        self.servers = servers

    async def stop(self):
        """Stop listening and end the connections."""
        for server in self.servers:
            server.close()
            server.break_connections()


async def run_and_answer(server, writer, attempt):
    """Run a request and answer it."""
    server.runs.append(attempt)
    writer.write(ANSWER % attempt.encode())


def breaking(delay_s, listening):
    """Return a behaviour that breaks all connections during the run."""

    async def run_and_break(server, writer, attempt):
        server.runs.append(attempt)
        await asyncio.sleep(delay_s)
        if not listening:
            server.close()
        server.break_connections()

    return run_and_break


def sending_last(data):
    """Return a behaviour that answers with these bytes and closes."""

    async def send_and_close(server, writer, attempt):
        server.runs.append(attempt)
        writer.write(data)
        writer.close()

    return send_and_close


def sending(data):
    """Return a behaviour that answers with these bytes and runs nothing."""

    async def send_bytes(server, writer, attempt):
        writer.write(data)

    return send_bytes


async def stream_answer(server, writer, attempt):
    """Run a request and answer it with a stream of one event."""
    server.runs.append(attempt)
    writer.write(STREAMED % attempt.encode())


class DisconnectedSink:
    """Stream sink of a caller that has disconnected."""

    async def start(self, status, headers):
        """Accept the headers."""

    async def write(self, piece):
        """Fail as a write to a closed connection does."""
        raise ConnectionResetError('Cannot write to closing transport')


def request_for(attempt, deadline_s=2.0):
    """Return a request of a caller."""
    now = SystemClock().now()
    return CallerRequest(
        attempt,
        'POST',
        'h',
        '/p/1',
        [('Attempt-Id', attempt)],
        b'x',
        now,
        now + deadline_s,
    )


def start_servers(context, count):
    """Start raw servers; the scenario's end stops them."""
    context.servers = [RawServer() for _ in range(count)]
    context.site = RawServers(context.servers)

    async def start():
        for server in context.servers:
            await server.start()

    context.loop.run_until_complete(start())


def settings():
    """Return the settings of a daemon."""
    return NodeSettings(
        host='d',
        data_centre='dc',
        region='r',
        ip='127.0.0.1',
        listeners=NodeListeners(callers='', ready='', lookup='', peers=''),
        store=StoreSettings('store'),
        bounds=NodeBounds(),
        peer_port=2,
    )


def registry_of(servers):
    """Return a registry that names the servers as endpoints."""
    registry = EndpointRegistry()
    registry.replace_all(
        {
            server.address: EndpointEntry(
                instance=f'i-{server.address}',
                started_ms=0,
                service=SERVICE,
                address=server.address,
                data_centre='dc',
                draining=False,
                slots=6,
            )
            for server in servers
        },
        0.0,
        keep_missing=False,
    )
    return registry


def pools_of(context):
    """Return the slots of the raw servers."""
    clock = SystemClock()
    registry = registry_of(context.servers)
    return EndpointPools(
        settings(),
        registry,
        clock,
        random.Random(1),
        NodeMetrics(),
        permits_of(registry, clock),
    )


def permits_of(registry, clock):
    """Return the permits of a daemon that knows no other one."""
    crashes = ContentCrashes(
        settings(), registry, ConnectionProbe(), clock, NodeMetrics()
    )
    nodes = NodeDirectory(settings(), crashes, clock, 'n')
    return RatePermits(settings(), registry, nodes, MemoryPermits({}), clock)


def crashes_of(context):
    """Return counts of crashes of the raw servers."""
    return ContentCrashes(
        settings(),
        registry_of(context.servers),
        ConnectionProbe(),
        SystemClock(),
        NodeMetrics(),
    )


def reports_of(context):
    """Return the reports of the raw servers."""
    return EndpointReports(
        registry_of(context.servers), SystemClock(), NodeMetrics()
    )


def origins_of(context):
    """Return the origins of the streams of a daemon without peers."""
    registry, clock = registry_of(context.servers), SystemClock()
    nodes = NodeDirectory(settings(), crashes_of(context), clock, 'n')
    return StreamOrigins(registry, nodes, MemoryOrigins({}), clock)


def forwarder_of(context):
    """Return a forwarder to the raw servers."""
    return Forwarder(
        settings(),
        pools_of(context),
        PlatformServers(context.connections),
        crashes_of(context),
        reports_of(context),
        SystemClock(),
        random.Random(1),
        NodeMetrics(),
        dict,
    )


def stream_forwarder_of(context):
    """Return a forwarder of streams of the raw servers."""
    return StreamForwarder(
        pools_of(context),
        PlatformStreams(context.connections),
        crashes_of(context),
        reports_of(context),
        origins_of(context),
        SystemClock(),
        random.Random(1),
        NodeMetrics(),
    )


def route_with(attempts, kind=SAFE):
    """Return a route of requests that may run more than once."""
    return Route(
        name='shop',
        host='h',
        prefix='/p/',
        kind=kind,
        resumable=kind == STREAM,
        timeout_s=2.0,
        objective_s=0.5,
        priority=1,
        targets=(Target(SERVICE),),
        max_attempts=attempts,
    )


@given(
    '{count:d} raw servers that have each answered a request on a kept '
    'connection'
)
def start_warm(context, count):
    """Start servers and let each answer a request."""
    start_servers(context, count)
    client = PlatformServers(context.connections)
    for server in context.servers:
        context.loop.run_until_complete(
            client.send(
                server.address, 'i-1', request_for('q0'), 2.0, repeatable=True
            )
        )


@given('1 raw server with {count:d} kept connections that it resets when used')
def start_resetting(context, count):
    """Open idle connections that the server resets at the next request."""
    start_servers(context, 1)
    server = context.servers[0]
    client = PlatformServers(context.connections)

    async def answer_late(server, writer, attempt):
        await asyncio.sleep(0.05)
        await run_and_answer(server, writer, attempt)

    async def reset(server, writer, attempt):
        writer.transport.abort()

    async def open_all():
        server.behaviours = [answer_late] * count
        await asyncio.gather(
            *(
                client.send(
                    server.address,
                    'i-1',
                    request_for(f'q0-{number}'),
                    2.0,
                    repeatable=True,
                )
                for number in range(count)
            )
        )
        server.behaviours = [reset] * 2

    context.loop.run_until_complete(open_all())


@given(
    'each breaks its connections after it has run q1 for {delay:g} s and '
    'then {afterwards}'
)
def break_at_each(context, delay, afterwards):
    """Break the connections of each server, which then refuses."""
    data = AFTERWARDS[afterwards]
    for server in context.servers:
        server.behaviours = [breaking(delay, listening=data is not None)]
        if data is not None:
            server.behaviours += [sending(data)] * 9


@when('q1 is forwarded on a route with {attempts:d} attempts')
def forward(context, attempts):
    """Forward a repeatable request and keep its answer."""
    context.answer = context.loop.run_until_complete(
        forwarder_of(context).forward(request_for('q1'), route_with(attempts))
    )


@when(
    'q1 is forwarded on a route of resumable streams with {attempts:d} '
    'attempts'
)
def forward_stream(context, attempts):
    """Forward a stream that fails before its first part."""
    context.answer = context.loop.run_until_complete(
        stream_forwarder_of(context).forward(
            request_for('q1'), route_with(attempts, STREAM), sink=None
        )
    )


@given('{count:d} raw servers that each answer with a stream')
def start_streaming(context, count):
    """Start servers that stream."""
    start_servers(context, count)
    for server in context.servers:
        server.behaviours = [stream_answer]


@when(
    'q1 is forwarded as a resumable stream to a caller that has disconnected'
)
def forward_to_disconnected(context):
    """Forward a stream whose parts cannot be written."""
    context.forwarder = stream_forwarder_of(context)
    try:
        context.answer = context.loop.run_until_complete(
            context.forwarder.forward(
                request_for('q1'), route_with(3, STREAM), DisconnectedSink()
            )
        )
    except StreamBroken as error:
        context.answer = error


@then('the stream is reported as broken')
def check_stream_broken(context):
    """Check that forwarding ended with StreamBroken."""
    assert isinstance(context.answer, StreamBroken), context.answer


@then('no endpoint counts as failed')
def check_none_ejected(context):
    """Check that no endpoint was ejected."""
    states = context.forwarder._pools.registry.view.by_id.values()
    assert all(state.ejected_until_s == 0 for state in states), [
        state.ejected_until_s for state in states
    ]


@given('{count:d} raw servers that each answer {times:d} requests with {text}')
def start_answering(context, count, times, text):
    """Start servers; a tilde in the answer stands for the end of a line."""
    start_servers(context, count)
    data = text.replace('~', '\r\n').encode()
    for server in context.servers:
        server.behaviours = [sending_last(data)] * times


@when('the reward call q1 is made on a route with {attempts:d} attempts')
def call_reward(context, attempts):
    """Score an item and keep its result."""
    desired = DesiredStateView()
    desired.apply(DesiredState(1, (route_with(attempts),)), 0.0)
    rewards = RewardCalls(
        forwarder_of(context),
        desired,
        RewardGate(registry_of(context.servers)),
        crashes_of(context),
        SystemClock(),
        random.Random(1),
    )
    call = RewardCall('q1', 'h', '/p/1', [('Attempt-Id', 'q1')], b'x')
    item = Item('i1', '/i/1', {}, b'', 10, 'g', reward=call)
    context.result = context.loop.run_until_complete(
        rewards.score(ItemProgress(item, 0.0))
    )


@then('its item is {outcome}')
def check_item(context, outcome):
    """Check whether the item was completed."""
    expected = outcome == 'completed'
    assert context.result.completed == expected, context.result


@then('{count:d} servers have begun to run q1')
def check_servers(context, count):
    """Count the servers that ran the request."""
    ran = [server for server in context.servers if 'q1' in server.runs]
    assert len(ran) == count, [server.runs for server in context.servers]


@then('the server has received q1 on {count:d} connections')
def check_received(context, count):
    """Count the sends of the request, one on each connection."""
    received = context.servers[0].received
    assert received.count('q1') == count, received


@then('the caller gets status {status:d}')
def check_status(context, status):
    """Check the status of the answer."""
    assert context.answer.status == status, context.answer
