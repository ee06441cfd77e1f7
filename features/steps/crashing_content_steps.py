"""Steps for contents that crash servers, on virtual time."""

import asyncio
import itertools
import math
import socket

from batch_job_steps import read_all
from behave import given, then, when
from forwarding_steps import RecordingSink
from loguru import logger
from memory_site import HOST, SHOP, job_spec, settings_of

from anvilcove.decisions.quarantine import ContentQuarantine
from anvilcove.decisions.types import Allow
from anvilcove.platform.probes import ConnectionProbe
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.streams import StreamBroken
from anvilcove.state.content import request_content_hash

OTHER_PERIOD_S = 0.008
# A caller sends a request this often in total until it is answered.
MAX_TRIES = 4
NUMBERS = itertools.count()


async def send_body(context, name, path, body, timeout_s=2.0):
    """Send a request under a new id and return its answer."""
    site = context.memory
    service = site.daemons[name].service
    now = site.loop.time()
    request = CallerRequest(
        request_id=f'content-{next(NUMBERS)}',
        method='POST',
        host=HOST,
        path=path,
        headers=[],
        body=body,
        received_s=now,
        deadline_at_s=now + timeout_s,
    )
    route = service.route(HOST, path)
    if route.kind != 'stream':
        return await service.forward(request, route)
    return await service.stream(request, route, RecordingSink())


async def send_in_turn(context, body, count, seconds):
    """Send a content to one daemon after the other and keep the answers."""
    names = list(context.memory.daemons)
    for number in range(count):
        await asyncio.sleep(seconds)
        name = names[number % len(names)]
        try:
            answer = await send_body(context, name, f'{SHOP}x', body.encode())
        except StreamBroken as error:
            answer = error
        context.answers.append(answer)


async def send_until_answered(context, number):
    """Send a request, again at the next daemon after each failure."""
    names = list(context.memory.daemons)
    body = f'other {number}'.encode()
    for tried in range(MAX_TRIES):
        name = names[(number + tried) % len(names)]
        answer = await send_body(context, name, f'{SHOP}{number}', body)
        if answer.status == 200:
            return answer.status
        await asyncio.sleep(answer.retry_after_s or 0.05)
    return answer.status


@given('each service crashes when it begins to run the body {body}')
def crash_services(context, body):
    """Let a body crash each server that begins to run it."""
    context.log_records = records = []
    sink = logger.add(lambda line: records.append(line.record))
    context.add_cleanup(logger.remove, sink)
    context.memory.crashes.bodies.add(body.encode())


@given('every service takes {seconds:g} s in memory')
def set_work_time(context, seconds):
    """Set the time that every service takes for a request."""
    context.memory.servers.work_s = seconds


@given('services {numbers} fail every request at once')
def fail_at_once(context, numbers):
    """Let services answer with a failed run without beginning one."""
    site = context.memory
    for number in numbers.replace(' and', ',').split(', '):
        site.servers.failing_at_once.add(site.server_addresses[int(number)])


@given('crashed services refuse connections')
def refuse_while_down(context):
    """Keep the default of the stand-in."""


@given('crashed services accept connections that break')
def accept_while_down(context):
    """Let probes of crashed services connect, as through a relay."""

    async def refuses_connections(address):
        context.memory.crashes.probed.append(address)
        return False

    context.memory.crashes.refuses_connections = refuses_connections


@given(
    'the body of item {number:d} of job {job} crashes each server that begins '
    'to run it'
)
def crash_engines(context, number, job):
    """Let the body of an item crash each engine."""
    context.memory.crashes.bodies.add(job_spec(job).items[number].body)


@given('{count:d} servers crash while they run {call} {number:d} of job {job}')
def crash_under_sound_call(context, count, call, number, job):
    """Let the first servers that run an item or its reward call crash."""
    reward = call == 'the reward call of item'
    body = (
        f'{job}-r{number}'.encode()
        if reward
        else job_spec(job).items[number].body
    )
    context.memory.crashes.remaining_by_body[body] = count


@given(
    'the body of the reward call of item {number:d} of job {job} crashes each '
    'server that begins to run it'
)
def crash_reward_services(context, number, job):
    """Let a reward call of a body of its own crash each service."""
    context.memory.crashes.bodies.add(f'{job}-r{number}'.encode())


