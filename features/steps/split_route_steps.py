"""Steps with routes that several services share, on virtual time."""

import asyncio
import random

from behave import given, then, when
from forwarding_steps import RecordingSink, shop_request
from job_memory_steps import check_results
from memory_site import HOST, MemorySite, job_spec

from anvilcove.control.desired import STREAM, Target
from anvilcove.decisions.service_choice import service_order
from anvilcove.standins.memory_engines import EVENT_PERIOD_S

DEADLINE_S = 2.0
# Pause between the events of an item, as on the users' sites.
EVENT_S = 0.15
NAMES = {'jobs': 'job', 'requests': 'shop', 'streams': 'shop'}
NAMES['reward calls'] = 'reward'
FIRST = {'job': 'llm', 'shop': 'app', 'reward': 'app'}


def start_site(context, engines, servers, others, kind):
    """Start daemons; the last endpoints of a kind are of another service."""
    context.memory = site = MemorySite(engines=engines, servers=servers)
    context.add_cleanup(site.close)
    context.version = 1
    addresses = {
        'llm': [engine.address for engine in site.engines],
        'app': site.server_addresses,
    }[kind]
    for address in addresses[len(addresses) - others :]:
        site.service_by_address[address] = f'{kind}-b'
    for engine in site.engines:
        site.write_engine(engine)
    for address in site.server_addresses:
        site.write_server(address)
    for seed, name in enumerate('abc'):
        site.start(name, seed=seed + 1)
    site.pass_time(1.0)


@given('a platform with {count:d} engines of llm and {others:d} of llm-b')
def start_engines(context, count, others):
    """Start a site with two services of engines."""
    start_site(context, count + others, 3, others, 'llm')
    for engine in context.memory.engines:
        engine.slowdown = EVENT_S / EVENT_PERIOD_S


@given('a platform with {count:d} servers of app and {others:d} of app-b')
def start_servers(context, count, others):
    """Start a site with two services that are not engines."""
    start_site(context, 11, count + others, others, 'app')


def split(context, route, first, second, **changes):
    """Write a desired state with weights of a route."""
    site, name = context.memory, NAMES[route]
    service = FIRST[name]
    site.split_by_route[name] = [
        (service, float(first)),
        (f'{service}-b', float(second)),
    ]
    context.weights = {service: first, f'{service}-b': second}
    context.version += 1
    site.write_operator(context.version, **changes)


@given('the route of {route} is split {first:d} to {second:d}')
@when('the route of {route} is split {first:d} to {second:d}')
def split_route(context, route, first, second):
    """Split a route and let the daemons read it."""
    changes = {'shop_kind': STREAM} if route == 'streams' else {}
    split(context, route, first, second, **changes)
    context.memory.pass_time(0.6)


@when('the weights of the route of jobs change {count:d} times within {s:d} s')
def change_weights(context, count, s):
    """Split the route in other ways, also to one service alone."""
    rng = random.Random(67)
    for _ in range(count):
        first = rng.choice([0, 10, 50, 90, 100])
        split(context, 'jobs', first, 100 - first)
        context.memory.pass_time(s / count)


