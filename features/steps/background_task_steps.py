"""Steps with background tasks that end, on virtual time."""

import asyncio
import json

from behave import given, then, when
from loguru import logger

from anvilcove.cli.status import format_node_status
from anvilcove.node.status import build_status
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.state.background_tasks import BackgroundTasks

NAME = 'watch'


async def raise_error():
    """End like a task that meets input that it cannot handle."""
    raise ValueError('odd row')


async def return_early():
    """End without an error."""


async def cancel_itself():
    """End as an inner task that is awaited was cancelled."""
    raise asyncio.CancelledError


async def exhaust_stack():
    """End as a value is nested too deeply."""
    raise RecursionError('x')


END_BY_NAME = {
    'raises an error': raise_error,
    'returns': return_early,
    'is cancelled from within': cancel_itself,
    'exhausts the stack': exhaust_stack,
}


@given('a background task that {ends} {count:d} times and then runs')
def start_task(context, ends, count):
    """Start a task that ends some times."""
    logger.remove()
    context.virtual = VirtualLoop()
    context.add_cleanup(end_tasks, context)
    context.starts, context.ended = 0, []
    context.tasks = BackgroundTasks(
        LoopClock(context.virtual), context.ended.append
    )

    async def work():
        context.starts += 1
        if context.starts <= count:
            await END_BY_NAME[ends]()
        else:
            await asyncio.Event().wait()

    async def start():
        context.tasks.keep(NAME, work)

    context.virtual.run_until_complete(start())


def end_tasks(context):
    """Cancel what runs and close the loop."""
    context.tasks.cancel()
    context.virtual.run_until_complete(context.tasks.join())
    context.virtual.close()


@when('{seconds:g} s go by for the task')
def pass_time(context, seconds):
    """Let virtual time pass."""
    context.virtual.run_until_complete(asyncio.sleep(seconds))


@when('the background tasks are cancelled')
def cancel(context):
    """Cancel as a daemon that stops does."""
    pass_time(context, 1.0)
    context.tasks.cancel()
    context.virtual.run_until_complete(context.tasks.join())


@then('it was started {count:d} times and runs')
def check_running(context, count):
    """Check the starts and the state."""
    assert context.starts == count, context.starts
    assert context.tasks.by_name[NAME].running
    assert not context.tasks.restarting()


@then('it was started {count:d} times and has ended')
def check_ended(context, count):
    """Check that a cancelled task is not started again."""
    pass_time(context, 60.0)
    assert context.starts == count, context.starts
    assert not asyncio.all_tasks(context.virtual)


@then('it was started at most {count:d} times')
def check_paced(context, count):
    """Check that the delay between two starts grows."""
    assert context.starts <= count, context.starts


@then('its {count:d} ends and their cause {cause} are in the status')
def check_status(context, count, cause):
    """Check what operators see."""
    shown = context.tasks.status()[NAME]
    assert shown == {'state': 'running', 'ends': count, 'cause': cause}, shown


@then('each end was counted')
def check_counted(context):
    """Check that the callback was called for each end."""
    assert context.ended == [NAME] * 3, context.ended


@when('the task {task} of daemon {name} ends with an error')
def end_task(context, task, name):
    """Run a failing task under the tasks of a daemon."""
    daemon = context.memory.daemons[name]

    async def start():
        daemon.tasks.keep(task, raise_error)
        await asyncio.sleep(0.05)

    context.memory.run(start())
    context.status = build_status(daemon, context.memory.loop.time())
    context.metrics = daemon.metrics.render().decode()
    daemon.tasks.cancel()


@then('the status of daemon {name} names the task {task} and its cause')
def check_daemon_status(context, name, task):
    """Check the report for operators."""
    shown = context.status['background_tasks']
    assert shown == {
        task: {
            'state': 'restarting',
            'ends': 1,
            'cause': "ValueError('odd row')",
        }
    }, shown


@then('the status of daemon {name} is valid JSON and prints as a table')
def check_status_json(context, name):
    """Encode the status as the daemon does, and print it."""
    site = context.memory
    status = build_status(site.daemons[name], site.loop.time())
    assert status['age_by_table']['endpoints'] is None, status['age_by_table']
    json.dumps(status, allow_nan=False)
    assert 'endpoints' in format_node_status(status)


@then('its metrics count 1 end of the task {task}')
def check_metrics(context, task):
    """Check the counter."""
    line = f'anvilcove_background_task_ends_total{{task="{task}"}} 1'
    assert line in context.metrics, context.metrics
