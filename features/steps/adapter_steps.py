"""Steps that use the adapter against the stand-in of a server."""

import asyncio
from contextlib import aclosing

from behave import given, then, when

from anvilcove.demo.processes import free_port
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers
from anvilcove.platform.standin import ServerStandin, event_count, serve
from anvilcove.ports.engines import Generation, GenerationEnd, GenerationStart
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.ports.servers import CallerRequest, ServerAnswer

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
    listen(context, ServerStandin('i-1', model='m'))


def start_plain_server(context):
    """Listen as a server that holds no model."""
    listen(context, ServerStandin('i-1'))


def listen(context, server):
    """Serve on a free port until the scenario ends."""
    context.server = server
    context.address = f'127.0.0.1:{free_port()}'
    runner = context.loop.run_until_complete(
        serve(context.server.handle, context.address)
    )
    context.site = ServerSite(runner)


def generate(context, instance, after):
    """Ask for a text and keep what comes."""
    engines = PlatformEngines(context.connections)
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


def send(context, request_id, method='POST', repeatable=False):
    """Send a request; return its answer or error."""
    request = CallerRequest(
        request_id, method, 'h', '/p/', [('Attempt-Id', request_id)], b'', 0, 9
    )
    servers = PlatformServers(context.connections)
    try:
        return context.loop.run_until_complete(
            servers.send(context.address, 'i-1', request, 5.0, repeatable)
        )
    except EndpointError as error:
        return error


@when('a request {request_id} is sent to it')
def send_request(context, request_id):
    """Send a request and keep its answer or error."""
    context.answer = send(context, request_id)


@when('a {method} request {request_id} that may run once is sent to it')
def send_method(context, method, request_id):
    """Send a request with a method that HTTP calls idempotent, or not."""
    context.answer = send(context, request_id, method)


@given('it drops idle connections')
def drop_idle(context):
    """Reset the second request of each connection."""
    context.server.faults.drops_idle = True


@given('a server on a loopback address that drops idle connections')
def start_dropping_server(context):
    """Listen as a plain server."""
    start_plain_server(context)
    drop_idle(context)


@given('a server on a loopback address that breaks off what it runs')
def start_breaking_server(context):
    """Listen as a plain server."""
    start_plain_server(context)
    context.server.faults.breaking = True


@when('repeatable requests {names} are sent to it one after another')
def send_repeatable(context, names):
    """Keep each answer."""
    context.answer_by_id = {
        name: send(context, name, repeatable=True)
        for name in names.split(', ')
    }


@when('requests {names} that may run once are sent one after another')
def send_single(context, names):
    """Keep each answer."""
    context.answer_by_id = {
        name: send(context, name) for name in names.split(', ')
    }


@then('each is answered and has run once')
def answered(context):
    """Check answers and runs."""
    for name, answer in context.answer_by_id.items():
        assert isinstance(answer, ServerAnswer), (name, answer)
        assert answer.status == 200, answer
    run = [request_id for request_id, _, _ in context.server.runs]
    assert run == list(context.answer_by_id), run


@then('{first} and {third} are answered and {second} may have run')
def one_lost(context, first, third, second):
    """Check that the lost one isn't called unrun and is the only one."""
    for name in (first, third):
        assert isinstance(context.answer_by_id[name], ServerAnswer)
    lost = context.answer_by_id[second]
    assert isinstance(lost, EndpointError), lost
    assert not isinstance(lost, EndpointNotRun), lost


@then('{request_id} has run once')
def ran_once(context, request_id):
    """Check the runs at the server."""
    run = [name for name, _, _ in context.server.runs]
    assert run == [request_id], run


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