@when(
    'daemon {name} accepts job {job} with {count:d} items in groups of '
    '{size:d}, run {at_once:d} at a time'
)
def accept_in_turn(context, name, job, count, size, at_once):
    """Submit small jobs, so that the engines are never full."""
    daemon = context.memory.daemons[name]
    for number in range(count // at_once):
        spec = job_spec(f'{job}x{number}', at_once, group=size)
        context.memory.run(daemon.intake.accept(spec, deadline_at_s=1e9))
        context.memory.pass_time(2.0)


@when('all servers of {service} are gone')
def remove_servers(context, service):
    """Remove their entries, and let nothing connect to them."""
    site = context.memory
    for address in site.server_addresses:
        if site.service_by_address.get(address, 'app') == service:
            site.crashes.down.add(address)
            site.remove('servers', address)


@when('{count:d} requests come at daemon {name} within 1 s')
def send_requests(context, count, name):
    """Send requests one after the other, with answers awaited at the end."""
    site = context.memory
    service = site.daemons[name].service

    async def send_one(number):
        await asyncio.sleep(number / count)
        request = shop_request(site, number, DEADLINE_S)
        route = service.route(HOST, request.path)
        return (await service.forward(request, route)).status

    async def send():
        return await asyncio.gather(*map(send_one, range(count)))

    context.answers = site.run(send())


@then('all of them are answered 200')
def check_answers(context):
    """Check the statuses."""
    assert set(context.answers) == {200}, context.answers


@when('{count:d} streams come at daemon {name}')
def send_streams(context, count, name):
    """Request streams in turn."""
    site = context.memory
    service = site.daemons[name].service

    async def request(number):
        sink = RecordingSink()
        sent = shop_request(site, number, DEADLINE_S)
        answer = await service.stream(
            sent, service.route(HOST, sent.path), sink
        )
        return None if answer is None else answer.status

    context.answers = [site.run(request(n)) for n in range(count)]


@then('all of them are whole')
def check_streams(context):
    """Check that no other answer was returned."""
    assert set(context.answers) == {None}, context.answers


@then('{seconds:d} s later all items of job {job} are listed as completed')
def check_items(context, seconds, job):
    """Let the time of a step pass and read the results."""
    context.memory.pass_time(seconds)
    check_results(context, 'b', 208, job)


def runs_by_service(context):
    """Return the number of items that began at the engines of each service."""
    site = context.memory
    found = {}
    for (_, number), address in site.engine_client.made_by.items():
        if number == 1:
            service = site.service_by_address.get(address, 'llm')
            found[service] = found.get(service, 0) + 1
    return found


@then('no engine of a service without a weight has run an item')
def check_unused(context):
    """Compare the services that ran items with the weights."""
    used = runs_by_service(context)
    allowed = {name for name, weight in context.weights.items() if weight}
    assert set(used) <= allowed, used


@then('between {low:d} and {high:d} percent of the items ran at {service}')
def check_share(context, low, high, service):
    """Check the share of a service."""
    used = runs_by_service(context)
    share = 100 * used[service] / sum(used.values())
    assert low <= share <= high, used


def orders(weights, count=10_000):
    """Return the order of services for each of the keys."""
    targets = [Target(name, weight) for name, weight in weights.items()]
    return [service_order(targets, f'key-{n}') for n in range(count)]


@then(
    'of {count:d} keys about {percent:d} percent prefer a service of weight '
    '3 to 1'
)
def check_preference(context, count, percent):
    """Count the keys by their first service."""
    first = [order[0] for order in orders({'a': 3.0, 'b': 1.0}, count)]
    share = 100 * first.count('a') / count
    assert abs(share - percent) < 2, share


@then(
    'about {percent:d} percent of the keys move when weight {old:d} becomes '
    '{new:d}'
)
def check_moves(context, percent, old, new):
    """Compare the orders before and after a change."""
    before = orders({'a': float(old), 'b': 1.0})
    after = orders({'a': float(new), 'b': 1.0})
    moved = sum(x[0] != y[0] for x, y in zip(before, after, strict=True))
    share = 100 * moved / len(before)
    assert abs(share - percent) < 2, share


@then('a service that is left out changes no other order')
def check_left_out(context):
    """Compare the orders with those of fewer services."""
    three = orders({'a': 3.0, 'b': 1.0, 'c': 2.0})
    two = orders({'a': 3.0, 'b': 1.0})
    for order, rest in zip(three, two, strict=True):
        assert [name for name in order if name != 'c'] == rest


@then('a service of weight 0 or less gets nothing unless all are so')
def check_weights(context):
    """Check the services that are in the orders."""
    assert all(x == ['a'] for x in orders({'a': 1.0, 'b': 0.0, 'c': -1.0}))
    assert all(len(x) == 2 for x in orders({'a': 0.0, 'b': 0.0}))
