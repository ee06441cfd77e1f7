"""Steps for batch jobs and version orders, on virtual time."""

import asyncio
import errno
import os

from behave import given, then, use_step_matcher, when
from memory_site import MODEL, MemorySite, job_spec
from msgspec.structs import replace

from anvilcove.jobs.reader import JobNotFound, ReadUnavailable
from anvilcove.jobs.records import (
    JOBS_TABLE,
    RESULTS_TABLE,
    CommitConflict,
    JobRecords,
)
from anvilcove.jobs.types import Commit, ItemResult, JobHead

use_step_matcher('parse')


@given('a platform with {count:d} engines and daemons a, b and c')
def start_small_platform(context, count):
    """Start a site of three daemons."""
    start_platform(context, count, 'abc')


@given(
    'a platform with {count:d} engines and daemons a, b, c, d, e, f, g and h'
)
def start_large_platform(context, count):
    """Start a site of eight daemons."""
    start_platform(context, count, 'abcdefgh')


def start_platform(context, count, names):
    """Start a site and pass 1 s in which its daemons read the store."""
    context.memory = MemorySite(engines=count)
    context.add_cleanup(context.memory.close)
    context.results_by_job = {}
    context.most_loading = 0
    for seed, name in enumerate(names):
        context.memory.start(name, seed=seed + 1)
    context.memory.pass_time(1.0)


@when('daemon {name} accepts job {job} with {count:d} items')
def accept(context, name, job, count):
    """Submit a job."""
    daemon = context.memory.daemons[name]
    spec = job_spec(job, count)
    context.memory.run(daemon.intake.accept(spec, deadline_at_s=1e9))


@when(
    'daemon {name} accepts job {job} with {count:d} items for version '
    '{version:d} or newer'
)
def accept_version(context, name, job, count, version):
    """Submit a job that needs new weights."""
    daemon = context.memory.daemons[name]
    spec = job_spec(job, count, min_version=version)
    context.memory.run(daemon.intake.accept(spec, deadline_at_s=1e9))


@when('{seconds:g} s go by')
def pass_time(context, seconds):
    """Let time pass."""
    context.memory.pass_time(seconds)


@when('{seconds:g} s go by while engines announce their versions')
def pass_announcing(context, seconds):
    """Let time pass while engines announce the versions that they hold.

    Keeps the largest number of engines that loaded at the same time.
    """
    site = context.memory
    for _ in range(round(seconds / 0.1)):
        site.pass_time(0.1)
        site.announce_versions()
        loading = sum(engine.loading for engine in site.engines)
        context.most_loading = max(context.most_loading, loading)


@when('daemon {name} is killed')
def kill(context, name):
    """End a daemon without handing anything over."""
    context.memory.kill(name)
    context.memory.daemons.pop(name)


@when('daemon {name} is asked to stop')
def stop(context, name):
    """Stop a daemon as planned."""
    site = context.memory
    site.run(site.daemons[name].hand_over())


@when(
    'the owner of job {job} is asked to stop and the store is unavailable '
    'for {seconds:d} s'
)
def stop_in_outage(context, job, seconds):
    """Stop a daemon as an outage begins, and let the outage end."""
    site = context.memory
    owner = next(d for d in site.daemons.values() if job in d.owner.runs)
    site.store.faults.away = True
    stopping = site.loop.create_task(owner.hand_over())
    site.pass_time(seconds)
    assert not stopping.done()
    site.store.faults.away = False
    site.pass_time(0.7)


@then('daemon {name} lists at least {count:d} results of job {job}')
def check_listed(context, name, count, job):
    """Check the number of results that a daemon lists."""
    _, results = read_all(context, name, job)
    assert len(results) >= count, f'{len(results)} results'


def read_all(context, name, job):
    """Return all results of a job that a daemon lists."""
    site = context.memory
    reader = site.daemons[name].reader
    results = []
    while True:
        page = site.run(reader.page(job, len(results), 0.0))
        results += page.results
        if not page.results:
            return page.total, results


