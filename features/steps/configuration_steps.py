"""Steps for the promise that an accepted configuration stays in force."""

import asyncio
import shlex
import sys

import yaml
from behave import given, then, when
from control_steps import (
    all_ready,
    call,
    is_ready,
    plan_site,
    platform_journal,
    set_faults,
    status_of,
    submit,
)
from site_steps import run, wait_for

from anvilcove.demo.site import OPERATOR_KEY

LOST = {'lose_answers': 1, 'lose_answers_prefix': 'config'}
REFUSALS = 10


@given('the declarations {name:w}')
def keep_declarations(context, name):
    """Keep a document for later steps."""
    documents = getattr(context, 'documents', {})
    context.documents = {**documents, name: yaml.safe_load(context.text)}


@given('a ready site with {hosts:d} hosts in 3 data centres')
def ready_site(context, hosts):
    """Start a site and wait until every host is ready."""
    plan_site(context, hosts, 2, {'timing': {'entry_ttl_ms': 1000}})
    run(context, context.site.start(context.session))
    all_ready(context)


@given('a ready site with {hosts:d} hosts in 3 data centres behind a relay')
def ready_relayed_site(context, hosts):
    """Start a site whose processes reach each other through a relay."""
    plan_site(context, hosts, 2, {}, relay=True)
    run(context, context.site.start(context.session))
    all_ready(context)


@when('data centre {name} is cut off')
def cut_off(context, name):
    """Cut one data centre off."""
    run(context, context.site.isolate_data_centre(context.session, name))


@when('all data centres are connected')
def connect_all(context):
    """Heal the partition."""
    run(context, context.site.reconnect_data_centres(context.session))


async def apply(context, name, host, expected):
    """Apply declarations and return status and answer."""
    body = {
        'expected_revision': expected,
        'document': context.documents[name],
    }
    return await call(context, host, 'PUT', '/v1/classes', body)


async def revision_of(context, host):
    """Return the revision in force at a host."""
    return (await call(context, host, 'GET', '/v1/classes'))[1]['revision']


@given(
    'the declarations {name:w} are applied at host {host:w} as revision {n:d}'
)
@when(
    'the declarations {name:w} are applied at host {host:w} as revision {n:d}'
)
def apply_as(context, name, host, n):
    """Apply declarations; the answer must be 200."""

    async def send():
        answer = await apply(context, name, host, n - 1)
        held = []
        for other in context.site.settings_by_host:
            process = context.site.processes.by_name[other]
            # A paused daemon would not answer.
            if process.returncode is None and not is_paused(process.pid):
                held.append(await revision_of(context, other))
        context.held_at_answer = held
        return answer

    assert run(context, send()) == (200, {'revision': n})


def is_paused(pid):
    """Tell whether a process is stopped by a signal."""
    with open(f'/proc/{pid}/stat') as stat:
        return stat.read().rpartition(')')[2].split()[0] == 'T'


@then('{least:d} of {hosts:d} hosts told revision {n:d} at the answer')
def held_at_answer(context, least, hosts, n):
    """Check the revisions that the hosts told right after the answer."""
    held = context.held_at_answer
    assert len(held) == hosts and sum(r >= n for r in held) >= least, held


@then(
    'applying the declarations {name:w} at host {host:w} is refused '
    'with {status:d}'
)
def apply_refused(context, name, host, status):
    """Try to apply declarations on top of those in force."""

    async def send():
        return await apply(
            context, name, host, await revision_of(context, host)
        )

    answer = run(context, send())
    assert answer[0] == status and answer[1]['reason'], answer


@then('applying the declarations {name:w} at host {host:w} names these errors')
def apply_errors(context, name, host):
    """Check that one answer names every error."""
    status, answer = run(context, apply(context, name, host, 0))
    lines = answer['reason'].splitlines()
    named = [line.partition(': found')[0] for line in lines]
    expected = [row['path'] for row in context.table]
    assert status == 400 and set(expected) <= set(named), (status, answer)


@then(
    'in {races:d} races at hosts {one:w} and {other:w} with lost answers '
    'one operator wins'
)
def race(context, races, one, other):
    """Let two operators apply different documents at the same time."""

    async def run_races():
        for revision in range(races):
            await set_faults(context, LOST)
            answers = await asyncio.gather(
                apply(context, 'one', one, revision),
                apply(context, 'two', other, revision),
            )
            await check_race(context, answers, revision + 1)

    run(context, run_races())


async def check_race(context, answers, revision):
    """Check the answers of a race against what the table holds."""
    assert sorted(answer[0] for answer in answers) == [200, 409], answers
    for status, answer in answers:
        key = 'revision' if status == 200 else 'current_revision'
        assert answer == {key: revision}, answers
    winner = ('one', 'two')[answers[1][0] == 200]
    written = [
        line['value']
        for line in await platform_journal(context)
        if line.get('key') == 'config/document'
    ]
    assert [value['revision'] for value in written] == list(
        range(1, revision + 1)
    ), written
    assert written[-1]['document'] == context.documents[winner]
    for host in context.site.settings_by_host:
        await wait_for(lambda h=host: has_revision(context, h, revision))


async def has_revision(context, host, revision):
    """Tell whether a host has a revision in force."""
    return await revision_of(context, host) == revision


@then('every host has revision {revision:d}')
def all_have(context, revision):
    """Check the revision of every host."""
    for host in context.site.settings_by_host:
        assert run(context, revision_of(context, host)) == revision, host


@then('the table holds revision {revision:d}')
def table_holds(context, revision):
    """Check the last revision that was written."""
    written = [
        line['value']['revision']
        for line in run(context, platform_journal(context))
        if line.get('key') == 'config'
    ]
    assert written[-1] == revision, written


