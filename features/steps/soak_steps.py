"""Steps that play the soak."""

import json
import shutil
from pathlib import Path

from behave import given, then

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
