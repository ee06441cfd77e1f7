"""Steps for a planned shutdown that interrupts no request in flight."""

import asyncio
import json
import signal
import uuid

from behave import given, then, when
from configuration_steps import run_program
from control_steps import all_ready, call, entries, plan_site, submit
from site_steps import host_url, run, wait_for

END_TIMEOUT_S = 60.0


@given(
    'a ready site with {hosts:d} hosts, {engines:d} engine '
    'and {services:d} services'
)
def start_ready_site(context, hosts, engines, services):
    """Start a site whose entry lists are valid for one second."""
    changes = {'timing': {'entry_ttl_ms': 1000}}
    plan_site(context, hosts, services, changes, engines)
    run(context, context.site.start(context.session))
    all_ready(context)


async def read_stream(context, host, request_id, tokens, started):
    """Run a stream and return the names of its events.

    Set `started` at the first event.
    """
    message = {
        'request_id': request_id,
        'class_name': 'rollouts',
        'caller': 'shop-1',
        'body': {'prompt': request_id, 'max_tokens': tokens},
        'deadline_ms': 60_000,
        'stream': True,
    }
    event_names = []
    async with context.session.post(
        f'{host_url(context, host)}/v1/requests', json=message
    ) as response:
        async for line in response.content:
            if line.startswith(b'event: '):
                event_names.append(line[7:].strip().decode())
                started.set()
    return event_names


@when('{count:d} streams of {tokens:d} tokens run through host {host:w}')
def start_streams(context, count, tokens, host):
    """Start streams and wait for the first event of each."""

    async def start():
        context.request_ids = [
            f'{host}.{uuid.uuid4().hex}' for _ in range(count)
        ]
        events = [asyncio.Event() for _ in range(count)]
        context.streams = [
            asyncio.create_task(
                read_stream(context, host, request_id, tokens, event)
            )
            for request_id, event in zip(
                context.request_ids, events, strict=True
            )
        ]
        async with asyncio.timeout(END_TIMEOUT_S):
            await asyncio.gather(*(event.wait() for event in events))

    run(context, start())


@when('{count:d} callers are attached to the requests of the streams')
def attach_callers(context, count):
    """Wait for the outcomes at h2, which requests them from the other host."""

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
def open_idle_connections(context, count, host):
    """Open connections, send one request on each and keep them open."""
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
    """Send SIGTERM to the daemon."""
    context.site.processes.signal(host, signal.SIGTERM)


@when('an operator drains host {host:w} with the command line')
def drain_by_command_line(context, host):
    """Run `anvilcove drain`."""
    status, output = run(context, run_program(context, 'drain'))
    assert status == 0, output


@then('host {host:w} is draining and healthy')
def check_draining(context, host):
    """Wait until /readyz returns 503; /healthz must still return 200."""

    async def is_draining():
        status, answer = await call(context, host, 'GET', '/readyz')
        return (status, answer.get('error')) == (503, 'draining')

    run(context, wait_for(is_draining))
    assert run(context, call(context, host, 'GET', '/healthz'))[0] == 200


@then('hosts h2 and h3 no longer list host {host:w} as an entry')
def check_not_listed(context, host):
    """Wait until the entry lists of h2 and h3 do not contain the host."""

    async def removed_at(other):
        named = (await entries(context, other))['entries']
        return named and host not in {e['host'] for e in named}

    for other in ('h2', 'h3'):
        run(context, wait_for(lambda o=other: removed_at(o)))


@then(
    '{count:d} lookups at host {host:w} are answered while cached entry '
    'lists name it'
)
def check_answered_while_listed(context, count, host):
    """Send requests while entry lists that name the host are still valid."""

    async def send():
        return [
            await submit(context, host, 'lookup', {'n': n})
            for n in range(count)
        ]

    outcomes = run(context, send())
    assert {o['outcome'] for o in outcomes} == {'answered'}, outcomes


@then(
    'host {host:w} refuses a lookup with a deadline of {limit:d} s, behind '
    'its drain limit'
)
def check_refused_behind_limit(context, host, limit):
    """Send a request that the drain might cut."""
    refusal = run(
        context, submit(context, host, 'lookup', {}, deadline_ms=limit * 1000)
    )
    assert refusal.get('error') == 'draining', refusal


@then('host {host:w} accepts no connection while its streams continue')
def check_listener_closed(context, host):
    """Wait until connections are refused; streams and process must run."""
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
def check_streams(context, count, tokens):
    """Check that every stream has all tokens, then the event `done`."""

    async def collect():
        async with asyncio.timeout(END_TIMEOUT_S):
            return await asyncio.gather(*context.streams)

    expected = ['token'] * tokens + ['done']
    results = run(context, collect())
    assert results == [expected] * count, [len(r) for r in results]


@then('all {count:d} attached callers get {tokens:d} tokens')
def check_attached_callers(context, count, tokens):
    """Check the number of tokens in each outcome of an attached caller."""

    async def collect():
        async with asyncio.timeout(END_TIMEOUT_S):
            return await asyncio.gather(*context.attached)

    outcomes = run(context, collect())
    found = [len((o.get('answer') or {}).get('tokens', [])) for o in outcomes]
    assert found == [tokens] * count, json.dumps(outcomes)[:500]


@then('host {host:w} ends with status {status:d}')
def check_exit_status(context, host, status):
    """Wait for the end of the process and check its exit status."""

    async def wait():
        async with asyncio.timeout(END_TIMEOUT_S):
            return await context.site.processes.by_name[host].wait()

    assert run(context, wait()) == status
