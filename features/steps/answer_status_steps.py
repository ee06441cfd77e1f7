"""Steps with raw servers that answer with odd statuses."""

import asyncio

from behave import given, then, when
from cut_event_steps import MESSAGES
from loguru import logger
from malformed_answer_steps import make_call as make_other_call
from retry_steps import (
    RawServer,
    forwarder_of,
    request_for,
    route_with,
    run_and_answer,
    start_servers,
)
from stream_answer_steps import (
    ANSWERS,
    CHUNKED,
    END,
    HEAD,
    OnePeer,
    call_once,
    event,
    failure,
    start_peer,
)

from anvilcove.control.desired import SAFE, UNSAFE
from anvilcove.native.objects import HttpObjects
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.endpoint_relay import RelayedConnections
from anvilcove.platform.servers import PlatformStreams
from anvilcove.ports.engines import ItemFailed, ItemRejected
from anvilcove.ports.errors import PlatformError
from anvilcove.ports.peers import PeerUnreachable
from anvilcove.ports.store import HistoryLost
from anvilcove.ports.ways import NoObserver
from anvilcove.settings.daemon import AdapterSettings

TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 3.0
FINAL = range(200, 600)
SERVER_CALLS = ('a request', 'a generation', 'a report', 'an order')
CALL_FAILURES = (
    PlatformError,
    PeerUnreachable,
    ItemFailed,
    ItemRejected,
    HistoryLost,
)
OK_EVENTS = CHUNKED + event(1) + END
for status in (b'000', b'101', b'600'):
    ANSWERS[f'{status.decode()} with events'] = (
        HEAD.replace(b'200', status) + OK_EVENTS
    )


def answer_of(call, status):
    """Return an answer that is sound but for its status."""
    line = b'HTTP/1.1 %03d S\r\n' % status
    identity = b'Attempt-Id: q1\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n'
    if status == 200 and call in ('a stream', 'a generation'):
        kind = b'Content-Type: text/event-stream\r\n'
        return line + identity + kind + OK_EVENTS
    body = MESSAGES.get(call, b'')
    if status in (204, 304):
        body = b''
    length = b'Content-Length: %d\r\n\r\n' % len(body)
    if call in ('a request', 'a stream', 'a generation'):
        return line + identity + length + body
    return line + length + body


def sending_first(answers):
    """Return a behaviour that answers each request with the next answer."""

    async def send(server, writer, attempt):
        writer.write(next(answers))
        await writer.drain()
        writer.close()

    return send


async def read_stream(connections, address):
    """Return the pieces of a stream, or the status of what is none."""
    async with PlatformStreams(connections).open(
        address, 'i', request_for('q1'), 2.0, True, None
    ) as answer:
        if not answer.is_stream:
            return answer.status
        return [piece async for piece in answer.pieces]


