"""Steps about requests of callers on virtual time."""

import asyncio
from collections import Counter

from behave import given, then, when
from memory_site import HOST, SHOP, MemorySite

from anvilcove.control.desired import STREAM, UNSAFE
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.streams import StreamBroken


def request_of(site, number, left_s):
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
        deadline_at_s=now + left_s,
    )


async def send(context, name, number, left_s):
    """Send a request and note its answer and time."""
    site = context.memory
    service = site.daemons[name].service
    request = request_of(site, number, left_s)
    route = service.route(HOST, request.path)
    answer = await service.forward(request, route)
    context.answers.append((answer, site.loop.time() - request.received_s))


@given('service {number:d} takes requests and never answers')
def silent(context, number):
    """Let one service lose every answer."""
    site = context.memory
    site.servers.silent.add(site.server_addresses[number])


@given('every service takes requests and never answers')
def all_silent(context):
    """Let every service lose every answer."""
    context.memory.servers.silent.update(context.memory.server_addresses)


@given('service {number:d} refuses everything as not run')
def refusing(context, number):
    """Let one service refuse."""
    site = context.memory
    site.servers.refusing.add(site.server_addresses[number])


@given('every service refuses everything as not run')
def all_refusing(context):
    """Let every service refuse."""
    context.memory.servers.refusing.update(context.memory.server_addresses)


@given('every service breaks connections off after it has begun')
def all_breaking(context):
    """Let every service run requests and break the connection."""
    servers = context.memory.servers
    servers.breaking.update(context.memory.server_addresses)


@given('every service has left')
def all_left(context):
    """Remove the entries of all services."""
    for address in context.memory.server_addresses:
        context.memory.remove('servers', address)
    context.memory.pass_time(1.0)


@given('the shop takes requests that may run only once')
def run_once(context):
    """Change the kind of the route."""
    context.memory.write_operator(version=2, shop_kind=UNSAFE)
    context.memory.pass_time(1.0)


@when('{count:d} repeatable requests arrive at daemon {name}')
def repeatable(context, count, name):
    """Send requests one after the other."""
    context.answers = []
    for number in range(count):
        context.memory.run(send(context, name, number, 2.0))


@when('{count:d} requests with {left:g} s left arrive at daemon {name}')
def with_time(context, count, left, name):
    """Send requests at once."""
    context.answers = []

    async def send_all():
        await asyncio.gather(
            *(send(context, name, number, left) for number in range(count))
        )

    context.memory.run(send_all())
    context.count = count


@then('all of them are answered within {seconds:g} s')
def on_time(context, seconds):
    """Check status and time of every answer."""
    for answer, took_s in context.answers:
        assert answer.status == 200, answer
        assert took_s <= seconds, took_s


@then('all of them end with status {status:d}')
def status(context, status):
    """Check the status of every answer."""
    assert len(context.answers) == context.count
    for answer, _ in context.answers:
        assert answer.status == status, answer


@then(
    'all of them end with status {status:d} within {seconds:g} s and a time '
    'to come back'
)
def refused(context, status, seconds):
    """Check that refusals come at once."""
    assert len(context.answers) == context.count
    for answer, took_s in context.answers:
        assert answer.status == status, answer
        assert answer.retry_after_s, answer
        assert took_s <= seconds, took_s


@then('no request ran at more than {count:d} services')
def ran_at_most(context, count):
    """Count the services that ran each request."""
    runs = Counter(request for _, request in context.memory.servers.runs)
    assert all(found <= count for found in runs.values()), runs


@when('a caller of daemon {name} leaves after {seconds:g} s')
def leave(context, name, seconds):
    """Cancel a request as the listener does."""
    context.answers = []

    async def leave_early():
        task = asyncio.create_task(send(context, name, 0, 2.0))
        await asyncio.sleep(seconds)
        task.cancel()

    context.memory.run(leave_early())


@then('no service works for it {seconds:g} s later')
def stopped(context, seconds):
    """Check that every send was stopped."""
    context.memory.pass_time(seconds)
    servers = context.memory.servers
    assert servers.runs
    assert servers.cancelled == len(servers.runs)


@when('service {number:d} announces that it leaves')
def announce_leaving(context, number):
    """Announce that a service drains."""
    site = context.memory
    site.write_server(site.server_addresses[number], draining=True)


@then('service {number:d} got none of them')
def got_none(context, number):
    """Check where the requests went."""
    address = context.memory.server_addresses[number]
    runs = context.memory.servers.runs
    assert runs
    assert all(where != address for where, _ in runs)


