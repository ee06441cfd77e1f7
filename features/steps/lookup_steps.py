"""Steps for the hosts that lookups name."""

import random
from collections import Counter
from pathlib import Path

from behave import given, then, when
from msgspec import UNSET, msgpack

from anvilcove.control.node_rows import NodeRow
from anvilcove.control.nodes import NodeDirectory
from anvilcove.decisions.lookups import AllHosts, HostsByCapacity, LookupHost
from anvilcove.platform.settings import load_node_settings
from anvilcove.settings.node import HostLimits
from anvilcove.standins.virtual_loop import LoopClock

SETTINGS_FILE = """node-name = "h0"
zone = "z"
ip = "10.0.0.1"
internal-ports = [7001, 7002]
lookups = "{lookups}"
[listen]
frontend = "10.0.0.1:80"
ready = "10.0.0.1:81"
registry = "10.0.0.1:82"
[platform]
address = "10.0.0.9:90"
"""


@given(
    '{count:d} hosts of {low:g} to {high:g} cores in {centres:d} data centres'
)
def describe_hosts(context, count, low, high, centres):
    """Describe hosts whose capacities lie evenly between two values."""
    context.hosts = [
        LookupHost(
            f'h{n}',
            f'a{n:03}',
            f'z{n % centres}',
            low + (high - low) * n / (count - 1),
        )
        for n in range(count)
    ]


@when('{count:d} callers look up the hosts in as many time slots')
def look_up(context, count):
    """Keep the answers of both policies."""
    context.answers = {
        policy: [
            policy().choose(2.0 * n, context.hosts, random.Random(n))
            for n in range(count)
        ]
        for policy in (AllHosts, HostsByCapacity)
    }


def busiest(context, policy):
    """Return the highest load by capacity, if callers choose at random."""
    load = Counter()
    for answer in context.answers[policy]:
        for address in answer:
            load[address] += 1 / len(answer)
    return max(load[host.address] / host.capacity for host in context.hosts)


@then(
    'the busiest host relative to its capacity has at most {share:g} of naive'
)
def check_busiest(context, share):
    """Compare the load of the busiest host with that of the naive policy."""
    ratio = busiest(context, HostsByCapacity) / busiest(context, AllHosts)
    assert ratio <= share, ratio


@then('each answer names at least half of the hosts of each data centre')
def check_half(context):
    """Count the hosts of each data centre in each answer."""
    centre = {host.address: host.data_centre for host in context.hosts}
    total = Counter(centre.values())
    for answer in context.answers[HostsByCapacity]:
        named = Counter(centre[address] for address in answer)
        assert all(2 * named[z] >= total[z] for z in total), named


@then('the answers are the same as those of naive')
def check_same(context):
    """Compare the answers."""
    assert context.answers[HostsByCapacity] == context.answers[AllHosts]


def known_row(context, name, other):
    """Return the row of a daemon as another one knows it."""
    return context.memory.daemons[name].nodes.by_host[other]


@then(
    'daemon {name} knows no capacity of daemon {other} and its row has no '
    'such field'
)
def check_unknown(context, name, other):
    """Check the row and its encoding."""
    row = known_row(context, name, other)
    assert row.capacity is UNSET, row
    assert 'capacity' not in msgpack.decode(msgpack.encode(row))


@when('the limits of daemon {name} become {fraction:g} of {cores:g} cores')
def set_limits(context, name, fraction, cores):
    """Change the limits as a reload does."""
    limits = HostLimits(cpu_fraction=fraction, cpu_cores=cores)
    context.memory.daemons[name].settings.limits = limits


@then('daemon {name} knows a capacity of {capacity:g} of daemon {other}')
def check_capacity(context, name, capacity, other):
    """Check the announced capacity."""
    assert known_row(context, name, other).capacity == capacity


@given('a daemon with lookups "{lookups}" among hosts of 0.5 to 2 cores')
def load_settings_of_lookups(context, lookups):
    """Read settings with a policy, and the rows of 16 other hosts."""
    path = Path(context.folder) / 'settings.toml'
    path.write_text(SETTINGS_FILE.format(lookups=lookups))
    context.clock = LoopClock(context.loop)
    context.nodes = NodeDirectory(
        load_node_settings(path), None, context.clock, 'n0'
    )
    context.nodes.by_host = {
        f'h{n}': NodeRow(
            f'h{n}',
            'n',
            'z',
            '',
            f'a{n}',
            '',
            1,
            False,
            False,
            capacity=n / 10,
        )
        for n in range(5, 21)
    }


@then('{share:g} of the hosts or fewer are in all of 20 of its answers')
def check_named(context, share):
    """Count the hosts that no answer leaves out."""
    named = set(context.nodes.by_host)
    for number in range(20):
        context.clock.ahead_s = 2.0 * number
        answer = context.nodes.caller_addresses(
            '', False, False, random.Random(number)
        )
        named &= {address.replace('a', 'h') for address in answer}
    assert len(named) <= share * len(context.nodes.by_host), named


@then('all hosts are in all of 20 of its answers')
def check_all_named(context):
    """Check that no answer leaves a host out."""
    for number in range(20):
        context.clock.ahead_s = 2.0 * number
        answer = context.nodes.caller_addresses(
            '', False, False, random.Random(number)
        )
        assert len(answer) == len(context.nodes.by_host), answer
