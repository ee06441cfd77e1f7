"""Steps with endpoints that name a limit, on virtual time."""

import asyncio
import random

from behave import given, then, when
from crashing_content_steps import send_body
from memory_site import SHOP, MemorySite

from anvilcove.ports.reports import EndpointReport

NAMED_AFTER_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5


def numbers_of(text):
    """Return the numbers in a list such as `0, 1 and 2`."""
    return [int(n) for n in text.replace(' and', ',').split(', ')]


@given('a platform with {services:d} services and {count:d} daemons')
def start_platform(context, services, count):
    """Start a platform in memory and wait until the daemons know it."""
    context.memory = site = MemorySite(servers=services)
    context.add_cleanup(site.close)
    for number in range(count):
        site.start(f'd{number}', seed=number)
    site.pass_time(3.0)


@given('services {numbers} take {limit:g} requests a second')
@when('services {numbers} take {limit:g} requests a second')
def name_limit(context, numbers, limit):
    """Let services name a limit in their answers."""
    site = context.memory
    context.named_at_s = site.loop.time()
    for number in numbers_of(numbers):
        site.servers.report_by_address[site.server_addresses[number]] = (
            EndpointReport(limit_per_s=limit)
        )


async def send_at_rate(context, rate, seconds):
    """Send requests at random times to random daemons; keep the answers."""
    rng = random.Random(1)
    loop = asyncio.get_running_loop()
    sending = []

    async def send_one(number):
        name = rng.choice(sorted(context.memory.tasks))
        started_at_s = loop.time()
        answer = await send_body(
            context, name, f'{SHOP}{number}', f'rate {number}'.encode()
        )
        context.answers.append(answer)
        context.latencies_s.append(loop.time() - started_at_s)

    end_at_s = loop.time() + seconds
    while loop.time() < end_at_s:
        await asyncio.sleep(rng.expovariate(rate))
        sending.append(asyncio.create_task(send_one(len(sending))))
    await asyncio.gather(*sending)


@when('{rate:d} requests a second arrive at all daemons for {seconds:d} s')
def send_requests(context, rate, seconds):
    """Send requests and keep their answers."""
    context.answers, context.latencies_s = [], []
    context.memory.run(send_at_rate(context, rate, seconds))


def check_windows(times_s, named_at_s, limit, name):
    """Check the number of requests in each window of time."""
    late_s = sorted(t for t in times_s if t >= named_at_s + NAMED_AFTER_S)
    allowed = LIMIT_FACTOR * limit * WINDOW_S + EXTRA_REQUESTS
    for position, start_s in enumerate(late_s):
        count = sum(t < start_s + WINDOW_S for t in late_s[position:])
        assert count <= allowed, (name, count, allowed)


@then('no service got more requests than its limit allows')
def check_limits(context):
    """Check each service that names a limit."""
    servers = context.memory.servers
    assert servers.report_by_address
    for address, report in servers.report_by_address.items():
        times_s = [
            at_s
            for (run_address, _), at_s in zip(
                servers.runs, servers.run_at_s, strict=True
            )
            if run_address == address
        ]
        check_windows(times_s, context.named_at_s, report.limit_per_s, address)


@then('all of the requests were answered')
def check_all_answered(context):
    """Check the status of each answer."""
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200}, {s: statuses.count(s) for s in statuses}


@when('no service names a limit any more')
def end_limits(context):
    """Let all services answer without a limit."""
    context.memory.servers.report_by_address.clear()


@when(
    'a daemon is killed and {rate:d} requests a second arrive for '
    '{seconds:d} s, {count:d} times'
)
def kill_daemons(context, rate, seconds, count):
    """Kill one daemon after the other while requests arrive."""
    site = context.memory
    for _ in range(count):
        site.kill(sorted(site.tasks)[0])
        site.run(send_at_rate(context, rate, seconds))


@given('the daemons cannot reach each other for permits')
def cut_daemons(context):
    """Let no call for permits be answered."""
    context.memory.permits_by_peer.clear()


@given('engines {numbers} take {limit:g} requests a second')
def name_engine_limit(context, numbers, limit):
    """Let engines name a limit in their answers."""
    site = context.memory
    context.named_at_s = site.loop.time()
    for number in numbers_of(numbers):
        site.engines[number].report = EndpointReport(limit_per_s=limit)


@then('no engine got more requests than its limit allows')
def check_engine_limits(context):
    """Check each engine that names a limit."""
    for engine in context.memory.engines:
        limit = engine.report.limit_per_s
        if limit is not None:
            check_windows(
                engine.run_at_s, context.named_at_s, limit, engine.address
            )


@then('the services got at least {share:g} of what they take')
def check_used(context, share):
    """Check that the limits are used from 3 s after their naming."""
    site = context.memory
    since_s = context.named_at_s + NAMED_AFTER_S
    limits = [r.limit_per_s for r in site.servers.report_by_address.values()]
    expected = share * sum(limits) * (site.loop.time() - since_s)
    found = sum(t >= since_s for t in site.servers.run_at_s)
    assert found >= expected, (found, expected)


@then(
    'each refused request was refused within {seconds:g} s, with a '
    'Retry-After time'
)
def check_prompt(context, seconds):
    """Check that no refused request was held."""
    refused = 0
    for answer, latency_s in zip(
        context.answers, context.latencies_s, strict=True
    ):
        if answer.status != 200:
            refused += 1
            assert answer.status == 503 and answer.retry_after_s, answer
            assert latency_s <= seconds, latency_s
    assert refused


@then('no daemon knows a limit')
def check_no_limit(context):
    """Check what the daemons know of their endpoints."""
    for name, daemon in context.memory.daemons.items():
        assert not daemon.registry.view.limited_ids, name
