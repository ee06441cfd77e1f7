"""Steps for requests of callers, on virtual time."""

import asyncio
from collections import Counter

from behave import given, then, when
from memory_site import HOST, SHOP, MemorySite

from anvilcove.control.desired import STREAM, UNSAFE
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.streams import StreamBroken


def shop_request(site, number, timeout_s):
    """Return a request of the shop."""
    now = site.loop.time()
    return CallerRequest(
        request_id=f'q{number}',
        method='POST',
        host=HOST,
        path=f'{SHOP}{number}',
        headers=[],
        body=b'x',
        received_s=now,
        deadline_at_s=now + timeout_s,
    )


# Timeout of the shop route where streams must not be ended by it.
STREAM_TIMEOUT_S = 60.0


async def send(context, name, number, timeout_s):
    """Send a request and keep its answer and duration."""
    site = context.memory
    service = site.daemons[name].service
    request = shop_request(site, number, timeout_s)
    route = service.route(HOST, request.path)
    answer = await service.forward(request, route)
    context.answers.append((answer, site.loop.time() - request.received_s))


@given('service {number:d} accepts requests and never answers')
def silence_service(context, number):
    """Let one service run requests and send no answer."""
    site = context.memory
    site.servers.silent.add(site.server_addresses[number])


@given('every service accepts requests and never answers')
def silence_all(context):
    """Let every service run requests and send no answer."""
    context.memory.servers.silent.update(context.memory.server_addresses)


@given('service {number:d} refuses every request as not run')
def refuse_requests(context, number):
    """Let one service refuse every request."""
    site = context.memory
    site.servers.refusing.add(site.server_addresses[number])


@given('every service refuses every request as not run')
def refuse_at_all(context):
    """Let every service refuse every request."""
    context.memory.servers.refusing.update(context.memory.server_addresses)


@given('every service breaks the connection while it runs a request')
def break_connections(context):
    """Let every service run requests and break their connections."""
    servers = context.memory.servers
    servers.breaking.update(context.memory.server_addresses)


@given('the entries of all services are removed')
def remove_entries(context):
    """Remove the entries of all services."""
    for address in context.memory.server_addresses:
        context.memory.remove('servers', address)
    context.memory.pass_time(1.0)


@given('requests of the shop route may run only once')
def use_unsafe_route(context):
    """Change the shop route to one whose requests are not repeatable."""
    context.memory.write_operator(version=2, shop_kind=UNSAFE)
    context.memory.pass_time(1.0)


@when('{count:d} repeatable requests arrive at daemon {name}')
def send_repeatable(context, count, name):
    """Send requests one after another."""
    context.answers = []
    for number in range(count):
        context.memory.run(send(context, name, number, 2.0))


@when(
    '{count:d} requests with a timeout of {timeout:g} s arrive at daemon '
    '{name}'
)
def send_with_timeout(context, count, timeout, name):
    """Send requests at the same time."""
    context.answers = []

    async def send_all():
        await asyncio.gather(
            *(send(context, name, number, timeout) for number in range(count))
        )

    context.memory.run(send_all())
    context.count = count


@then('all of them are answered within {seconds:g} s')
def check_on_time(context, seconds):
    """Check the status and the duration of every answer."""
    for answer, took_s in context.answers:
        assert answer.status == 200, answer
        assert took_s <= seconds, took_s


@then('all of them end with status {status:d}')
def check_status(context, status):
    """Check the status of every answer."""
    assert len(context.answers) == context.count
    for answer, _ in context.answers:
        assert answer.status == status, answer


@then(
    'all of them end with status {status:d} within {seconds:g} s and a '
    'Retry-After time'
)
def check_refused(context, status, seconds):
    """Check that refusals are fast and say when to retry."""
    assert len(context.answers) == context.count
    for answer, took_s in context.answers:
        assert answer.status == status, answer
        assert answer.retry_after_s, answer
        assert took_s <= seconds, took_s


@then('no request ran at more than {count:d} services')
def check_run_count(context, count):
    """Count the services that ran each request."""
    runs = Counter(request for _, request in context.memory.servers.runs)
    assert all(found <= count for found in runs.values()), runs


