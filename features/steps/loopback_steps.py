"""Steps for the reservation of loopback addresses."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from anvilcove.standins import loopback
from anvilcove.standins.loopback import LoopbackSubnet

RESERVE = (
    'from anvilcove.standins.loopback import LoopbackSubnet\n'
    'print(LoopbackSubnet().number)'
)
PORT_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


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
