"""Steps for a planned stop of a daemon."""

import asyncio
import signal
from types import SimpleNamespace

from aiohttp import ClientSession
from aiohttp.web_server import Server
from behave import given, then, when
from loopback_calls import post
from retry_steps import run_and_answer, settings, start_servers
from stream_answer_steps import OnePeer, call_once

from anvilcove.decisions.completion import AnswerTimes, StopTimes
from anvilcove.node.app import NodeDaemon
from anvilcove.node.http_listener import HttpListener
from anvilcove.node.service import NodeService, NodeState
from anvilcove.platform.connections import (
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.endpoint_relay import RELAY_PATH, RelayedConnections
from anvilcove.platform.standin_wire import request_headers
from anvilcove.ports.ways import NoObserver
from anvilcove.soak.site import CALLERS_PORT, GRACE_S, HOST, SHOP
from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.metrics import NodeMetrics

# A refusal that takes longer has waited for something.
MAX_REFUSAL_S = 1.0
# Time from the begin of a stop to the close of its connections.
CLOSES_S = 6.8


@given('every plain server takes {seconds:d} s for a request')
def slow_servers(context, seconds):
    """Set the time that every plain server takes for a request."""
    for server in context.loopback.servers:
        server.faults.work_s = float(seconds)


@when(
    '{count:d} requests are sent and the daemon gets SIGTERM {seconds:g} s '
    'later'
)
def stop_under_load(context, count, seconds):
    """Send requests, stop the daemon while they run and send one more."""

    async def send_and_stop():
        sent = [
            asyncio.create_task(post(context, SHOP, f'stop-{n}', b'x'))
            for n in range(count)
        ]
        await asyncio.sleep(seconds)
        context.loopback.daemons[0].signal(signal.SIGTERM)
        context.late = [
            asyncio.create_task(post(context, SHOP, 'stop-late', b'x'))
        ]
        context.answers = await asyncio.gather(*sent)

    context.finish(send_and_stop())


@when('a request is sent on an open connection after that')
def send_late(context):
    """Add the response to the request that was sent after the signal."""
    context.answers += [context.finish(context.late[0])]


@then('all of them get complete responses')
def check_complete(context):
    """Check the status and the body of every response."""
    for status, _, body in context.answers:
        assert status == 200, (status, body)
        assert body.startswith(b'stop-'), body


@then('the daemon ends by itself within its grace period')
def check_exit(context):
    """Wait until the process has ended and check its exit status."""
    process = context.loopback.daemons[0].process

    async def wait():
        async with asyncio.timeout(GRACE_S + 5):
            return await process.wait()

    assert context.finish(wait()) == 0


class KeptConnection:
    """Caller that keeps its connection and sends one request at a time."""

    def __init__(self, context, path, number):
        """Create a caller without a connection."""
        self.ip = context.loopback.daemons[0].ip
        self.path = path
        self.number = number
        self.reader = self.writer = None

    async def send(self, request_id, deadline_s=None):
        """Send a request; return its status, 0 if the connection ended.

        The third figure is the time until the answer.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    self.ip, CALLERS_PORT
                )
            headers = request_headers(HOST, request_id, deadline_s)
            lines = [f'POST {self.path}{request_id} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            lines += ['Content-Length: 1', '', 'x']
            self.writer.write('\r\n'.join(lines).encode())
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            status = int(head.split(' ')[1])
            found = dict(
                line.lower().split(': ', 1)
                for line in head.split('\r\n')[1:-2]
            )
            await self.reader.readexactly(int(found['content-length']))
        except (OSError, EOFError):
            return 0, {}, loop.time() - sent_s
        return status, found, loop.time() - sent_s

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


@when(
    '{count:d} callers have each used a kept connection to {path} and send '
    'requests of {work:g} s on it every {step:g} s from SIGTERM on'
)
def send_longer_through_stop(context, count, path, work, step):
    """Let requests take longer from the begin of the stop on."""
    context.work_s_in_stop = work
    send_through_stop(context, count, path, step, deadline_s=2.0)


@when(
    '{count:d} callers have each used a kept connection to {path} and send on '
    'it every {step:g} s from SIGTERM on'
)
def send_through_stop(context, count, path, step, deadline_s=None):
    """Use each connection once before the stop and once in it."""
    callers = [KeptConnection(context, path, n) for n in range(count)]
    context.outcomes = {}

    async def send_later(caller, delay_s):
        await asyncio.sleep(delay_s)
        request_id = f'kept-{caller.number}'
        context.outcomes[request_id] = await caller.send(
            request_id, deadline_s
        )

    async def send_all():
        # The servers take few requests at once.
        for start in range(0, count, 10):
            await asyncio.gather(
                *(c.send(f'warm-{c.number}') for c in callers[start:][:10])
            )
        for server in context.loopback.servers:
            server.faults.work_s = getattr(
                context, 'work_s_in_stop', server.faults.work_s
            )
        context.loopback.daemons[0].signal(signal.SIGTERM)
        await asyncio.gather(
            *(send_later(c, step * n) for n, c in enumerate(callers))
        )
        for caller in callers:
            caller.close()

    context.finish(send_all())


@then('no request that reached a server lost its answer')
def check_none_lost(context):
    """Compare what callers got with the runs of the servers."""
    ran = {run[0] for s in context.loopback.servers for run in s.runs}
    lost = [
        request_id
        for request_id, (status, _, _) in context.outcomes.items()
        if request_id in ran and status != 200
    ]
    assert not lost, (lost, context.outcomes)


@then(
    'some requests were completed and later ones refused at once with a '
    'Retry-After time of 0'
)
def check_some_served(context):
    """Check that the daemon neither refuses all nor holds any."""
    statuses = [status for status, _, _ in context.outcomes.values()]
    assert statuses.count(200) >= 5, statuses
    refused = [o for o in context.outcomes.values() if o[0] == 503]
    assert refused, statuses
    for _, headers, took_s in refused:
        assert float(headers['retry-after']) == 0, headers
        assert took_s < MAX_REFUSAL_S, took_s


@given('the last answers of the route took {samples}')
def keep_times(context, samples):
    """Add the times of answers."""
    context.times = AnswerTimes()
    if samples != 'nothing':
        for text in samples.split(', '):
            context.times.add('r', float(text.removesuffix(' s')))


@then(
    '{kind} with a limit of {limit:g} s is {outcome} {since:g} s after the '
    'begin with a grace period of {grace:g} s'
)
def check_completion(context, kind, limit, outcome, since, grace):
    """Check the decision."""
    stop = StopTimes(since, CLOSES_S - since, grace)
    taken = context.times.can_complete(
        'r', limit, stop, estimated=kind == 'a repeatable request'
    )
    assert taken == (outcome == 'taken'), taken


@given('a daemon that stops with nothing in flight')
def start_stop(context):
    """Create a daemon whose stop has no minimum time."""
    clock = SystemClock()
    daemon = NodeDaemon(settings(), None, None)
    state = NodeState()
    context.taken = []
    service = SimpleNamespace(
        state=state, _clock=clock, answer_times=AnswerTimes()
    )
    service._metrics = NodeMetrics()

    async def flush():
        context.taken.append(
            NodeService.can_complete(service, 'r', 1.0, 'q', estimated=True)
        )

    async def do_nothing():
        await asyncio.sleep(0)

    daemon._clock = clock
    daemon._connections = SimpleNamespace(
        stop_relaying=lambda: None, relayed_calls=lambda: 0
    )
    daemon._peer_listener = SimpleNamespace(cleanup=do_nothing)
    daemon.components = SimpleNamespace(
        state=state,
        hand_over=do_nothing,
        meter=SimpleNamespace(flush=flush),
        tasks=SimpleNamespace(cancel=lambda: None),
    )
    context.stopping = daemon
    context.listeners = SimpleNamespace(
        in_flight=lambda: 0, stop_accepting=do_nothing, close=do_nothing
    )


@when('a request comes while it writes its last counts')
def request_while_closing(context):
    """Stop the daemon; its counts ask whether a request is taken."""
    logs = SimpleNamespace(flush=lambda: None)
    context.loop.run_until_complete(
        context.stopping._shut_down(context.listeners, logs)
    )


@then('the request was refused')
def check_refused(context):
    """Check the decision."""
    assert context.taken == [False], context.taken


@given(
    'the answers of {count:d} routes were timed, with the route {name} in '
    'between'
)
def time_many(context, count, name):
    """Add a time of each route, and of one route again and again."""
    context.times, context.kept_route = AnswerTimes(), name
    for number in range(count):
        context.times.add(f'r{number}', 0.1)
        context.times.add(name, 0.1)


@then(
    'the times of at most {count:d} routes are kept, that of home among them'
)
def check_bounded(context, count):
    """Count the routes that are known."""
    known = context.times._samples_by_route
    assert len(known) <= count, len(known)
    assert context.kept_route in known


@given('a peer that relays a call of {seconds:g} s')
def relay_call(context, seconds):
    """Start a host that is cut off, its peer and a server."""
    start_servers(context, 1)

    async def answer_late(server, writer, attempt):
        await asyncio.sleep(seconds)
        await run_and_answer(server, writer, attempt)

    context.servers[0].behaviours = [answer_late]


@when('the peer stops relaying and gets a second call')
def stop_relaying(context):
    """Stop while the first call is in flight."""

    async def relay():
        async with (
            ServerConnections() as own,
            ServerConnections() as others,
            ClientSession() as session,
        ):
            peer = RelayedConnections(others)
            peer.attach(session, NoObserver(), OnePeer(''))
            handler = peer.relay_handlers()[RELAY_PATH]
            listener = HttpListener(Server(handler, access_log=None), 0.1)
            await listener.open('127.0.0.1', 0)
            ip, port = listener.addresses[0]
            RelayedConnections(own).attach(
                session, NoObserver(), OnePeer(f'{ip}:{port}')
            )
            address = context.servers[0].address
            first = asyncio.create_task(call_once('a request', own, address))
            while not context.servers[0].received:
                await asyncio.sleep(0.01)
            context.in_flight = peer.relayed_calls()
            peer.stop_relaying()
            # The host sends the call directly, as no peer takes it.
            context.second = await own.relay.send(
                ServerCall('POST', address, '/p/2', {}, b'', 'q2', True),
                SendRecord(),
            )
            context.first = await first
            context.left = peer.relayed_calls()
            await listener.cleanup()

    context.loop.run_until_complete(relay())


@then('the first call is answered and the second one was declined')
def check_relayed(context):
    """Check both calls and the count of those in flight."""
    assert context.first.status == 200
    assert context.second is None, context.second
    assert (context.in_flight, context.left) == (1, 0)
