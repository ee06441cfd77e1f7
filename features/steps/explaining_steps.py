"""Steps that read the causes of failures from logs."""

import asyncio
import os
import random
import sys
from pathlib import Path

from behave import given, then, when
from loguru import logger
from loopback_calls import post
from msgspec import json

from anvilcove.platform.names import RETRY_AFTER, WAIT_MS
from anvilcove.soak.callers import Callers
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    JOBS,
    SHOP,
    STREAMS,
    LoopbackSite,
)
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.logs import DECISION, LogWriter

READY_TIMEOUT_S = 30.0
READ_TIMEOUT_S = 20.0


@given('a site of {count:d} daemons that logs to files')
def start_site(context, count):
    """Start a site and wait until a request is answered."""
    context.finish = context.loop.run_until_complete

    async def start():
        site = LoopbackSite(context.folder, count, engines=2, servers=2)
        # `after_scenario` stops the site, also if it is never ready.
        context.site = site
        await site.start()
        end_s = context.loop.time() + READY_TIMEOUT_S
        while context.loop.time() < end_s:
            context.loopback = site
            status, _, _ = await post(context, SHOP, 'warm', b'')
            if status == 200:
                return site
            await asyncio.sleep(0.2)
        raise AssertionError('no request was answered')

    context.loopback = context.finish(start())


def explain(context, subject):
    """Return the output of `anvilcove explain` for a subject."""
    logs = [str(p) for p in Path(context.folder).glob('*.log')]
    command = [sys.executable, '-m', 'anvilcove', 'explain', subject]

    async def run():
        # Not subprocess.run: the stand-ins of the platform need the loop.
        process = await asyncio.create_subprocess_exec(
            *command, '--logs', *logs, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        assert process.returncode == 0, process.returncode
        return output.decode()

    return context.finish(run())


@when('every plain server refuses requests and a request is sent')
def refuse(context):
    """Send a request that every plain server refuses."""
    for server in context.loopback.servers:
        server.faults.refusing = True
    context.answer = context.finish(post(context, SHOP, 'refused-1', b'x'))
    for server in context.loopback.servers:
        server.faults.refusing = False


@then('its response is 503 with a Retry-After time')
def check_refused(context):
    """Check the status and the Retry-After header."""
    status, headers, _ = context.answer
    assert status == 503, context.answer
    assert float(headers[RETRY_AFTER]) > 0


@then('anvilcove explain names each server that refused and the status 503')
def check_explained_refusal(context):
    """Check the cause that is printed for the refused request."""
    text = explain(context, 'refused-1')
    for server in context.loopback.servers:
        assert f'endpoint={server.instance}/' in text, text
    for fact in ('outcome=overloaded', 'status=503', 'endpoints_age_ms='):
        assert fact in text, text


@when(
    'every engine breaks streams off after {count:d} events and one is '
    'requested'
)
def break_streams(context, count):
    """Request a stream that no engine can complete."""
    for engine in context.loopback.engines:
        engine.faults.break_after = count
    context.answer = context.finish(post(context, STREAMS, 'stream-1', b''))
    for engine in context.loopback.engines:
        engine.faults.break_after = None


@then('the connection of the stream ends before the stream is complete')
def check_stream_cut(context):
    """Check that the connection failed, so that the caller sees the loss.

    `post` returns status 0 for an error of the connection.
    """
    assert context.answer[0] == 0, context.answer


@then('anvilcove explain names the engine, the last event and the reason')
def check_explained_stream(context):
    """Check the cause that is printed for the broken stream."""
    text = explain(context, 'stream-1')
    assert 'stream broke off' in text, text
    assert 'endpoint=e' in text, text
    assert 'last=2' in text, text
    assert 'reason=' in text, text


@when('a job whose reward calls fail is submitted')
def submit_failing(context):
    """Submit a job whose reward calls fail."""
    site = context.loopback
    for server in site.servers:
        server.faults.failing = True
    callers = Callers(site, random.Random(1))
    context.job = callers.make_job(0)
    body = callers.submission(context.job)

    async def submit():
        status, _, _ = await post(context, JOBS, context.job.job_id, body)
        assert status == 202, status

    context.finish(submit())


@then('its items are errored')
def check_errored(context):
    """Read all results at the second daemon and check their state."""
    ip = context.loopback.daemons[1].ip
    url = f'http://{ip}:{CALLERS_PORT}/-/lots/{context.job.job_id}?after='

    async def read():
        results = []
        end_s = context.loop.time() + READ_TIMEOUT_S
        while context.loop.time() < end_s:
            async with context.session.get(
                url + str(len(results)), headers={'Host': HOST, WAIT_MS: '500'}
            ) as response:
                body = await response.read()
                if response.status == 503:
                    # The daemon cannot tell at the moment; callers retry.
                    continue
                page = json.decode(body)
            results += page['results']
            if page['next'] == page['total']:
                return results
        raise AssertionError('not all results of the job were listed')

    results = context.finish(read())
    assert all(result['state'] == 'errored' for result in results), results


@then('anvilcove explain names the reward call of an item and its failures')
def check_explained_item(context):
    """Check the causes that are printed for an item and its reward call."""
    item = context.job.item_ids[0]
    text = explain(context, item)
    assert 'its reward call failed each time' in text, text
    assert f'reward=r-{item}' in text, text
    assert 'status=500' in explain(context, f'r-{item}')


@given('a log writer whose reader has stopped reading')
def stopped_reader(context):
    """Log to a pipe that is not read."""
    reading, writing = os.pipe()
    context.add_cleanup(os.close, reading)
    context.add_cleanup(os.close, writing)
    context.add_cleanup(logger.remove)
    context.writer = LogWriter('h', SystemClock(), writing)
    context.writer.install()


@when('{count:d} lines are logged')
def log_lines(context, count):
    """Log many lines; a writer that blocks would not return."""
    for number in range(count):
        logger.bind(request=f'q{number}').warning('line')
    context.logged = True


@then('logging did not block')
def check_not_blocked(context):
    """Check that the calls for all lines have returned."""
    assert context.logged


@then('the dropped lines are counted')
def check_counted(context):
    """Check that the writer counted dropped lines."""
    assert context.writer.dropped_lines > 0


@given('a log writer that writes to a file')
def file_writer(context):
    """Log to a file in the folder of the scenario."""
    context.log = Path(context.folder) / 'budget.log'
    file = os.open(context.log, os.O_WRONLY | os.O_CREAT)
    context.add_cleanup(os.close, file)
    context.add_cleanup(logger.remove)
    context.writer = LogWriter('h', LoopClock(VirtualLoop()), file)
    context.writer.install()


@when('{count:d} lines are logged and a decision after every {step:d}')
def log_decisions(context, count, step):
    """Log many lines at the same virtual time."""
    for number in range(1, count + 1):
        logger.info('line')
        if number % step == 0:
            logger.log(DECISION, 'endpoint ejected')


@then(
    'the log holds all {count:d} decisions and fewer than {most:d} other lines'
)
def check_decisions(context, count, most):
    """Count the lines by their level."""
    levels = [
        json.decode(line)['level']
        for line in context.log.read_text().splitlines()
    ]
    assert levels.count(DECISION) == count, levels.count(DECISION)
    assert len(levels) - count < most, len(levels)
