"""Steps for the report on training steps."""

import json
import subprocess
import sys
from datetime import UTC, datetime
from pathlib import Path
from tempfile import mkdtemp

from behave import given, then, when

from anvilcove.reports.log_lines import read_records
from anvilcove.reports.step_rows import step_rows
from anvilcove.reports.steps import build_timelines

JOB = 'job1'
TOLERANCE_S = 0.02


def log(context, at_s, message, **fields):
    """Add a line as a host writes it, with a prefix of the collector."""
    time = datetime.fromtimestamp(1_000 + at_s, UTC).isoformat()
    record = {'time': time, 'message': message, 'host': 'h1', **fields}
    lines(context).append(f'{at_s:.4f} h1 {json.dumps(record)}')


def lines(context):
    """Return the lines written so far."""
    if 'log_lines' not in context:
        context.log_lines = []
    return context.log_lines


def item(context, name, finished_s, events, waited_s, runs):
    """Log a finished item; runs are (engine, start, end, first, last)."""
    first_s = min(start for _, start, _, _, _ in runs) - waited_s
    log(
        context,
        finished_s,
        'item finished',
        job=JOB,
        request=name,
        completed=True,
        group=name,
        endpoint=runs[-1][0],
        attempts=len(runs),
        events=events,
        hint=events,
        waited_ms=waited_s * 1000,
        generated_ms=(finished_s - first_s) * 1000,
        reward_ms=0,
        runs=[
            (
                engine,
                (finished_s - start_s) * 1000,
                (finished_s - end_s) * 1000,
                first,
                last,
            )
            for engine, start_s, end_s, first, last in runs
        ],
    )


@given('the logs of a step that was asked at {at:g} s with {count:d} groups')
def log_step(context, at, count):
    """Log the acceptance of a job."""
    log(
        context,
        at,
        'job accepted',
        job=JOB,
        step=0,
        model='m',
        min_version=1,
        target_groups=count,
        items=count,
        owner='h1',
    )


@given(
    'an item of {events:d} events that ran from {start:g} to {end:g} s and '
    'was committed at {committed:g} s'
)
def log_single_run(context, events, start, end, committed):
    """Log an item with one run."""
    item(context, 'i1', end, events, 0.0, [('e1', start, end, 1, events)])
    log(context, committed, 'results committed', job=JOB, items=['i1'])


@given(
    'an item of {events:d} events that waited {waited:g} s and ran until '
    '{end:g} s on 2 engines'
)
def log_two_runs(context, events, waited, end):
    """Log an item that was moved."""
    half = events // 2
    runs = [('e2', 10.6, 13.6, 1, half), ('e1', 13.6, end, half + 1, events)]
    item(context, 'i2', end, events, waited, runs)
    log(context, end, 'results committed', job=JOB, items=['i2'])


@given(
    'the step was ended at {ended:g} s and the next version named at '
    '{named:g} s'
)
def log_end(context, ended, named):
    """Log the end of the job and the next version."""
    log(context, ended, 'job end stored', job=JOB)
    log(context, named, 'version named', model='m', version=2)


@given('lines that are cut off or no records')
def log_garbage(context):
    """Add lines that hold no record."""
    lines(context).extend(
        [
            'h1 {"time":"2026-01-01T00:00:00+00:00","mess',
            'Traceback (most recent call last):',
            '{"time": 5, "message": "job accepted"}',
            '{}',
        ]
    )


def write_log(context):
    """Write the lines to a file and return its path."""
    path = Path(mkdtemp()) / 'h1.log'
    path.write_text('\n'.join(lines(context)))
    return path


@when('the steps are reported')
def report_steps(context):
    """Build the rows from the log file."""
    records = read_records([write_log(context)])
    context.rows = step_rows(build_timelines(records))


@when('anvilcove report steps reads them')
def run_report(context):
    """Run the program and keep its exit status."""
    command = [sys.executable, '-m', 'anvilcove', 'report', 'steps']
    context.status = subprocess.run(
        [*command, str(write_log(context))], check=False, capture_output=True
    ).returncode


@then('it exits with {status:d}')
def check_status(context, status):
    """Check the exit status."""
    assert context.status == status, context.status


@then('the last item had {runs:d} runs and waited {waited:g} s')
def check_decisive(context, runs, waited):
    """Check the item that decided the end."""
    decisive = context.rows[0].decisive
    assert (decisive.item_id, decisive.runs) == ('i2', runs), decisive
    assert abs(decisive.waited_s - waited) < TOLERANCE_S, decisive


@then(
    'the step took {made:g} s to generate, {read:g} s to read and {trained:g} '
    's to train'
)
def check_times(context, made, read, trained):
    """Check the division of the time."""
    row = context.rows[0]
    found = (row.generated_s, row.read_s, row.training_s)
    for value, expected in zip(found, (made, read, trained), strict=True):
        assert abs(value - expected) < TOLERANCE_S, found


@then('its lower bound is {seconds:g} s')
def check_bound(context, seconds):
    """Check the bound with hindsight."""
    assert abs(context.rows[0].bound_s - seconds) < TOLERANCE_S, context.rows


@then('the report has {count:d} step')
def check_count(context, count):
    """Check the number of rows."""
    assert len(context.rows) == count, context.rows