@when('the store is away for {seconds:d} s and every entry lapses')
def lapse(context, seconds):
    """Remove the entries while nobody can see it."""
    site = context.memory
    site.store.faults.away = True
    site.pass_time(seconds)
    for address in site.server_addresses:
        site.remove('servers', address)
    site.store.faults.away = False


@when('the store forgets its history as desired state {version:d} is written')
def forget(context, version):
    """Drop all changes, the one of the desired state included."""
    context.memory.write_operator(version=version)
    context.memory.store.forget_history()


@then('every daemon has desired state {version:d} in force')
def in_force(context, version):
    """Check the versions."""
    for daemon in context.memory.daemons.values():
        assert daemon.desired.current.version == version


@then('daemon {name} names the daemons {names}')
def named(context, name, names):
    """Compare what a caller is told."""
    daemon = context.memory.daemons[name]
    expected = [f'{n}:1' for n in names.replace(' and ', ', ').split(', ')]
    found = daemon.service.addresses('r')
    assert found == sorted(expected), found


class ListSink:
    """Keep what a caller would get."""

    def __init__(self):
        """Start before the answer."""
        self.starts = 0
        self.data = b''

    async def start(self, status, headers):
        """Count the starts."""
        self.starts += 1

    async def write(self, piece):
        """Keep a piece."""
        self.data += piece


@given('the shop streams and may be resumed')
def resumable(context):
    """Change the kind of the route."""
    context.memory.write_operator(version=2, shop_kind=STREAM, resumable=True)
    context.memory.pass_time(1.0)


@given('the shop streams and may not be resumed')
def not_resumable(context):
    """Change the kind of the route."""
    context.memory.write_operator(version=2, shop_kind=STREAM)
    context.memory.pass_time(1.0)


@given(
    'whichever service is asked first breaks its stream off after {count:d} '
    'events'
)
def break_first(context, count):
    """Let the first stream break off."""
    context.memory.streams.break_first = count


@given('every service breaks streams off after {count:d} events')
def break_all(context, count):
    """Let all streams break off."""
    site = context.memory
    for address in site.server_addresses:
        site.streams.break_after[address] = count


@when('a stream is asked of daemon {name} {count:d} times')
def ask_streams(context, name, count):
    """Ask for streams and keep what arrives."""
    site = context.memory
    service = site.daemons[name].service
    context.sinks, context.broken = [], []

    async def ask(number):
        sink = ListSink()
        context.sinks.append(sink)
        request = request_of(site, number, 5.0)
        route = service.route(HOST, request.path)
        try:
            answer = await service.stream(request, route, sink)
            assert answer is None, answer
        except StreamBroken as error:
            context.broken.append(str(error))

    for number in range(count):
        site.run(ask(number))


@then('every stream has the events {first:d} to {last:d}, each once')
def whole_streams(context, first, last):
    """Compare the bytes."""
    numbers = range(first, last + 1)
    expected = b''.join(f'id: {n}\ndata: {n}\n\n'.encode() for n in numbers)
    assert not context.broken, context.broken
    for sink in context.sinks:
        assert sink.data == expected, sink.data
        assert sink.starts == 1
    assert any(after for _, after in context.memory.streams.runs)


@then('it is broken after event {number:d} and ran once')
def broken(context, number):
    """Check that nothing was repeated."""
    assert context.broken == [f'after event {number}'], context.broken
    assert len(context.memory.streams.runs) == 1


@given('service {number:d} fails each {every:d}nd request')
def failing_part(context, number, every):
    """Let a service fail a part of its requests."""
    site = context.memory
    address = site.server_addresses[number]
    site.servers.failing_every[address] = every


@then('service {number:d} got at most {count:d} of them')
def got_at_most(context, number, count):
    """Count the requests that a service ran."""
    address = context.memory.server_addresses[number]
    runs = [where for where, _ in context.memory.servers.runs]
    assert len(context.answers) == 60
    assert runs.count(address) <= count, runs.count(address)


@given('a platform with {count:d} services and daemons a, b and c')
def many_services(context, count):
    """Start a site with more plain services."""
    context.memory = MemorySite(engines=1, servers=count)
    context.add_cleanup(context.memory.close)
    for seed, name in enumerate('abc'):
        context.memory.start(name, seed=seed + 1)
    context.memory.pass_time(1.0)


@when(
    'daemon {name} gets {count:d} repeatable requests, one each {seconds:g} s'
)
def slowly(context, count, name, seconds):
    """Send requests with pauses."""
    context.answers = []
    for number in range(count):
        context.memory.run(send(context, name, number, 2.0))
        context.memory.pass_time(seconds)


@then('they went to at most {count:d} services')
def went_to(context, count):
    """Count the services that were used."""
    used = {address for address, _ in context.memory.servers.runs}
    assert len(used) <= count, len(used)
