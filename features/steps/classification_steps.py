"""Steps that check how failed calls to an endpoint are classified."""

import asyncio
import socket
import struct

from behave import then, when
from site_steps import run
from standin_steps import Servers, attempt, generate, lines

from anvilcove.messages.services import ServiceCall
from anvilcove.native.engines import HttpEngine
from anvilcove.native.services import HttpService
from anvilcove.ports import errors

RAW_REFUSAL = b'HTTP/1.1 %d R\r\nContent-Length: %d\r\n\r\n%s'
RAW_REDIRECT = (
    b'HTTP/1.1 307 R\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n\r\n'
)
RAW_PARTIAL_STREAM = (
    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nevent: token\n'
)


def raw_answer(behaviour, address):
    """Return the bytes that a server sends before it closes."""
    words = behaviour.split()
    if words[0] == 'answers' and words[1] != 'with':
        body = b'{"run": %s}' % words[-1].encode()
        return RAW_REFUSAL % (int(words[1]), len(body), body)
    if words[0] == 'redirects':
        location = f'Location: http://{address}/call'.encode()
        return RAW_REDIRECT % location
    if words[0] == 'answers':
        return RAW_PARTIAL_STREAM % len(b'event: token\n')
    return RAW_PARTIAL_STREAM % 1000 if words[1] == 'within' else b''


@when('a raw endpoint {behaviour}')
def start_raw_server(context, behaviour):
    """Serve raw bytes over TCP and record the paths of the calls."""
    context.paths = []
    context.crashed = asyncio.Event()

    async def handle(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        size = int(head.lower().split(b'content-length:')[1].split()[0])
        await reader.readexactly(size)
        context.paths.append(head.split()[1])
        writer.write(raw_answer(behaviour, context.address))
        await writer.drain()
        if behaviour.startswith('resets'):
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        writer.close()

    async def listen():
        server = await asyncio.start_server(handle, sock=server_socket)
        context.site.callback(server.close)

    # While bound, the port refuses connections and is given to no other use.
    server_socket = socket.socket()
    server_socket.bind(('127.0.0.1', 0))
    context.address = '{}:{}'.format(*server_socket.getsockname())
    context.site = Servers()
    context.site.callback(server_socket.close)
    if behaviour != 'does not listen':
        run(context, listen())


@then('a service call and a generation end with {result}')
def check_raw_calls(context, result):
    """Check the error that each of the two adapters raises."""
    context.engine = HttpEngine(context.address, context.session)
    service = HttpService(context.address, context.session)
    call = service.call(ServiceCall(request_id='r', body={}), 30.0)
    for coroutine in (call, generate(context, 'p')):
        ended = run(context, attempt(context, coroutine))
        assert issubclass(getattr(errors, ended), getattr(errors, result)), (
            ended
        )


@then('a call that must not be repeated opens a connection of its own')
def check_fresh_connection(context):
    """Compare the connections of pooled and unpooled calls."""

    async def call(fresh):
        message = ServiceCall(request_id='r', body={})
        await context.service.call(message, 30.0, fresh_connection=fresh)

    for fresh in (False, False, True, True, False):
        run(context, call(fresh))
    peers = [line['source'] for line in lines(context, 'received')]
    assert peers[0] == peers[1] == peers[4], peers
    assert len(set(peers)) == 3, peers


@then('the endpoint received each at most once')
def check_raw_count(context):
    """Check that no adapter retries a call."""
    assert len(set(context.paths)) == len(context.paths), context.paths
