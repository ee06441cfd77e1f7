"""Steps with raw servers whose answers are malformed."""

import asyncio

from behave import then, when
from endless_answer_steps import chunk
from loguru import logger
from retry_steps import RawServer
from stream_answer_steps import CHUNKED, END, HEAD, call_once

from anvilcove.control.peer_calls import call_peer
from anvilcove.messages.engines import Generate
from anvilcove.messages.permits import PermitGrant, PermitRequest
from anvilcove.messages.services import ServiceCall
from anvilcove.native.engines import HttpEngine
from anvilcove.native.services import HttpService
from anvilcove.native.table import HttpTable
from anvilcove.platform.store import PlatformStore
from anvilcove.platform.transport import DirectTransport
from anvilcove.ports.errors import PlatformError
from anvilcove.ports.peers import PeerUnreachable
from anvilcove.settings.daemon import AdapterSettings

CALL_TIMEOUT_S = 3.0
LENGTH = b'HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nServer-Stamp: s\r\n'


def with_length(body):
    """Return a whole answer with a body."""
    return LENGTH + b'Content-Length: %d\r\n\r\n' % len(body) + body


def in_chunks(body):
    """Return a whole stream with a body."""
    return HEAD + CHUNKED + chunk(body) + END


MALFORMED = {
    'no HTTP': b'\x00\x01\x02\r\n\r\n',
    'another protocol': b'SSH-2.0-OpenSSH_9.2\r\n',
    'a status that is no number': b'HTTP/1.1 2x0 OK\r\n\r\n',
    'a long status': b'HTTP/1.1 99999 OK\r\nContent-Length: 0\r\n\r\n',
    'a header without a colon': b'HTTP/1.1 200 OK\r\nA\r\n\r\n',
    'a negative length': LENGTH + b'Content-Length: -1\r\n\r\n',
    'a superscript length': LENGTH + 'Content-Length: 2²\r\n\r\n'.encode(),
    'two lengths': LENGTH
    + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx',
    'a chunk size that is no number': HEAD + CHUNKED + b'xyz\r\n',
    'a long line': in_chunks(b'data: ' + b'x' * 400_000 + b'\n\n'),
    'invalid UTF-8': in_chunks(b'event: \xff\xfe\ndata: \xff\xfe\n\n'),
    'an invalid text': with_length(b'\xff\xfe'),
    'nested lists': with_length(b'[' * 5000),
    'nested event': in_chunks(
        b'id: 1\nevent: token\ndata: ' + b'[' * 5000 + b'\n\nx'
    ),
    'a number of 5000 digits': with_length(b'{"models":' + b'9' * 5000),
    'a number that fits no type': with_length(
        b'{"models":[],"busy":0,"sequence":"' + '²'.encode() + b'"}'
    ),
    'a superscript event id': in_chunks('id: 1²\ndata: x\n\nx'.encode()),
    'a superscript version': in_chunks(
        'id: 1\nweight-versions: 1²\ndata: x\n\n'.encode()
    ),
    'nothing': b'',
}
# Answers that some calls may take, as what is odd concerns others.
HARMLESS = {
    'a request': {
        'a long line',
        'invalid UTF-8',
        'an invalid text',
        'nested lists',
        'nested event',
        'a number of 5000 digits',
        'a number that fits no type',
        'a superscript event id',
        'a superscript version',
    },
    'a stream': {
        'a long line',
        'invalid UTF-8',
        'an invalid text',
        'nested lists',
        'a number of 5000 digits',
        'a number that fits no type',
        'a superscript event id',
        'a superscript version',
    },
    'a generation': {'nested event'},
}


def answering(data):
    """Return a behaviour that answers with some bytes and closes."""

    async def answer(server, writer, attempt):
        writer.write(data)
        await writer.drain()
        writer.close()

    return answer


async def own_stream(address, session):
    """Read a generation over the own interface."""
    request = Generate(request_id='q1', prompt='p', max_tokens=2)
    async for _ in HttpEngine(address, session).generate(request):
        pass


async def make_call(context, call, address):
    """Make a call that is answered with malformed bytes."""
    session = context.session
    adapter = AdapterSettings(kind='http_json', address=address)
    if call == 'a store read':
        store = PlatformStore(DirectTransport(address, session))
        await store.read_range('t', '')
    elif call == 'a message to peer':
        await call_peer(
            session,
            f'http://{address}/',
            PermitRequest('e', 1.0, 1),
            PermitGrant,
            1.0,
        )
    elif call == 'an own call':
        service = HttpService(address, session)
        await service.call(ServiceCall(request_id='q1', body={}), 1.0)
    elif call == 'an own stream':
        await own_stream(address, session)
    elif call == 'an own report':
        await HttpEngine(address, session).load()
    elif call == 'an own read':
        await HttpTable(adapter, session).read(['k'])
    else:
        await call_once(call, context.connections, address)


@when('{call} is answered with each of the malformed answers')
def answer_malformed(context, call):
    """Make a call for each malformed answer; keep how it ends."""
    logger.remove()
    context.call, context.outcomes = call, {}

    async def answer_all():
        for name, data in MALFORMED.items():
            server = RawServer()
            await server.start()
            server.behaviours = [answering(data)] * 9
            outcome = None
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await make_call(context, call, server.address)
            except Exception as error:
                outcome = error
            context.outcomes[name] = outcome
            server.close()
            server.break_connections()

    context.loop.run_until_complete(answer_all())


@then('each of these calls ended with an error of its port')
def check_errors(context):
    """Check the errors; a call may take what does not concern it."""
    harmless = HARMLESS.get(context.call, set())
    for name, outcome in context.outcomes.items():
        if outcome is None:
            assert name in harmless, name
        else:
            expected = (PlatformError, PeerUnreachable)
            assert isinstance(outcome, expected), (name, repr(outcome))
