"""Steps for what is known about the speed of endpoints."""

import random
from statistics import fmean

from behave import given, then, when
from loguru import logger
from memory_site import MemorySite, job_spec
from queue_model import POOL, build, members

from anvilcove.bench.uneven_endpoints import VARIANTS, measure
from anvilcove.daemon.app import load_modules
from anvilcove.decisions.item_moves import (
    EngineUtilization,
    RunningItem,
    select_items_to_move,
)
from anvilcove.decisions.item_placement import EngineSlotView, choose_engine
from anvilcove.decisions.types import (
    INTERACTIVE,
    OK,
    AttemptResult,
    RouteRequest,
)
from anvilcove.ports.reports import UNSOUND_LOAD
from anvilcove.state.endpoint_estimates import EngineSpeed
from anvilcove.state.endpoints import EndpointView


@then('the answer is whole and its load is {text}')
def check_load(context, text):
    """Compare the load in an answer with its counts and slowness."""
    assert context.answer.body, context.error
    malformed = text.startswith('malformed ')
    load = context.answer.load
    found = 'none'
    if load is not None:
        counts = f'{load.running},{load.waiting},{load.slots}'
        found = f'{counts} at {load.slowness:g}'
    assert found == text.removeprefix('malformed '), load
    unsound = context.answer.report.unsound
    assert unsound == ((UNSOUND_LOAD,) if malformed else ()), unsound


SPEEDS = (0.6, 1.0, 1.6)
NOISE_S = 0.6


def noise(seed):
    """Return the slowness of an engine over time, of bouts of NOISE_S.

    One bout of six is slow.
    """

    def slowness(now):
        bout = random.Random(f'{seed}/{int(now / NOISE_S)}')
        return 2.5 if bout.random() < 1 / 6 else 1.0

    return slowness


@given('{count:d} engines of {slots:d} slots with three speeds and noise')
def start_uneven(context, count, slots):
    """Start a daemon and engines of three speeds that slow down for 0.6 s."""
    site = context.memory = MemorySite(engines=count, slots=slots)
    context.add_cleanup(site.close)
    for number, engine in enumerate(site.engines):
        engine.slowdown = 1 / SPEEDS[number % len(SPEEDS)]
        engine.slowness = noise(number)
    site.use_slowness = True
    site.start('a')
    site.pass_time(3.0)


@when('a job of {items:d} items with {long:d} long ones starts every 4 s')
def run_jobs(context, items, long):
    """Run ten jobs and keep the runs of each item and the time of each job."""
    site = context.memory
    rng = random.Random(7)
    started_s = {}
    context.runs = []
    context.took_s = {}

    def on_line(line):
        fields = line.record['extra']
        if line.record['message'] == 'item finished':
            job = fields['job']
            context.runs.append(len(fields['runs']))
            context.took_s[job] = site.loop.time() - started_s[job]

    context.add_cleanup(logger.remove, logger.add(on_line))
    for number in range(10):
        spec = job_spec(f'j{number}', items)
        for position, item in enumerate(spec.items):
            events = 110 if position < long else rng.randint(8, 40)
            item.length_hint = round(events * rng.uniform(0.7, 1.4))
            for engine in site.engines:
                engine.events_by_item[item.item_id] = events
        started_s[spec.job_id] = site.loop.time()
        site.run(site.daemons['a'].intake.accept(spec, deadline_at_s=1e9))
        site.pass_time(4.0)
    site.pass_time(10.0)


@then('at most {count:d} of {items:d} items took several runs')
def check_cut(context, count, items):
    """Count the items whose run was cut."""
    assert len(context.runs) == items, len(context.runs)
    cut = sum(runs > 1 for runs in context.runs)
    took = sorted(context.took_s.values())
    assert cut <= count, f'{cut} items of several runs, jobs took {took}'


@then('every job took at most {seconds:g} s')
def check_took(context, seconds):
    """Check the time from the submission to the last result."""
    assert max(context.took_s.values()) <= seconds, context.took_s


@given('an engine that names its slowness and takes {ms:d} ms for an event')
def start_engine(context, ms):
    """Measure an engine with three runs for 4 s."""
    context.speed = EngineSpeed()
    context.now_s = 0.0
    add_events(context, ms, 4.0)


@when('its events take {ms:d} ms for {seconds:g} s')
def add_events(context, ms, seconds):
    """Add the events of three runs, measured as in runs of items."""
    interval_s = ms / 1000
    until_s = context.now_s + seconds
    pairs = 0
    while context.now_s + 2 * interval_s <= until_s + 1e-9:
        context.now_s += 2 * interval_s
        pairs += 1
        for _ in range(3):
            context.speed.add_recent(context.now_s, interval_s, 2)
            if pairs % 3 == 0:
                context.speed.usual.add(context.now_s, interval_s)


@then('it is {state} and its interval is between {low:d} and {high:d} ms')
def check_speed(context, state, low, high):
    """Check whether the engine is slow, and its lasting interval."""
    slow = context.speed.is_slow(context.now_s, 1.0)
    assert slow == (state == 'slow'), state
    interval_ms = context.speed.interval_s(context.now_s) * 1000
    assert low <= interval_ms <= high, interval_ms


@when('an answer names a slowness of {slowness:g}')
def observe_slowness(context, slowness):
    """Add the slowness of an answer."""
    context.speed.slowness.observe(context.now_s, slowness)


