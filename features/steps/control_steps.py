"""Steps and helpers that start sites with settings and call their hosts."""

import asyncio
import json
import uuid

import yaml
from behave import given, then, when
from site_steps import OPERATOR_HEADERS, host_url, run, wait_for

from anvilcove.demo.site import Site, SiteShape

DATA_CENTRES = ['casa-ain', 'casa-sidi', 'casa-maarif']


def change_settings(settings, changes):
    """Set keys in sections of the settings of one daemon."""
    for section, values in changes.items():
        for key, value in values.items():
            setattr(getattr(settings, section), key, value)


def plan_site(context, hosts, services, changes, engines=0, relay=False):
    """Prepare a site and the settings of its daemons without starting it."""
    shape = SiteShape(
        'test',
        DATA_CENTRES,
        hosts,
        ('advisor-llm', engines),
        ('account-app', services),
    )
    context.site = Site(shape, context.folder, relay=relay)
    context.site.plan()
    for settings in context.site.settings_by_host.values():
        change_settings(settings, changes)


@given('a site with {hosts:d} hosts, {services:d} services and settings')
@given('a site with {hosts:d} host, {services:d} services and settings')
def start_site_with_settings(context, hosts, services):
    """Start a site whose daemons have the settings in the text of the step."""
    plan_site(context, hosts, services, yaml.safe_load(context.text))
    run(context, context.site.start(context.session))


async def call(context, host, method, path, body=None, headers=None):
    """Call a host and return the status and the decoded response."""
    data = body if isinstance(body, str | bytes) else json.dumps(body)
    async with context.session.request(
        method,
        f'{host_url(context, host)}{path}',
        data=None if body is None else data,
        headers=OPERATOR_HEADERS if headers is None else headers,
    ) as response:
        text = await response.text()
        return response.status, json.loads(text) if text else None


async def is_ready(context, host):
    """Return whether the daemon of a host is ready."""
    status, _ = await call(context, host, 'GET', '/readyz')
    return status == 200


@when('every host is ready')
def all_ready(context):
    """Wait until every host is ready."""
    hosts = list(context.site.settings_by_host)

    async def wait():
        await asyncio.gather(
            *(wait_for(lambda h=h: is_ready(context, h)) for h in hosts)
        )

    run(context, wait())


@then('host {host} is ready with revision {revision:d}')
def check_ready_with_revision(context, host, revision):
    """Check readiness and the revision in force."""
    status, response = run(context, call(context, host, 'GET', '/readyz'))
    assert (status, response['revision']) == (200, revision), response


async def entries(context, host):
    """Return the entry list that a host reports."""
    path = '/v1/entries?caller=shop-1&data_centre=casa-ain'
    status, response = await call(context, host, 'GET', path)
    assert status == 200, response
    return response


@then('host {host} names {count:d} entries')
def check_entries(context, host, count):
    """Check number, hosts and TTL of the entries that a host lists."""
    response = run(context, entries(context, host))
    listed = {m.host for m in context.site.members.hosts}
    named = {e['host'] for e in response['entries']}
    assert len(named) == count and named <= listed, response
    ttl_ms = context.site.settings_by_host[host].timing.entry_ttl_ms
    assert response['ttl_s'] == ttl_ms / 1000, response


async def journal(context, endpoint, member=None):
    """Return the journal of an endpoint; an unlisted one needs `member`."""
    member = member or next(
        m for m in context.site.members.endpoints if m.endpoint == endpoint
    )
    url = f'http://{member.address}/journal'
    async with context.session.get(url) as response:
        return await response.json()


async def platform_journal(context):
    """Return the journal of the platform."""
    url = f'http://{context.site.platform_address}/journal'
    async with context.session.get(url) as response:
        return await response.json()


async def set_faults(context, switches):
    """Set fault switches of the platform."""
    url = f'http://{context.site.platform_address}/faults'
    async with context.session.put(url, json=switches) as response:
        assert response.status == 200, await response.text()


@when('the platform has the faults {switches}')
@given('the platform has the faults {switches}')
def set_platform_faults(context, switches):
    """Set the fault switches of the platform that the step names."""
    run(context, set_faults(context, json.loads(switches)))


async def submit(context, host, class_name, body, **fields):
    """Send a request to a host and return its outcome."""
    message = {
        'request_id': f'{host}.{uuid.uuid4().hex}',
        'class_name': class_name,
        'caller': 'shop-1',
        'body': body,
        **fields,
    }
    _, outcome = await call(context, host, 'POST', '/v1/requests', message)
    return outcome


async def status_of(context, host):
    """Return the status report of a host."""
    status, response = await call(context, host, 'GET', '/v1/status')
    assert status == 200, response
    return response
