"""Steps with the client of the interface, and a state machine of a duty."""

import asyncio
import socket
from contextlib import suppress
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from duty_steps import DUTY, check_order, fail, holders, start_site
from hypothesis import HealthCheck, Phase
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from memory_site import settings_of
from site_steps import run

from anvilcove.platform.duties import PlatformDuties
from anvilcove.platform.standin import serve
from anvilcove.platform.standin_duties import DutyStandin
from anvilcove.ports.duties import (
    DutyThrottled,
    DutyUnanswered,
    NoneAvailable,
    SizeOrder,
)
from anvilcove.settings.node import DutySettings
from anvilcove.standins.loopback import LISTEN_PORT, LoopbackSubnet

HELD_WITHIN_S = 6.0


@given('a stand-in of the interface that takes {rate:d} calls a second')
def serve_interface(context, rate):
    """Serve the interface on a loopback address."""
    subnet = LoopbackSubnet()
    context.add_cleanup(subnet.release)
    context.address = f'{subnet.ip(1)}:{LISTEN_PORT}'
    context.interface = DutyStandin(rate)
    context.runner = run(
        context, serve(context.interface.handle, context.address)
    )


@when('a report with fence {fence:d} meets an interface that {course}')
def report(context, fence, course):
    """Make a call and keep its error."""
    faults = context.interface.faults
    if course == 'resets connections':
        faults.resetting.add('*')
    elif course == 'loses its answer':
        faults.losing.add('*')
    elif course == 'accepts no connection':
        run(context, context.runner.cleanup())
    settings = settings_of('h')
    settings.duty_calls = DutySettings(context.address)

    async def call():
        async with PlatformDuties(settings) as client:
            if course == 'has no servers there':
                context.interface.unavailable.add('z')
                return await client.order_size(fence, SizeOrder('s', 'z', 2))
            for _ in range(3 if course == 'is over its rate' else 0):
                await client.report_usage(fence, 1, {'w0': 3})
            await client.report_usage(fence, 1, {'w0': 3})

    context.error = None
    try:
        run(context, call())
    except (DutyThrottled, DutyUnanswered, NoneAvailable) as error:
        context.error = error
    finally:
        run(context, context.runner.cleanup())


@when(
    'a report of {count:d} workspaces is given up as its server does not read'
)
def give_up_report(context, count):
    """Cancel a call of which most still waits at the client."""
    server = socket.socket()
    context.add_cleanup(server.close)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    server.bind(('127.0.0.1', 0))
    server.listen()
    server.setblocking(False)
    settings = settings_of('h')
    settings.source_ip = ''
    settings.duty_calls = DutySettings(f'127.0.0.1:{server.getsockname()[1]}')
    counts = {f'workspace-{number}': 1 for number in range(count)}
    context.sent_bytes = len(msgspec.json.encode(counts))

    async def call():
        loop = asyncio.get_running_loop()
        received = b''
        async with PlatformDuties(settings) as client:
            with suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await client.report_usage(7, 1, counts)
            # The event loop closes the connection in its next round.
            await asyncio.sleep(0.01)
            connection, _ = await loop.sock_accept(server)
            with connection, suppress(ConnectionResetError):
                while data := await loop.sock_recv(connection, 65536):
                    received += data
        return len(received)

    context.received_bytes = run(context, call())


@then("the server can't read the whole report afterwards")
def check_given_up(context):
    """Compare what the server could read with the report."""
    assert context.received_bytes < context.sent_bytes, context.received_bytes


@then(
    'the call {outcome} and {count:d} calls with fence {fence:d} have arrived'
)
def check_call(context, outcome, count, fence):
    """Check the error and what arrived."""
    kinds = {
        'is answered': type(None),
        'is throttled': DutyThrottled,
        'finds none available': NoneAvailable,
    }
    error = context.error
    assert isinstance(error, kinds.get(outcome, DutyUnanswered)), error
    if isinstance(error, DutyUnanswered):
        assert error.sent == (not outcome.endswith('unsent')), error
    calls = context.interface.calls
    assert len(calls) == count, calls
    for call in calls:
        assert (call.holder, call.fence) == ('h', fence), call
        assert call.body == {'window-id': 1, 'counts': {'w0': 3}}, call


