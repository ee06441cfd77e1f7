"""Steps for the relay and for sites behind it."""

import asyncio
import socket
import time

from behave import given, then, when
from site_steps import run, wait_for
from standin_steps import (
    attempt,
    call_service,
    lines,
    session_from,
    start_standin,
    stop_after_scenario,
)

from anvilcove.demo.site import Site, SiteShape
from anvilcove.native.services import HttpService
from anvilcove.standins.loopback import RELAY_PORT, LoopbackSubnet
from anvilcove.standins.network import Network, NetworkOptions, Relayed


def reserve_ip(context):
    """Reserve an IP address in casa-ain until the scenario ends."""
    subnet = LoopbackSubnet()

    async def release():
        subnet.release()

    stop_after_scenario(context, release)
    return subnet.ip(1, data_centre=1)


@given('a relay between casa-ain and casa-sidi')
def start_relay(context):
    """Serve a service of the first data centre through a relay."""
    start_standin(context, 'service', '{}')
    relayed = Relayed(
        advertised=f'{reserve_ip(context)}:{RELAY_PORT}',
        real=context.address,
        data_centre='casa-ain',
    )
    options = NetworkOptions(
        data_centres=['casa-ain', 'casa-sidi'],
        listeners=[relayed],
        client_latency_s=0.01,
    )
    context.network = Network(options)
    context.address = relayed.advertised
    stop_after_scenario(context, context.network.stop)

    async def listening():
        return context.network.listeners[0].is_open()

    run(context, context.network.start())
    run(context, wait_for(listening))


async def relayed_call(context, ip):
    """Call the service through the relay and return how the call ends."""
    async with session_from(ip) as session:
        context.service = HttpService(context.address, session)
        return await attempt(context, call_service(context, {}))


@then('a relayed call from {ip} takes at least {seconds:f} s')
def check_latency(context, ip, seconds):
    """Check the least duration of a call; it has no certain upper limit."""
    start = time.monotonic()
    assert run(context, relayed_call(context, ip)) == 'success'
    assert time.monotonic() - start >= seconds


@then('a relayed call from {ip} ends with {result}')
def check_relayed_call(context, ip, result):
    """Check how a call through the relay ends."""
    ended = run(context, relayed_call(context, ip))
    assert ended == result, ended


@when('casa-ain is cut off during a call from {ip}, which breaks')
def cut_during_call(context, ip):
    """Cut off the data centre of the server while a call runs."""

    async def second_started():
        return len(lines(context, 'started')) == 2

    async def cut():
        context.standin.sleep = lambda _: context.delay_ended.wait()
        call = asyncio.ensure_future(relayed_call(context, ip))
        await wait_for(second_started)
        context.network.cut('casa-ain')
        context.call_result = await call
        context.delay_ended.set()

    run(context, cut())
    assert context.call_result == 'EndpointCrashed', context.call_result


@when('the relay connects all data centres again')
def reconnect_all(context):
    """End the partition."""
    context.network.heal()


@when('the relayed server stops')
def stop_relayed(context):
    """Stop the server and wait until the relay closes its listener."""

    async def closed():
        return not context.network.listeners[0].is_open()

    run(context, context.runner.cleanup())
    context.network.listeners[0].request_probe()
    run(context, wait_for(closed))


@given('a site behind a relay')
def start_relayed_site(context):
    """Start a small site with a relay, mixed speeds and a scoring service."""
    shape = SiteShape(
        'test',
        ['casa-ain', 'casa-sidi'],
        1,
        ('advisor-llm', 2),
        ('account-app', 1),
        scoring=1,
    )
    context.site = Site(shape, context.folder, relay=True, mixed_speeds=True)
    context.site.plan()
    run(context, context.site.start(context.session))


def site_lines(context, name, event):
    """Return the lines with an event in the journal file of a stand-in."""
    return [x for x in context.site.read_journal(name) if x['event'] == event]


@then('endpoint {name} was called from the address of host {host}')
def check_source(context, name, host):
    """Check that the relay keeps the source address of the calls."""
    received = site_lines(context, name, 'received')
    sources = {line['source'].partition(':')[0] for line in received}
    ip = context.site.settings_by_host[host].outgoing_ip
    assert ip.startswith('127.1.') and sources == {ip}, (ip, sources)


@when('endpoint {name} crashes on the call {body} at host {host}')
def crash_endpoint(context, name, body, host):
    """Set the fault switch and send the content that triggers the crash."""
    context.crashed_endpoint = name
    switches = {'crash_on': 'poison'}
    run(context, context.site.set_faults(context.session, name, switches))
    context.execute_steps(
        f'When a caller sends {body} to class lookup at host {host}'
    )
    run(context, context.site.processes.by_name[name].wait())


@then('its journal file records the crash and it serves after a restart')
def check_crash_line(context):
    """Read the journal after the process has ended; restart the endpoint."""
    assert len(site_lines(context, context.crashed_endpoint, 'crashed')) == 1
    run(
        context,
        context.site.restart(context.session, context.crashed_endpoint),
    )


@then(
    'cutting {data_centre} off makes its host unreachable '
    'until it is reconnected'
)
def check_host_cut(context, data_centre):
    """Connect from an address of the other data centre."""
    address = context.site.members.hosts[0].address

    async def call_host():
        async with session_from('127.2.0.99') as session:
            service = HttpService(address, session)
            return await attempt(context, service.load())

    context.crashed = asyncio.Event()
    run(
        context, context.site.isolate_data_centre(context.session, data_centre)
    )
    ended = run(context, call_host())
    assert ended == 'EndpointNotRun', ended
    run(context, context.site.reconnect_data_centres(context.session))
    ended = run(context, call_host())
    assert ended == 'EndpointFailed', ended


@given('a relayed server whose advertised port is taken')
def start_relay_without_port(context):
    """Bind the advertised port to a socket that does not listen."""
    start_standin(context, 'service', '{}')
    context.port_socket = socket.socket()
    context.port_socket.bind((reserve_ip(context), 0))
    ip, port = context.port_socket.getsockname()
    relayed = Relayed(
        advertised=f'{ip}:{port}',
        real=context.address,
        data_centre='casa-ain',
    )
    options = NetworkOptions(data_centres=['casa-ain'], listeners=[relayed])
    context.network = Network(options)
    context.address = relayed.advertised
    stop_after_scenario(context, context.network.stop)
    run(context, context.network.start())
    run(context, asyncio.sleep(0.1))
    assert not context.network.listeners[0].is_open()


@when('the port becomes free')
def free_the_port(context):
    """Close the socket that is bound to the port."""
    context.port_socket.close()


@then('the relay accepts connections at the advertised port')
def check_relay_open(context):
    """Wait until a call through the relay succeeds."""

    async def succeeds():
        return await relayed_call(context, '127.1.0.9') == 'success'

    run(context, wait_for(succeeds))