@then('daemon {name} lists some results of job {job}')
def read_some_results(context, name, job):
    """Read the results so far and keep them for a later comparison."""
    _, results = read_all(context, name, job)
    assert results
    context.results_by_job[job] = results


@then('the results that were read are still at the same positions')
def check_positions(context):
    """Check that the lists begin with the results that were read."""
    for job, results in context.results_by_job.items():
        for name in context.memory.daemons:
            _, now = read_all(context, name, job)
            assert now[: len(results)] == results


@then(
    'every daemon lists {count:d} completed results of job {job} in the '
    'same order'
)
def check_complete_job(context, count, job):
    """Check that all daemons list the same complete results and outputs."""
    lists = []
    for name in context.memory.daemons:
        total, results = read_all(context, name, job)
        assert total == count, total
        lists.append(results)
    first = lists[0]
    assert all(results == first for results in lists)
    assert len(first) == count, (len(first), count)
    items = {result.item_id for result in first}
    assert len(items) == count
    events = context.memory.engines[0].events
    for result in first:
        assert result.completed, result
        expected = [f'{result.item_id}:{n}' for n in range(1, events + 1)]
        assert result.output.split('\n') == expected, result.output
        assert result.score.startswith('stamp-'), result
    rows = [
        row
        for row in context.memory.store.rows
        if row.table == RESULTS_TABLE and row.key.startswith(f'{job}/')
    ]
    assert rows


@then('no item of job {job} ran twice')
def ran_once(context, job):
    """Check that both submissions made one run."""
    runs = [run for e in context.memory.engines for run in e.runs]
    items = [item for item, _ in runs if item.startswith(f'{job}-')]
    assert len(items) == len(set(items))


@given(
    'commits of results get no response for {seconds:d} s and are applied '
    'after {delay:d} s'
)
def lose_commits(context, seconds, delay):
    """Lose the responses to commits of results for a while."""
    site = context.memory
    end_s = site.loop.time() + seconds
    site.store.faults.delay_s = float(delay)
    site.store.faults.lose = lambda change: (
        site.loop.time() < end_s
        and any(write.id.table == RESULTS_TABLE for write in change.writes)
    )


@given('the store is unavailable')
def store_away(context):
    """Make the store unavailable until the end of the scenario."""
    context.memory.store.faults.away = True


@when('the store is unavailable for {seconds:d} s')
def store_away_for(context, seconds):
    """Make the store unavailable for a while."""
    context.memory.store.faults.away = True
    context.memory.pass_time(seconds)
    context.memory.store.faults.away = False


@when('daemon {name} is asked for job {job}')
def read_job(context, name, job):
    """Read a job and keep whether a page or which error was returned."""
    site = context.memory
    try:
        site.run(site.daemons[name].reader.page(job, 0, 0.0))
        context.answer = 'page'
    except (JobNotFound, ReadUnavailable) as error:
        context.answer = type(error).__name__


@then('daemon {name} answers that it cannot tell whether job {job} exists')
def check_not_sure(context, name, job):
    """Check that the daemon did not answer that the job is unknown."""
    assert context.answer == 'ReadUnavailable', context.answer


@given(
    'the generation of item {number:d} of job {job} breaks off after '
    '{events:d} events'
)
def break_off(context, number, job, events):
    """Break a generation off once, at whichever engine runs it."""
    broken = set()
    for engine in context.memory.engines:
        engine.break_after[f'{job}-{number}'] = events
        engine.broken = broken


@then('item {number:d} of job {job} was resumed after event {event:d}')
def check_resumed(context, number, job, event):
    """Check that the engine was asked for the rest."""
    runs = [run for e in context.memory.engines for run in e.runs]
    assert (f'{job}-{number}', event) in runs, runs


@given('engine {number:d} does not respond')
def stop_responding(context, number):
    """Let an engine answer nothing."""
    context.memory.engines[number].unreachable = True


@given('engine {number:d} fails every item')
def fail_every_item(context, number):
    """Let an engine answer each item with a failure."""
    context.memory.engines[number].fails_all_items = True