class DutyMachine(RuleBasedStateMachine):
    """Faults in any order; the rules are checked after each."""

    hosts = 4

    def __init__(self):
        """Start the daemons and wait for a holder."""
        super().__init__()
        self.cleanups = []
        context = SimpleNamespace(add_cleanup=self.cleanups.append)
        start_site(context, self.hosts, [DUTY])
        self.site = context.memory
        self.site.pass_time(4.0)

    def teardown(self):
        """Check what arrived and end the daemons."""
        try:
            check_order(self.site.interface.calls)
        finally:
            for cleanup in self.cleanups:
                cleanup()

    def pass_time(self, seconds):
        """Let time pass; at no time may two daemons hold the duty."""
        for _ in range(round(seconds / 0.25)):
            self.site.pass_time(0.25)
            held = [h for h in holders(self.site) if not self.frozen(h)]
            assert len(held) <= 1, held

    def frozen(self, host):
        """Tell whether a daemon is frozen."""
        until_s = self.site.frozen_until_s.get(host, 0.0)
        return self.site.loop.time() < until_s

    @rule(seconds=st.sampled_from([0.5, 1.0, 2.5, 5.0]))
    def wait(self, seconds):
        """Let time pass."""
        self.pass_time(seconds)

    @precondition(lambda self: len(self.site.tasks) > 3)
    @rule(number=st.integers(0, hosts - 1), planned=st.booleans())
    def stop(self, number, planned):
        """Kill a daemon or let it leave."""
        host = f'h{number}'
        if host in self.site.tasks:
            kind = 'stops as planned' if planned else 'is killed'
            fail(self.site, host, kind)

    @rule(number=st.integers(0, hosts - 1))
    def start(self, number):
        """Start a daemon that was stopped."""
        host = f'h{number}'
        if host not in self.site.tasks:
            self.site.start(host, seed=round(self.site.loop.time() * 1000))

    @rule(number=st.integers(0, hosts - 1), seconds=st.sampled_from([1, 3, 5]))
    def freeze(self, number, seconds):
        """Freeze a daemon."""
        fail(self.site, f'h{number}', f'is frozen for {seconds} s')

    @rule(number=st.integers(0, hosts - 1), kind=st.integers(0, 2))
    def cut(self, number, kind):
        """Let the calls of one host fail in one of three ways."""
        self.heal()
        faults = (
            'is cut from the interface',
            'gets no answers',
            'has its calls arrive without an answer',
        )
        fail(self.site, f'h{number}', faults[kind])

    @rule()
    def heal(self):
        """End the faults of calls."""
        interface = self.site.interface
        for hosts in (
            interface.cut_hosts,
            interface.silent_hosts,
            interface.lost_hosts,
        ):
            hosts.clear()

    @rule(seconds=st.sampled_from([1.0, 4.0]))
    def lose_store(self, seconds):
        """Take the store away for a time."""
        self.site.store.faults.away = True
        self.pass_time(seconds)
        self.site.store.faults.away = False

    @rule()
    def settle(self):
        """Check that an able daemon holds the duty within its time."""
        now = self.site.loop.time()
        until_s = max([now, *self.site.frozen_until_s.values()])
        # One loss at a time: earlier ones have been dealt with.
        self.pass_time(until_s - now + 2 * HELD_WITHIN_S)
        held = holders(self.site)
        assert len(held) == 1, held
        fail(self.site, held[0], 'is killed')
        self.pass_time(HELD_WITHIN_S)
        assert len(holders(self.site)) == 1, holders(self.site)
        self.site.start(held[0], seed=round(now * 1000) + 1)


@given('a state machine of a duty over {count:d} daemons')
def prepare_machine(context, count):
    """Choose the number of daemons."""
    assert count == DutyMachine.hosts


@when('it runs {examples:d} sequences of up to {steps:d} steps')
def run_machine(context, examples, steps):
    """Run the machine with the same sequences each time."""
    context.error = None
    try:
        run_state_machine_as_test(
            DutyMachine,
            settings=hypothesis_settings(
                max_examples=examples,
                stateful_step_count=steps,
                deadline=None,
                derandomize=True,
                database=None,
                print_blob=False,
                # Shrinking would take minutes.
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )
    except AssertionError as error:
        context.error = error


@then('no sequence has broken a rule')
def check_machine(context):
    """Raise what the machine has found."""
    if context.error is not None:
        raise context.error
