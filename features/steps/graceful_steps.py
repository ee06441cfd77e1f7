"""Steps for the promise that a planned shutdown interrupts nothing."""

import asyncio
import json
import signal
import uuid

from behave import given, then, when
from configuration_steps import run_program
from control_steps import all_ready, call, entries, plan_site, submit
from site_steps import host_url, run, wait_for

END_LIMIT_S = 60.0


@given(
    'a ready site with {hosts:d} hosts, {engines:d} engine '
    'and {services:d} services'
)
def ready_engine_site(context, hosts, engines, services):
    """Start a site whose entry lists are valid for one second."""
    changes = {'timing': {'entry_ttl_ms': 1000}}
    plan_site(context, hosts, services, changes, engines)
    run(context, context.site.start(context.session))
    all_ready(context)


async def stream(context, host, request_id, tokens, started):
    """Run a stream and return its events."""
    message = {
        'request_id': request_id,
        'class_name': 'rollouts',
        'caller': 'shop-1',
        'body': {'prompt': request_id, 'max_tokens': tokens},
        'deadline_ms': 60_000,
        'stream': True,
    }
    kinds = []
    async with context.session.post(
        f'{host_url(context, host)}/v1/requests', json=message
    ) as response:
        async for line in response.content:
            if line.startswith(b'event: '):
                kinds.append(line[7:].strip().decode())
                started.set()
    return kinds


@when('{count:d} streams of {tokens:d} tokens run through host {host:w}')
def start_streams(context, count, tokens, host):
    """Start streams and wait for the first token of each."""

    async def start():
        context.request_ids = [
            f'{host}.{uuid.uuid4().hex}' for _ in range(count)
        ]
        events = [asyncio.Event() for _ in range(count)]
        context.streams = [
            asyncio.create_task(
                stream(context, host, request_id, tokens, event)
            )
            for request_id, event in zip(
                context.request_ids, events, strict=True
            )
        ]
        async with asyncio.timeout(END_LIMIT_S):
            await asyncio.gather(*(event.wait() for event in events))

    run(context, start())


@when('{count:d} callers are attached to the requests of the streams')
def attach(context, count):
    """Wait for outcomes at another host, which asks the first one."""

    async def wait(request_id):
        _, outcome = await call(
            context, 'h2', 'GET', f'/v1/requests/{request_id}?wait_ms=60000'
        )
        return outcome

    async def start():
        context.attached = [
            asyncio.create_task(wait(request_id))
            for request_id in context.request_ids[:count]
        ]
        await asyncio.sleep(0.2)

    run(context, start())


@when('{count:d} idle connections to host {host:w} are open')
def open_idle(context, count, host):
    """Keep connections that have served one request."""

    address = context.site.settings_by_host[host].listen_address
    ip, _, port = address.rpartition(':')

    async def start():
        for _ in range(count):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(b'GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n')
            await reader.readuntil(b'}')
            context.idle.append(writer)

    context.idle = []
    run(context, start())


@when('host {host:w} receives SIGTERM')
def terminate(context, host):
    """Ask for a shutdown."""
    context.site.processes.signal(host, signal.SIGTERM)


@when('an operator drains host {host:w} with the program')
def drain_by_program(context, host):
    """Run `anvilcove drain`."""
    status, output = run(context, run_program(context, 'drain'))
    assert status == 0, output


@then('host {host:w} is draining and healthy')
def draining(context, host):
    """Wait for 503 on readyz; healthz stays 200."""

    async def is_draining():
        status, answer = await call(context, host, 'GET', '/readyz')
        return (status, answer.get('error')) == (503, 'draining')

    run(context, wait_for(is_draining))
    assert run(context, call(context, host, 'GET', '/healthz'))[0] == 200


@then('hosts h2 and h3 do not name host {host:w} any more')
def not_named(context, host):
    """Wait until the other hosts know of the shutdown."""

    async def dropped(other):
        named = (await entries(context, other))['entries']
        return named and host not in {e['host'] for e in named}

    for other in ('h2', 'h3'):
        run(context, wait_for(lambda o=other: dropped(o)))


@then(
    '{count:d} lookups at host {host:w} are answered while it is still '
    'named by caches'
)
def answered_meanwhile(context, count, host):
    """Send requests within the validity of the entry lists."""

    async def send():
        return [
            await submit(context, host, 'lookup', {'n': n})
            for n in range(count)
        ]

    outcomes = run(context, send())
    assert {o['outcome'] for o in outcomes} == {'answered'}, outcomes


@then('host {host:w} accepts no connection while its streams go on')
def closed_listener(context, host):
    """Wait until connections are refused; the streams must still run."""
    address = context.site.settings_by_host[host].listen_address
    ip, _, port = address.rpartition(':')

    async def refused():
        try:
            _, writer = await asyncio.open_connection(ip, int(port))
        except ConnectionRefusedError:
            return True
        writer.close()
        return False

    run(context, wait_for(refused))
    assert not any(task.done() for task in context.streams)
    process = context.site.processes.by_name[host]
    assert process.returncode is None


@then('all {count:d} streams end with {tokens:d} tokens')
def streams_end(context, count, tokens):
    """Check that every stream is whole."""

    async def collect():
        async with asyncio.timeout(END_LIMIT_S):
            return await asyncio.gather(*context.streams)

    expected = ['token'] * tokens + ['done']
    results = run(context, collect())
    assert results == [expected] * count, [len(r) for r in results]


@then('all {count:d} attached callers get {tokens:d} tokens')
def attached_end(context, count, tokens):
    """Check the outcomes of the attached callers."""

    async def collect():
        async with asyncio.timeout(END_LIMIT_S):
            return await asyncio.gather(*context.attached)

    outcomes = run(context, collect())
    found = [len((o.get('answer') or {}).get('tokens', [])) for o in outcomes]
    assert found == [tokens] * count, json.dumps(outcomes)[:500]


@then('host {host:w} ends with status {status:d}')
def ends(context, host, status):
    """Wait for the end of the process."""

    async def wait():
        async with asyncio.timeout(END_LIMIT_S):
            return await context.site.processes.by_name[host].wait()

    assert run(context, wait()) == status