@then('engine {number:d} was sent no item twice and none of job {job}')
def check_avoided(context, number, job):
    """Check that no item returned to the engine and no later job used it."""
    sent = [item for item, _ in context.memory.engines[number].runs]
    assert len(sent) == len(set(sent)), sent
    assert not [item for item in sent if item.startswith(job)], sent


@given('item {number:d} of job {job} is rejected by every engine')
def reject_item(context, number, job):
    """Let every engine reject an item as one that can never succeed."""
    for engine in context.memory.engines:
        engine.rejected.add(f'{job}-{number}')


@given('item {number:d} of job {job} fails {count:d} times')
def fail_item(context, number, job, count):
    """Let the first runs of an item fail, at whichever engine they are."""
    shared = context.memory.engines[0].failing
    shared[f'{job}-{number}'] = count
    for engine in context.memory.engines:
        engine.failing = shared


@then(
    'items {one:d} and {two:d} of job {job} are errored and the others '
    'completed'
)
def check_errored(context, one, two, job):
    """Check which items have no output."""
    _, results = read_all(context, 'a', job)
    found = {r.item_id for r in results if not r.completed}
    assert found == {f'{job}-{one}', f'{job}-{two}'}, found
    assert len(results) == 16, len(results)


@given('the reward call of item {number:d} of job {job} fails {count:d} times')
def fail_reward(context, number, job, count):
    """Let the first runs of a reward call fail."""
    context.memory.servers.failing[f'{job}-r{number}'] = count


def connection_errors(name, count):
    """Return errors of the operating system by the name of their number."""
    number = getattr(errno, name)
    return [OSError(number, os.strerror(number)) for _ in range(count)]


@given(
    'the connection of item {number:d} of job {job} ends {count:d} times with '
    '{error} after {events:d} events'
)
def end_item_connection(context, number, job, count, error, events):
    """Let the first runs of an item end with an error of the system."""
    errors = connection_errors(error, count)
    for engine in context.memory.engines:
        engine.connection_errors[f'{job}-{number}'] = (errors, events)


@given(
    'the connection of the reward call of item {number:d} of job {job} ends '
    '{count:d} times with {error}'
)
def end_reward_connection(context, number, job, count, error):
    """Let the first sends of a reward call end with an error."""
    context.memory.servers.connection_errors[f'{job}-r{number}'] = (
        connection_errors(error, count)
    )


@when('daemon {name} ends job {job}')
def end_job(context, name, job):
    """End a job as its trainer does."""
    site = context.memory
    site.run(site.daemons[name].reader.end(job))


@when('the rows of jobs cannot be removed for {seconds:d} s')
def keep_job_rows(context, seconds):
    """Lose each removal of a row of the jobs table, and let time pass."""
    faults = context.memory.store.faults
    faults.apply_lost = False
    faults.lose = lambda change: any(
        row_id.table == JOBS_TABLE for row_id in change.removals
    )
    context.memory.pass_time(seconds)
    faults.lose = lambda change: False


def stored_names(context, job):
    """Return the rows and objects that belong to a job."""
    store = context.memory.store
    rows = [f'{i.table}/{i.key}' for i in store.rows if i.key.startswith(job)]
    return rows + [name for name in store.objects if f'-{job}' in name]


@then('no row or object of job {job} is in the store')
def check_removed(context, job):
    """Check that rows and objects are gone."""
    assert not stored_names(context, job), stored_names(context, job)


@then('only the job row and the end row of job {job} are in the store')
def check_job_row(context, job):
    """Check that the rows from which the removal continues are left."""
    expected = {f'jobs/{job}', f'jobs/{job}.end'}
    assert set(stored_names(context, job)) == expected


@then('no engine is running a generation')
def check_idle(context):
    """Check that all generations were stopped."""
    running = [engine.running for engine in context.memory.engines]
    assert not any(running), running


@when('version {version:d} is named')
def name_version(context, version):
    """Name a version that the engines have to load, as a trainer does."""
    context.memory.name_version(version)


