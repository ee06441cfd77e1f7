"""Steps that check that leaving endpoints receive no new work."""

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

from anvilcove.messages.base import encode
from anvilcove.standins.loopback import SECOND_LISTEN_PORT

# Report period of hosts that do not poll; longer than any scenario.
NO_POLL_PERIOD_MS = 600_000
MAX_REPORT_AGE_S = 5.0


@given(
    'a ready site with {hosts:d} hosts in 3 data centres where only '
    'host {host:w} polls'
)
def site_with_one_poller(context, hosts, host):
    """Start a site in which each other host polls at most one report."""
    plan_site(context, hosts, 2, {'timing': {'report_period_ms': 500}})
    site = context.site
    for name, settings in site.settings_by_host.items():
        settings.timing = type(settings.timing)(
            report_period_ms=500 if name == host else NO_POLL_PERIOD_MS
        )
    run(context, site.start(context.session))
    all_ready(context)


async def put_members(context):
    """Publish the membership list."""
    url = f'http://{context.site.platform_address}/members'
    data = encode(context.site.members)
    async with context.session.put(url, data=data) as response:
        assert response.status == 200


def member_entry(context, endpoint):
    """Return the entry of an endpoint, even if it was removed."""
    if not hasattr(context, 'by_endpoint'):
        members = context.site.members.endpoints
        context.by_endpoint = {m.endpoint: m for m in members}
    return context.by_endpoint[endpoint]


@given('the membership list is {age:d} s old')
def wait_for_list_age(context, age):
    """Wait until the list of this many seconds ago has all endpoints."""
    run(context, asyncio.sleep(age))


@then('the list of {age:d} s ago does not show the state leaving yet')
def check_old_list(context, age):
    """Check that lagging hosts did not learn the state from their list.

    The platform returns to them the list as it was `age` seconds ago.
    """
    assert time.monotonic() - context.listed_at_s < age


@when('host {host:w} is ready again')
def ready_again(context, host):
    """Wait until the host is ready."""
    run(context, wait_for(lambda: is_ready(context, host)))


@when('endpoint {endpoint} is listed as {state:w}')
def list_as(context, endpoint, state):
    """Set the state of an endpoint and list it if it was removed."""
    member = member_entry(context, endpoint)
    member.state = state
    members = context.site.members.endpoints
    if member not in members:
        members.append(member)
    context.listed_at_s = time.monotonic()
    run(context, put_members(context))


@when('endpoint {endpoint} is not listed')
def unlist(context, endpoint):
    """Remove an endpoint from the list."""
    context.site.members.endpoints.remove(member_entry(context, endpoint))
    run(context, put_members(context))


@when('endpoint {endpoint} is listed as live at a new address')
def relist_at_new_address(context, endpoint):
    """Start the endpoint at another port and list it there as live."""
    member = member_entry(context, endpoint)
    ip = member.address.rpartition(':')[0]
    member.address = f'{ip}:{SECOND_LISTEN_PORT}'
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
        await wait_for(lambda: responds(context, endpoint))
        await put_members(context)
        for host in context.site.settings_by_host:
            await wait_for(
                lambda h=host: has_leaving_flag(context, h, endpoint, False)
            )

    run(context, start())


async def responds(context, endpoint):
    """Return whether an endpoint responds."""
    try:
        member = member_entry(context, endpoint)
        return await journal(context, endpoint, member) is not None
    except OSError:
        return False


async def has_leaving_flag(context, host, endpoint, leaving):
    """Return whether a host has this `leaving` flag for an endpoint."""
    known = (await status_of(context, host))['endpoints']
    return endpoint in known and known[endpoint]['leaving'] == leaving


@then('every host marks {endpoint} as leaving')
@when('every host marks {endpoint} as leaving')
def all_have_leaving(context, endpoint):
    """Wait until every host has the endpoint as leaving."""

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(
                lambda h=host: has_leaving_flag(context, h, endpoint, True)
            )

    run(context, wait())


@then('every host knows {count:d} endpoint')
@then('every host knows {count:d} endpoints')
@when('every host knows {count:d} endpoint')
def all_know(context, count):
    """Wait until every host has applied a list of this length."""

    async def knows(host):
        return len((await status_of(context, host))['endpoints']) == count

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: knows(h))

    run(context, wait())


async def lookups_at(context, count, endpoint):
    """Send lookups to all hosts; return how many reached an endpoint."""
    hosts = list(context.site.settings_by_host)
    outcomes = await asyncio.gather(
        *(
            submit(context, hosts[n % len(hosts)], 'lookup', {'n': n})
            for n in range(count)
        )
    )
    assert {o['outcome'] for o in outcomes} == {'answered'}, outcomes
    sent = {o['request_id'] for o in outcomes}
    lines = await journal(context, endpoint, member_entry(context, endpoint))
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
    """Wait until each host has a recent report of each endpoint."""

    async def has_reports(host):
        known = (await status_of(context, host))['endpoints'].values()
        ages = [facts['report_age_s'] for facts in known]
        return all(age is not None and age <= MAX_REPORT_AGE_S for age in ages)

    async def wait():
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: has_reports(h))

    run(context, wait())
