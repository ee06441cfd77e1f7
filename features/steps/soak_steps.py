"""Steps that run the soak test and its daemons."""

import asyncio
import json
import shutil
from importlib import import_module
from pathlib import Path

from behave import given, then, when

from anvilcove.soak.faults import RECLAIMED, SOLD_OUT, UPGRADE, plan_faults
from anvilcove.soak.run import FAULT_MODULES, soak
from anvilcove.soak.settings import SoakSettings

# Seed whose two faults are of both kinds, engines sold out at 0.8 s.
SEED_OF_BOTH = 8


@given('a soak test with seed {seed:d} and {faults:d} faults in {seconds:g} s')
def run_soak(context, seed, faults, seconds):
    """Run the soak test with all kinds of faults."""
    run(context, SoakSettings(seed, seconds, faults))


@given(
    'a soak test with {spare:d} spare engines, seed {seed:d} and {faults:d}'
    ' faults in {seconds:g} s'
)
def run_soak_with_spares(context, spare, seed, faults, seconds):
    """Run the soak test with engines that have to be ordered."""
    run(context, SoakSettings(seed, seconds, faults, spare_engines=spare))


@given(
    'a soak test with {readers:d} slow readers, seed {seed:d} and {faults:d}'
    ' faults in {seconds:g} s'
)
def run_soak_with_slow_readers(context, readers, seed, faults, seconds):
    """Run the soak test with callers that hardly read."""
    run(context, SoakSettings(seed, seconds, faults, slow_readers=readers))


@given(
    'a soak test with crowds of {clients:d} clients, seed {seed:d} and'
    ' {faults:d} faults in {seconds:g} s'
)
def run_soak_with_crowds(context, clients, seed, faults, seconds):
    """Run the soak test with crowds of all kinds, one after another."""
    run(context, SoakSettings(seed, seconds, faults, crowd_clients=clients))


@given(
    'a soak test with {count:d} reclaimable engines that are sold out and'
    ' taken'
)
def run_soak_of_engines(context, count):
    """Run the soak test with both faults of engines, no closing checks."""
    settings = SoakSettings(SEED_OF_BOTH, 4.0, 2, closing=False)
    settings.reclaimable_engines = count
    settings.kinds = [SOLD_OUT, RECLAIMED]
    run(context, settings)


@given(
    'a soak test of "{kinds}" with seed {seed:d} and {faults:d} faults in'
    ' {seconds:g} s'
)
def run_soak_of_kinds(context, kinds, seed, faults, seconds):
    """Run the soak test with some kinds of faults, no closing checks."""
    kinds = kinds.split(', ')
    run(
        context,
        SoakSettings(seed, seconds, faults, kinds=kinds, closing=False),
    )


def run(context, settings):
    """Run a soak test on the loop of the scenario."""
    settings.daemons = 3
    settings.keep_logs = True
    context.outcome = context.loop.run_until_complete(soak(settings))
    context.add_cleanup(
        shutil.rmtree, context.outcome.logs, ignore_errors=True
    )


@then('no guarantee was broken')
def check_guarantees(context):
    """Check that no guarantee was broken, or print those that were."""
    assert not context.outcome.broken, context.outcome.broken


@then('sizes were ordered')
def check_sizes(context):
    """Check that an order arrived."""
    assert context.outcome.size_orders, context.outcome


@then('slow readers were ended')
def check_slow_ended(context):
    """Check that daemons ended some."""
    assert context.outcome.slow_ended, context.outcome


@then('crowds came and every kind of request was answered')
def check_crowds(context):
    """Check the number of crowds, and the answers of others."""
    assert context.outcome.crowds > 2, context.outcome
    check_answered(context)


@then(
    '{count:d} engines were taken without a run that was cut, and not replaced'
)
def check_taken(context, count):
    """Check what was taken, and that orders were answered with 409."""
    outcome = context.outcome
    found = (outcome.engines_taken, outcome.cut_runs, outcome.size_orders)
    assert found == (count, 0, 0) and outcome.sold_out, outcome


@then('every kind of request was answered')
def check_answered(context):
    """Check that there were enough answers and results to be checked."""
    assert context.outcome.answered > 20, context.outcome
    assert context.outcome.results > 20, context.outcome


@then('every log line of the daemons is one JSON object')
def check_json_lines(context):
    """Check that each log line is JSON with the name of its host."""
    paths = list(Path(context.outcome.logs).glob('*.log'))
    assert paths
    for path in paths:
        lines = path.read_text().splitlines()
        assert lines
        for line in lines:
            assert json.loads(line)['host'] == path.stem


@when('two faults kill and start the same daemon at once')
def start_twice(context):
    """Kill and start one daemon twice at the same time."""
    daemon = context.loopback.daemons[0]

    async def fault():
        await daemon.kill()
        await asyncio.sleep(0.05)
        await daemon.start()

    async def both():
        await asyncio.gather(fault(), fault())

    context.finish(both())


def running_processes(daemon):
    """Return the processes of a daemon that have not ended."""
    return [p for p in daemon.processes if p.returncode is None]


@then('exactly one process of it is running')
def check_one_runs(context):
    """Check that one process of the daemon has not ended."""
    assert len(running_processes(context.loopback.daemons[0])) == 1


@then('stopping the site leaves no process running')
def check_none_left(context):
    """Stop the site and check that no process is left."""
    context.finish(context.loopback.stop())
    context.site = None
    for daemon in context.loopback.daemons:
        assert not running_processes(daemon)


@when('the faults of seeds 1 to 20 are planned with and without a build')
def plan_seeds(context):
    """Plan the faults of all kinds."""
    for name in FAULT_MODULES:
        import_module(name)
    context.plans = [
        (
            plan_faults(SoakSettings(seed, faults=20)),
            plan_faults(SoakSettings(seed, faults=20, build='other')),
        )
        for seed in range(1, 21)
    ]


@then('those with a build have one upgrade more and are else the same')
def check_plans(context):
    """Compare the plans of each seed."""
    for alone, upgraded in context.plans:
        upgrades = [fault for fault in upgraded if fault.kind == UPGRADE]
        assert len(upgrades) == 1, upgraded
        assert [f for f in upgraded if f.kind != UPGRADE] == alone
        assert UPGRADE not in [fault.kind for fault in alone]