@then('every result of job {job} was made by version {version:d}')
def check_versions(context, job, version):
    """Check the versions of the results."""
    _, results = read_all(context, 'b', job)
    assert len(results) == 32, len(results)
    assert all(result.versions == [version] for result in results)


@then('every engine holds version {version:d} after {count:d} order each')
def check_holds(context, version, count):
    """Check versions and accepted orders."""
    for engine in context.memory.engines:
        assert engine.version == version, engine.version
        assert engine.order_count == count, engine.order_count


@then('at most {count:d} engines were loading at once')
def check_loading(context, count):
    """Check the largest number of loading engines that was seen."""
    assert 0 < context.most_loading <= count, context.most_loading


def orders_holder(context):
    """Return the name of the daemon that holds the orders lease."""
    daemons = context.memory.daemons
    names = [n for n, d in daemons.items() if d.lease.fence() is not None]
    assert len(names) == 1, names
    return names[0]


@when('the holder of the orders lease is killed')
def kill_holder(context):
    """Kill the daemon that holds the orders lease."""
    name = orders_holder(context)
    context.memory.kill(name)
    context.memory.daemons.pop(name)


@then(
    'new holders order an engine at least {seconds:d} s after the former '
    'ones, with higher fencing tokens'
)
def check_orders(context, seconds):
    """Check the times and fencing tokens of the orders to each engine."""
    holders = set()
    for engine in context.memory.engines:
        orders = [(s, order.holder, order.fence) for s, order in engine.orders]
        holders |= {holder for _, holder, _ in orders}
        for before, after in zip(orders, orders[1:], strict=False):
            assert after[2] >= before[2], (before, after)
            if before[1] != after[1]:
                assert after[0] - before[0] >= seconds, (before, after)
                assert after[2] > before[2], (before, after)
    assert len(holders) == 2, holders


@then('an engine was ordered by both holders and another within {seconds:d} s')
def check_handover(context, seconds):
    """Check that only the engines of the former holder had to wait."""
    engines = context.memory.engines
    first_holder = min(e.orders[0] for e in engines if e.orders)[1].holder
    last_s = max(
        at_s
        for e in engines
        for at_s, order in e.orders
        if order.holder == first_holder
    )
    new = [
        (at_s, e)
        for e in engines
        for at_s, order in e.orders
        if order.holder != first_holder
    ]
    assert min(at_s for at_s, _ in new) - last_s <= seconds, new
    assert any(e.orders[0][1].holder == first_holder for _, e in new), new


@when('the holder of the orders lease is suspended for {seconds:d} s')
def suspend(context, seconds):
    """Advance the clock that continues during a suspension."""
    context.suspended = orders_holder(context)
    context.memory.clocks[context.suspended].ahead_s += seconds


@then('it may not give orders')
def check_no_fence(context):
    """Check the lease before the daemon has read the store again."""
    daemon = context.memory.daemons[context.suspended]
    assert daemon.lease.fence() is None


@given(
    'engine {number:d} does not answer orders and carries them out after '
    '{delay:d} s'
)
def delay_orders(context, number, delay):
    """Delay the orders to an engine."""
    context.memory.engines[number].order_delay_s = float(delay)


@when('engine {number:d} answers orders again')
def answer_orders(context, number):
    """Let an engine answer at once again."""
    context.memory.engines[number].order_delay_s = 0.0


@then('every engine holds version {version:d} in the end')
def check_final_version(context, version):
    """Check the final versions.

    Engines refuse an outdated order because of its order count.
    """
    for engine in context.memory.engines:
        assert engine.version == version, (engine.address, engine.version)


@when('the responses to all lease renewals are lost for {seconds:d} s')
def lose_renewals(context, seconds):
    """Lose the responses to lease writes for a while.

    Keeps the last time at which the holder could give orders.
    """
    site = context.memory
    start_s = site.loop.time()
    end_s = start_s + seconds
    site.store.faults.lose = lambda change: (
        site.loop.time() < end_s
        and any(write.id.table == 'leases' for write in change.writes)
    )
    name = orders_holder(context)
    context.last_fence_s = 0.0
    while site.loop.time() < end_s:
        site.run(asyncio.sleep(0.05))
        if site.daemons[name].lease.fence() is not None:
            context.last_fence_s = site.loop.time() - start_s


