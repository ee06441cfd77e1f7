"""Steps that run stand-ins in the process of the tests."""

import asyncio
import json
import time
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace

from aiohttp import ClientSession, TCPConnector, web
from behave import given, then, when
from site_steps import run, wait_for

from anvilcove.messages.base import encode
from anvilcove.messages.engines import Generate, TokenEvent
from anvilcove.messages.membership import HostMember, Members
from anvilcove.messages.services import ServiceCall
from anvilcove.messages.table import Put, Transaction
from anvilcove.native.engines import HttpEngine
from anvilcove.native.membership import HttpMembership
from anvilcove.native.services import HttpService
from anvilcove.native.table import HttpTable
from anvilcove.ports import errors
from anvilcove.settings.daemon import AdapterSettings
from anvilcove.standins.batch import EngineOptions
from anvilcove.standins.engine import EngineStandin
from anvilcove.standins.platform import PlatformOptions, PlatformStandin
from anvilcove.standins.service import ServiceOptions, ServiceStandin

LONG_DELAY_S = 5.0
SHORT_TIMEOUT_S = 1.0
LONG_TIMEOUT_S = 30.0
PREFILL_S = 0.002


class Servers(AsyncExitStack):
    """Cleanup of a scenario; the hooks stop it in place of a site."""

    stop = AsyncExitStack.aclose


def stop_after_scenario(context, stop):
    """Call `stop` at the end of the scenario, in reverse order of adding."""
    context.site = context.site or Servers()
    context.site.push_async_callback(stop)


