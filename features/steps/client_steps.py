"""Steps for the client library and the example programs."""

import asyncio
import json
import os
import random
import sys
from pathlib import Path

from behave import given, then, when
from request_steps import put_faults
from site_steps import host_url, run

from anvilcove import Answer, Client, ClientSettings
from anvilcove.demo.site import PEER_KEY
from anvilcove.messages.membership import ENGINE

PEER_HEADERS = {'Authorization': f'Bearer {PEER_KEY}'}
EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'


def make_client(context):
    """Return a client that knows every host of the site."""
    addresses = [
        settings.listen_address
        for settings in context.site.settings_by_host.values()
    ]
    settings = ClientSettings(caller='shop-1', addresses=addresses)
    return Client(settings, random.Random(1))


@when('a client makes {count:d} lookups')
def make_lookups(context, count):
    """Make lookups concurrently."""

    async def look_up():
        async with make_client(context) as client:
            return await asyncio.gather(
                *(client.call('lookup', {'n': n}) for n in range(count))
            )

    context.answers = run(context, look_up())


@then('each lookup got its own answer')
def check_lookups(context):
    """Check that each answer echoes its own lookup."""
    echoes = [answer.value['echo'] for answer in context.answers]
    assert echoes == [{'n': n} for n in range(len(echoes))], echoes


async def kill_serving_host(context, request_id):
    """Kill the host that runs a request."""
    for host in context.site.settings_by_host:
        url = f'{host_url(context, host)}/peer/requests/{request_id}'
        async with context.session.get(
            f'{url}?wait_ms=0', headers=PEER_HEADERS
        ) as response:
            if response.status in (200, 202):
                await context.site.processes.kill(host)
                return
    raise AssertionError('no host runs the request')


@given('the fault switches of the engine are set to {switches}')
def set_engine_faults(context, switches):
    """Set fault switches of every engine."""
    for member in context.site.members.endpoints:
        if member.kind == ENGINE:
            put_faults(context, member.address, json.loads(switches))


@when('a client streams {count:d} tokens')
def stream_tokens(context, count):
    """Stream the tokens of one generation."""

    async def stream():
        body = {'prompt': 'p', 'max_tokens': count}
        async with make_client(context) as client:
            return [e async for e in client.stream('rollouts', body)]

    context.events = run(context, stream())


@when('a client streams {count:d} tokens and its host is killed after {n:d}')
def stream_with_kill(context, count, n):
    """Kill the host that serves a stream after some tokens."""

    async def stream():
        body = {'prompt': 'p', 'max_tokens': count}
        async with make_client(context) as client:
            events = []
            async for event in client.stream(
                'rollouts', body, deadline_ms=20_000
            ):
                events.append(event)
                if len(events) == n:
                    await kill_serving_host(context, event.request_id)
            return events

    context.events = run(context, stream())


@then(
    'the client received {count:d} tokens in order and the same tokens in '
    'its answer'
)
def check_stream(context, count):
    """Check the order of the tokens and compare them with the answer."""
    *tokens, answer = context.events
    assert isinstance(answer, Answer), answer
    assert [token.index for token in tokens] == list(range(count)), tokens
    assert answer.value['tokens'] == [token.text for token in tokens]


@when('the examples counter_lookup and ledger_job are run')
def run_examples(context):
    """Run both examples in processes of their own."""

    async def run_one(name):
        addresses = ','.join(
            settings.listen_address
            for settings in context.site.settings_by_host.values()
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(EXAMPLES / f'{name}.py'),
            f'--entry={addresses}',
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, 'PYTHONPATH': str(EXAMPLES.parent)},
        )
        output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def run_both():
        names = ('counter_lookup', 'ledger_job')
        return [await run_one(name) for name in names]

    context.results = run(context, run_both())


@then('the examples succeed')
def check_examples(context):
    """Check that each example exits with status 0."""
    assert all(status == 0 for status, _ in context.results), context.results
