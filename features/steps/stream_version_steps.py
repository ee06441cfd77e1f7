"""Steps with endpoints of several software versions, on virtual time."""

import asyncio

from behave import given, then, when
from endpoint_limit_steps import numbers_of
from forwarding_steps import RecordingSink, shop_request
from memory_site import HOST

from anvilcove.proxy.streams import StreamBroken

DEADLINE_S = 5.0


@given('services {numbers} run software {version}')
def set_software(context, numbers, version):
    """Change the software version that services announce."""
    site = context.memory
    for number in numbers_of(numbers):
        address = site.server_addresses[number]
        site.software_by_address[address] = version
        site.write_server(address, started_ms=1)
    site.pass_time(1.0)


@given('each stream breaks off after {count:d} events and may be resumed')
def break_each(context, count):
    """Let the first run of each stream break off."""
    context.memory.streams.break_each = count


async def request_stream(context, name, number):
    """Request a stream and keep its data, or its error."""
    site = context.memory
    service = site.daemons[name].service
    sink = RecordingSink()
    request = shop_request(site, number, DEADLINE_S)
    context.sinks.append(sink)
    try:
        answer = await service.stream(
            request, service.route(HOST, request.path), sink
        )
        assert answer is None, answer
    except StreamBroken as error:
        context.stream_errors.append(str(error))


@when('{count:d} streams are requested from daemon {name} at the same time')
def request_streams(context, count, name):
    """Request streams together, so that they run at all endpoints."""
    context.sinks, context.stream_errors = [], []

    async def request_all():
        await asyncio.gather(
            *(request_stream(context, name, n) for n in range(count))
        )

    context.memory.run(request_all())


@then('no stream has events of two software versions')
def check_software(context):
    """Check the services that made the events of each stream."""
    site = context.memory
    versions = {}
    for (request_id, _), address in site.streams.made_by.items():
        version = site.software_by_address.get(address, 'v1')
        versions.setdefault(request_id, set()).add(version)
    mixed = {r: found for r, found in versions.items() if len(found) > 1}
    assert not mixed, mixed
    assert len(set().union(*versions.values())) == 2, versions


class Caller:
    """Caller of one stream and the attempts that brought its events."""

    def __init__(self, number):
        """Start without events."""
        self.number = number
        # Attempt that brought each event.
        self.attempts = []
        self.refused_after_s = []

    async def request(self, context, name, attempt):
        """Request the stream, or resume it after its last event."""
        site = context.memory
        service = site.daemons[name].service
        request = shop_request(site, self.number, DEADLINE_S)
        request.request_id = attempt
        if self.attempts:
            request.resumes = self.attempts[0]
            request.resumed_after = str(len(self.attempts))
            request.headers = [('Last-Event-Id', request.resumed_after)]
        sink = EventSink(self.attempts, attempt)
        began_s = site.loop.time()
        try:
            answer = await service.stream(
                request, service.route(HOST, request.path), sink
            )
        except StreamBroken:
            return
        if answer is not None:
            assert answer.status == 503, answer
            self.refused_after_s.append(site.loop.time() - began_s)


class EventSink:
    """Stream sink that notes which attempt brought each event."""

    def __init__(self, attempts, attempt):
        """Append to the attempts of the caller."""
        self.attempts = attempts
        self.attempt = attempt

    async def start(self, status, headers):
        """Accept the head."""

    async def write(self, piece):
        """Note the attempt if the event is the next one."""
        number = int(piece.split(b'id: ')[1].split(b'\n')[0])
        assert number == len(self.attempts) + 1, (number, self.attempts)
        self.attempts.append(self.attempt)


@given('the services have time for an event each {period_s:g} s')
def set_period(context, period_s):
    """Set the time between two events."""
    context.memory.streams.event_period_s = period_s


@given('the store has been away for {seconds:g} s')
def lose_store(context, seconds):
    """Let the store fail from now on."""
    context.memory.store.faults.away = True
    context.memory.pass_time(seconds)


def begin_streams(context, count, name):
    """Request streams of a daemon in the background."""
    context.callers = [Caller(number) for number in range(count)]
    return [
        context.memory.loop.create_task(
            caller.request(context, name, f'first-{caller.number}')
        )
        for caller in context.callers
    ]