async def make_call(context, call, connections, address):
    """Make a call; return its outcome or the error of its port."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            if call == 'a stream':
                return await read_stream(connections, address)
            if call in SERVER_CALLS:
                return await call_once(call, connections, address)
            if call == 'an own write of objects':
                adapter = AdapterSettings(kind='http_json', address=address)
                return await HttpObjects(adapter, context.session).put(
                    'n', b'x'
                )
            kind = call.replace('a message to a peer', 'a message to peer')
            return await make_other_call(context, kind, address)
    except CALL_FAILURES as error:
        return error


@when('{call} is answered with each status')
def answer_each_status(context, call):
    """Make a call for each status; keep the outcomes."""
    logger.remove()
    kind = call.removesuffix(' through a peer')
    context.outcome_by_status = {}
    context.call = kind

    async def answer_all():
        server = RawServer()
        await server.start()
        stack = {'session': context.session}
        async with (
            asyncio.timeout(TIMEOUT_S),
            ServerConnections() as own,
            ServerConnections() as stack['peer'],
        ):
            if call != kind:
                relayed = RelayedConnections(own)
                peer = await start_peer(stack)
                relayed.attach(context.session, NoObserver(), OnePeer(peer))
            for status in range(1000):
                answer = answer_of(kind, status)
                server.behaviours = [sending_first(iter([answer] * 9))] * 9
                context.outcome_by_status[status] = await make_call(
                    context, kind, own, server.address
                )
            if 'listener' in stack:
                await stack['listener'].cleanup()
        server.close()
        server.break_connections()

    context.loop.run_until_complete(answer_all())


@then('each status that is not final failed with an error of its port')
def check_not_final(context):
    """Check the statuses 000 to 199 and 600 to 999."""
    for status, outcome in context.outcome_by_status.items():
        if status not in FINAL:
            assert isinstance(outcome, PlatformError | PeerUnreachable), (
                status,
                outcome,
            )


@then('the final ones are taken as they are')
def check_passed_on(context):
    """Check that a caller sees each final status; 421 was not run."""
    for status in FINAL:
        outcome = context.outcome_by_status[status]
        if status == 421:
            assert isinstance(outcome, PlatformError), outcome
        elif context.call == 'a request':
            assert outcome.status == status, (status, outcome)
        elif status == 200:
            assert len(outcome) == 1, outcome
        elif status < 300:
            # A success that is no stream of events.
            assert isinstance(outcome, PlatformError), (status, outcome)
        else:
            assert outcome == status, (status, outcome)


@then('the final ones are taken as failures')
def check_failures(context):
    """Check that only a success is one."""
    for status in FINAL:
        outcome = context.outcome_by_status[status]
        failed = isinstance(outcome, CALL_FAILURES)
        successes = (200,)
        if context.call == 'an own write of objects':
            successes = (200, 201, 204)
        if context.call == 'an own stream':
            # It has no end in this scenario.
            successes = ()
        assert failed == (status not in successes), (status, outcome)


@then('the final ones are taken as outcomes')
def check_outcomes(context):
    """Check that an order is judged by its status."""
    known = {200: 'already loaded', 202: 'accepted', 409: 'busy'}
    for status in FINAL:
        outcome = context.outcome_by_status[status]
        if status == 421:
            assert isinstance(outcome, PlatformError), outcome
        elif status in known:
            assert 'status' not in outcome, (status, outcome)
        else:
            assert outcome.endswith(f'status {status}'), (status, outcome)


@when(
    '{call} is answered with the interim status {statuses} and a whole answer'
)
def answer_interim(context, call, statuses):
    """Send heads of interim answers before the final one."""
    logger.remove()
    interim = b''.join(
        b'HTTP/1.1 %s I\r\nX: 1\r\n\r\n' % status.encode()
        for status in statuses.split(', ')
    )
    context.call = call

    async def answer():
        server = RawServer()
        await server.start()
        data = interim + answer_of(call, 200)
        server.behaviours = [sending_first(iter([data] * 9))] * 9
        async with ServerConnections() as own:
            context.outcome = await make_call(
                context, call, own, server.address
            )
        server.close()
        server.break_connections()

    context.loop.run_until_complete(answer())


@then('the call with interim answers {outcome}')
def check_interim(context, outcome):
    """Check whether the call has the final answer."""
    failed = isinstance(context.outcome, PlatformError)
    assert failed == (outcome == 'fails'), context.outcome
    if call_status := getattr(context.outcome, 'status', 0):
        assert call_status == 200, context.outcome


@given('2 raw servers of which the first one asked answers status {status}')
def start_odd_and_sound(context, status):
    """Start servers that answer the first request with an odd status."""
    logger.remove()
    start_servers(context, 2)
    number = int(status)
    framing = b'\r\n' if number == 204 else b'Content-Length: 0\r\n\r\n'
    data = failure(number, framing).replace(
        b' %d S' % number, b' %03d S' % number, 1
    )
    answers = iter([data])

    async def answer(server, writer, attempt):
        odd = next(answers, None)
        if odd is None:
            await run_and_answer(server, writer, attempt)
            return
        server.runs.append(attempt)
        writer.write(odd)
        await writer.drain()
        writer.close()

    for server in context.servers:
        server.behaviours = [answer] * 9


@when('a request is forwarded on a {kind} route with {attempts:d} attempts')
def forward_on(context, kind, attempts):
    """Forward a request on a route of a kind."""
    route = route_with(attempts, SAFE if kind == 'safe' else UNSAFE)
    context.answer = context.loop.run_until_complete(
        forwarder_of(context).forward(request_for('q1'), route)
    )


@when('an owed call is made on a safe route')
def forward_owed(context):
    """Forward a call that has to be made until it succeeds."""
    context.answer = context.loop.run_until_complete(
        forwarder_of(context).forward(
            request_for('q1'), route_with(2), owed=True
        )
    )


@then('the request ran {count:d} times')
def check_run_count(context, count):
    """Count the runs of all servers."""
    runs = [run for server in context.servers for run in server.runs]
    assert len(runs) == count, runs
