"""Steps with answers that stop inside a unit behind a sound framing."""

import asyncio

from aiohttp import ClientSession
from behave import given, then, when
from endless_answer_steps import chunk
from loguru import logger
from malformed_answer_steps import answering, make_call
from msgspec import Raw
from retry_steps import RawServer, request_for
from stream_answer_steps import (
    ANSWERS,
    CHUNKED,
    END,
    EVENTS,
    HEAD,
    REPORT,
    OnePeer,
    start_peer,
)

from anvilcove.client.errors import ConnectionBroken
from anvilcove.client.exchange import submit
from anvilcove.jobs.records import JobRecords
from anvilcove.jobs.types import ItemResult
from anvilcove.messages.callers import Entry, SubmitRequest
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.endpoint_relay import RelayedConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformStreams
from anvilcove.ports.engines import Generation, TokenEvent
from anvilcove.ports.errors import PlatformError, StoreUnavailable
from anvilcove.ports.peers import PeerUnreachable
from anvilcove.ports.ways import NoObserver

CUT_TIMEOUT_S = 30.0
CALL_FAILURES = (PlatformError, PeerUnreachable, ConnectionBroken)
MESSAGE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
ANSWERS['with the line id of event 1 and the end'] = (
    HEAD + CHUNKED + chunk(b'id: 1\n') + END
)


def own_event(name, data):
    """Return an event of the own interface."""
    return b'event: %s\ndata: {"request_id":"q1",%s}\n\n' % (name, data)


def events_after(after):
    """Return the events of many fields that follow event `after`."""
    return [
        b'weight-versions: 1\nid: %d\ndata: x\ndata: \xc3\xa9\n\n' % number
        for number in range(after + 1, EVENTS + 1)
    ]


# The units of each body. A cut between two of them shows in no way.
UNITS = {
    'events': [b'id: %d\ndata: x\n\n' % n for n in (1, 2)],
    'events of many fields': events_after(0),
    'events with CRLF': [b'id: %d\r\ndata: x\r\n\r\n' % n for n in (1, 2)],
    'an event without data': [b'id: 1\ndata: x\n\n', b'id: 2\n\n'],
    'own events': [
        own_event(b'token', b'"index":0,"text":"x"')
        + own_event(b'done', b'"tokens":1')
    ],
    'own events to callers': [
        own_event(b'token', b'"index":0,"text":"x"')
        + own_event(b'done', b'"outcome":"answered","complete":true')
    ],
}
PAGE = b'{"rows":[],"row-version":1,"now-ms":1,"has-more":false}'
MESSAGES = {
    'a report': REPORT,
    'a store read': PAGE,
    'a message to a peer': b'{"count":1,"retry_s":0.5}',
    'an own call': b'{"request_id":"q1","complete":true,"answer":1}',
    'an own report': b'{"endpoint":"e","running":1,"queued":0}',
    'an own read': b'{"rows":[]}',
}


@given('an answer to {call} with {body}')
def prepare_answer(context, call, body):
    """Choose the call and the units of its answer."""
    context.call, context.after = call, 0
    if body == 'its message':
        context.units = [MESSAGES[call]]
    else:
        context.units = UNITS[body]


@given('a resumption of {call} behind event {after:d}')
def prepare_resumption(context, call, after):
    """Choose a call that resumes a stream."""
    context.call, context.after = call, after
    context.units = events_after(after)


def framed(body, framing):
    """Return an answer whose framing is sound."""
    if framing == 'as a message':
        return MESSAGE_HEAD % len(body) + body
    if framing == 'in chunks':
        return HEAD + CHUNKED + (chunk(body) if body else b'') + END
    return HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body


async def read_to_caller(address):
    """Read a stream as the client library does."""
    message = SubmitRequest(
        request_id='q1',
        class_name='c',
        caller='t',
        body=Raw(b'{}'),
        deadline_ms=2000,
        stream=True,
    )
    entry = Entry(host='h', address=address, data_centre='d')
    async with ClientSession() as session:
        async for _ in submit(session, entry, message, 1.0):
            pass


