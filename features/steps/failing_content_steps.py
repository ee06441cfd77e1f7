"""Steps for failing contents and failing endpoints, on virtual time."""

import asyncio
import itertools

from batch_job_steps import read_all
from behave import given, then, when
from decision_steps import MANY
from forwarding_steps import RecordingSink
from hypothesis import given as generate
from hypothesis import strategies as st
from memory_site import HOST, JOBS, SHOP, MemorySite, job_spec
from msgspec.structs import replace

from anvilcove.control.desired import SAFE, STREAM, UNSAFE
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.ejection import MIN_AVAILABLE_SHARE
from anvilcove.decisions.failure_attribution import Run
from anvilcove.jobs.engine_ejections import EngineEjections
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.streams import StreamBroken
from anvilcove.standins.memory_run_faults import RUN_FAULTS, EndpointFault

STEP_ITEMS = 104
SOUND_PERIOD_S = 0.01
# Sound requests for each failing one; one that stalls takes a slot for longer.
SOUND_PER_FAILING = 5
SOUND_PER_STALL = 25
SERVED = 200
LAST_REQUESTS_S = 2.0
NUMBERS = itertools.count()
FAILING_NUMBERS = itertools.count(1_000_000)
ROUTE_BY_CALLS = {
    'plain requests': {'shop_kind': SAFE},
    'requests not repeated': {'shop_kind': UNSAFE},
    'streams': {'shop_kind': STREAM},
    'resumable streams': {'shop_kind': STREAM, 'resumable': True},
}


@given(
    'a platform with {count:d} engines, {services:d} services and daemons a, '
    'b and c'
)
def start_platform_of(context, count, services):
    """Start a site of three daemons."""
    context.memory = MemorySite(engines=count, servers=services)
    context.add_cleanup(context.memory.close)
    for seed, name in enumerate('abc'):
        context.memory.start(name, seed=seed + 1)
    context.memory.pass_time(1.0)


def step_spec(job):
    """Return a step whose items have contents of their own."""
    spec = job_spec(job, STEP_ITEMS)
    items = [
        replace(item, path=f'{JOBS}{item.item_id}', body=item.item_id.encode())
        for item in spec.items
    ]
    return replace(spec, items=items)


@given('the first {count:d} items of job {job} each {kind} at each run')
def fail_items(context, count, job, kind):
    """Let items fail at whichever engine runs them."""
    context.failing = {f'{job}-{number}' for number in range(count)}
    # What is refused once has not run, and what brings events goes on.
    early = kind == 'is refused' or kind.endswith('late')
    context.early_runs = 2 if early else 1
    for engine in context.memory.engines:
        for item in context.failing:
            engine.fault_by_path[f'{JOBS}{item}'] = RUN_FAULTS[kind]


@given(
    'the reward calls of the first {count:d} items of job {job} each {kind} '
    'each time'
)
def fail_rewards(context, count, job, kind):
    """Let reward calls fail at whichever service runs them."""
    context.failing = {f'{job}-{number}' for number in range(count)}
    for number in range(count):
        body = f'{job}-r{number}'.encode()
        context.memory.servers.faults.by_body[body] = RUN_FAULTS[kind]


@given('{count:d} of them each {kind} in {share:f} of the runs')
def fail_engines(context, count, kind, share):
    """Let engines fail most of what they run."""
    context.failing = set()
    for engine in context.memory.engines[:count]:
        engine.fault = EndpointFault(kind, share)


@given('{count:d} of the services each {kind} in {share:f} of the runs')
def fail_services(context, count, kind, share):
    """Let services fail most of what they run."""
    context.failing = set()
    site = context.memory
    context.faulty = site.server_addresses[:count]
    for address in context.faulty:
        site.servers.faults.by_address[address] = EndpointFault(kind, share)


@given('callers send {calls}')
def use_calls(context, calls):
    """Write a route for the calls that the scenario sends."""
    context.memory.write_operator(version=2, **ROUTE_BY_CALLS[calls])
    context.memory.pass_time(1.0)


@when('daemon a accepts the steps {one} and {two} of 104 items each')
def accept_steps(context, one, two):
    """Submit two steps at once."""
    site = context.memory
    for job in (one, two):
        intake = site.daemons['a'].intake
        site.run(intake.accept(step_spec(job), deadline_at_s=1e9))


@when('sound requests are sent to each daemon for {seconds:g} s')
def send_sound(context, seconds):
    """Send requests that any service can answer."""
    context.memory.run(send_for(context, seconds))


@when('requests that each {kind} are sent beside sound ones for {seconds:g} s')
def send_beside_failing(context, kind, seconds):
    """Send contents that fail at each service beside sound ones."""
    context.memory.run(send_for(context, seconds, RUN_FAULTS[kind]))


async def send_for(context, seconds, fault=None):
    """Send sound requests and, with a fault, failing ones as well."""
    loop = context.memory.loop
    spacing = SOUND_PER_FAILING
    if fault is RUN_FAULTS['stalls']:
        spacing = SOUND_PER_STALL
    until_s = loop.time() + seconds
    sound, failing = [], []
    while loop.time() < until_s:
        sound.append(asyncio.create_task(send(context, next(NUMBERS))))
        if fault and len(sound) % spacing == 0:
            number = next(FAILING_NUMBERS)
            for client in (context.memory.servers, context.memory.streams):
                client.faults.by_body[body_of(number)] = fault
            failing.append(asyncio.create_task(send(context, number)))
        await asyncio.sleep(SOUND_PERIOD_S)
    context.answers = await asyncio.gather(*sound)
    await asyncio.gather(*failing)


