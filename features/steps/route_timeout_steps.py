"""Steps with servers that are silent and the timeouts of routes."""

import asyncio

from behave import given, then, when
from forwarding_steps import RecordingSink, shop_request
from memory_site import HOST, job_spec

from anvilcove.control.desired import SAFE, STREAM
from anvilcove.proxy.streams import StreamBroken

# Virtual time by which an answer may be late, as timers have a resolution.
TOLERANCE_S = 0.05
KINDS = {
    'plain': (SAFE, False),
    'streamed': (STREAM, False),
    'resumable stream': (STREAM, True),
}


@given('the shop route serves {kind} requests with a timeout of {timeout:g} s')
def write_route(context, kind, timeout):
    """Change the kind and the timeout of the shop route."""
    context.kind, resumable = KINDS[kind]
    context.memory.write_operator(
        version=2,
        shop_kind=context.kind,
        resumable=resumable,
        shop_timeout_s=timeout,
    )
    context.memory.pass_time(1.0)


@given('all services run requests and answer nothing')
def silence(context):
    """Let services run requests and streams without an answer."""
    site = context.memory
    site.servers.silent.update(site.server_addresses)
    site.streams.silent.update(site.server_addresses)


@given('service {number:d} runs streams and answers nothing')
def silence_streams(context, number):
    """Let one service run streams without an answer."""
    site = context.memory
    site.streams.silent.add(site.server_addresses[number])


@given('the first service asked for a stream answers nothing')
def silence_first(context):
    """Let only the first stream be silent."""
    context.memory.streams.silent_count = 1


@given('all services send only comments after {count:d} events')
def stall_all(context, count):
    """Let all streams stall."""
    context.memory.streams.stall_all = count


@given('no peer answers calls about origins')
def silence_peers(context):
    """Let calls about origins end at their time limit."""
    context.memory.origins_by_peer.clear()


async def request(context, name, number, deadline_s):
    """Send a request; keep what its caller gets, and after which time."""
    site = context.memory
    service = site.daemons[name].service
    sent = shop_request(site, number, deadline_s)
    route, sink = service.route(HOST, sent.path), RecordingSink()
    began_s = site.loop.time()
    try:
        if context.kind == STREAM:
            answer = await service.stream(sent, route, sink)
        else:
            answer = await service.forward(sent, route)
    except StreamBroken as error:
        answer = error
    context.outcomes.append((answer, sink, site.loop.time() - began_s))


@when(
    '{count:d} requests with a deadline of {deadline:g} s arrive at daemon '
    '{name} together'
)
def send_together(context, count, deadline, name):
    """Send requests at the same time."""
    context.outcomes = []

    async def send_all():
        await asyncio.gather(
            *(request(context, name, n, deadline) for n in range(count))
        )

    context.memory.run(send_all())


@when(
    '{count:d} streams with a deadline of {deadline:g} s arrive at daemon '
    '{name}, one each {pause:g} s'
)
def send_in_turn(context, count, deadline, name, pause):
    """Send requests that overlap."""
    context.outcomes = []

    async def send_all():
        tasks = []
        for number in range(count):
            tasks.append(
                asyncio.create_task(request(context, name, number, deadline))
            )
            await asyncio.sleep(pause)
        await asyncio.gather(*tasks)

    context.memory.run(send_all())


@then('each of them ends with status {status:d} after {seconds:g} s')
def check_status(context, status, seconds):
    """Check status and time of each answer."""
    assert context.outcomes
    for answer, sink, took_s in context.outcomes:
        assert answer.status == status, (answer, took_s)
        assert sink.starts == 0
        assert abs(took_s - seconds) <= TOLERANCE_S, took_s


@then(
    'each of them is broken after {count:d} events and {seconds:g} s, without '
    'an end'
)
def check_broken(context, count, seconds):
    """Check that the caller sees the break, at the right time."""
    for answer, sink, took_s in context.outcomes:
        assert isinstance(answer, StreamBroken), answer
        assert sink.data.count(b'id: ') == count, sink.data
        assert abs(took_s - seconds) <= TOLERANCE_S, took_s


@then('each of them gets the events 1 to {last:d} within {seconds:g} s')
def check_events(context, last, seconds):
    """Check that the streams are whole."""
    for answer, sink, took_s in context.outcomes:
        assert answer is None, answer
        assert sink.data.count(b'id: ') == last, sink.data
        assert took_s <= seconds, took_s


@then('no service counts as failing')
def check_sound(context):
    """Check that no service was ejected."""
    view = context.memory.daemons['a'].registry.view
    assert all(s.ejected_until_s == 0 for s in view.by_id.values())


@then('at most {count:d} of them reached service {number:d}')
def check_avoided(context, count, number):
    """Count the runs at the silent service."""
    site = context.memory
    address = site.server_addresses[number]
    runs = [where for where, _ in site.streams.runs if where == address]
    assert 0 < len(runs) <= count, len(runs)


@given('the job route has a timeout of {timeout:g} s')
def write_job_route(context, timeout):
    """Change the timeout of the job route."""
    context.memory.write_operator(version=2, job_timeout_s=timeout)
    context.memory.pass_time(1.0)


@given('the store answers no writes')
def silence_store(context):
    """Let writes wait for a minute."""
    site = context.memory

    async def hang(change):
        await asyncio.sleep(60.0)

    site.store.transact = hang


@when('a job is submitted to daemon {name}')
def submit(context, name):
    """Submit a job and keep the answer and its time."""
    site = context.memory
    service = site.daemons[name].service
    spec = job_spec('j1')
    route = service.route(HOST, spec.path)
    began_s = site.loop.time()
    context.answer = site.run(service.submit(spec, route))
    context.took_s = site.loop.time() - began_s


@then('it is answered without an acceptance within {seconds:g} s')
def check_submission(context, seconds):
    """Check that the trainer does not wait."""
    assert context.answer.status in (502, 503), context.answer
    assert context.took_s <= seconds, context.took_s
