"""Steps that run a site and send requests to it."""

import asyncio
import json
import uuid

import yaml
from behave import given, then, when

from anvilcove.demo.site import OPERATOR_KEY, Site, SiteShape

OPERATOR_HEADERS = {'Authorization': f'Bearer {OPERATOR_KEY}'}
WAIT_TIMEOUT_S = 30.0


def run(context, coroutine):
    """Run a coroutine on the loop of the scenario."""
    return context.loop.run_until_complete(coroutine)


def host_url(context, host):
    """Return the base URL of a host's daemon."""
    settings = context.site.settings_by_host[host]
    return f'http://{settings.listen_address}'


async def wait_for(condition):
    """Poll an async condition until it holds or the timeout expires."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


@given(
    'a running site with {hosts:d} hosts, {engines:d} engine '
    'and {services:d} services'
)
@given(
    'a running site with {hosts:d} host, {engines:d} engine '
    'and {services:d} service'
)
def start_site(context, hosts, engines, services):
    """Start the stand-ins and daemons of a site."""
    shape = SiteShape(
        'test',
        ['casa-ain', 'casa-sidi'],
        hosts,
        ('advisor-llm', engines),
        ('account-app', services),
    )
    context.site = Site(shape, context.folder)
    context.site.plan()
    run(context, context.site.start(context.session))


@given('the class declarations')
def apply_classes(context):
    """Apply declarations and wait until they are in force at every host."""

    async def apply():
        document = yaml.safe_load(context.text)
        body = {'expected_revision': 0, 'document': document}
        async with context.session.put(
            f'{host_url(context, "h1")}/v1/classes',
            json=body,
            headers=OPERATOR_HEADERS,
        ) as response:
            assert response.status == 200, await response.text()
            revision = (await response.json())['revision']
        for host in context.site.settings_by_host:
            await wait_for(lambda h=host: has_revision(context, h, revision))

    run(context, apply())


async def has_revision(context, host, revision):
    """Return whether a revision is in force at a host."""
    async with context.session.get(
        f'{host_url(context, host)}/v1/classes', headers=OPERATOR_HEADERS
    ) as response:
        return (await response.json()).get('revision') == revision


@when('a caller sends {body} to class {class_name} at host {host}')
def send_request(context, body, class_name, host):
    """Send one request and store its outcome."""

    async def send():
        message = {
            'request_id': f'{host}.{uuid.uuid4().hex}',
            'class_name': class_name,
            'caller': 'shop-1',
            'body': json.loads(body),
        }
        async with context.session.post(
            f'{host_url(context, host)}/v1/requests', json=message
        ) as response:
            context.outcome = await response.json()

    run(context, send())


@then('the outcome is {name}')
def check_outcome(context, name):
    """Check the outcome of the last request."""
    assert context.outcome['outcome'] == name, context.outcome


@then('the answer echoes {body}')
def check_echo(context, body):
    """Check that the answer echoes the body of the request."""
    assert context.outcome['answer']['echo'] == json.loads(body)


@then('the answer has {count:d} tokens of version {version:d}')
def check_tokens(context, count, version):
    """Check the number of tokens and their version range."""
    assert len(context.outcome['answer']['tokens']) == count
    assert context.outcome['versions'] == [
        {'version': version, 'start': 0, 'end': count}
    ]
