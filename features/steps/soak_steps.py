"""Steps that play the soak."""

import asyncio
import json
import shutil
from pathlib import Path

from behave import given, then, when

from anvilcove.soak.run import SoakSettings, soak


@given('a soak of seed {seed:d} with {faults:d} faults in {seconds:g} s')
def play(context, seed, faults, seconds):
    """Play a seed on the scenario's loop."""
    settings = SoakSettings(
        seed=seed,
        seconds=seconds,
        faults=faults,
        daemons=3,
        keep_logs=True,
    )
    context.outcome = context.loop.run_until_complete(soak(settings))
    context.add_cleanup(
        shutil.rmtree, context.outcome.logs, ignore_errors=True
    )


@then('no promise was broken')
def kept(context):
    """Print what was broken."""
    assert not context.outcome.broken, context.outcome.broken


@then('every kind of request was answered')
def answered(context):
    """Check that there was something to break."""
    assert context.outcome.answered > 20, context.outcome
    assert context.outcome.results > 20, context.outcome


@then('every log line of the daemons is one JSON object')
def json_lines(context):
    """Read the logs that the daemons wrote."""
    paths = list(Path(context.outcome.logs).glob('*.log'))
    assert paths
    for path in paths:
        lines = path.read_text().splitlines()
        assert lines
        for line in lines:
            assert json.loads(line)['host'] == path.stem


@when('two faults kill and start the same daemon at once')
def start_twice(context):
    """Let both faults act on one daemon."""
    daemon = context.loopback.daemons[0]

    async def fault():
        await daemon.kill()
        await asyncio.sleep(0.05)
        await daemon.start()

    async def both():
        await asyncio.gather(fault(), fault())

    context.finish(both())


def living(daemon):
    """Return the processes of a daemon that have not ended."""
    return [p for p in daemon.processes if p.returncode is None]


@then('one process of it lives')
def one_lives(context):
    """Count the processes that were started."""
    assert len(living(context.loopback.daemons[0])) == 1


@then('stopping the site leaves none')
def none_left(context):
    """Stop the site before the scenario ends."""
    context.finish(context.loopback.stop())
    context.site = None
    for daemon in context.loopback.daemons:
        assert not living(daemon)
