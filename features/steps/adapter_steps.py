"""Steps that run the adapter against the stand-in of a server."""

import asyncio
from contextlib import aclosing

from behave import given, then, when

from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.servers import PlatformServers
from anvilcove.platform.standin import ServerStandin, event_count, serve
from anvilcove.ports.engines import Generation, GenerationEnd, GenerationStart
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.ports.servers import CallerRequest, ServerAnswer

ITEM = 'item-1'


class ServerSite:
    """A listening server with the `stop` that `after_scenario` calls."""

    def __init__(self, runner):
        """Keep the runner of the server."""
        self.runner = runner

    async def stop(self):
        """Stop listening."""
        await self.runner.cleanup()


@given('a model server on a loopback address')
def start_server(context):
    """Serve as an engine that holds a model."""
    listen(context, ServerStandin('i-1', model='m'))


def start_plain_server(context):
    """Serve as a server that holds no model."""
    listen(context, ServerStandin('i-1'))


def listen(context, server):
    """Serve on a free port until the scenario ends."""
    context.server = server
    runner = context.loop.run_until_complete(
        serve(context.server.handle, '127.0.0.1:0')
    )
    context.address = '{}:{}'.format(*runner.addresses[0][:2])
    context.site = ServerSite(runner)


def generate(context, instance, after):
    """Request a text after an event and return the events received."""
    engines = PlatformEngines(context.connections)
    generation = Generation(
        ITEM, 'h', '/p/1', {}, b'', deadline_s=5.0, after=after
    )

    async def collect():
        stream = engines.generate(context.address, instance, generation)
        async with aclosing(stream):
            return [event async for event in stream]

    return context.loop.run_until_complete(collect())


@when('a text is requested from after its last event')
def request_rest(context):
    """Request a text that has no further events."""
    context.events = generate(context, 'i-1', event_count(ITEM))


@when('a text is requested')
def request_text(context):
    """Request a text from its first event on."""
    context.events = generate(context, 'i-1', 0)


@when('a text is requested from a server instance that is gone')
def request_from_gone(context):
    """Send a request for an earlier instance and keep the error."""
    try:
        generate(context, 'i-0', 0)
    except EndpointNotRun as error:
        context.events = error


@then('it ends at once without an event')
def check_ends(context):
    """Check that only a start and an end were received."""
    assert len(context.events) == 2, context.events
    assert isinstance(context.events[0], GenerationStart)
    assert context.events[1] == GenerationEnd(event_count(ITEM))


@then('every event has its number and version 1')
def check_numbers(context):
    """Check the numbers and versions of the events."""
    events = context.events[1:-1]
    numbers = [(event.number, event.version) for event in events]
    expected = [(n, 1) for n in range(1, event_count(ITEM) + 1)]
    assert numbers == expected, numbers


@then('the error says that it did not run')
def check_not_run(context):
    """Check the error, and that the server ran nothing."""
    assert isinstance(context.events, EndpointNotRun), context.events
    assert not context.server.runs


class RawServer:
    """Server that answers every connection with the same bytes."""

    def __init__(self, data):
        """Keep the bytes."""
        self.data = data
        self.server = None

    async def start(self):
        """Listen on a loopback address and return it."""
        self.server = await asyncio.start_server(self.answer, '127.0.0.1', 0)
        ip, port = self.server.sockets[0].getsockname()
        return f'{ip}:{port}'

    async def answer(self, reader, writer):
        """Read the headers of a request, then answer; its body is empty."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.data)
        await writer.drain()
        writer.close()

    async def stop(self):
        """Stop listening."""
        self.server.close()


@given('a server that sends {text}')
def raw_server(context, text):
    """Serve the bytes; a tilde stands for the end of a line."""
    context.site = RawServer(text.replace('~', '\r\n').encode())
    context.address = context.loop.run_until_complete(context.site.start())


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
    """Send a request; HTTP defines PUT and DELETE as idempotent."""
    context.answer = send(context, request_id, method)


@given('it drops idle connections')
def drop_idle_connections(context):
    """Reset the second request of each connection."""
    context.server.faults.drops_idle = True


@given('a server on a loopback address that drops idle connections')
def start_dropping_server(context):
    """Serve as a plain server that drops idle connections."""
    start_plain_server(context)
    drop_idle_connections(context)


@given('a server on a loopback address that breaks off running requests')
def start_breaking_server(context):
    """Serve as a plain server that breaks connections."""
    start_plain_server(context)
    context.server.faults.breaking = True


@when('repeatable requests {names} are sent to it one after another')
def send_repeatable(context, names):
    """Send repeatable requests and keep each answer or error."""
    context.answer_by_id = {
        name: send(context, name, repeatable=True)
        for name in names.split(', ')
    }


@when('requests {names} that may run once are sent one after another')
def send_unrepeatable(context, names):
    """Send unrepeatable requests and keep each answer or error."""
    context.answer_by_id = {
        name: send(context, name) for name in names.split(', ')
    }


@then('each is answered and has run once')
def check_answered(context):
    """Check the answers, and that each request ran once in order."""
    for name, answer in context.answer_by_id.items():
        assert isinstance(answer, ServerAnswer), (name, answer)
        assert answer.status == 200, answer
    run = [request_id for request_id, _, _ in context.server.runs]
    assert run == list(context.answer_by_id), run


@then('{first} and {third} are answered and {second} may have run')
def check_one_lost(context, first, third, second):
    """Check that only one request failed and may have run."""
    for name in (first, third):
        assert isinstance(context.answer_by_id[name], ServerAnswer)
    lost = context.answer_by_id[second]
    assert isinstance(lost, EndpointError), lost
    assert not isinstance(lost, EndpointNotRun), lost


@then('{request_id} has run once')
def check_ran_once(context, request_id):
    """Check that the server ran this request only, and once."""
    run = [name for name, _, _ in context.server.runs]
    assert run == [request_id], run


@then('it fails and may have run')
def check_may_have_run(context):
    """Check that the error does not say that the request did not run."""
    assert isinstance(context.answer, EndpointError), context.answer
    assert not isinstance(context.answer, EndpointNotRun), context.answer


@then('it fails and has not run')
def check_has_not_run(context):
    """Check that the error says that the request did not run."""
    assert isinstance(context.answer, EndpointNotRun), context.answer


@then('its response is {text} with stamp {stamp}')
def check_response(context, text, stamp):
    """Check the body and the stamp of the server."""
    assert context.answer.body == text.encode(), context.answer
    assert context.answer.stamp == stamp
