"""Steps about requests that must not be repeated."""

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


def remember(context, outcome):
    """Keep an outcome in the order of arrival."""
    if not hasattr(context, 'outcomes'):
        context.outcomes = []
    context.outcomes.append(outcome)
    context.outcome = outcome


async def post(context, host, key, /, **changes):
    """Send a posting; the outcome is None if the connection broke."""
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
    """Return what reached a stand-in."""
    async with context.session.get(f'http://{address}/journal') as response:
        return await response.json()


async def runs(context, key):
    """Return how often the services ran a posting."""
    journals = [await journal(context, m.address) for m in services(context)]
    return sum(
        entry['body'].get('posting') == key
        for entries in journals
        for entry in entries
        if entry['event'] == 'started'
    )


async def claim_states(context, key):
    """Return the states that the claim of a key went through."""
    entries = await journal(context, context.site.platform_address)
    return [
        entry['value']['state']
        for entry in entries
        if entry['event'] == 'put' and entry['key'] == f'claim/ledger-1/{key}'
    ]


@given('the platform switches {switches}')
@when('the platform switches {switches}')
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
def post_together(context, key, hosts):
    """Send one key to several hosts at once."""

    async def send():
        calls = [post(context, host, key) for host in hosts.split(', ')]
        return await asyncio.gather(*calls)

    for outcome in run(context, send()):
        remember(context, outcome)


@given('posting {key} was sent to host {host:w}')
@when('posting {key} is sent to host {host:w}')
def post_once(context, key, host):
    """Send one key to one host and wait for its outcome."""
    remember(context, run(context, post(context, host, key)))


@when('posting {key} is sent to host {host:w} with amount {amount:d}')
def post_other_body(context, key, host, amount):
    """Send a known key with another body."""
    body = {'posting': key, 'amount': amount}
    remember(context, run(context, post(context, host, key, body=body)))


@when('the same request is sent again to host {host:w}')
def post_again(context, host):
    """Send the last message again, with the same identifier."""
    message = context.message
    outcome = run(context, post(context, host, '', **message))
    remember(context, outcome)


@when('posting {key} is on its way through host {host:w}')
def post_in_background(context, key, host):
    """Send one key without waiting for its outcome."""

    async def start():
        return asyncio.create_task(post(context, host, key))

    context.on_its_way = run(context, start())


@then('the request on its way ends')
@when('the request on its way ends')
def wait_for_request(context):
    """Wait for the outcome of the request that was sent in between."""
    remember(context, run(context, context.on_its_way))


@when('the claim of posting {key} is in the table')
def wait_for_claim(context, key):
    """Wait until the table has the claim."""

    async def claimed():
        return bool(await claim_states(context, key))

    run(context, wait_for(claimed))


@when('the end of posting {key} is in the table')
def wait_for_end(context, key):
    """Wait until the table has the result of the claim."""

    async def ended():
        return 'done' in await claim_states(context, key)

    run(context, wait_for(ended))


@when('posting {key} has started')
def wait_for_start(context, key):
    """Wait until a service runs a posting."""

    async def started():
        return await runs(context, key) > 0

    run(context, wait_for(started))


@when('the services are killed and started again')
def replace_services(context):
    """Kill the services; their new journals start empty."""

    async def replace():
        for member in services(context):
            await context.site.processes.kill(member.endpoint)
            await context.site.processes.restart(member.endpoint)
            url = f'http://{member.address}/load'
            await wait_until_ready(context.session, url)

    run(context, replace())


@given('the services are paused')
def pause_services(context):
    """Pause the processes of the services; connections still open."""
    for member in services(context):
        context.site.processes.signal(member.endpoint, signal.SIGSTOP)


@when('the services go on')
def continue_services(context):
    """Continue the processes of the services."""
    for member in services(context):
        context.site.processes.signal(member.endpoint, signal.SIGCONT)


@then('every outcome is {name:w}')
def check_every_outcome(context, name):
    """Check all outcomes."""
    assert all(o['outcome'] == name for o in context.outcomes), (
        context.outcomes
    )


@then('every outcome is one of: {names}')
def check_outcome_names(context, names):
    """Check that no outcome is of another kind."""
    expected = set(names.split(', '))
    assert {o['outcome'] for o in context.outcomes} <= expected


@then('the outcomes are {names}')
def check_outcomes(context, names):
    """Check all outcomes in their order."""
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
    """Check the outcome that arrived last."""
    assert context.outcome['outcome'] == name, context.outcome


@then('every answer is the same')
def check_same_answers(context):
    """Check that attached and repeated requests got one answer."""
    answers = {json.dumps(o['answer']) for o in context.outcomes}
    assert len(answers) == 1, answers


@then('posting {key} ran {count:d} times since then')
@then('posting {key} ran {count:d} times')
@then('posting {key} ran {count:d} time')
def check_runs(context, key, count):
    """Check how often the services ran a posting."""
    found = run(context, runs(context, key))
    assert found == count, found


@then('posting {key} ran at most {count:d} time')
def check_most_runs(context, key, count):
    """Check that the services did not run a posting again."""
    found = run(context, runs(context, key))
    assert found <= count, found