@then('host {host:w} becomes ready with revision {revision:d}')
def becomes_ready(context, host, revision):
    """Wait for readiness; it must come with the revision."""

    async def wait():
        await wait_for(lambda: is_ready(context, host))
        assert await revision_of(context, host) == revision

    run(context, wait())


@then('host {host:w} becomes unconfirmed')
def becomes_unconfirmed(context, host):
    """Wait until a host takes no new work."""

    async def unconfirmed():
        return not (await status_of(context, host))['confirmed']

    run(context, wait_for(unconfirmed))


@then('host {host:w} hears no majority')
def hears_no_majority(context, host):
    """Wait until the other hosts were silent for the window."""
    settings = context.site.settings_by_host[host]
    window_s = settings.timing.confirm_window_ms / 1000

    async def silent():
        hosts = (await status_of(context, host))['hosts']
        ages = [h['heard_ago_s'] for h in hosts.values()]
        heard = [age for age in ages if age is not None and age <= window_s]
        return len(heard) * 2 <= len(ages)

    run(context, wait_for(silent))


@then('host {host:w} is up and not ready because {reason}')
def not_ready(context, host, reason):
    """Check readiness and health."""
    status, answer = run(context, call(context, host, 'GET', '/readyz'))
    assert status == 503 and reason in answer['reason'], answer
    assert run(context, call(context, host, 'GET', '/healthz'))[0] == 200


@then('a lookup at host {host:w} is answered')
def lookup_answered(context, host):
    """Send a request of the class of declarations one."""
    outcome = run(context, submit(context, host, 'lookup', {'n': 1}))
    assert outcome['outcome'] == 'answered', outcome


@then('a lookup at host {host:w} is refused as not run')
def lookup_refused(context, host):
    """Send a request of the class of declarations one."""
    outcome = run(context, submit(context, host, 'lookup', {'n': 1}))
    assert outcome['outcome'] == 'not_run', outcome


@then('a lookup at host {host:w} is never answered while host h2 is paused')
def never_answered(context, host):
    """Send requests until many were refused after the first gossip."""

    async def watch():
        async def heard():
            hosts = (await status_of(context, host))['hosts'].values()
            return sum(h['heard_ago_s'] is not None for h in hosts) >= 2

        await wait_for(heard)
        for _ in range(REFUSALS):
            outcome = await submit(context, host, 'lookup', {'n': 1})
            assert outcome['outcome'] == 'not_run', outcome
            assert not await is_ready(context, host)
            await asyncio.sleep(0.2)

    run(context, watch())


@when(
    'the declarations {name:w} are applied at host {host:w} while the '
    'store fails'
)
def apply_in_failure(context, name, host):
    """Cut the store off during the write, and connect it again.

    With a delay of 0.6 s, the row is read, then written from 0.6 to 1.2 s.
    """

    async def send():
        await set_faults(context, {'store_delay_s': 0.6})
        task = asyncio.create_task(apply(context, name, host, 0))
        await asyncio.sleep(0.9)
        cut = {'down_for': ['127.1'], 'store_down': True}
        await set_faults(context, cut)
        await asyncio.sleep(1.0)
        await set_faults(context, dict.fromkeys([*cut, 'store_delay_s']))
        return await task

    context.operator_answer = run(context, send())


@then('the operator is told what the table holds')
def told_truth(context):
    """Compare the answer with the journal of the platform."""
    status, answer = context.operator_answer
    written = [
        line['value']['revision']
        for line in run(context, platform_journal(context))
        if line.get('key') == 'config'
    ]
    assert (status == 200) == (written == [1]), (status, answer, written)


@when('{seconds:d} s pass')
def let_pass(context, seconds):
    """Let a window pass."""
    run(context, asyncio.sleep(seconds))


@when('{count:d} lookups are sent to host {host:w} without waiting')
def send_lookups(context, count, host):
    """Send requests that wait in the sockets of a paused daemon."""

    async def send():
        tasks = [
            asyncio.create_task(submit(context, host, 'lookup', {'n': n}))
            for n in range(count)
        ]
        await asyncio.sleep(0.5)
        return tasks

    context.lookups = run(context, send())


@then('all {count:d} lookups are refused as not run')
def lookups_refused(context, count):
    """Check the outcomes of the requests that were sent."""

    async def collect():
        return await asyncio.gather(*context.lookups)

    outcomes = [o['outcome'] for o in run(context, collect())]
    assert outcomes == ['not_run'] * count, outcomes


@then('the programs give these answers')
def run_programs(context):
    """Run programs against host h1 and check status and output."""
    for name, document in context.documents.items():
        (context.folder / f'{name}.yaml').write_text(yaml.safe_dump(document))
    (context.folder / 'broken.yaml').write_text(
        'classes: [{kind: interactive, name: a, pool: b, deadline_ms: 0}]'
    )
    for row in context.table:
        status, output = run(context, run_program(context, row['arguments']))
        expected = (int(row['status']), True)
        assert (status, row['output'] in output) == expected, (
            row['arguments'],
            status,
            output,
        )


async def run_program(context, arguments):
    """Run `anvilcove ARGUMENTS` and return exit status and output."""
    words = shlex.split(arguments)
    if words[0] in ('classes', 'status', 'drain', 'explain'):
        address = context.site.settings_by_host['h1'].listen_address
        words[1:1] = [f'--address={address}', f'--key={OPERATOR_KEY}']
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-c',
        'from anvilcove.cli.main import run; run()',
        *words,
        cwd=context.folder,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()
