"""Steps about contents that crash endpoints."""

import asyncio
import uuid

from behave import then, when
from request_steps import journal, post, services
from site_steps import run, wait_for


async def lookup(context, host, name):
    """Send a lookup of some content."""
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
    """Send the content to each host in turn while others are in flight."""
    context.poisoned = []
    context.others = others

    async def send(host):
        before = await started(context)
        calls = [
            asyncio.create_task(lookup(context, host, f'n{n}'))
            for n in range(others)
        ]

        async def all_started():
            return await started(context) >= before + others

        await wait_for(all_started)
        poisoned = await lookup(context, host, 'poison')
        await asyncio.gather(*calls)
        return poisoned

    for _ in range(count):
        for host in hosts.split(', '):
            context.poisoned.append(run(context, send(host)))


async def started(context):
    """Return how many calls the services that are alive have started."""
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
    """Check the outcome of the last attempt and its reason."""
    last = context.poisoned[-1]
    assert last['outcome'] == 'not_run', context.poisoned
    assert last['reason'] and last['retry_after_ms'] > 0, last


@then('at most {count:d} services have crashed')
def check_crashes(context, count):
    """Count the processes of services that have ended."""
    processes = context.site.processes.by_name
    ended = [
        member.endpoint
        for member in services(context)
        if processes[member.endpoint].returncode is not None
    ]
    assert 0 < len(ended) <= count, ended


@then('the other lookups can be answered')
def check_others(context):
    """Check that no other content is refused."""

    async def send():
        calls = [
            lookup(context, host, f'n{n}')
            for n in range(context.others)
            for host in ('h1', 'h2')
        ]
        return await asyncio.gather(*calls)

    outcomes = [o['outcome'] for o in run(context, send())]
    assert set(outcomes) == {'answered'}, outcomes