@when(
    'the body {body} is sent {count:d} times, every {seconds:g} s to the next '
    'daemon, beside {others:d} others'
)
def send_beside_others(context, body, count, seconds, others):
    """Send a content to one daemon after the other, while others run."""
    context.answers = getattr(context, 'answers', [])

    async def send_all():
        running = []

        async def send_others():
            for number in range(others):
                work = send_until_answered(context, number)
                running.append(asyncio.create_task(work))
                await asyncio.sleep(OTHER_PERIOD_S)

        sending = asyncio.create_task(send_others())
        await send_in_turn(context, body, count, seconds)
        await sending
        context.other_statuses = await asyncio.gather(*running)

    context.memory.run(send_all())


@when(
    'the body {body} is sent {count:d} times, every {seconds:g} s to the next '
    'daemon, and its service crashes each time'
)
def crash_under_request(context, body, count, seconds):
    """Crash the first service that runs each request, halfway through."""
    site = context.memory
    names = list(site.daemons)
    context.answers = []

    async def send_all():
        for number in range(count):
            name = names[number % len(names)]
            work = send_body(context, name, f'{SHOP}x', body.encode())
            sending = asyncio.create_task(work)
            await asyncio.sleep(site.servers.work_s / 2)
            address, _ = site.servers.runs[-1]
            site.crashes.crash(address, b'')
            context.answers.append(await sending)
            await asyncio.sleep(seconds)

    site.run(send_all())


@when(
    'engine {number:d} crashes {delay:g} s after it began to run items, and '
    '{seconds:g} s go by'
)
def crash_engine(context, number, delay, seconds):
    """Crash an engine for a reason other than a content."""
    site = context.memory
    engine = site.engines[number]
    while not engine.running:
        site.pass_time(0.005)
    site.pass_time(delay)
    site.crashes.crash(engine.address, b'')
    site.pass_time(seconds)


@when(
    'streams with the body {body} are requested {count:d} times, every '
    '{seconds:g} s from the next daemon'
)
def request_streams(context, body, count, seconds):
    """Request a stream of a content from one daemon after the other."""
    context.answers = []
    context.memory.run(send_in_turn(context, body, count, seconds))


@when('all daemons are killed and started again')
def restart_all(context):
    """Kill every daemon before the first of them starts again."""
    site = context.memory
    names = list(site.daemons)
    for name in names:
        site.kill(name)
    site.pass_time(1.0)
    for seed, name in enumerate(names):
        site.start(name, seed=seed + 50, nonce=f'{name}-again')
    site.pass_time(1.0)


@when('no service breaks connections any more')
def heal(context):
    """Let every service answer again."""
    context.memory.servers.breaking.clear()


@then('at most {count:d} starts of services crashed')
@then('at most {count:d} starts of engines crashed')
def check_crashed(context, count):
    """Count the server starts that crashed."""
    crashed = context.memory.crashes.crashed
    assert 0 < len(crashed) <= count, (len(crashed), crashed[:3])


@then(
    'the last {count:d} requests with the body {body} were refused with a '
    'Retry-After time'
)
def check_refused(context, count, body):
    """Check the last answers."""
    assert len(context.answers) >= count
    for answer in context.answers[-count:]:
        assert answer.status == 503, context.answers
        assert answer.retry_after_s, answer


@then('the last {count:d} requests with the body {body} were answered')
def check_answered(context, count, body):
    """Check the last answers."""
    statuses = [answer.status for answer in context.answers]
    assert statuses[-count:] == [200] * count, statuses


@then('all requests with the body {body} were answered')
def check_all_answered(context, body):
    """Check every answer."""
    check_answered(context, len(context.answers), body)


@then('the requests with the body {body} ended with {statuses}')
def check_statuses(context, body, statuses):
    """Compare the status of each answer."""
    expected = [
        int(status) for status in statuses.replace(' and', ',').split(', ')
    ]
    found = [answer.status for answer in context.answers]
    assert found == expected, found


def other_decisions(context, message):
    """Return the logged decisions on contents that crash no server."""
    crashing = {
        request_content_hash('POST', HOST, f'{SHOP}x', body)
        for body in context.memory.crashes.bodies
    }
    return [
        record['extra']
        for record in context.log_records
        if record['message'] == message
        and record['extra']['content'] not in crashing
    ]


@then('other requests were in flight at two crashes')
def check_in_flight(context):
    """Check that the scenario contains what it guards against."""
    counted = other_decisions(
        context, 'endpoint crashed while it began to run a content'
    )
    assert max(decision['crashes'] for decision in counted) == 2, counted