def body_of(number):
    """Return the body of a request."""
    return f'request {number}'.encode()


async def send(context, number):
    """Send a request once; return its status, 0 for a broken stream."""
    site = context.memory
    service = list(site.daemons.values())[number % len(site.daemons)].service
    now = site.loop.time()
    path = f'{SHOP}{number}'
    request = CallerRequest(
        request_id=f'failing-content-{number}',
        method='POST',
        host=HOST,
        path=path,
        headers=[],
        body=body_of(number),
        received_s=now,
        deadline_at_s=now + 2.0,
    )
    route = service.route(HOST, path)
    if route.kind != STREAM:
        return (await service.forward(request, route)).status
    try:
        answer = await service.stream(request, route, RecordingSink())
    except StreamBroken:
        return 0
    return SERVED if answer is None else answer.status


@then('every sound request was answered at its first attempt')
def check_answers(context):
    """Check that no sound request was refused or failed."""
    wrong = [status for status in context.answers if status != SERVED]
    assert not wrong, (len(wrong), len(context.answers), sorted(set(wrong)))


@then('all items of the steps {one} and {two} but those 16 are completed')
def check_others_completed(context, one, two):
    """Check that each sound item has its whole text."""
    check_steps(context, [one, two])


@then('all items of the steps {one} and {two} are completed')
def check_both_completed(context, one, two):
    """Check that each item has its whole text."""
    check_steps(context, [one, two])


@then('all items of the steps j1 to j4 are completed')
def check_all_completed(context):
    """Check that each item has its whole text."""
    check_steps(context, ['j1', 'j2', 'j3', 'j4'])


def check_steps(context, jobs):
    """Check that the sound items of steps are completed and whole."""
    events = context.memory.engines[0].events
    missing = []
    for job in jobs:
        _, results = read_all(context, 'b', job)
        by_id = {result.item_id: result for result in results}
        for item in step_spec(job).items:
            if item.item_id in context.failing:
                continue
            text = [f'{item.item_id}:{n}' for n in range(1, events + 1)]
            result = by_id.get(item.item_id)
            if result is None or result.output.split('\n') != text:
                missing.append(item.item_id)
    assert not missing, (len(missing), missing[:5])


@then('none of those 16 ran again before each other item of its step ran')
def check_order(context):
    """Check that failing items went after items that had not been tried."""
    times_by_item = {}
    for engine in context.memory.engines:
        for (item, _), at_s in zip(engine.runs, engine.run_at_s, strict=True):
            if item.startswith('j1-'):
                times_by_item.setdefault(item, []).append(at_s)
    assert len(times_by_item) == STEP_ITEMS, len(times_by_item)
    all_begun_at_s = max(min(times) for times in times_by_item.values())
    for item in context.failing:
        again = sorted(times_by_item[item])[context.early_runs :]
        early = [at_s for at_s in again if at_s < all_begun_at_s]
        assert not early, (item, early, all_begun_at_s)


@then('at most a tenth of the items of the steps j3 and j4 failed')
def check_left_out(context):
    """Check that faulty engines got few items of later steps."""
    faulty = [e for e in context.memory.engines if e.fault is not None]
    runs = [
        item
        for engine in faulty
        for item, _ in engine.runs
        if item.startswith(('j3-', 'j4-'))
    ]
    assert len(runs) <= 2 * STEP_ITEMS / 10, len(runs)


@then('at most a fifth of the last requests reached a faulty service')
def check_service_left_out(context):
    """Check that faulty services got few of the requests at the end."""
    servers = context.memory.servers
    since_s = servers.run_at_s[-1] - LAST_REQUESTS_S
    last = [
        address
        for (address, _), at_s in zip(
            servers.runs, servers.run_at_s, strict=True
        )
        if at_s >= since_s
    ]
    reached = sum(address in context.faulty for address in last)
    assert reached <= len(last) / 5, (reached, len(last))


class SetClock:
    """Clock that the test sets."""

    def __init__(self):
        """Start at 0 s."""
        self.at_s = 0.0

    def now(self):
        """Return the time that was set."""
        return self.at_s


def registry_of(size):
    """Return a registry with engines of one service."""
    registry = EndpointRegistry()
    entries = {
        f'e{number}': EndpointEntry(
            instance=f'e{number}',
            started_ms=0,
            service='llm',
            address=f'10.0.0.{number}:80',
            data_centre='dc',
            draining=False,
            slots=8,
        )
        for number in range(size)
    }
    registry.replace_all(entries, 0.0, False)
    return registry


@then('at least half of the engines stay in use on any sequence of runs')
def check_floor(context):
    """Check the share in use after each end of a run that a content has."""
    ends = ('item_failed', 'broke', 'refused', 'progressed', 'succeeded')

    @MANY
    @generate(
        st.integers(1, 7),
        st.lists(
            st.tuples(
                st.integers(0, 6), st.sampled_from(ends), st.integers(0, 9)
            ),
            max_size=120,
        ),
    )
    def check(size, events):
        registry, clock = registry_of(size), SetClock()
        names = sorted(registry.entry_by_endpoint)
        ejections = EngineEjections(registry, clock)
        for number, (engine, end, content) in enumerate(events):
            clock.at_s = number * 0.03
            run = Run(names[engine % size], f'content {content}')
            getattr(ejections, end)(run)
            unused = ejections.left_out('llm') - ejections.last_resort('llm')
            assert size - len(unused) >= size * MIN_AVAILABLE_SHARE, unused

    check()
