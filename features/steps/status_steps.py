"""Steps that ask a daemon for its status and metrics."""

import asyncio
import random
import sys

from behave import then, when
from loopback_calls import post

from anvilcove.soak.callers import Callers
from anvilcove.soak.site import JOBS, MODEL, PEERS_PORT

DEADLINE_S = 20.0


def metrics_address(context):
    """Return where the first daemon tells of itself."""
    return f'{context.loopback.daemons[0].ip}:{PEERS_PORT + 1}'


def printed_status(context):
    """Return what the command prints."""
    command = [sys.executable, '-m', 'anvilcove', 'status', '--node']

    async def run():
        process = await asyncio.create_subprocess_exec(
            *command,
            '--address',
            metrics_address(context),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        assert process.returncode == 0, process.returncode
        return output.decode()

    return context.finish(run())


def rows_of(text):
    """Return the cells of the rows of all tables by their first cell."""
    rows = {}
    for line in text.splitlines()[2:]:
        if line:
            rows.setdefault(line.split()[0], line.split())
    return rows


def row_of(text, name):
    """Return the cells of the row that a name begins."""
    rows = rows_of(text)
    assert name in rows, f'{name} is not in {text}'
    return rows[name]


@when('a job is submitted and run to its end')
def submit(context):
    """Submit a job and wait until the daemon shows it as finished."""
    callers = Callers(context.loopback, random.Random(1))
    context.job = callers.make_job(0)
    body = callers.submission(context.job)

    async def send():
        status, _, _ = await post(context, JOBS, context.job.job_id, body)
        assert status == 202, status

    context.finish(send())


def told_all(context):
    """Tell whether both hosts have a desired state and the job has ended."""
    rows = rows_of(context.printed)
    for daemon in context.loopback.daemons:
        row = rows.get(daemon.name)
        if row is None or row[2] == 'silent' or row[4] == '0':
            return False
    return 'finished' in context.printed


@when('the status of the first daemon is printed')
def print_status(context):
    """Print until the job has ended and both hosts have told their state."""

    async def pause():
        await asyncio.sleep(0.3)

    end_s = context.loop.time() + DEADLINE_S
    while context.loop.time() < end_s:
        context.printed = printed_status(context)
        if told_all(context):
            return
        context.finish(pause())
    raise AssertionError(context.printed)


@then('it names both hosts with the desired state in force')
def hosts(context):
    """Read the table of hosts."""
    version = str(context.loopback.config_version)
    assert (
        f'desired state {version}, newest known {version}' in context.printed
    )
    states = set()
    for daemon in context.loopback.daemons:
        row = row_of(context.printed, daemon.name)
        states.add(row[2])
        assert row[4] == version, row
    assert states == {'self', 'alive'}, states


@then('it names every endpoint, the version wanted and held, and the job')
def endpoints(context):
    """Read the other tables."""
    for server in [*context.loopback.engines, *context.loopback.servers]:
        row_of(context.printed, f'{server.instance}/1')
    row = row_of(context.printed, MODEL)
    count = len(context.loopback.engines)
    assert row[1:] == ['1', f'1:{count}'], row
    assert 'finished' in row_of(context.printed, context.job.job_id)


@when('the metrics of the first daemon are read')
def read_metrics(context):
    """Keep the text."""

    async def read():
        address = metrics_address(context)
        async with context.session.get(f'http://{address}/metrics') as answer:
            return await answer.text()

    context.printed = context.finish(read())


@then(
    'they hold the share of requests on time and the age of the desired state'
)
def metrics(context):
    """Look for the names and labels."""
    for name in (
        'anvilcove_on_time_share{route="shop"}',
        'anvilcove_watch_age_seconds{table="operator"}',
        'anvilcove_jobs{state="finished"} 1',
        'anvilcove_orders_fence',
    ):
        assert name in context.printed, context.printed