@when('a caller of daemon {name} disconnects after {seconds:g} s')
def disconnect(context, name, seconds):
    """Cancel a request, as the listener does when its caller leaves."""
    context.answers = []

    async def cancel_early():
        task = asyncio.create_task(send(context, name, 0, 2.0))
        await asyncio.sleep(seconds)
        task.cancel()

    context.memory.run(cancel_early())


@then('no service is running its request {seconds:g} s later')
def check_stopped(context, seconds):
    """Check that every run at a service was cancelled."""
    context.memory.pass_time(seconds)
    servers = context.memory.servers
    assert servers.runs
    assert servers.cancelled == len(servers.runs)


@when('service {number:d} announces that it is draining')
def announce_draining(context, number):
    """Write an entry that marks the service as draining."""
    site = context.memory
    site.write_server(site.server_addresses[number], draining=True)


@then('service {number:d} got none of them')
def check_avoided(context, number):
    """Check that no request ran at the service."""
    address = context.memory.server_addresses[number]
    runs = context.memory.servers.runs
    assert runs
    assert all(where != address for where, _ in runs)


@when('the store is unavailable for {seconds:d} s and every entry expires')
def expire_entries(context, seconds):
    """Remove the entries while no daemon can read the store."""
    site = context.memory
    site.store.faults.away = True
    site.pass_time(seconds)
    for address in site.server_addresses:
        site.remove('servers', address)
    site.store.faults.away = False


@when(
    'the store loses its change history when desired state {version:d} is '
    'written'
)
def lose_history(context, version):
    """Drop the change history with the change of the desired state."""
    context.memory.write_operator(version=version)
    context.memory.store.forget_history()


@then('every daemon has applied desired state {version:d}')
def check_desired_state(context, version):
    """Check the version of the desired state at every daemon."""
    for daemon in context.memory.daemons.values():
        assert daemon.desired.current.version == version


@then('daemon {name} names the daemons {names}')
def check_addresses(context, name, names):
    """Compare the entry addresses that a caller gets."""
    daemon = context.memory.daemons[name]
    expected = [f'{n}:1' for n in names.replace(' and ', ', ').split(', ')]
    found = daemon.service.addresses('r')
    assert found == sorted(expected), found


class RecordingSink:
    """Stream sink that records what a caller would get."""

    def __init__(self):
        """Start with an empty recording."""
        self.starts = 0
        self.data = b''

    async def start(self, status, headers):
        """Count the starts."""
        self.starts += 1

    async def write(self, piece):
        """Append a piece to the data."""
        self.data += piece


def write_stream_route(context, resumable):
    """Change the shop route to streams, with time for slow ones."""
    context.memory.write_operator(
        version=2,
        shop_kind=STREAM,
        resumable=resumable,
        shop_timeout_s=STREAM_TIMEOUT_S,
    )


@given('the shop route serves streams that may be resumed')
def use_resumable_streams(context):
    """Change the shop route to one of resumable streams."""
    write_stream_route(context, resumable=True)
    context.memory.pass_time(1.0)


@given('the shop route serves streams that may not be resumed')
def use_plain_streams(context):
    """Change the shop route to one of streams that are not resumable."""
    write_stream_route(context, resumable=False)
    context.memory.pass_time(1.0)


@given(
    'the first service asked for a stream breaks it off after {count:d} events'
)
def break_first(context, count):
    """Let only the first stream break off."""
    context.memory.streams.break_first = count


@given('every service breaks streams off after {count:d} events')
def break_all(context, count):
    """Let all streams break off."""
    site = context.memory
    for address in site.server_addresses:
        site.streams.break_after[address] = count


@given(
    'the first service asked for a stream sends only comments after '
    '{count:d} events'
)
def stall_first(context, count):
    """Let only the first stream stall."""
    context.memory.streams.stall_first = count


@given('services that send an event of a stream every {period_s:g} s')
def slow_streams(context, period_s):
    """Let all streams be slow."""
    context.memory.streams.event_period_s = period_s


@when('a stream is requested from daemon {name} {count:d} times')
def ask_streams(context, name, count):
    """Request streams one after another and keep data and errors."""
    request_streams(context, name, count, 5.0)