@when('the store is away for {seconds:g} s')
def pass_outage(context, seconds):
    """Let every call of the store fail for a while."""
    context.memory.store.faults.away = True
    context.memory.pass_time(seconds)
    context.memory.store.faults.away = False


@then(
    'one daemon holds the orders lease all the time for the next {seconds:d} s'
)
def check_held(context, seconds):
    """Check the lease every 50 ms."""
    name = orders_holder(context)
    for _ in range(seconds * 20):
        context.memory.pass_time(0.05)
        assert orders_holder(context) == name


@then('orders could be given for at most {seconds:d} s after the last renewal')
def check_last_fence(context, seconds):
    """Check that the holder stops when its last renewal expires."""
    assert context.last_fence_s <= seconds, context.last_fence_s


def default_owner(context):
    """Return the name of the default owner of new jobs.

    Checks that the daemons agree on it and that it holds the orders lease.
    """
    daemons = context.memory.daemons
    nodes = [daemon.nodes.default_owner() for daemon in daemons.values()]
    hosts = {node.host for node in nodes if node is not None}
    assert hosts == {orders_holder(context)}, hosts
    return hosts.pop()


@then('one daemon owns the jobs {one}, {two} and {three}')
def check_owner(context, one, two, three):
    """Check that the default owner owns the jobs."""
    by_id = context.memory.daemons['a'].jobs_view.by_id
    owners = {by_id[job].head.owner for job in (one, two, three)}
    assert owners == {default_owner(context)}, owners


@then('one running daemon owns the jobs {one}, {two} and {three}')
def check_running_owner(context, one, two, three):
    """Check the owner of the jobs as a running daemon sees it."""
    daemons = context.memory.daemons
    by_id = next(iter(daemons.values())).jobs_view.by_id
    owners = {by_id[job].head.owner for job in (one, two, three)}
    assert len(owners) == 1 and owners <= set(daemons), owners


@when(
    '{count:d} running daemons accept the jobs {one}, {two} and {three} with '
    '{items:d} items'
)
def accept_at_each(context, count, one, two, three, items):
    """Submit each job to a different daemon."""
    names = sorted(context.memory.daemons)[:count]
    for name, job in zip(names, (one, two, three), strict=True):
        accept(context, name, job, items)


@when('the default owner of the jobs is killed')
def kill_default_owner(context):
    """Kill the default owner of new jobs."""
    name = default_owner(context)
    context.memory.kill(name)
    context.memory.daemons.pop(name)


@when('another daemon accepts job {job} with {count:d} items')
def accept_elsewhere(context, job, count):
    """Submit a job to a daemon that still counts the dead one as alive."""
    name = min(context.memory.daemons)
    accept(context, name, job, count)


@given('every generation has {count:d} events')
def set_event_count(context, count):
    """Set the length of all generations."""
    for engine in context.memory.engines:
        engine.events = count


@when('engine {number:d} needs {factor:d} times its usual time per event')
def set_engine_pace(context, number, factor):
    """Set the time per event of an engine."""
    context.memory.engines[number].slowdown = float(factor)


@then('engine {number:d} has run items of job {job}')
def check_has_run(context, number, job):
    """Check that the engine ran at least one item of the job."""
    runs = [item for item, _ in context.memory.engines[number].runs]
    assert any(item.startswith(job) for item in runs), runs


@then('no engine refused an item')
def check_no_refusal(context):
    """Check that no item was sent to an engine that was loading or full."""
    refused = [engine.refused for engine in context.memory.engines]
    assert not any(refused), refused


@when('the store answers {factor:d} times slower')
def slow_store(context, factor):
    """Slow down every call of the store."""
    context.memory.store.faults.slow = float(factor)


@then('every running daemon lists the complete job {job} with {count:d} items')
def check_at_running(context, job, count):
    """Check a job at the daemons that are left after one was killed."""
    check_complete_job(context, count, job)