async def serve(context, app, ip='127.0.0.1'):
    """Serve an application until the scenario ends; return its address."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, ip, 0)
    await site.start()
    context.runner = runner
    stop_after_scenario(context, runner.cleanup)
    return '{}:{}'.format(*runner.addresses[0][:2])


def build_standin(kind, full):
    """Create a stand-in; one that is full refuses every request."""
    queue = -1 if full else 64
    if kind == 'platform':
        return PlatformStandin(PlatformOptions(store_time_s=0.0))
    if kind == 'engine':
        return EngineStandin(
            EngineOptions(
                endpoint='e',
                model='m',
                slots=1,
                queue=queue,
                token_time_s=0.001,
                prefill_s=PREFILL_S,
                cache_prefixes=1,
                switch_s=0.0,
            )
        )
    return ServiceStandin(
        ServiceOptions(
            endpoint='s', pool=kind, workers=1, queue=queue, service_time_s=0.0
        )
    )


@given('a stand-in {kind} with faults {faults}')
def start_standin(context, kind, faults):
    """Serve a stand-in with a manual clock and delays that a step ends."""
    faults = json.loads(faults)
    standin = build_standin(kind, faults.pop('full', False))
    clock = context.clock = SimpleNamespace(now=1000.0)
    context.delay_ended = asyncio.Event()
    context.crashed = asyncio.Event()

    async def sleep(delay_s):
        if delay_s >= LONG_DELAY_S:
            await context.delay_ended.wait()

    async def end_delays():
        context.delay_ended.set()
        if kind == 'engine':
            standin.batch.cancel('r')

    def crash(status):
        context.crashed.set()
        raise asyncio.CancelledError

    standin.now = lambda: clock.now
    standin.sleep, standin.exit = sleep, crash
    standin.set_faults(faults)
    context.standin = standin
    context.address = run(context, serve(context, standin.app()))
    stop_after_scenario(context, end_delays)
    context.engine = HttpEngine(context.address, context.session)
    context.service = HttpService(context.address, context.session)
    timeout_s = (
        SHORT_TIMEOUT_S if 'store_delay_s' in faults else LONG_TIMEOUT_S
    )
    context.settings = AdapterSettings(
        address=context.address, timeout_ms=int(timeout_s * 1000)
    )
    context.store = HttpTable(context.settings, context.session)


async def put_data(context, path, data):
    """Send a PUT request with data to the stand-in."""
    url = f'http://{context.address}/{path}'
    async with context.session.put(url, data=data) as response:
        assert response.status == 200


@when('the stand-in faults become {faults}')
def change_faults(context, faults):
    """Change the fault switches over HTTP."""
    run(context, put_data(context, 'faults', faults))


@when('the stand-in clock advances by {seconds:d} s')
def advance(context, seconds):
    """Advance the clock of the stand-in."""
    context.clock.now += seconds


async def attempt(context, coroutine):
    """Return how a call ends: 'success', 'crash' or the type of its error."""
    call = asyncio.ensure_future(coroutine)
    crash = asyncio.ensure_future(context.crashed.wait())
    await asyncio.wait({call, crash}, return_when=asyncio.FIRST_COMPLETED)
    if crash.done():
        call.cancel()
        return 'crash'
    crash.cancel()
    try:
        context.result = await call
    except errors.PlatformError as error:
        return type(error).__name__
    return 'success'


@when('row "{key}" is written to the stand-in')
def write_row(context, key):
    """Write a row and keep how the call ends."""
    change = Transaction(puts=[Put(key=key, value={})])
    context.call_result = run(
        context, attempt(context, context.store.transact(change))
    )


@then('the stand-in call ends with {result} and the row is {row}')
def check_row(context, result, row):
    """Check how the call ended and whether the store holds the row."""
    assert context.call_result == result, context.call_result
    assert ('a' in context.standin.rows) == (row == 'present')


@then('the row appears when the delay ends')
def check_late_row(context):
    """End the delay and wait for the write."""

    async def written():
        return 'a' in context.standin.rows

    context.delay_ended.set()
    run(context, wait_for(written))


@then(
    'the stand-in accepts {writes:d} of {all_writes:d} writes '
    'and {reads:d} of {all_reads:d} reads'
)
def check_rates(context, writes, all_writes, reads, all_reads):
    """Count the calls that succeed at one time of the clock."""

    async def check(call, accepted, times):
        ended = [await attempt(context, call()) for _ in range(times)]
        assert ended.count('success') == accepted, ended
        assert ended.count('StoreUnavailable') == times - accepted, ended

    store = context.store
    run(context, check(lambda: store.read(['a']), reads, all_reads))
    run(
        context,
        check(lambda: store.transact(Transaction()), writes, all_writes),
    )


@when('the membership list of the stand-in is set to host {host}')
def set_member(context, host):
    """Replace the membership list by a list of one host."""
    member = HostMember(host=host, address='10.0.0.1:80', data_centre='dc')
    data = encode(Members(hosts=[member]))
    run(context, put_data(context, 'members', data))


@asynccontextmanager
async def session_from(ip):
    """Open a session whose connections have a local address."""
    connector = TCPConnector(local_addr=(ip, 0), force_close=True)
    async with ClientSession(connector=connector) as session:
        yield session


@then('the stand-in lists {one} to {one_ip} and {other} to {other_ip}')
def check_members(context, one, one_ip, other, other_ip):
    """Read the list with connections from two addresses."""

    async def listed(ip):
        async with session_from(ip) as session:
            port = HttpMembership(context.settings, session)
            members = await port.members()
            return members.hosts[0].host

    assert run(context, listed(one_ip)) == one
    assert run(context, listed(other_ip)) == other


@then('the membership list of the stand-in is unavailable')
def check_no_members(context):
    """Check that reading the membership list fails."""
    port = HttpMembership(context.settings, context.session)
    ended = run(context, attempt(context, port.members()))
    assert ended == 'StoreUnavailable'


@then('two transfers of 1 MiB at 10 MiB/s take at least {seconds:f} s')
def check_transfers(context, seconds):
    """Read the weights twice concurrently and measure the time."""
    store = context.standin.weights
    store.size_bytes, store.bytes_per_s = 2**20, 10 * 2**20
    url = f'http://{context.address}/weights/m/1'

    async def transfer():
        async with context.session.get(url) as response:
            assert len(await response.read()) == 2**20

    async def both():
        await asyncio.gather(transfer(), transfer())

    start = time.monotonic()
    run(context, both())
    assert time.monotonic() - start >= seconds


async def generate(context, prompt, tokens=4, resume=0, name='r', **fields):
    """Generate and return the token events."""
    call = Generate(
        request_id=name,
        prompt=prompt,
        max_tokens=tokens,
        resume_tokens=['t'] * resume,
        **fields,
    )
    events = [event async for event in context.engine.generate(call)]
    return [event for event in events if isinstance(event, TokenEvent)]


async def generate_delayed(context, prompt):
    """Check that a late engine sends no answer until the delay ends."""

    async def finished():
        return not context.standin.batch.running

    call = asyncio.ensure_future(generate(context, prompt))
    await wait_for_event(context, 'started')
    await wait_for(finished)
    assert not call.done()
    context.delay_ended.set()
    return await call


async def wait_for_event(context, event):
    """Wait until the journal has an event."""

    async def found():
        return bool(lines(context, event))

    await wait_for(found)


def call_service(context, body, name='r'):
    """Call the service, with a short timeout if its answers are late."""
    late = context.standin.faults.get('late_s')
    return context.service.call(
        ServiceCall(request_id=name, body=body),
        SHORT_TIMEOUT_S if late else LONG_TIMEOUT_S,
    )


@when('the stand-in runs "{text}"')
def run_text(context, text):
    """Run a service call or a generation, whichever the stand-in serves."""
    if isinstance(context.standin, ServiceStandin):
        call = call_service(context, {'text': text})
    elif 'late_s' in context.standin.faults:
        call = generate_delayed(context, text)
    else:
        call = generate(context, text)
    context.call_result = run(context, attempt(context, call))


def lines(context, event):
    """Return the journal lines of an event."""
    journal = context.standin.journal
    return [line for line in journal if line['event'] == event]


@then('the stand-in call ends with {result} after {runs:d} runs')
def check_call(context, result, runs):
    """Check how the call ended and how often the stand-in ran it."""
    assert context.call_result == result, context.call_result
    assert len(lines(context, 'started')) == runs
    completed = [line['completed'] for line in lines(context, 'finished')]
    assert (True in completed) == (result == 'success'), completed


@when('the stand-in runs "{text}" until it has started')
def start_text(context, text):
    """Start a call that does not end before the scenario ends."""

    async def start():
        call = asyncio.ensure_future(call_service(context, {'text': text}))
        stop_after_scenario(
            context, lambda: asyncio.gather(call, return_exceptions=True)
        )
        await wait_for_event(context, 'started')

    context.standin.sleep = lambda _: context.delay_ended.wait()
    run(context, start())


@then('the stand-in reports {running:d} running as of {seconds:d} s ago')
def check_report(context, running, seconds):
    """Check the running calls and the time in a load report."""
    report = run(context, context.service.load())
    assert report.running == running, report
    assert report.reported_at_s == context.clock.now - seconds


@then('it scores "{one}" the same twice and "{other}" differently')
def check_scores(context, one, other):
    """Score one sample twice and another one once."""

    def score(text):
        call = call_service(context, {'tokens': text.split()})
        return run(context, call).answer['score']

    assert score(one) == score(one) != score(other)
