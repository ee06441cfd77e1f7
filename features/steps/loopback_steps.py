"""Steps for the reservation of loopback addresses."""

import asyncio
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from site_steps import run, wait_for

from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.site import CALLERS_PORT, EXTRA, HOST, SHOP, LoopbackSite
from anvilcove.standins import loopback
from anvilcove.standins.loopback import LoopbackSubnet

RESERVE = (
    'from anvilcove.standins.loopback import LoopbackSubnet\n'
    'print(LoopbackSubnet().number)'
)
PORT_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
ROUTE_IS_UNKNOWN = 404


@given('{count:d} reserved loopback subnets')
def reserve_subnets(context, count):
    """Reserve subnets until the scenario ends."""
    context.subnets = [LoopbackSubnet() for _ in range(count)]
    for subnet in context.subnets:
        context.add_cleanup(subnet.release)


@then('they differ from each other and from one that another process reserves')
def check_subnets_differ(context):
    """Reserve one more in another process."""
    numbers = {subnet.number for subnet in context.subnets}
    assert len(numbers) == len(context.subnets), numbers
    output = subprocess.check_output([sys.executable, '-c', RESERVE])
    assert int(output) not in numbers, (output, numbers)


@given('a process that inherits the reservation')
def start_heir(context):
    """Start a process that waits until it is killed."""
    context.heir = subprocess.Popen(
        [sys.executable, '-c', 'input()'],
        stdin=subprocess.PIPE,
        pass_fds=context.subnets[0].descriptors(),
    )
    context.add_cleanup(context.heir.stdin.close)
    context.add_cleanup(context.heir.kill)


@when('the reservation is released')
def release(context):
    """End the reservation of this process."""
    context.subnets[0].release()


@when('the process is killed')
def kill_heir(context):
    """Kill the process and wait until it has ended."""
    context.heir.kill()
    context.heir.wait()


def is_free(number):
    """Return whether a subnet can be reserved."""
    try:
        LoopbackSubnet([number]).release()
    except OSError:
        return False
    return True


@then('the subnet is free')
def check_free(context):
    """Reserve and release the subnet."""
    assert is_free(context.subnets[0].number)


@then('the subnet is not free')
def check_not_free(context):
    """Try to reserve the subnet."""
    assert not is_free(context.subnets[0].number)


@then('its ports are below those of outgoing connections')
def check_ports(context):
    """Compare the ports with the range of the system."""
    first = int(PORT_RANGE.read_text().split()[0])
    ports = [
        value
        for name, value in vars(loopback).items()
        if name.endswith('_PORT')
    ]
    assert len(ports) == len(set(ports)) and max(ports) < first, ports


class Sites:
    """Soak sites that are stopped together."""

    def __init__(self, sites):
        """Store the sites."""
        self.sites = sites

    async def stop(self):
        """Stop every site."""
        await asyncio.gather(*(site.stop() for site in self.sites))


async def status_of(context, site, prefix):
    """Return the status of a request to the daemon, 0 if there is none."""
    try:
        async with context.session.post(
            f'http://{site.daemons[0].ip}:{CALLERS_PORT}{prefix}a',
            headers=request_headers(HOST, 'a', 2.0),
        ) as response:
            return response.status
    except OSError:
        return 0


@given('two soak sites of 1 daemon at once')
def start_two_sites(context):
    """Start both and wait until each answers a request."""

    async def start():
        sites = []
        context.site = Sites(sites)
        for name in 'ab':
            folder = context.folder / name
            folder.mkdir()
            sites.append(LoopbackSite(folder, 1, engines=1, servers=1))
            await sites[-1].start()
        for site in sites:
            await wait_for(lambda s=site: answers(context, s, SHOP))

    run(context, start())


async def answers(context, site, prefix):
    """Return whether the daemon of a site answers a request."""
    return await status_of(context, site, prefix) == 200


@when('the desired state of the first gets one more route')
def add_route(context):
    """Write a desired state with one more route to one store."""
    context.site.sites[0].write_config(2, extra=True)


@then('the daemon of the first serves the route, that of the second does not')
def check_routes(context):
    """Wait until the first applied it; the second must not know it."""
    first, second = context.site.sites
    run(context, wait_for(lambda: answers(context, first, EXTRA)))
    status = run(context, status_of(context, second, EXTRA))
    assert status == ROUTE_IS_UNKNOWN, status
