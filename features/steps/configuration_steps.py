"""Steps that change the configuration and check the revision in force."""

import asyncio
import shlex
import socket
import sys
from pathlib import Path

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

LOST_RESPONSE_FAULTS = {'lose_answers': 1, 'lose_answers_prefix': 'config'}
REFUSAL_COUNT = 10
CALLER_IP = '127.0.0.1'


@given('the declarations {name:w}')
def store_declarations(context, name):
    """Store a document under a name for later steps."""
    documents = getattr(context, 'documents', {})
    context.documents = {**documents, name: yaml.safe_load(context.text)}


@given('a ready site with {hosts:d} hosts in 3 data centres')
def start_ready_site(context, hosts):
    """Start a site and wait until every host is ready."""
    plan_site(context, hosts, 2, {'timing': {'entry_ttl_ms': 1000}})
    run(context, context.site.start(context.session))
    all_ready(context)


@given('a ready site with {hosts:d} hosts in 3 data centres behind a relay')
def start_ready_relayed_site(context, hosts):
    """Start a site whose processes reach each other through a relay."""
    plan_site(context, hosts, 2, {}, relay=True)
    run(context, context.site.start(context.session))
    all_ready(context)


@when('data centre {name} is cut off')
def isolate_data_centre(context, name):
    """Cut off one data centre at the relay."""
    run(context, context.site.isolate_data_centre(context.session, name))


@when('all data centres are connected')
def reconnect_data_centres(context):
    """End the partition."""
    run(context, context.site.reconnect_data_centres(context.session))


async def apply_declarations(context, name, host, expected):
    """Apply declarations and return the status and the decoded response."""
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
def apply_accepted(context, name, host, n):
    """Apply declarations and check that the status is 200."""

    async def send():
        response = await apply_declarations(context, name, host, n - 1)
        revisions = []
        for other in context.site.settings_by_host:
            process = context.site.processes.by_name[other]
            # A paused daemon would not respond.
            if process.returncode is None and not is_paused(process.pid):
                revisions.append(await revision_of(context, other))
        context.revisions_after_response = revisions
        return response

    assert run(context, send()) == (200, {'revision': n})


def is_paused(pid):
    """Return whether a process is stopped by a signal."""
    with open(f'/proc/{pid}/stat') as stat:
        return stat.read().rpartition(')')[2].split()[0] == 'T'


@then(
    'at least {least:d} of {hosts:d} hosts have revision {n:d} '
    'right after the response'
)
def check_revisions_after_response(context, least, hosts, n):
    """Check the revisions that were read right after the response."""
    revisions = context.revisions_after_response
    assert (
        len(revisions) == hosts and sum(r >= n for r in revisions) >= least
    ), revisions


@then(
    'applying the declarations {name:w} at host {host:w} is refused '
    'with {status:d}'
)
def check_apply_refused(context, name, host, status):
    """Apply declarations with the revision in force as expected revision."""

    async def send():
        return await apply_declarations(
            context, name, host, await revision_of(context, host)
        )

    response = run(context, send())
    assert response[0] == status and response[1]['reason'], response


@then(
    'applying the declarations {name:w} at host {host:w} is refused '
    'with these errors'
)
def check_apply_errors(context, name, host):
    """Check that one response lists every error."""
    status, response = run(context, apply_declarations(context, name, host, 0))
    lines = response['reason'].splitlines()
    named = [line.partition(': found')[0] for line in lines]
    expected = [row['path'] for row in context.table]
    assert status == 400 and set(expected) <= set(named), (status, response)


@then(
    'in {rounds:d} pairs of concurrent changes at hosts {one:w} and {other:w} '
    'one is accepted'
)
def check_concurrent_changes(context, rounds, one, other):
    """Apply two documents concurrently; the store loses a response."""

    async def run_rounds():
        for revision in range(rounds):
            await set_faults(context, LOST_RESPONSE_FAULTS)
            responses = await asyncio.gather(
                apply_declarations(context, 'one', one, revision),
                apply_declarations(context, 'two', other, revision),
            )
            await check_one_accepted(context, responses, revision + 1)

    run(context, run_rounds())


async def check_one_accepted(context, responses, revision):
    """Check the responses to two concurrent changes against the table."""
    assert sorted(response[0] for response in responses) == [200, 409], (
        responses
    )
    for status, response in responses:
        key = 'revision' if status == 200 else 'current_revision'
        assert response == {key: revision}, responses
    accepted = ('one', 'two')[responses[1][0] == 200]
    written = [
        line['value']
        for line in await platform_journal(context)
        if line.get('key') == 'config/document'
    ]
    assert [value['revision'] for value in written] == list(
        range(1, revision + 1)
    ), written
    assert written[-1]['document'] == context.documents[accepted]
    for host in context.site.settings_by_host:
        await wait_for(lambda h=host: has_revision(context, h, revision))


async def has_revision(context, host, revision):
    """Return whether a host has a revision in force."""
    return await revision_of(context, host) == revision


@then('every host has revision {revision:d}')
def check_revision_everywhere(context, revision):
    """Check the revision of every host."""
    for host in context.site.settings_by_host:
        assert run(context, revision_of(context, host)) == revision, host


@then('the table holds revision {revision:d}')
def check_table_revision(context, revision):
    """Check the revision that was written last."""
    written = [
        line['value']['revision']
        for line in run(context, platform_journal(context))
        if line.get('key') == 'config'
    ]
    assert written[-1] == revision, written