@then('every item of job {job} was resumed after {events:d} events or more')
def check_resumed_late(context, job, events):
    """Check the latest event after which a run of each item started."""
    runs = [run for e in context.memory.engines for run in e.runs]
    by_item = {}
    for item, after in runs:
        by_item.setdefault(item, []).append(after)
    assert len(by_item) == 16, len(by_item)
    for item, starts in by_item.items():
        assert max(starts) >= events, (item, starts)


@when('{count:d} callers read job {job} at daemon {name} at the same time')
def read_together(context, count, job, name):
    """Read the results after the known ones several times at once."""
    site = context.memory
    reader = site.daemons[name].reader
    position = len(context.results_by_job[job])

    async def read():
        await asyncio.gather(
            *(reader.page(job, position, 0.0) for _ in range(count))
        )

    site.run(read())


@given('job {job} of which two daemons consider themselves the owner')
def two_owners(context, job):
    """Create a job in the store; both owners hold its first version."""
    context.records = JobRecords(context.memory.store)
    spec = job_spec(job)
    head = JobHead(
        job, 'x', 'n', 0, 'c0', 0, len(spec.items), 0.0, '', '', MODEL, 0
    )
    context.versioned_job = context.memory.run(
        context.records.create(spec, head)
    )


@when('each of them commits a different result at position {position:d}')
def commit_twice(context, position):
    """Commit twice on the same version of the job."""
    context.conflicts = 0
    for number in range(2):
        head = replace(
            context.versioned_job.head, listed=1, commit_id=f'c{number + 1}'
        )
        result = ItemResult(f'item-{number}', True, output=str(number))
        commit = Commit(head, [result])
        try:
            context.memory.run(
                context.records.commit(context.versioned_job, commit)
            )
        except CommitConflict:
            context.conflicts += 1


@then('the first result is kept and the second commit is a conflict')
def check_first_commit(context):
    """Check the results in the store and the number of conflicts."""
    job = context.versioned_job.head.job_id
    results = context.memory.run(context.records.results(job, 0))
    assert [result.item_id for result in results] == ['item-0'], results
    assert context.conflicts == 1, context.conflicts


@when('the holder of the orders lease is asked to stop')
def stop_holder(context):
    """Stop the holder of the orders lease as planned."""
    site = context.memory
    context.stopped = orders_holder(context)
    site.run(site.daemons[context.stopped].hand_over())


@then('another daemon holds the orders lease')
def check_new_holder(context):
    """Check that the stopped daemon does not hold the lease."""
    assert orders_holder(context) != context.stopped


@given('item {number:d} of job {job} fails at each run')
def fail_item_always(context, number, job):
    """Let each run of an item fail at every engine."""
    fail_item(context, number, job, 10_000)


@when(
    'the owner of job {job} is killed {count:d} times, {seconds:g} s after it '
    'started it'
)
def kill_owners(context, job, count, seconds):
    """Kill each owner shortly after it started the job; start it again."""
    site = context.memory
    for number in range(count):
        owner = next_owner(site, job)
        site.pass_time(seconds)
        site.kill(owner)
        site.start(owner, seed=300 + number)


def next_owner(site, job):
    """Return the daemon that runs a job, as soon as one does."""
    for _ in range(2_000):
        for name, daemon in site.daemons.items():
            if job in daemon.owner.runs:
                return name
        site.pass_time(0.01)
    raise AssertionError(f'no daemon runs {job}')


@then('item {number:d} of job {job} reached servers at most {limit:d} times')
def check_item_runs(context, number, job, limit):
    """Check how often an item was sent to engines."""
    runs = [run for e in context.memory.engines for run in e.runs]
    sent = [item for item, _ in runs if item == f'{job}-{number}']
    assert len(sent) <= limit, len(sent)


@then('daemon {name} lists {count:d} results of job {job}')
def check_result_count(context, name, count, job):
    """Check that all items have a result."""
    _, results = read_all(context, name, job)
    assert len(results) == count, len(results)
