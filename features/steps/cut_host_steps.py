"""Steps with daemons whose ways to the endpoints are lost."""

import asyncio
import socket
import time

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from behave import given, then, when
from retry_steps import settings

from anvilcove.http.client_account import ClientAccount
from anvilcove.platform.listeners import start_listener
from anvilcove.platform.standin_wire import request_headers
from anvilcove.ports.ways import NoObserver
from anvilcove.soak.site import CALLERS_PORT, HOST, SHOP
from anvilcove.standins.network import set_drop_filter
from anvilcove.state.clock import SystemClock
from anvilcove.telemetry.metrics import NodeMetrics

DEADLINE_S = 2.0
# Retries of the request before the cut, which only opens connections.
WARM_UP_TRIES = 40


async def send(context, daemon, number):
    """Send a request once; return its status, 0 without an answer."""
    request_id = f'safe-{daemon.name}-{number}'
    timeout = ClientTimeout(total=DEADLINE_S)
    async with ClientSession(timeout=timeout) as session:
        try:
            async with session.post(
                f'http://{daemon.ip}:{CALLERS_PORT}{SHOP}{request_id}',
                data=request_id.encode(),
                headers=request_headers(HOST, request_id, DEADLINE_S),
            ) as response:
                await response.read()
                return response.status
        except (ClientError, TimeoutError, OSError):
            return 0


@given('every daemon has answered a request')
def warm_up(context):
    """Send requests until each daemon has answered one."""

    async def warm_up_one(daemon):
        for number in range(WARM_UP_TRIES):
            if await send(context, daemon, f'warm-{number}') == 200:
                return
            await asyncio.sleep(0.25)
        raise AssertionError(f'{daemon.name} answers nothing')

    async def warm_up_all():
        daemons = context.loopback.daemons
        await asyncio.gather(*(warm_up_one(daemon) for daemon in daemons))

    context.finish(warm_up_all())


@given(
    '{count:d} daemons are cut from all endpoints, whose open connections '
    '{how}'
)
def cut_daemons(context, count, how):
    """Lose the packets of some daemons to all servers."""
    site = context.loopback
    context.cut = site.daemons[:count]
    sources = {daemon.ip for daemon in context.cut}
    for proxy in site.server_proxies.values():
        proxy.cut(sources, keep_open=how == 'live on')


@when('the site runs on for {seconds:g} s')
def run_on(context, seconds):
    """Let real time pass."""
    context.finish(asyncio.sleep(seconds))


@when('{count:d} requests are sent to each daemon that is cut')
def send_to_cut(context, count):
    """Send requests one after the other and keep status and time."""
    context.answers = []

    async def send_all(daemon):
        for number in range(count):
            sent_s = time.monotonic()
            status = await send(context, daemon, number)
            context.answers.append((status, time.monotonic() - sent_s))

    async def send_to_all():
        await asyncio.gather(*(send_all(daemon) for daemon in context.cut))

    context.finish(send_to_all())


@then('all of them are answered with 200 within {seconds:g} s')
def check_served(context, seconds):
    """Check status and time of each request."""
    assert all(
        status == 200 and took_s <= seconds
        for status, took_s in context.answers
    ), context.answers


class RecordingObserver(NoObserver):
    """Observer that records the ways that failed."""

    def __init__(self):
        """Start without failures."""
        self.failures = []

    def failed(self, address, reason):
        """Record a failure."""
        self.failures.append(address)


def kept_sockets(context):
    """Return the sockets of the idle connections to servers."""
    pooled = context.connections._pooled.connector._conns.values()
    protocols = [protocol for held in pooled for protocol, _ in held]
    return [p.transport.get_extra_info('socket') for p in protocols]


@then(
    'the connection is probed after {idle:d} s, then each {interval:d} s, and '
    'ends after {count:d} probes'
)
def check_probes(context, idle, interval, count):
    """Check the options of the socket."""
    (opened,) = kept_sockets(context)
    assert opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    options = (
        (socket.TCP_KEEPIDLE, idle),
        (socket.TCP_KEEPINTVL, interval),
        (socket.TCP_KEEPCNT, count),
    )
    for option, value in options:
        found = opened.getsockopt(socket.IPPROTO_TCP, option)
        assert found == value, (option, found)


@then(
    'neither it nor a connection that a listener accepts has a '
    'TCP_USER_TIMEOUT'
)
def check_user_timeout(context):
    """Check the options of a connection of each library call in use."""
    (opened,) = kept_sockets(context)
    accepted = []

    async def accept():
        async def handle(request):
            accepted.append(request.transport.get_extra_info('socket'))
            return web.Response()

        account = ClientAccount(settings(), SystemClock(), NodeMetrics())
        runner = await start_listener(
            '127.0.0.1:0', handle, lambda: 1024, account
        )
        host, port = runner.addresses[0]
        async with context.session.get(f'http://{host}:{port}/') as response:
            await response.read()
        found = [
            s.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            for s in [opened, *accepted]
        ]
        await runner.cleanup()
        return found

    assert context.loop.run_until_complete(accept()) == [0, 0]


@when('the packets of the host to the server are lost for {seconds:g} s')
def lose_packets(context, seconds):
    """Lose what arrives at the server on its open connections."""
    context.observer = RecordingObserver()
    context.connections.observer = context.observer
    for protocol in [
        protocol
        for held in context.connections._pooled.connector._conns.values()
        for protocol, _ in held
    ]:
        protocol.last_use._observer = context.observer
    for writer in context.servers[0].writers:
        accepted = writer.get_extra_info('socket')
        set_drop_filter(accepted, ['127.0.0.1'], prefix_bits=32)
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then('the connection has ended and its way counts as failed')
def check_ended(context):
    """Check the pool and what the observer was told."""
    assert not any(
        protocol.is_connected()
        for held in context.connections._pooled.connector._conns.values()
        for protocol, _ in held
    )
    assert context.observer.failures == [context.servers[0].address]
