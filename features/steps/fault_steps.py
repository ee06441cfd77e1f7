"""Steps that run a training site and inject faults into it."""

import asyncio
import json
import signal

from behave import given, then, when
from site_steps import WAIT_TIMEOUT_S, run, wait_for

from anvilcove.demo.site import Site, SiteShape
from anvilcove.messages.membership import ENGINE


class TrainingSite(Site):
    """Site whose engines write journals to files, which outlast a crash."""

    def journal_path(self, endpoint):
        """Return the path of the journal of an engine."""
        return self.folder / f'{endpoint}.journal'

    async def start_endpoint(self, member):
        """Start the stand-in of an endpoint."""
        arguments = [
            'standin',
            member.kind,
            f'--address={member.address}',
            f'--endpoint={member.endpoint}',
            f'--model={member.pool}',
        ]
        if member.kind == ENGINE:
            path = self.journal_path(member.endpoint)
            arguments.append(f'--journal_file={path}')
        await self.processes.start(member.endpoint, arguments)


@given('a training site with {hosts:d} hosts and {engines:d} engines')
def start_training_site(context, hosts, engines):
    """Start stand-ins and daemons without services."""
    shape = SiteShape(
        'test',
        ['casa-ain', 'casa-sidi'],
        hosts,
        ('advisor-llm', engines),
        ('account-app', 0),
    )
    context.site = TrainingSite(shape, context.folder)
    # A daemon that stops gracefully still serves for this time before it hands
    # over its steps.
    context.site.timing.entry_ttl_ms = 300
    context.site.timing.lease_ms = 1_500
    context.site.plan()
    run(context, context.site.start(context.session))


def engine_member(context, number):
    """Return the membership entry of an engine."""
    name = f'advisor-llm-{number}'
    members = context.site.members.endpoints
    return next(m for m in members if m.endpoint == name)


def put_faults(context, address, switches):
    """Set fault switches of a stand-in."""

    async def put():
        url = f'http://{address}/faults'
        async with context.session.put(url, json=switches) as response:
            assert response.status == 200

    run(context, put())


@when('model engine {number:d} has the faults {switches}')
def engine_faults(context, number, switches):
    """Set fault switches of an engine."""
    member = engine_member(context, number)
    put_faults(context, member.address, json.loads(switches))


