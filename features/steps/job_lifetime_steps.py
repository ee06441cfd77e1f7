"""Steps for clocks with origins of their own, on virtual time."""

from batch_job_steps import read_all
from behave import given, then, use_step_matcher, when
from memory_site import job_spec
from msgspec import Struct, msgpack

from anvilcove.jobs.types import LEGACY_SUBMITTED_MS, JobHead

use_step_matcher('parse')


@given(
    'the clock of the store is {seconds:d} s ahead of the clocks of the '
    'daemons'
)
@when('the clock of the store jumps by {seconds:d} s')
def move_store_clock(context, seconds):
    """Give the store's clock another origin and let daemons read it."""
    context.memory.store.origin_ms += seconds * 1000
    context.memory.pass_time(0.2)


@when(
    'daemon {name} starts again and accepts job {job} before it has read the '
    'jobs'
)
def accept_at_start(context, name, job):
    """Restart a daemon and submit a job to it at once."""
    site = context.memory
    site.kill(name)
    daemon = site.start(name, seed=101)
    accepting = daemon.intake.accept(job_spec(job, 16), deadline_at_s=1e9)
    site.run(accepting)


@when(
    'all daemons lose power and start again with other clocks after '
    '{seconds:d} s'
)
def lose_power(context, seconds):
    """Kill all daemons at once; start them with other clock origins."""
    site = context.memory
    names = list(site.daemons)
    for name in names:
        site.kill(name)
    site.pass_time(seconds)
    for number, name in enumerate(names):
        site.start(name, seed=200 + number, origin_s=50_000.0 * number)


@given('items of jobs have a lifetime of {seconds:g} s')
def set_item_lifetime(context, seconds):
    """Write a desired state with another lifetime of items."""
    context.memory.write_operator(2, item_lifetime_s=seconds)
    context.memory.pass_time(1.0)


@when('the route of jobs is removed')
def remove_job_route(context):
    """Write a desired state without the route, as an old one lacks it."""
    context.memory.write_operator(3, with_jobs=False)
    context.memory.pass_time(1.0)


@when("the store does not answer for the operator's table")
def silence_operator_table(context):
    """Let reads of the operator's table wait."""
    context.memory.store.faults.silent_partitions.add(('op', ''))


@when("the store answers for the operator's table again")
def answer_operator_table(context):
    """Let reads of the operator's table return."""
    context.memory.store.faults.silent_partitions.clear()


@then('daemon {name} lists no result of job {job}')
def check_no_result(context, name, job):
    """Check that no item has a result yet."""
    _, results = read_all(context, name, job)
    assert not results, results


@then('daemon {name} lists {count:d} errored results of job {job}')
def check_all_errored(context, name, count, job):
    """Check that all items were given up."""
    _, results = read_all(context, name, job)
    completed = [result.completed for result in results]
    assert completed == [False] * count, completed


class FormerJobHead(Struct, array_like=True):
    """Row of a job as version 0.1.0 of November 2026 wrote it."""

    job_id: str
    owner: str
    nonce: str
    beat: int
    commit_id: str
    listed: int
    total: int
    submitted_ms: float
    host: str
    path: str
    model: str
    tokens: int


@when('a row of a job that an earlier version wrote is read')
def read_former_row(context):
    """Decode a row with the fields of the earlier version."""
    row = FormerJobHead(
        'j1', 'a', 'n', 1, 'c', 0, 8, 5e6, 'h', '/job/', 'm', 80
    )
    context.head = msgpack.decode(msgpack.encode(row), type=JobHead)


@then('the age of that job is {seconds:d} s')
def check_age(context, seconds):
    """Check the age in the row."""
    assert context.head.age_ms == seconds * 1000
    assert (context.head.total, context.head.tokens) == (8, 80)


@when('an earlier version reads a row of a job of this version')
def read_new_row(context):
    """Decode a row of this version with the earlier fields."""
    head = JobHead(
        job_id='j1',
        owner='a',
        nonce='n',
        beat=1,
        commit_id='c',
        listed=0,
        total=8,
        legacy_submitted_ms=LEGACY_SUBMITTED_MS,
        host='h',
        path='/job/',
        model='m',
        tokens=80,
        age_ms=5e6,
    )
    context.former = msgpack.decode(msgpack.encode(head), type=FormerJobHead)


@then('it finds a submission that lies in the future')
def check_future(context):
    """Check that the earlier version computes a negative age.

    The store's clock counts from its start, or from 1970 at most.
    """
    assert context.former.submitted_ms > 1000 * 86_400 * 365 * 1000
    assert (context.former.total, context.former.tokens) == (8, 80)
