"""Steps for clocks with origins of their own, on virtual time."""

from batch_job_steps import read_all
from behave import given, then, use_step_matcher, when
from memory_site import job_spec

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