@then('all other requests were answered and none was refused for its content')
def check_others(context):
    """Check that no caller of another content has given up or was refused."""
    assert context.other_statuses
    assert set(context.other_statuses) == {200}, context.other_statuses
    refused = other_decisions(
        context, 'request refused: its content crashes endpoints'
    )
    assert not refused, refused


@then(
    'daemon {name} lists {count:d} completed results of job {job} and none of '
    'item {number:d}'
)
def check_listed(context, name, count, job, number):
    """Check that only the item that crashes servers has no result yet."""
    _, results = read_all(context, name, job)
    listed = {result.item_id for result in results}
    assert f'{job}-{number}' not in listed, listed
    assert len(listed) == count, len(listed)
    assert all(result.completed for result in results), results


@then('only item {number:d} of job {job} is errored')
def check_one_errored(context, number, job):
    """Check the results of all items."""
    _, results = read_all(context, 'a', job)
    errored = {r.item_id for r in results if not r.completed}
    assert errored == {f'{job}-{number}'}, errored
    assert len(results) == 16, len(results)


@then(
    'each service got at most {count:d} connection per daemon and '
    '{seconds:d} s to check it'
)
def check_probes(context, count, seconds):
    """Check the number of connections opened only for a check."""
    site = context.memory
    periods = math.ceil(site.loop.time() / seconds)
    most = count * periods * len(site.daemons)
    for address in site.server_addresses:
        probes = site.crashes.probed.count(address)
        assert probes <= most, (probes, most)


@given('an address of this machine on which nothing listens')
def reserve_address(context):
    """Find a port that is free."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        context.address = f'127.0.0.1:{server.getsockname()[1]}'


@when('a server listens on the address')
def listen(context):
    """Listen, without accepting, until the end of the scenario."""
    ip, _, port = context.address.rpartition(':')
    server = socket.create_server((ip, int(port)))
    context.add_cleanup(server.close)


@then('a probe of the address is refused')
def check_probe_refused(context):
    """Open one connection and check that it is refused."""
    probe = ConnectionProbe().refuses_connections(context.address)
    assert asyncio.run(probe)


@then('a probe of the address is not refused')
def check_probe_accepted(context):
    """Open one connection and check that it is not refused."""
    probe = ConnectionProbe().refuses_connections(context.address)
    assert not asyncio.run(probe)


@given('two quarantines with a content that crashed 2 endpoints')
def two_quarantines(context):
    """Create two policies; the first has counted the crashes."""
    context.quarantines = [ContentQuarantine(settings_of(n)) for n in 'ab']
    context.now = 0.0
    for endpoint in ('e1', 'e2'):
        context.quarantines[0].crashed(0.0, endpoint, ['c1'])


@when(
    '{seconds:d} s go by and the {giver:w} passes its records to the '
    '{receiver:w}'
)
def pass_records(context, seconds, giver, receiver):
    """Let time pass and merge the counts of one policy into the other."""
    context.now += seconds
    by_name = dict(zip(('first', 'second'), context.quarantines, strict=True))
    digests = by_name[giver].digests(context.now)
    by_name[receiver].merge(context.now, digests)


@then('neither rejects the content')
def check_forgotten(context):
    """Check that both policies have forgotten the crashes."""
    for quarantine in context.quarantines:
        verdict = quarantine.verdict(context.now, 'c1')
        assert isinstance(verdict, Allow), verdict


@when('a content is in flight at 400 crashes and finishes after each')
def crash_often(context):
    """Count and clear crashes of many endpoints."""
    for number in range(400):
        context.quarantines[0].crashed(context.now, f'e{number}', ['c2'])
        context.quarantines[0].finished(context.now, 'c2')


@then('the first shares at most {count:d} counts')
def check_shared(context, count):
    """Check the size of what a daemon announces."""
    digests = context.quarantines[0].digests(context.now)
    assert len(digests) <= count, len(digests)


@then(
    'daemon {name} lists {count:d} completed results of job {job} and none of '
    'items {one:d} and {two:d}'
)
def check_all_but_two(context, name, count, job, one, two):
    """Check that all items but two are completed."""
    _, results = read_all(context, name, job)
    completed = {result.item_id for result in results if result.completed}
    assert len(completed) == len(results) == count, (completed, results)
    assert not completed & {f'{job}-{one}', f'{job}-{two}'}, completed