async def read_units(context, kind, connections, address):
    """Make a call; return the bytes of its body that count, None if all."""
    if kind == 'a generation':
        generation = Generation('q1', 'h', '/p/1', {}, b'', 2.0, context.after)
        events = [
            event
            async for event in PlatformEngines(connections).generate(
                address, 'i', generation
            )
            if isinstance(event, TokenEvent)
        ]
        assert all(event.text for event in events), events
        return b''.join(context.units[: len(events)])
    if kind == 'a stream':
        async with PlatformStreams(connections).open(
            address, 'i', request_for('q1'), 2.0, True, context.after or None
        ) as answer:
            return b''.join([piece.data async for piece in answer.pieces])
    if kind == 'an own stream to a caller':
        await read_to_caller(address)
        return None
    if kind == 'a message to a peer':
        kind = 'a message to peer'
    await make_call(context, kind, address)
    return None


async def answer_with_each(context, answers):
    """Make the call once for each answer; keep the outcomes."""
    kind = context.call.removesuffix(' through a peer')
    stack = {'session': context.session}
    async with (
        ServerConnections() as own,
        ServerConnections() as stack['peer'],
    ):
        if context.call != kind:
            relayed = RelayedConnections(own)
            peer = await start_peer(stack)
            relayed.attach(context.session, NoObserver(), OnePeer(peer))
        for answer in answers:
            server = RawServer()
            await server.start()
            server.behaviours = [answering(answer)] * 9
            try:
                outcome = await read_units(context, kind, own, server.address)
            except CALL_FAILURES as error:
                outcome = error
            context.outcomes.append(outcome)
            server.close()
            server.break_connections()
        if 'listener' in stack:
            await stack['listener'].cleanup()


@when('it is cut at each byte and framed {framing}')
def cut_everywhere(context, framing):
    """Answer with each part of the body, from nothing to all of it."""
    logger.remove()
    context.outcomes = []
    body = b''.join(context.units)
    answers = [
        framed(body[:length], framing) for length in range(len(body) + 1)
    ]

    async def cut_in_time():
        async with asyncio.timeout(CUT_TIMEOUT_S):
            await answer_with_each(context, answers)

    context.loop.run_until_complete(cut_in_time())


@when('it is sent whole')
def send_whole(context):
    """Answer with the whole body."""
    logger.remove()
    context.outcomes = []
    answers = [framed(b''.join(context.units), 'in chunks')]
    context.loop.run_until_complete(answer_with_each(context, answers))


@then('each cut call failed or has only whole units, at the end of one')
def check_units(context):
    """Check that a call succeeds only where a unit ends."""
    ends = {0}
    for unit in context.units:
        ends.add(max(ends) + len(unit))
    body = b''.join(context.units)
    for length, outcome in enumerate(context.outcomes):
        if isinstance(outcome, Exception):
            continue
        assert length in ends, (length, outcome)
        assert outcome is None or outcome == body[:length], (length, outcome)
    assert not isinstance(context.outcomes[-1], Exception), context.outcomes


@then('nothing is taken for a whole answer before the first unit')
def check_nothing(context):
    """Check the answers without a whole unit."""
    for outcome in context.outcomes[: len(context.units[0])]:
        assert isinstance(outcome, Exception), outcome


@then('only the whole answer was taken')
def check_message(context):
    """Check that each part of a message fails."""
    *cut, whole = context.outcomes
    for length, outcome in enumerate(cut):
        assert isinstance(outcome, Exception), (length, outcome)
    assert not isinstance(whole, Exception), repr(whole)


@then('the call failed')
def check_failed(context):
    """Check that the call has an error of its port."""
    assert isinstance(context.outcomes[0], PlatformError), context.outcomes


@given('a stored text of {count:d} characters')
def store_text(context, count):
    """Store a text that is too long for a row."""

    class Objects:
        """Store of objects that may return the begin of them."""

        def __init__(self):
            self.by_name, self.returned_bytes = {}, None

        async def put_object(self, name, data):
            self.by_name[name] = data

        async def get_object(self, name):
            return self.by_name[name][: self.returned_bytes]

    context.objects = Objects()
    context.records = JobRecords(context.objects)
    context.stored_text = 'x' * count
    result = ItemResult('i', completed=True, output=context.stored_text)
    context.result = asyncio.run(context.records.offload_output('j', result))
    assert context.objects.by_name


@when('the store returns the first {count:d} bytes of it')
def return_part(context, count):
    """Let the store return a part of each object."""
    context.objects.returned_bytes = count


@then('the text cannot be read, and can when the store returns all')
def check_text(context):
    """Read the text twice."""
    try:
        asyncio.run(context.records.load_output(context.result))
    except StoreUnavailable:
        pass
    else:
        raise AssertionError('a part of the text was read')
    context.objects.returned_bytes = None
    result = asyncio.run(context.records.load_output(context.result))
    assert result.output == context.stored_text
