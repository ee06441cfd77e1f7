"""Steps for readiness, entries and configuration."""

import asyncio

from behave import then, when
from site_steps import host_url, run, wait_for


async def is_ready(context, host):
    """Tell whether a host's daemon is ready."""
    async with context.session.get(f'{host_url(context, host)}/readyz') as r:
        return r.status == 200


@when('every host is ready')
def all_ready(context):
    """Wait for readiness."""
    hosts = list(context.site.settings_by_host)

    async def wait():
        await asyncio.gather(
            *(wait_for(lambda h=h: is_ready(context, h)) for h in hosts)
        )

    run(context, wait())


@then('host {host} names {count:d} entries')
def check_entries(context, host, count):
    """Check the entry list."""

    async def fetch():
        url = f'{host_url(context, host)}/v1/entries?caller=shop-1'
        async with context.session.get(url) as response:
            return await response.json()

    answer = run(context, fetch())
    listed = {m.host for m in context.site.members.hosts}
    assert len(answer['entries']) == count, answer
    assert {e['host'] for e in answer['entries']} <= listed
    assert answer['ttl_s'] == 10.0
