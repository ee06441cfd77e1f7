"""Steps that use the adapter against the stand-in of a server."""

import asyncio
from contextlib import aclosing

from aiohttp import ClientSession
from behave import given, then, when

from anvilcove.demo.processes import free_port
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers
from anvilcove.platform.standin import ServerStandin, event_count, serve
from anvilcove.ports.engines import Generation, GenerationEnd, GenerationStart
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.ports.servers import CallerRequest

ITEM = 'item-1'


class ServerSite:
    """A server that the scenario stops."""

    def __init__(self, runner):
        """Keep what listens."""
        self.runner = runner

    async def stop(self):
        """Stop listening."""
        await self.runner.cleanup()


@given('a model server on a loopback address')
def start_server(context):
    """Listen on the scenario's loop."""
    context.server = ServerStandin('i-1', model='m')
    context.address = f'127.0.0.1:{free_port()}'
    runner = context.loop.run_until_complete(
        serve(context.server.handle, context.address)
    )
    context.site = ServerSite(runner)


def generate(context, instance, after):
    """Ask for a text and keep what comes."""
    engines = PlatformEngines(context.session)
    generation = Generation(
        ITEM, 'h', '/p/1', {}, b'', deadline_s=5.0, after=after
    )

    async def follow():
        stream = engines.generate(context.address, instance, generation)
        async with aclosing(stream):
            return [event async for event in stream]

    return context.loop.run_until_complete(follow())


@when('the rest of a text after its last event is asked for')
def ask_rest(context):
    """Resume after the last event."""
    context.events = generate(context, 'i-1', event_count(ITEM))


@when('a text is asked for')
def ask_text(context):
    """Ask from the first event on."""
    context.events = generate(context, 'i-1', 0)


@when('a text is asked of a server that is gone')
def ask_gone(context):
    """Name an instance that has left."""
    try:
        generate(context, 'i-0', 0)
    except EndpointNotRun as error:
        context.events = error


@then('it ends at once without an event')
def ends(context):
    """Check start and end."""
    assert len(context.events) == 2, context.events
    assert isinstance(context.events[0], GenerationStart)
    assert context.events[1] == GenerationEnd(event_count(ITEM))


@then('every event has its number and version 1')
def numbered(context):
    """Check the events between start and end."""
    events = context.events[1:-1]
    numbers = [(event.number, event.version) for event in events]
    expected = [(n, 1) for n in range(1, event_count(ITEM) + 1)]
    assert numbers == expected, numbers


@then('it certainly did not run')
def not_run(context):
    """Check the error and the server."""
    assert isinstance(context.events, EndpointNotRun), context.events
    assert not context.server.runs


class RawServer:
    """Server that answers every connection with the same bytes."""

    def __init__(self, data):
        """Keep the bytes."""
        self.data = data
        self.server = None

    async def start(self, port):
        """Listen."""
        self.server = await asyncio.start_server(
            self.answer, '127.0.0.1', port
        )

    async def answer(self, reader, writer):
        """Read the head and the body of a request, then answer."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.data)
        await writer.drain()
        writer.close()

    async def stop(self):
        """Stop listening."""
        self.server.close()


@given('a server that sends {text}')
def raw_server(context, text):
    """Listen with the bytes; a tilde stands for the end of a line."""
    port = free_port()
    context.address = f'127.0.0.1:{port}'
    context.site = RawServer(text.replace('~', '\r\n').encode())
    context.loop.run_until_complete(context.site.start(port))


@when('a request {request_id} is sent to it')
def send_request(context, request_id):
    """Send a request and keep its answer or error."""
    request = CallerRequest(
        request_id, 'POST', 'h', '/p/', [('Attempt-Id', request_id)], b'', 0, 9
    )

    async def send():
        # The daemon's session leaves encoded bodies as they are, too.
        async with ClientSession(auto_decompress=False) as session:
            servers = PlatformServers(session)
            return await servers.send(context.address, 'i-1', request, 5.0)

    try:
        context.answer = context.loop.run_until_complete(send())
    except EndpointError as error:
        context.answer = error


@then('no answer comes of it')
def no_answer(context):
    """Check that the request is not taken as unrun either."""
    assert isinstance(context.answer, EndpointError), context.answer
    assert not isinstance(context.answer, EndpointNotRun), context.answer


@then('its answer is {text} with stamp {stamp}')
def whole_answer(context, text, stamp):
    """Check body and proof."""
    assert context.answer.body == text.encode(), context.answer
    assert context.answer.stamp == stamp
