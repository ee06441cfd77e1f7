"""Steps for a planned stop of a daemon."""

import asyncio
import signal

from behave import given, then, when
from loopback_calls import post

from anvilcove.soak.site import GRACE_S, SHOP


@given('every plain server takes {seconds:d} s for a request')
def slow_servers(context, seconds):
    """Set the time that every plain server takes for a request."""
    for server in context.loopback.servers:
        server.faults.work_s = float(seconds)


@when(
    '{count:d} requests are sent and the daemon gets SIGTERM {seconds:g} s '
    'later'
)
def stop_under_load(context, count, seconds):
    """Send requests, stop the daemon while they run and send one more."""

    async def send_and_stop():
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

    context.finish(send_and_stop())


@when('a request is sent on an open connection after that')
def send_late(context):
    """Add the response to the request that was sent after the signal."""
    context.answers += [context.finish(context.late[0])]


@then('all of them get complete responses')
def check_complete(context):
    """Check the status and the body of every response."""
    for status, _, body in context.answers:
        assert status == 200, (status, body)
        assert body.startswith(b'stop-'), body


@then('the daemon ends by itself within its grace period')
def check_exit(context):
    """Wait until the process has ended and check its exit status."""
    process = context.loopback.daemons[0].process

    async def wait():
        async with asyncio.timeout(GRACE_S + 5):
            return await process.wait()

    assert context.finish(wait()) == 0
