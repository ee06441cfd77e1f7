"""Steps that stop a daemon as planned."""

import asyncio
import signal

from behave import given, then, when
from loopback_calls import post

from anvilcove.soak.site import GRACE_S, SHOP


@given('every plain server works for {seconds:d} s on a request')
def slow_servers(context, seconds):
    """Make requests last."""
    for server in context.loopback.servers:
        server.faults.work_s = float(seconds)


@when(
    '{count:d} requests are sent and the daemon gets SIGTERM {seconds:g} s '
    'later'
)
def stop_under_load(context, count, seconds):
    """Send requests and stop the daemon while they run."""

    async def play():
        sent = [
            asyncio.create_task(post(context, SHOP, f'stop-{n}', b'x'))
            for n in range(count)
        ]
        await asyncio.sleep(seconds)
        context.loopback.daemons[0].signal(signal.SIGTERM)
        context.late = [
            asyncio.create_task(post(context, SHOP, 'stop-late', b'x'))
        ]
        context.answers = await asyncio.gather(*sent)

    context.finish(play())


@when('a request is sent on an open connection after that')
def send_late(context):
    """Take the answer of the request that was sent after the signal."""
    context.answers += [context.finish(context.late[0])]


@then('all of them are answered in whole')
def whole(context):
    """Check statuses and bodies."""
    for status, _, body in context.answers:
        assert status == 200, (status, body)
        assert body.startswith(b'stop-'), body


@then('the daemon ends by itself within its grace period')
def ended(context):
    """Wait for the end of the process."""
    process = context.loopback.daemons[0].process

    async def wait():
        async with asyncio.timeout(GRACE_S + 5):
            return await process.wait()

    assert context.finish(wait()) == 0
