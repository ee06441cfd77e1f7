"""Steps with endpoints of several software versions, on virtual time."""

import asyncio

from behave import given, then, when
from endpoint_limit_steps import numbers_of
from forwarding_steps import RecordingSink, shop_request
from memory_site import HOST

from anvilcove.proxy.streams import StreamBroken

DEADLINE_S = 5.0


@given('services {numbers} run software {version}')
def set_software(context, numbers, version):
    """Change the software version that services announce."""
    site = context.memory
    for number in numbers_of(numbers):
        address = site.server_addresses[number]
        site.software_by_address[address] = version
        site.write_server(address, started_ms=1)
    site.pass_time(1.0)


@given('each stream breaks off after {count:d} events and may be resumed')
def break_each(context, count):
    """Let the first run of each stream break off."""
    context.memory.streams.break_each = count


async def request_stream(context, name, number):
    """Request a stream and keep its data, or its error."""
    site = context.memory
    service = site.daemons[name].service
    sink = RecordingSink()
    request = shop_request(site, number, DEADLINE_S)
    context.sinks.append(sink)
    try:
        answer = await service.stream(
            request, service.route(HOST, request.path), sink
        )
        assert answer is None, answer
    except StreamBroken as error:
        context.stream_errors.append(str(error))


@when('{count:d} streams are requested from daemon {name} at the same time')
def request_streams(context, count, name):
    """Request streams together, so that they run at all endpoints."""
    context.sinks, context.stream_errors = [], []

    async def request_all():
        await asyncio.gather(
            *(request_stream(context, name, n) for n in range(count))
        )

    context.memory.run(request_all())


@then('no stream has events of two software versions')
def check_software(context):
    """Check the services that made the events of each stream."""
    site = context.memory
    versions = {}
    for (request_id, _), address in site.streams.made_by.items():
        version = site.software_by_address.get(address, 'v1')
        versions.setdefault(request_id, set()).add(version)
    mixed = {r: found for r, found in versions.items() if len(found) > 1}
    assert not mixed, mixed
    assert len(set().union(*versions.values())) == 2, versions