@when('{seconds:g} s pass without news of it')
def pass_silently(context, seconds):
    """Advance the time."""
    context.now_s += seconds


@then('its slowness is between {low:g} and {high:g}')
def check_slowness(context, low, high):
    """Check the slowness of the moment."""
    slowness = context.speed.slowness.value(context.now_s)
    assert low <= slowness <= high, slowness


@given('engines of the same pace of which one is slow for the moment')
def describe_moment(context):
    """Describe four idle engines of which the first is slow now."""
    context.views = [
        EngineSlotView(f'e{n}', 6, 0, slow=False, slowness=1 + 1.5 * (n == 0))
        for n in range(4)
    ]


def count_first(context, long_item):
    """Return how many of 100 items start on the first engine."""
    rng = random.Random(3)
    return sum(
        choose_engine(context.views, rng, long_item).endpoint == 'e0'
        for _ in range(100)
    )


@then('{count:d} of 100 short items start on the slow one first')
def check_short(context, count):
    """Count the short items on the slow engine."""
    assert count_first(context, long_item=False) == count


@then('more than {count:d} of 100 long items do')
def check_long(context, count):
    """Count the long items on the engine that is slow for a moment."""
    assert count_first(context, long_item=True) > count


@then(
    '{count:d} choices among equal engines are the same with four figures of '
    '100'
)
def check_same(context, count):
    """Compare choices with and without the fourth figure."""
    rng = random.Random(11)
    for seed in range(count):
        loads = [(rng.randint(0, 6), rng.randint(0, 4)) for _ in range(12)]
        long_item = bool(seed % 2)
        chosen = [
            choose_engine(
                [
                    EngineSlotView(
                        f'e{n}', 6, used, others, long_items=used // 2, slow=s
                    )
                    for n, (used, others) in enumerate(loads)
                ],
                random.Random(seed),
                long_item,
            )
            for s in (None, False)
        ]
        names = {view and view.endpoint for view in chosen}
        assert len(names) == 1, names


@given('an engine that became slow at {slow:d} ms and others at {usual:d} ms')
def describe_slow(context, slow, usual):
    """Describe a slow engine and two others with free slots."""
    context.engines = [
        EngineUtilization('e0', 6, 6, 2.5, True, slow / 1000, True),
        EngineUtilization('e1', 6, 3, 1.0, True, usual / 1000, False),
        EngineUtilization('e2', 6, 3, 1.0, True, usual / 1000, False),
    ]


@then(
    'an item with {many:d} events to go leaves it and one with {few:d} stays'
)
def check_leaving(context, many, few):
    """Check which of two items of the slow engine is moved."""
    items = [
        RunningItem('long', 'e0', 4, expected_events=4 + many),
        RunningItem('short', 'e0', 4, expected_events=4 + few),
    ]
    moved = select_items_to_move(context.engines, items)
    assert [item.item_id for item in moved] == ['long'], moved


@given('the load {load} on virtual time')
def run_load(context, load):
    """Run a load with each variant and three seeds; keep the mean latency."""
    load_modules()
    context.mean_s = {
        variant: fmean(measure(load, variant, n).mean_s for n in range(1, 4))
        for variant in VARIANTS
    }


@then('the mean latency with {variant} is at most that with {other}')
def check_mean(context, variant, other):
    """Compare the mean latencies of two variants."""
    assert context.mean_s[variant] <= context.mean_s[other], context.mean_s


@given('endpoints e0 and e1 of which e0 answered that it is full')
def describe_full(context):
    """Report answers of two endpoints, of which e0 is the faster one."""
    context.router = build('routing', 'real')
    context.view = EndpointView()
    context.view.update(members(2))
    for name, share, latency_s in (('e0', 1.0, 0.02), ('e1', 0.2, 0.06)):
        result = AttemptResult(
            name, OK, latency_s, slowness=1.0, load_share=share
        )
        context.router.finished(1.0, result, POOL, INTERACTIVE)


def choose_further(context, excluded):
    """Return the endpoint of a further attempt."""
    request = RouteRequest('r', 'c', INTERACTIVE, POOL, excluded=excluded)
    rng = random.Random(1)
    return context.router.choose(1.05, request, context.view, rng).endpoint


@then('{count:d} further attempts all go to e1')
def check_further(context, count):
    """Check the endpoints of attempts after one at another endpoint."""
    found = {choose_further(context, {'gone'}) for _ in range(count)}
    assert found == {'e1'}, found


@then('they go to e0 if it is the only other one')
def check_only(context):
    """Check that a further attempt is still made."""
    assert choose_further(context, {'e1'}) == 'e0'


@given(
    'endpoints {first} and {second} that have answered {count:d} calls in '
    '{ms:d} ms each'
)
def describe_equal(context, first, second, count, ms):
    """Report answers of two equal endpoints."""
    context.router = build('routing', 'real')
    context.view = EndpointView()
    context.view.update(members(2))
    for name in (first, second):
        answer_lightly(context, name, count, ms)


@when('{name} answers {count:d} calls in {ms:d} ms with a light load')
def answer_lightly(context, name, count, ms):
    """Report answers that name a light load and no slowness."""
    result = AttemptResult(name, OK, ms / 1000, slowness=1.0, load_share=0.2)
    for _ in range(count):
        context.router.finished(1.0, result, POOL, INTERACTIVE)
