"""Steps for non-repeatable requests.

A posting is such a request; its idempotency key is the name of the posting.
"""

import asyncio
import json
import signal
import uuid

from aiohttp import ClientError
from behave import given, then, when
from site_steps import host_url, run, wait_for

from anvilcove.demo.processes import wait_until_ready
from anvilcove.messages.membership import SERVICE

DEADLINE_MS = 15_000


def services(context):
    """Return the membership entries of the services."""
    members = context.site.members.endpoints
    return [member for member in members if member.kind == SERVICE]


def record_outcome(context, outcome):
    """Append an outcome to those of the scenario."""
    if not hasattr(context, 'outcomes'):
        context.outcomes = []
    context.outcomes.append(outcome)
    context.outcome = outcome


async def post(context, host, key, /, **changes):
    """Send a posting; return its outcome, or None if the connection broke."""
    message = {
        'request_id': f'{host}.{uuid.uuid4().hex}',
        'class_name': 'postings',
        'caller': 'ledger-1',
        'body': {'posting': key, 'amount': 1},
        'repeatable': False,
        'key': key,
        'deadline_ms': DEADLINE_MS,
        **changes,
    }
    context.message = message
    url = f'{host_url(context, host)}/v1/requests'
    try:
        async with context.session.post(url, json=message) as response:
            return {'status': response.status, **(await response.json())}
    except (ClientError, OSError):
        return None


async def journal(context, address):
    """Return the journal of a stand-in: the calls and writes it received."""
    async with context.session.get(f'http://{address}/journal') as response:
        return await response.json()


async def count_runs(context, key):
    """Return how many times the services started a posting."""
    journals = [await journal(context, m.address) for m in services(context)]
    return sum(
        entry['body'].get('posting') == key
        for entries in journals
        for entry in entries
        if entry['event'] == 'started'
    )


async def claim_states(context, key):
    """Return the states that were written for the claim of a key."""
    entries = await journal(context, context.site.platform_address)
    return [
        entry['value']['state']
        for entry in entries
        if entry['event'] == 'put' and entry['key'] == f'claim/ledger-1/{key}'
    ]


@given('the fault switches of the platform are set to {switches}')
@when('the fault switches of the platform are set to {switches}')
def set_platform_faults(context, switches):
    """Set fault switches of the platform stand-in."""
    put_faults(context, context.site.platform_address, json.loads(switches))


@given('the service switches {switches}')
def set_service_faults(context, switches):
    """Set fault switches of every service."""
    for member in services(context):
        put_faults(context, member.address, json.loads(switches))


def put_faults(context, address, switches):
    """Set fault switches of a stand-in."""

    async def put():
        url = f'http://{address}/faults'
        async with context.session.put(url, json=switches) as response:
            assert response.status == 200, await response.text()

    run(context, put())


@when('posting {key} is sent at the same time to hosts {hosts}')
def post_concurrently(context, key, hosts):
    """Send the same posting to several hosts concurrently."""

    async def send():
        calls = [post(context, host, key) for host in hosts.split(', ')]
        return await asyncio.gather(*calls)

    for outcome in run(context, send()):
        record_outcome(context, outcome)


@given('posting {key} was sent to host {host:w}')
@when('posting {key} is sent to host {host:w}')
def post_once(context, key, host):
    """Send a posting to one host and wait for its outcome."""
    record_outcome(context, run(context, post(context, host, key)))


@when('posting {key} is sent to host {host:w} with amount {amount:d}')
def post_other_body(context, key, host, amount):
    """Send a posting with a key that was used before and another body."""
    body = {'posting': key, 'amount': amount}
    record_outcome(context, run(context, post(context, host, key, body=body)))


@when('the same request is sent again to host {host:w}')
def post_again(context, host):
    """Send the last request again with the same identifier."""
    message = context.message
    outcome = run(context, post(context, host, '', **message))
    record_outcome(context, outcome)


@when('posting {key} is sent to host {host:w} in the background')
def post_in_background(context, key, host):
    """Send a posting without waiting for its outcome."""

    async def start():
        return asyncio.create_task(post(context, host, key))

    context.background_request = run(context, start())


@then('the background request ends')
@when('the background request ends')
def wait_for_request(context):
    """Wait for the outcome of the request sent in the background."""
    record_outcome(context, run(context, context.background_request))


@when('the claim of posting {key} is in the table')
def wait_for_claim(context, key):
    """Wait until the claim is in the table."""

    async def claimed():
        return bool(await claim_states(context, key))

    run(context, wait_for(claimed))


@when('the claim of posting {key} has the state done in the table')
def wait_for_done(context, key):
    """Wait until the result of the posting is in the table."""

    async def done():
        return 'done' in await claim_states(context, key)

    run(context, wait_for(done))


@when('posting {key} has started')
def wait_for_start(context, key):
    """Wait until a service has started a posting."""

    async def started():
        return await count_runs(context, key) > 0

    run(context, wait_for(started))


@when('the services are killed and restarted')
def restart_services(context):
    """Kill and restart the services; their journals start empty."""

    async def restart():
        for member in services(context):
            await context.site.processes.kill(member.endpoint)
            await context.site.processes.restart(member.endpoint)
            url = f'http://{member.address}/load'
            await wait_until_ready(context.session, url)

    run(context, restart())


@given('the services are paused')
def pause_services(context):
    """Stop the service processes; they still accept TCP connections."""
    for member in services(context):
        context.site.processes.signal(member.endpoint, signal.SIGSTOP)


@when('the services are resumed')
def resume_services(context):
    """Resume the service processes."""
    for member in services(context):
        context.site.processes.signal(member.endpoint, signal.SIGCONT)


@then('every outcome is {name:w}')
def check_every_outcome(context, name):
    """Check that all outcomes have this name."""
    assert all(o['outcome'] == name for o in context.outcomes), (
        context.outcomes
    )


@then('every outcome is one of: {names}')
def check_outcome_names(context, names):
    """Check that every outcome has one of these names."""
    expected = set(names.split(', '))
    assert {o['outcome'] for o in context.outcomes} <= expected


@then('the outcomes are {names}')
def check_outcomes(context, names):
    """Check the names of all outcomes in order."""
    found = [outcome['outcome'] for outcome in context.outcomes]
    assert found == names.split(', '), context.outcomes


@then('the repeated outcomes are the same')
def check_repeated_outcomes(context):
    """Check that the second half of the outcomes repeats the first."""
    found = [(o['outcome'], o['answer']) for o in context.outcomes]
    half = len(found) // 2
    assert found[:half] == found[half:], context.outcomes


@then('the last outcome is {name:w}')
def check_last_outcome(context, name):
    """Check the name of the last outcome."""
    assert context.outcome['outcome'] == name, context.outcome


@then('every answer is the same')
def check_same_answers(context):
    """Check that concurrent and repeated requests got the same answer."""
    answers = {json.dumps(o['answer']) for o in context.outcomes}
    assert len(answers) == 1, answers


@then('posting {key} ran {count:d} times since the services restarted')
@then('posting {key} ran {count:d} times')
@then('posting {key} ran {count:d} time')
def check_runs(context, key, count):
    """Check how many times the services ran a posting."""
    found = run(context, count_runs(context, key))
    assert found == count, found


@then('posting {key} ran at most {count:d} time')
def check_max_runs(context, key, count):
    """Check that the services ran a posting no more than this often."""
    found = run(context, count_runs(context, key))
    assert found <= count, found
