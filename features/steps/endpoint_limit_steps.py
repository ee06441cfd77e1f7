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
