"""Steps that send request contents that crash endpoints."""

import asyncio
import uuid

from behave import then, when
from request_steps import journal, post, services
from site_steps import run, wait_for


async def lookup(context, host, name):
    """Send a lookup of a name and return its outcome."""
    return await post(
        context,
        host,
        '',
        request_id=f'{host}.{uuid.uuid4().hex}',
        class_name='lookup',
        body={'name': name},
        repeatable=True,
    )


@when(
    'a poison lookup is sent {count:d} times to hosts {hosts} '
    'beside {others:d} others'
)
def send_poison(context, count, hosts, others):
    """Send the poison lookup to each host while others are in flight."""
    context.poison_outcomes = []
    context.other_count = others

    async def send(host):
        before = await started_calls(context)
        calls = [
            asyncio.create_task(lookup(context, host, f'n{n}'))
            for n in range(others)
        ]

        async def all_started():
            return await started_calls(context) >= before + others

        await wait_for(all_started)
        outcome = await lookup(context, host, 'poison')
        await asyncio.gather(*calls)
        return outcome

    for _ in range(count):
        for host in hosts.split(', '):
            context.poison_outcomes.append(run(context, send(host)))


async def started_calls(context):
    """Return how many calls the running services have started."""
    processes = context.site.processes.by_name
    journals = [
        await journal(context, member.address)
        for member in services(context)
        if processes[member.endpoint].returncode is None
    ]
    return sum(
        line['event'] == 'started' for lines in journals for line in lines
    )


@then('the last poison lookup is refused as not run')
def check_refusal(context):
    """Check the outcome of the last poison lookup and its reason."""
    last = context.poison_outcomes[-1]
    assert last['outcome'] == 'not_run', context.poison_outcomes
    assert last['reason'] and last['retry_after_ms'] > 0, last


@then('at most {count:d} services have crashed')
def check_crashes(context, count):
    """Check that some, but not too many, service processes have ended."""
    processes = context.site.processes.by_name
    ended = [
        member.endpoint
        for member in services(context)
        if processes[member.endpoint].returncode is not None
    ]
    assert 0 < len(ended) <= count, ended


@then('the other lookups can be answered')
def check_others(context):
    """Send the other contents again and check that all are answered."""

    async def send():
        calls = [
            lookup(context, host, f'n{n}')
            for n in range(context.other_count)
            for host in ('h1', 'h2')
        ]
        return await asyncio.gather(*calls)

    outcomes = [o['outcome'] for o in run(context, send())]
    assert set(outcomes) == {'answered'}, outcomes