async def wait_for_crash(context, endpoint):
    """Wait until the process of an endpoint has ended."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        await context.site.processes.by_name[endpoint].wait()


@when('model engine {number:d} has crashed in mid-sample')
def check_crash(context, number):
    """Wait for the crash; samples that have started must be unfinished."""
    name = engine_member(context, number).endpoint
    run(context, wait_for_crash(context, name))
    lines = engine_lines(context)[name]
    assert lines[-1]['event'] == 'crashed', lines[-1]
    assert any(line['event'] == 'version' for line in lines), lines
    assert not any(line.get('completed') for line in lines), lines


@when('model engine {number:d} starts again')
def restart_engine(context, number):
    """Wait for the crash of an engine and start it again."""
    name = engine_member(context, number).endpoint

    async def restart():
        await wait_for_crash(context, name)
        await context.site.processes.restart(name)

    run(context, restart())


def engine_lines(context):
    """Return the journal lines of each engine from its file."""
    found = {}
    for member in context.site.members.endpoints:
        if member.kind == ENGINE:
            path = context.site.journal_path(member.endpoint)
            text = path.read_text() if path.exists() else ''
            found[member.endpoint] = [
                json.loads(line)
                for line in text.splitlines(keepends=True)
                if line.endswith('\n')
            ]
    return found


def platform_lines(context):
    """Return the journal of the platform."""

    async def get():
        url = f'http://{context.site.platform_address}/journal'
        async with context.session.get(url) as response:
            return await response.json()

    return run(context, get())


@when('samples of step {step:d} of trainer {trainer} are running')
def wait_running(context, step, trainer):
    """Wait until an engine has sent a token of the step."""
    names = [m.endpoint for m in context.site.members.endpoints]
    wait_for_token(context, f'{trainer}/{step}/', names)


@when(
    'samples of step {step:d} of trainer {trainer} are running at model '
    'engine {number:d}'
)
def wait_running_at(context, step, trainer, number):
    """Wait until this engine has sent a token of the step."""
    name = engine_member(context, number).endpoint
    wait_for_token(context, f'{trainer}/{step}/', [name])


def wait_for_token(context, prefix, endpoints):
    """Wait until one of the engines has sent a token of a request."""

    async def running():
        return any(
            line['event'] == 'version'
            and line['request_id'].startswith(prefix)
            for endpoint, lines in engine_lines(context).items()
            for line in lines
            if endpoint in endpoints
        )

    run(context, wait_for(running))


@when('step {step:d} of trainer {trainer} has {fence:d} as its fence')
def wait_fence(context, step, trainer, fence):
    """Wait until the table shows that the step was taken over."""
    wait_for_row(
        context, f'step/{trainer}/{step}', lambda row: row['fence'] >= fence
    )


def wait_for_row(context, key, condition):
    """Wait until the row of a key satisfies a condition."""

    async def satisfied():
        url = f'http://{context.site.platform_address}/table/read'
        async with context.session.post(url, json={'keys': [key]}) as response:
            value = (await response.json())['rows'][0].get('value')
        return value is not None and condition(value)

    run(context, wait_for(satisfied))


def table_writes(context):
    """Yield (key, value, newest version at that time) of each table write."""
    newest = 0
    for line in platform_lines(context):
        if line['event'] != 'put':
            continue
        if line['key'].startswith('weights/'):
            newest = max(newest, line['value']['version'])
        yield line['key'], line['value'], newest


@then('no step was made final outside its staleness bound')
def check_final_within_bound(context):
    """Compare each final batch with the newest weights at its write."""
    for key, value, newest in table_writes(context):
        if key.startswith('step/') and value['state'] == 'fixed':
            assert newest - value['oldest'] <= value['bound'], (key, newest)


@then('each epoch of a step was made final at most once')
def check_final_once(context):
    """Check that a final batch is replaced only under a higher epoch.

    Also check that the fencing token of a row never decreases.
    """
    last = {}
    for key, value, _ in table_writes(context):
        if not key.startswith('step/'):
            continue
        before = last.get(key)
        if before is not None and before['state'] == 'fixed':
            assert value['epoch'] > before['epoch'], (key, before, value)
        if before is not None:
            assert value['fence'] >= before['fence'], (key, before, value)
        last[key] = value


@then('each acknowledgement was of the final epoch, which was not replaced')
def check_acknowledged(context):
    """Follow the rows of steps and cursors in the order of their writes."""
    rows = {}
    acknowledged = set()
    for key, value, _ in table_writes(context):
        assert key not in acknowledged, (key, value)
        if key.startswith('cursor/'):
            step = f'step/{key.partition("/")[2]}/{value["step"]}'
            assert rows[step]['state'] == 'fixed', rows[step]
            assert rows[step]['epoch'] == value['epoch'], rows[step]
            acknowledged.add(step)
        rows[key] = value


@then('the cursor of trainer {trainer} moved by one step each time')
def check_cursor(context, trainer):
    """Check the writes of the cursor."""
    steps = [
        value['step']
        for key, value, _ in table_writes(context)
        if key == f'cursor/{trainer}'
    ]
    assert steps == list(range(1, len(steps) + 1)), steps


@then('step {step:d} of trainer {trainer} was handed over')
def check_handover(context, step, trainer):
    """Check that the holder released its lease in the table."""
    key = f'step/{trainer}/{step}'
    holders = [v['holder'] for k, v, _ in table_writes(context) if k == key]
    assert '' in holders, holders


@then('a response of the table was lost')
def check_response_lost(context):
    """Check that the injected fault occurred.

    Without it the scenario would not test a lost response.
    """
    assert any(
        line['event'] == 'answer_lost' for line in platform_lines(context)
    )


@then('the versions in the table only increased')
def check_versions_increase(context):
    """Check the writes of the weights row."""
    versions = [
        value['version']
        for key, value, _ in table_writes(context)
        if key.startswith('weights/')
    ]
    assert versions == sorted(set(versions)), versions


@when('the holder of the roll-out lease is paused')
def pause_rollout_holder(context):
    """Pause the daemon that holds the lease of the roll-out."""
    holders = [
        value['holder']
        for key, value, _ in table_writes(context)
        if key == 'lease/rollout/advisor-llm'
    ]
    context.paused = holders[-1]
    context.site.processes.signal(context.paused, signal.SIGSTOP)


@when('the paused daemon is resumed')
def resume_rollout_holder(context):
    """Resume the daemon that was paused last."""
    context.site.processes.signal(context.paused, signal.SIGCONT)


@when('model engine {number:d} is killed and starts again')
def kill_engine(context, number):
    """Kill an engine; it starts with version 0."""
    name = engine_member(context, number).endpoint

    async def restart():
        await context.site.processes.kill(name)
        await context.site.processes.restart(name)

    run(context, restart())
