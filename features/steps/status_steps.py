"""Steps that read the status and the metrics of a daemon."""

import asyncio
import random
import sys

from behave import then, when
from loopback_calls import post

from anvilcove.soak.callers import Callers
from anvilcove.soak.site import JOBS, MODEL, PEERS_PORT

DEADLINE_S = 20.0


def metrics_address(context):
    """Return the address of the status and metrics of the first daemon."""
    return f'{context.loopback.daemons[0].ip}:{PEERS_PORT + 1}'


def printed_status(context):
    """Return the output of `anvilcove status` for the first daemon."""
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
    """Return the cells of each table row by the first cell."""
    rows = {}
    for line in text.splitlines()[2:]:
        if line:
            rows.setdefault(line.split()[0], line.split())
    return rows


def row_of(text, name):
    """Return the cells of the row whose first cell is the name."""
    rows = rows_of(text)
    assert name in rows, f'{name} is not in {text}'
    return rows[name]


@when('a job is submitted and run to its end')
def submit(context):
    """Submit a job; `print_status` waits for its end."""
    callers = Callers(context.loopback, random.Random(1))
    context.job = callers.make_job(0)
    body = callers.submission(context.job)

    async def send():
        status, _, _ = await post(context, JOBS, context.job.job_id, body)
        assert status == 202, status

    context.finish(send())


def all_reported(context):
    """Return whether all hosts report a desired state and the job ended."""
    rows = rows_of(context.printed)
    for daemon in context.loopback.daemons:
        row = rows.get(daemon.name)
        if row is None or row[2] == 'silent' or row[4] == '0':
            return False
    return 'finished' in context.printed


@when('the status of the first daemon is printed')
def print_status(context):
    """Print the status until all hosts have reported and the job ended."""

    async def pause():
        await asyncio.sleep(0.3)

    end_s = context.loop.time() + DEADLINE_S
    while context.loop.time() < end_s:
        context.printed = printed_status(context)
        if all_reported(context):
            return
        context.finish(pause())
    raise AssertionError(context.printed)


@then('it lists both hosts with the desired state that they apply')
def check_hosts(context):
    """Check the rows of the table of hosts."""
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


@then('it lists every endpoint, the version wanted and held, and the job')
def check_endpoints(context):
    """Check the rows of the tables of endpoints, versions and jobs."""
    for server in [*context.loopback.engines, *context.loopback.servers]:
        row_of(context.printed, f'{server.instance}/1')
    row = row_of(context.printed, MODEL)
    count = len(context.loopback.engines)
    assert row[1:] == ['1', f'1:{count}'], row
    assert 'finished' in row_of(context.printed, context.job.job_id)


@when('the metrics of the first daemon are read')
def read_metrics(context):
    """Read the metrics page and keep its text."""

    async def read():
        address = metrics_address(context)
        async with context.session.get(f'http://{address}/metrics') as answer:
            return await answer.text()

    context.printed = context.finish(read())


@then('they show the share of requests on time and the desired state age')
def check_metrics(context):
    """Check that the names and labels are on the page."""
    for name in (
        'anvilcove_on_time_share{route="shop"}',
        'anvilcove_watch_age_seconds{table="operator"}',
        'anvilcove_jobs{state="finished"} 1',
        'anvilcove_orders_fence',
    ):
        assert name in context.printed, context.printed