def kill_with(context, name, tasks):
    """End a daemon and what its callers wait for."""
    context.memory.kill(name)
    for task in tasks:
        task.cancel()
    context.memory.pass_time(0.1)
    assert all(caller.attempts for caller in context.callers)


@when(
    '{count:d} streams begin at daemon {name}, which is killed after '
    '{seconds:g} s'
)
def begin_and_kill(context, count, name, seconds):
    """Kill the daemon that brought the first events."""
    tasks = begin_streams(context, count, name)
    context.memory.pass_time(seconds)
    kill_with(context, name, tasks)


@when(
    '{count:d} streams begin at daemon {name}, which is killed after '
    '{killed_s:g} s, and services {numbers} change to software {version} '
    'after {changed_s:g} s'
)
def begin_change_and_kill(
    context, count, name, killed_s, numbers, version, changed_s
):
    """Start a second version before the daemon is killed."""
    tasks = begin_streams(context, count, name)
    site = context.memory
    site.pass_time(changed_s)
    for number in numbers_of(numbers):
        address = site.server_addresses[number]
        site.remove('servers', address)
        site.server_addresses[number] = f'{address}1'
        site.software_by_address[f'{address}1'] = version
        site.write_server(f'{address}1', started_ms=1)
    site.pass_time(killed_s - changed_s)
    kill_with(context, name, tasks)


@when('services {numbers} leave')
def leave(context, numbers):
    """Let services say in the store that they are leaving."""
    site = context.memory
    for number in numbers_of(numbers):
        site.write_server(
            site.server_addresses[number], draining=True, started_ms=1
        )
    site.pass_time(1.0)


@when('their callers resume them at the other daemons')
def resume_all(context):
    """Resume each stream at the next daemon that runs."""
    site = context.memory
    names = sorted(site.tasks)

    async def resume():
        await asyncio.gather(
            *(
                caller.request(
                    context,
                    names[caller.number % len(names)],
                    f'second-{caller.number}',
                )
                for caller in context.callers
            )
        )

    site.run(resume())


@when(
    'the stream of an unknown attempt is resumed {count:d} times at daemon '
    '{name}'
)
def resume_unknown(context, count, name):
    """Resume streams after event 2 that no daemon knows."""
    context.callers = [Caller(number) for number in range(count)]

    async def resume():
        for caller in context.callers:
            caller.attempts += ['unknown'] * 2
            await caller.request(context, name, f'second-{caller.number}')

    context.memory.run(resume())


@then('each is refused within {seconds:g} s and no service runs it')
def check_refused(context, seconds):
    """Check that every request was refused at once."""
    for caller in context.callers:
        assert len(caller.refused_after_s) == 1, caller.attempts
        assert caller.refused_after_s[0] <= seconds, caller.refused_after_s
    assert not context.memory.streams.runs, context.memory.streams.runs


@then('each goes on with events 3 to 6')
def check_resumed(context):
    """Check that every stream was resumed."""
    for caller in context.callers:
        assert len(caller.attempts) == 6, caller.attempts


@then('every caller has the events 1 to 6, each once')
def check_complete(context):
    """Check that every stream is complete."""
    for caller in context.callers:
        assert len(caller.attempts) == 6, caller.attempts
        assert len(set(caller.attempts)) == 2, caller.attempts


def versions_of(context, caller):
    """Return the software versions of the events that a caller has."""
    site = context.memory
    return {
        site.software_by_address.get(
            site.streams.made_by[attempt, position + 1], 'v1'
        )
        for position, attempt in enumerate(caller.attempts)
    }


@then('no caller has events of two software versions')
def check_callers_software(context):
    """Check the services that made the events of each caller."""
    for caller in context.callers:
        assert len(versions_of(context, caller)) == 1, caller.attempts


@then('the streams of software {version} have the events 1 to 6, each once')
def check_complete_of_version(context, version):
    """Check the streams of one version, of which there are some."""
    found = [
        caller
        for caller in context.callers
        if versions_of(context, caller) == {version}
    ]
    assert found
    for caller in found:
        assert len(caller.attempts) == 6, caller.attempts
