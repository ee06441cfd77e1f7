"""Steps for the choice of successors and for daemons that start."""

import asyncio

from behave import given, then, when
from memory_site import job_spec

from anvilcove.decisions.succession import fallback_owner, takeover_rank
from anvilcove.jobs.records import JOBS_TABLE, PARTITIONS, partition_of
from anvilcove.standins.memory_store import RESPONSE_TIME_S

NAMES = ('a', 'b', 'c', 'd', 'e')


@given('daemons a, b, c, d and e, of which {name} was restarted as planned')
def describe_daemons(context, name):
    """Keep which daemon was restarted."""
    context.restarted = {name}


@then('{name} is the substitute owner and the first in the takeover order')
def check_first(context, name):
    """Check that every daemon ranks it first."""
    assert fallback_owner(NAMES, context.restarted) == name
    others = [other for other in NAMES if other != name]
    assert takeover_rank(name, '', others, context.restarted) == 0
    for other in others:
        rest = [n for n in NAMES if n != other]
        assert takeover_rank(other, '', rest, context.restarted) > 0


@then('without {name} the order is that of the hash')
def check_others(context, name):
    """Check that the others keep their order."""
    others = [other for other in NAMES if other != name]
    ranks = [
        takeover_rank(o, '', [n for n in others if n != o], context.restarted)
        for o in others
    ]
    plain = [
        takeover_rank(o, '', [n for n in others if n != o]) for o in others
    ]
    assert ranks == plain, (ranks, plain)


@when('daemon {name} stops as planned and starts again')
def restart_as_planned(context, name):
    """Stop a daemon as SIGTERM does, and start it again."""
    site = context.memory
    site.run(site.daemons[name].hand_over())
    restart(context, name)


@when('daemon {name} is killed and started again')
def restart_killed(context, name):
    """Kill a daemon and start it again."""
    restart(context, name)


def restart(context, name):
    """End the tasks of a daemon and start it again."""
    site = context.memory
    site.kill(name)
    site.pass_time(1.0)
    site.start(name, seed=77, nonce=f'{name}-again')
    site.pass_time(2.0)


def restarted_views(context, name):
    """Return what each other daemon sees of a daemon."""
    return [
        daemon.nodes.by_host[name].recently_restarted
        for other, daemon in context.memory.daemons.items()
        if other != name
    ]


@then('all daemons see that {name} was restarted as planned')
def check_seen(context, name):
    """Check the rows that the other daemons have read."""
    assert all(restarted_views(context, name))


@then('no daemon sees that {name} was restarted as planned')
def check_not_seen(context, name):
    """Check the rows that the other daemons have read."""
    assert not any(restarted_views(context, name))


@when('{seconds:g} s go by in the platform')
def pass_seconds(context, seconds):
    """Let virtual time pass."""
    context.memory.pass_time(seconds)


@then('the store has no row of daemon {gone}, but those of {one} and {two}')
def check_rows(context, gone, one, two):
    """Check the hosts that have a row."""
    rows = context.memory.store.rows
    hosts = {row.key for row in rows if row.table == 'nodes'}
    assert hosts == {one, two}, hosts


@given('a job in each partition that daemon {name} has accepted')
def accept_jobs(context, name):
    """Submit jobs until each partition holds one."""
    daemon = context.memory.daemons[name]
    context.job_by_partition = {}
    number = 0
    while len(context.job_by_partition) < len(PARTITIONS):
        job_id = f'job{number}'
        number += 1
        if partition_of(job_id) not in context.job_by_partition:
            context.job_by_partition[partition_of(job_id)] = job_id
            spec = job_spec(job_id)
            context.memory.run(daemon.intake.accept(spec, deadline_at_s=1e9))
    context.memory.pass_time(1.0)
    context.owner_by_job = {
        job: daemon.jobs_view.by_id[job].head.owner
        for job in context.job_by_partition.values()
    }


@when('one partition of the jobs is silent and daemon {name} starts')
def start_beside_silence(context, name):
    """Let reads of a partition hang, and start a daemon."""
    context.silent = PARTITIONS[1]
    silent = context.memory.store.faults.silent_partitions
    silent.add((JOBS_TABLE, context.silent))
    context.started = context.memory.start(name, seed=9)


@when('the partition answers again')
def end_silence(context):
    """Let the reads of the partition be answered."""
    context.memory.store.faults.silent_partitions.clear()


@then('daemon {name} knows the jobs of all other partitions')
def check_known(context, name):
    """Check which jobs the started daemon knows."""
    expected = {
        job
        for partition, job in context.job_by_partition.items()
        if partition != context.silent
    }
    assert expected <= set(context.started.jobs_view.by_id)


@then('daemon {name} knows all jobs')
def check_knows_all(context, name):
    """Check that the started daemon knows every job."""
    expected = set(context.job_by_partition.values())
    assert expected <= set(context.started.jobs_view.by_id)


@given('engines that make {count:d} events for each item')
def lengthen_items(context, count):
    """Let the generations of all engines take long."""
    for engine in context.memory.engines:
        engine.events = count


@then('every job has the owner that it had before')
def check_owners(context):
    """Check that no job was taken over."""
    daemons = context.memory.daemons
    for job in context.job_by_partition.values():
        owners = {d.jobs_view.by_id[job].head.owner for d in daemons.values()}
        assert owners == {context.owner_by_job[job]}, (job, owners)


@when('a row changes while the store answers a watch that saw no change')
def change_during_answer(context):
    """Write a row 1 ms before the answer is complete."""
    site = context.memory
    before = site.store.version

    async def play():
        watch = asyncio.create_task(site.store.changes('op', before, 0.0))
        await asyncio.sleep(RESPONSE_TIME_S * 1.75)
        site.put('op', 'extra', b'x')
        return await watch

    context.page = site.run(play())
    context.changed_version = site.store.version


@then('the answer has the row or an older version')
def check_no_gap(context):
    """Check that the next watch would return the row."""
    if not any(row.id.key == 'extra' for row in context.page.rows):
        assert context.page.version < context.changed_version, context.page


@then(
    'each daemon knows the others as alive all the time for the next '
    '{seconds:d} s'
)
def check_alive(context, seconds):
    """Check the directories every 20 ms."""
    site = context.memory
    for _ in range(seconds * 50):
        site.pass_time(0.02)
        for name, daemon in site.daemons.items():
            alive = {node.host for node in daemon.nodes.alive()}
            others = set(site.daemons) - {name}
            assert alive == others, (name, alive, site.loop.time())


@then('the store has kept the rows of all daemons')
def check_rows_kept(context):
    """Check that no row of a daemon was ever removed."""
    removed = [
        row.id.key
        for row in context.memory.store.history
        if row.id.table == 'nodes' and row.value is None
    ]
    assert not removed, removed