@then('host {host:w} becomes ready with revision {revision:d}')
def wait_until_ready(context, host, revision):
    """Wait until a host is ready; it must then have the revision in force."""

    async def wait():
        await wait_for(lambda: is_ready(context, host))
        assert await revision_of(context, host) == revision

    run(context, wait())


@then('host {host:w} becomes unconfirmed')
def wait_until_unconfirmed(context, host):
    """Wait until a host reports that its revision is not confirmed."""

    async def unconfirmed():
        return not (await status_of(context, host))['confirmed']

    run(context, wait_for(unconfirmed))


@then('host {host:w} receives gossip from no majority')
def wait_until_no_majority(context, host):
    """Wait until gossip came from at most half of the hosts in the window."""
    settings = context.site.settings_by_host[host]
    window_s = settings.timing.confirm_window_ms / 1000

    async def no_majority():
        hosts = (await status_of(context, host))['hosts']
        ages = [h['heard_ago_s'] for h in hosts.values()]
        recent = [age for age in ages if age is not None and age <= window_s]
        return len(recent) * 2 <= len(ages)

    run(context, wait_for(no_majority))


@then('host {host:w} is up and not ready because {reason}')
def check_not_ready(context, host, reason):
    """Check that a host is alive and names the reason why it is not ready."""
    status, response = run(context, call(context, host, 'GET', '/readyz'))
    assert status == 503 and reason in response['reason'], response
    assert run(context, call(context, host, 'GET', '/healthz'))[0] == 200


@then('a lookup at host {host:w} is answered')
def check_lookup_answered(context, host):
    """Send a request of the class of declarations one."""
    outcome = run(context, submit(context, host, 'lookup', {'n': 1}))
    assert outcome['outcome'] == 'answered', outcome


@then('a lookup at host {host:w} is refused as not run')
def check_lookup_refused(context, host):
    """Send a request of the class of declarations one."""
    outcome = run(context, submit(context, host, 'lookup', {'n': 1}))
    assert outcome['outcome'] == 'not_run', outcome


@then('a lookup at host {host:w} is never answered while host h2 is paused')
def check_lookups_refused_while_paused(context, host):
    """Check that requests are refused after gossip came from two hosts."""

    async def watch():
        async def heard():
            hosts = (await status_of(context, host))['hosts'].values()
            return sum(h['heard_ago_s'] is not None for h in hosts) >= 2

        await wait_for(heard)
        for _ in range(REFUSAL_COUNT):
            outcome = await submit(context, host, 'lookup', {'n': 1})
            assert outcome['outcome'] == 'not_run', outcome
            assert not await is_ready(context, host)
            await asyncio.sleep(0.2)

    run(context, watch())


@when(
    'the declarations {name:w} are applied at host {host:w} while the '
    'store fails'
)
def apply_during_store_failure(context, name, host):
    """Make the store unreachable during the write, then reachable again.

    Each call is delayed by 0.6 s: the row is read first, and the write runs
    from 0.6 to 1.2 s.
    """

    async def send():
        await set_faults(context, {'store_delay_s': 0.6})
        task = asyncio.create_task(apply_declarations(context, name, host, 0))
        await asyncio.sleep(0.9)
        cut = {'down_for': ['127.1'], 'store_down': True}
        await set_faults(context, cut)
        await asyncio.sleep(1.0)
        await set_faults(context, dict.fromkeys([*cut, 'store_delay_s']))
        return await task

    context.operator_response = run(context, send())


@then('the response to the operator matches the table')
def check_response_matches_table(context):
    """Compare the response with the journal of the platform."""
    status, response = context.operator_response
    written = [
        line['value']['revision']
        for line in run(context, platform_journal(context))
        if line.get('key') == 'config'
    ]
    assert (status == 200) == (written == [1]), (status, response, written)


@when('{seconds:d} s pass')
def wait_seconds(context, seconds):
    """Wait, for instance until a time window has passed."""
    run(context, asyncio.sleep(seconds))


def unread_connections(address):
    """Return how many connections from callers have data to be read."""
    ip, _, port = address.rpartition(':')
    local = f'{kernel_ip(ip)}:{int(port):04X}'
    rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
    unread = 0
    for row in rows:
        _, listener, caller, _, queues = row.split()[:5]
        from_caller = caller.startswith(kernel_ip(CALLER_IP))
        # A length of 1 may stand for the end of a closed connection.
        has_data = int(queues.partition(':')[2], 16) > 1
        unread += listener == local and from_caller and has_data
    return unread


def kernel_ip(ip):
    """Return an IP address as /proc/net/tcp shows it."""
    return f'{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}'


@when('{count:d} lookups are sent to host {host:w} without waiting')
def send_lookups(context, count, host):
    """Send requests and wait until they are in the sockets of a daemon.

    The daemon is paused.
    """
    address = context.site.settings_by_host[host].listen_address

    async def waiting():
        return unread_connections(address) == count

    async def send():
        tasks = [
            asyncio.create_task(submit(context, host, 'lookup', {'n': n}))
            for n in range(count)
        ]
        await wait_for(waiting)
        return tasks

    context.lookups = run(context, send())


@then('all {count:d} lookups are refused as not run')
def check_lookups_refused(context, count):
    """Check the outcomes of the requests that were sent."""

    async def collect():
        return await asyncio.gather(*context.lookups)

    outcomes = [o['outcome'] for o in run(context, collect())]
    assert outcomes == ['not_run'] * count, outcomes


@then('the commands give these results')
def check_commands(context):
    """Run commands against host h1 and check exit status and output."""
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