@when(
    'a stream with a deadline of {deadline_s:g} s is requested from daemon '
    '{name}'
)
def ask_stream(context, deadline_s, name):
    """Request one stream."""
    request_streams(context, name, 1, deadline_s)


def request_streams(context, name, count, deadline_s):
    """Request streams one after another and keep data and errors."""
    site = context.memory
    service = site.daemons[name].service
    context.sinks, context.stream_errors = [], []

    async def ask(number):
        sink = RecordingSink()
        context.sinks.append(sink)
        request = shop_request(site, number, deadline_s)
        route = service.route(HOST, request.path)
        try:
            answer = await service.stream(request, route, sink)
            assert answer is None, answer
        except StreamBroken as error:
            context.stream_errors.append(str(error))

    for number in range(count):
        site.run(ask(number))


@then('every stream has the events {first:d} to {last:d}, each once')
def check_streams(context, first, last):
    """Compare the received bytes and check that a stream was resumed."""
    numbers = range(first, last + 1)
    expected = b''.join(f'id: {n}\ndata: {n}\n\n'.encode() for n in numbers)
    assert not context.stream_errors, context.stream_errors
    for sink in context.sinks:
        assert sink.data == expected, sink.data
        assert sink.starts == 1
    assert any(after for _, after in context.memory.streams.runs)


@then('the stream has the events {first:d} to {last:d} of a single run')
def check_single_run(context, first, last):
    """Compare the received bytes and check that nothing was resumed."""
    numbers = range(first, last + 1)
    expected = b''.join(f'id: {n}\ndata: {n}\n\n'.encode() for n in numbers)
    assert not context.stream_errors, context.stream_errors
    assert context.sinks[0].data == expected, context.sinks[0].data
    assert len(context.memory.streams.runs) == 1


@then(
    'the stream has the events {first:d} to {last:d}, each once, of two runs'
)
def check_two_runs(context, first, last):
    """Check the events of the received bytes, without the comments."""
    assert not context.stream_errors, context.stream_errors
    numbers = [
        int(line.removeprefix(b'id: '))
        for line in context.sinks[0].data.splitlines()
        if line.startswith(b'id: ')
    ]
    assert numbers == list(range(first, last + 1)), numbers
    assert len(context.memory.streams.runs) == 2


@then('the stream is reported as broken after event {number:d} and ran once')
def check_broken(context, number):
    """Check the reported error and that the stream was not repeated."""
    assert context.stream_errors == [f'after event {number}'], (
        context.stream_errors
    )
    assert len(context.memory.streams.runs) == 1


@given('service {number:d} fails each {every:d}nd request')
def fail_some(context, number, every):
    """Let a service fail every nth request."""
    site = context.memory
    address = site.server_addresses[number]
    site.servers.failing_every[address] = every


@then('service {number:d} got at most {count:d} of them')
def check_share(context, number, count):
    """Count the requests that a service ran."""
    address = context.memory.server_addresses[number]
    runs = [where for where, _ in context.memory.servers.runs]
    assert len(context.answers) == 60
    assert runs.count(address) <= count, runs.count(address)


@given('a platform with {count:d} services and daemons a, b and c')
def start_many_services(context, count):
    """Start a site with one engine and a number of services."""
    context.memory = MemorySite(engines=1, servers=count)
    context.add_cleanup(context.memory.close)
    for seed, name in enumerate('abc'):
        context.memory.start(name, seed=seed + 1)
    context.memory.pass_time(1.0)


@when(
    'daemon {name} gets {count:d} repeatable requests, one every {seconds:g} s'
)
def send_slowly(context, count, name, seconds):
    """Send requests one after another with pauses between them."""
    context.answers = []
    for number in range(count):
        context.memory.run(send(context, name, number, 2.0))
        context.memory.pass_time(seconds)


@then('they went to at most {count:d} services')
def check_used(context, count):
    """Count the services that were used."""
    used = {address for address, _ in context.memory.servers.runs}
    assert len(used) <= count, len(used)


@when('the store does not answer for endpoints and daemon {name} starts')
def start_without_endpoints(context, name):
    """Start a daemon that reads the desired state, but no endpoints."""
    site = context.memory
    site.store.faults.silent_partitions.add(('servers', ''))
    site.start(name, seed=9)
    site.pass_time(1.0)
