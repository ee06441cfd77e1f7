"""Steps with crowds of clients at real daemons."""

import asyncio
import hashlib

from aiohttp import ClientTimeout
from behave import given, then, when

from anvilcove.platform.standin_faults import LARGE, LONG, STALLING
from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.crowds import BLOCK, Crowd, Target
from anvilcove.soak.process_usage import MIB, UsageSampler
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    JOBS,
    LOOKUP_PORT,
    PEERS_PORT,
    READY_PORT,
    SHOP,
    STREAMS,
    LoopbackSite,
)

# Time in which the clients send; what they could not send then stays unsent.
SENDING_S = 10.0
# Time for which the clients stay open afterwards.
OPEN_S = 1.0
ANSWER_S = 30.0
# Port, path and method by the name of a listener or of what it serves.
LISTENERS = {
    'requests': (CALLERS_PORT, SHOP, 'POST'),
    'unknown': (CALLERS_PORT, '/unknown/', 'POST'),
    'submissions': (CALLERS_PORT, JOBS, 'POST'),
    'job reads': (CALLERS_PORT, '/-/lots/', 'GET'),
    'large answers': (CALLERS_PORT, f'{SHOP}{LARGE}', 'POST'),
    'large streams': (CALLERS_PORT, f'{STREAMS}{LONG}', 'POST'),
    'fast streams': (CALLERS_PORT, f'{STREAMS}{LARGE}', 'POST'),
    'stalled servers': (CALLERS_PORT, f'{SHOP}{STALLING}', 'POST'),
    'readiness': (READY_PORT, '/-/readyz', 'GET'),
    'lookups': (LOOKUP_PORT, f'/-/lookup?name={HOST}&zone=z&n=', 'GET'),
    'peers': (PEERS_PORT, '/relay?', 'POST'),
    'metrics': (PEERS_PORT + 1, '/metrics?', 'GET'),
}


def caller_headers(number):
    """Return the header lines of a client."""
    return (
        f'Host: {HOST}',
        f'Attempt-Id: crowd-{number}',
        'Deadline-Ms: 20000',
    )


@given(
    'a daemon with {memory:d} MiB, {descriptors:d} descriptors and bodies of '
    'up to {body:d} MiB'
)
def start_daemon(context, memory, descriptors, body):
    """Start one daemon in front of two plain servers and four engines."""

    async def start():
        context.site = LoopbackSite(
            context.folder,
            daemons=1,
            engines=4,
            servers=2,
            memory_mb=memory,
            max_descriptors=descriptors,
            max_body_bytes=body * MIB,
        )
        await context.site.start()
        await context.site.wait_until_ready()

    context.body_bytes = body * MIB
    context.loop.run_until_complete(start())


@when('{count:d} clients of {listener} come with {kind}')
def send_crowd(context, count, listener, kind):
    """Let the clients send, then stay open for a while."""
    port, path, method = LISTENERS[listener]
    daemon = context.site.daemons[0]
    target = Target(path, caller_headers, context.body_bytes, method)
    crowd = Crowd(kind, [(daemon.ip, port)], target, count)

    async def run():
        async with crowd.running():
            await crowd.sent(SENDING_S)
            await asyncio.sleep(OPEN_S)

    sampler = UsageSampler(daemon.process.pid, daemon.ip)
    context.usage = sampler.usage
    with sampler:
        context.loop.run_until_complete(run())


@when('{count:d} clients bring {kind}, and as many others while they stay')
def send_two_crowds(context, count, kind):
    """Let two crowds send, the second one beside the first."""
    daemon = context.site.daemons[0]
    port, path, method = LISTENERS['requests']
    target = Target(path, caller_headers, context.body_bytes, method)
    crowds = [Crowd(kind, [(daemon.ip, port)], target, count) for _ in '12']

    async def run():
        async with crowds[0].running():
            await crowds[0].sent(SENDING_S)
            async with crowds[1].running():
                await crowds[1].sent(SENDING_S)
                await asyncio.sleep(OPEN_S)

    sampler = UsageSampler(daemon.process.pid, daemon.ip)
    context.usage = sampler.usage
    with sampler:
        context.loop.run_until_complete(run())


@then('the daemon lives and stayed within its limits')
def check_limits(context):
    """Compare the samples, and the peak of the system, with the limits."""
    site = context.site
    daemon = site.daemons[0]
    usage, peak_mb = context.usage, daemon.peak_memory_mb()
    found = (
        f'resident and unread {usage.memory_bytes / MIB:.0f} MiB, unread '
        f'{usage.unread_bytes / MIB:.0f}, peak of resident {peak_mb:.0f}, '
        f'{usage.descriptors} descriptors'
    )
    print(found)
    assert not daemon.exited_unexpectedly(), found
    assert usage.memory_bytes <= site.memory_mb * MIB, found
    assert peak_mb <= site.memory_mb, found
    assert usage.descriptors <= site.max_descriptors, found


@then('an ordinary request is answered')
def check_ordinary(context):
    """Send a small request, again when the daemon names a time for it."""
    body = b'ordinary'
    loop = context.loop
    deadline_at_s, status, attempt = loop.time() + ANSWER_S, 503, 0
    while status == 503 and loop.time() < deadline_at_s:
        attempt += 1
        name = f'ordinary-{attempt}'
        status, text, pause_s = send(context, name, body)
        loop.run_until_complete(asyncio.sleep(pause_s))
    assert status == 200, (status, log_lines(context, 'ordinary'))
    assert text == expected_answer(name, body), text


@when('one request with a body of {size:d} bytes comes {how}')
def send_one(context, size, how):
    """Send one request alone."""
    body = (BLOCK * (size // len(BLOCK) + 1))[:size]
    chunk = int(how.rpartition(' ')[2]) if 'chunks' in how else 0

    async def chunks():
        for start in range(0, size, chunk):
            yield body[start : start + chunk]

    daemon = context.site.daemons[0]
    sampler = UsageSampler(daemon.process.pid, daemon.ip)
    context.usage = sampler.usage
    with sampler:
        context.answer = send(context, 'one', chunks() if chunk else body)[:2]
    context.expected = expected_answer('one', body)


@then('its status is 200 and the server has got the whole body')
def check_one(context):
    """Compare the digest that the server has computed."""
    assert context.answer == (200, context.expected), context.answer


def log_lines(context, text):
    """Return the last lines of the daemon's log that have a text."""
    log = context.folder / f'{context.site.daemons[0].name}.log'
    return [x for x in log.read_text().splitlines() if text in x][-5:]


def expected_answer(request_id, body):
    """Return the answer of a server, which has the digest of the body."""
    digest = hashlib.sha256(body).hexdigest()[:8]
    return f'{request_id}:{digest}'


def send(context, request_id, body):
    """Send a request on a connection of its own.

    Return its status, its text, and the time after which to send it again.
    """

    async def post():
        daemon = context.site.daemons[0]
        url = f'http://{daemon.ip}:{CALLERS_PORT}{SHOP}{request_id}'
        async with context.session.post(
            url,
            data=body,
            headers=request_headers(HOST, request_id, ANSWER_S),
            timeout=ClientTimeout(total=ANSWER_S),
        ) as response:
            # Without the header, a 503 is no refusal of a moment.
            pause_s = float(response.headers.get('Retry-After', ANSWER_S))
            text = await response.text()
            return response.status, text, pause_s * (response.status == 503)

    return context.loop.run_until_complete(post())
