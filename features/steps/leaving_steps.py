"""Steps for the promise that leaving endpoints receive no new work."""

import asyncio
import time

from behave import given, then, when
from control_steps import (
    all_ready,
    is_ready,
    journal,
    plan_site,
    status_of,
    submit,
)
from site_steps import run, wait_for

from anvilcove.demo.processes import free_port
from anvilcove.messages.base import encode

# Longer than a scenario runs.
NEVER_MS = 600_000
FRESH_S = 5.0


@given(
    'a ready site with {hosts:d} hosts in 3 data centres where only '
    'host {host:w} polls'
)
def site_with_one_poller(context, hosts, host):
    """Start a site in which the other hosts poll at most one report."""
    plan_site(context, hosts, 2, {'timing': {'report_period_ms': 500}})
    site = context.site
    for name, settings in site.settings_by_host.items():
        settings.timing = type(settings.timing)(
            report_period_ms=500 if name == host else NEVER_MS
        )
    run(context, site.start(context.session))
    all_ready(context)


async def put_members(context):
    """Publish the membership list."""
    url = f'http://{context.site.platform_address}/members'
    data = encode(context.site.members)
    async with context.session.put(url, data=data) as response:
        assert response.status == 200


def listed(context, endpoint):
    """Return the entry of an endpoint, also one that was taken out."""
    if not hasattr(context, 'by_endpoint'):
        members = context.site.members.endpoints
        context.by_endpoint = {m.endpoint: m for m in members}
    return context.by_endpoint[endpoint]


@given('the membership list is {age:d} s old')
def let_list_age(context, age):
    """Wait until a list of this age names every endpoint."""
    run(context, asyncio.sleep(age))


@then('the list of {age:d} s ago does not tell the mark yet')
def mark_is_news(context, age):
    """Check that lagging hosts did not learn the mark from their list.

    The platform answers them as of this time ago.
    """
    assert time.monotonic() - context.listed_at_s < age


@when('host {host:w} is ready again')
def ready_again(context, host):
    """Wait for readiness."""
    run(context, wait_for(lambda: is_ready(context, host)))


@when('endpoint {endpoint} is listed as {state:w}')
def list_as(context, endpoint, state):
    """Change the state of an endpoint; list it if it was not."""
    member = listed(context, endpoint)
    member.state = state
    members = context.site.members.endpoints
    if member not in members:
        members.append(member)
    context.listed_at_s = time.monotonic()
    run(context, put_members(context))


@when('endpoint {endpoint} is not listed')
def unlist(context, endpoint):
    """Take an endpoint out of the list."""
    context.site.members.endpoints.remove(listed(context, endpoint))
    run(context, put_members(context))


@when('endpoint {endpoint} is listed as live at a new address')
def move(context, endpoint):
    """Start the endpoint anew elsewhere."""
    member = listed(context, endpoint)
    ip = member.address.rpartition(':')[0]
    member.address = f'{ip}:{free_port(ip)}'
    member.state = 'live'

    async def start():
        await context.site.processes.start(
            f'{endpoint}-moved',
            [
                'standin',
                member.kind,
                f'--address={member.address}',
                f'--endpoint={endpoint}',
            ],
        )
        await wait_for(lambda: answers(context, endpoint))
        await put_members(context)
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: marks(context, h, endpoint, False))

    run(context, start())


async def answers(context, endpoint):
    """Tell whether an endpoint answers."""
    try:
        member = listed(context, endpoint)
        return await journal(context, endpoint, member) is not None
    except OSError:
        return False


async def marks(context, host, endpoint, leaving):
    """Tell whether a host marks an endpoint as leaving or as not."""
    known = (await status_of(context, host))['endpoints']
    return endpoint in known and known[endpoint]['leaving'] == leaving


@then('every host marks {endpoint} as leaving')
@when('every host marks {endpoint} as leaving')
def all_mark(context, endpoint):
    """Wait for the mark at every host."""

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: marks(context, h, endpoint, True))

    run(context, wait())


@then('every host knows {count:d} endpoint')
@then('every host knows {count:d} endpoints')
@when('every host knows {count:d} endpoint')
def all_know(context, count):
    """Wait until every host adopted a list."""

    async def knows(host):
        return len((await status_of(context, host))['endpoints']) == count

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: knows(h))

    run(context, wait())


async def lookups_at(context, count, endpoint):
    """Send lookups to all hosts and return how many an endpoint received."""
    hosts = list(context.site.settings_by_host)
    outcomes = await asyncio.gather(
        *(
            submit(context, hosts[n % len(hosts)], 'lookup', {'n': n})
            for n in range(count)
        )
    )
    assert {o['outcome'] for o in outcomes} == {'answered'}, outcomes
    sent = {o['request_id'] for o in outcomes}
    lines = await journal(context, endpoint, listed(context, endpoint))
    return len(sent & {line.get('request_id') for line in lines})


@then('none of {count:d} lookups at all hosts reaches {endpoint}')
def none_reaches(context, count, endpoint):
    """Check the journal of the endpoint."""
    assert run(context, lookups_at(context, count, endpoint)) == 0


@then('some of {count:d} lookups at all hosts reach {endpoint}')
def some_reach(context, count, endpoint):
    """Check the journal of the endpoint."""
    assert run(context, lookups_at(context, count, endpoint)) > 0


@then('every host has a fresh report of every endpoint')
def all_reports(context):
    """Wait for the reports."""

    async def has_reports(host):
        known = (await status_of(context, host))['endpoints'].values()
        ages = [facts['report_age_s'] for facts in known]
        return all(age is not None and age <= FRESH_S for age in ages)

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: has_reports(h))

    run(context, wait())
