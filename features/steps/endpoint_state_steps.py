"""Model check of one address as three daemons see it."""

import asyncio
import random
from types import SimpleNamespace

from behave import then
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from memory_site import settings_of

from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.permits import RatePermits
from anvilcove.decisions.types import INTERACTIVE, RouteRequest
from anvilcove.ports.reports import UNSOUND_LIMIT, EndpointReport
from anvilcove.proxy.pools import EndpointPools
from anvilcove.standins.memory_permits import MemoryPermits
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.telemetry.metrics import NodeMetrics

SERVICE, ADDRESS, ROW = 'app', '10.0.0.1:80', 'row'
NAMES = ('a', 'b', 'c')
WINDOW_S = 4.0
WAIT_S = 0.05
LIMITS = st.sampled_from([None, 1.0, 3.0])


class Daemon:
    """The parts of a daemon that decide about an endpoint."""

    def __init__(self, name, loop, permits_by_peer):
        """Build the parts; all daemons are alive."""
        clock = LoopClock(loop)
        alive = [
            SimpleNamespace(host=other, peers=other)
            for other in NAMES
            if other != name
        ]
        self.registry = EndpointRegistry()
        permits = RatePermits(
            settings_of(name),
            self.registry,
            SimpleNamespace(alive=lambda: alive),
            MemoryPermits(permits_by_peer),
            clock,
        )
        permits_by_peer[name] = permits
        self.reports = EndpointReports(self.registry, clock, NodeMetrics())
        self.pools = EndpointPools(
            settings_of(name),
            self.registry,
            clock,
            random.Random(name),
            NodeMetrics(),
            permits,
        )
        # Starts that said to this daemon that they leave, and those whose row
        # it has read as draining, which a later row does not undo.
        self.left = set()
        self.drained = set()
        # Whether its row was read last as one that is there and ready.
        self.ready = False


class EndpointMachine(RuleBasedStateMachine):
    """Events of one address, and what the daemons do there."""

    def __init__(self):
        """Start three daemons that know nothing."""
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        permits_by_peer = {}
        self.daemons = [
            Daemon(name, self.loop, permits_by_peer) for name in NAMES
        ]
        # The start that runs, whether it leaves, and the limit that it names.
        self.start, self.leaving, self.limit = 1, False, None
        # Start, limit known to the daemon, time and daemon of each send.
        self.sends = []

    def teardown(self):
        """End what is left on the loop."""
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.loop.run_until_complete(asyncio.wait(pending))
        self.loop.close()
        self.check_limits()

    @initialize()
    def read_rows(self):
        """Let every daemon read the row of the first start."""
        for daemon in self.daemons:
            self.read_row(daemon, False)

    def entry(self, draining):
        """Return the row of the start that runs."""
        return EndpointEntry(
            'i', self.start, SERVICE, ADDRESS, 'dc', draining, 6
        )

    def read_row(self, daemon, draining):
        """Let a daemon read the row of the start that runs."""
        daemon.registry.apply_changes(
            {ROW: self.entry(draining)}, self.loop.time(), False
        )
        daemon.ready = not draining
        if draining:
            daemon.drained.add(f'i/{self.start}')

    @rule(number=st.integers(0, 2), draining=st.booleans())
    def refresh_row(self, number, draining):
        """Read the row anew; it may be behind what the endpoint says."""
        daemon = self.daemons[number]
        known = daemon.registry.entry_by_endpoint.get(f'i/{self.start}')
        was_draining = known is not None and known.draining
        self.read_row(daemon, draining and self.leaving or was_draining)

    @rule(number=st.integers(0, 2))
    def lose_row(self, number):
        """Let a daemon read that the row is gone."""
        daemon = self.daemons[number]
        daemon.registry.apply_changes({ROW: None}, self.loop.time(), False)
        daemon.ready = False

    @rule()
    def leave(self):
        """Let the endpoint say from now on that it leaves."""
        self.leaving = True

    @rule(limit=LIMITS)
    def name_limit(self, limit):
        """Let the endpoint name another limit, or none."""
        self.limit = limit

    @rule()
    def restart(self):
        """Start the endpoint anew; all daemons read its row."""
        self.start += 1
        self.leaving, self.limit = False, None
        self.read_rows()

    @rule(number=st.integers(0, 2), leaving=st.booleans())
    def answer_late(self, number, leaving):
        """Let a daemon read a second answer of the start before."""
        daemon = self.daemons[number]
        daemon.reports.record(
            f'i/{self.start - 1}', EndpointReport(leaving, 0.1), 'late'
        )

    @rule(number=st.integers(0, 2))
    def answer_malformed(self, number):
        """Let a daemon read a limit that is malformed."""
        self.daemons[number].reports.record(
            f'i/{self.start}', EndpointReport(unsound=(UNSOUND_LIMIT,)), 'bad'
        )

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def pass_time(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(number=st.integers(0, 2), count=st.integers(1, 8))
    def send(self, number, count):
        """Send requests one after the other and read their answers."""
        for _ in range(count):
            self.loop.run_until_complete(self.send_one(self.daemons[number]))

    async def send_one(self, daemon):
        """Send a request if the daemon finds a slot for it."""
        state = await daemon.pools.acquire(
            RouteRequest('q', 'shop', INTERACTIVE, SERVICE), 1, WAIT_S
        )
        endpoint = f'i/{self.start}'
        if state is None:
            known = daemon.registry.view.by_id.get(endpoint)
            unlimited = known is not None and known.rate_limit_per_s is None
            open_slot = known is not None and known.accepts_work(
                self.loop.time()
            )
            refused_soundly = (
                not daemon.ready
                or endpoint in daemon.left | daemon.drained
                or not unlimited
            )
            assert refused_soundly or not open_slot, 'shut out'
            return
        assert state.endpoint == endpoint, 'sent to a start that is gone'
        assert endpoint not in daemon.left, 'sent after it said it leaves'
        self.sends.append((endpoint, state.rate_limit_per_s, self.loop.time()))
        await asyncio.sleep(0.002)
        report = EndpointReport(self.leaving, self.limit)
        daemon.reports.record(endpoint, report, 'q')
        if self.leaving:
            daemon.left.add(endpoint)
        daemon.pools.finish(state, 'ok', 0.002, 'shop', INTERACTIVE)

    @rule(number=st.integers(0, 2))
    def check_open(self, number):
        """Check that a start that said nothing is not shut out."""
        daemon = self.daemons[number]
        endpoint = f'i/{self.start}'
        state = daemon.registry.view.by_id.get(endpoint)
        if daemon.ready and endpoint not in daemon.left | daemon.drained:
            assert state is not None and not state.leaving, 'shut out'

    def check_limits(self):
        """Check the sends of daemons that knew the limit at that time."""
        for limit in (1.0, 3.0):
            allowed = 1.5 * limit * WINDOW_S + 5
            times_by_endpoint = {}
            for endpoint, known_limit, at_s in self.sends:
                if known_limit == limit:
                    times_by_endpoint.setdefault(endpoint, []).append(at_s)
            for times_s in times_by_endpoint.values():
                for start_s in times_s:
                    count = sum(0 <= t - start_s < WINDOW_S for t in times_s)
                    assert count <= allowed, (count, allowed)


@then('{count:d} random sequences of events keep the promises')
def check_machine(context, count):
    """Run the model check with fixed draws."""
    try:
        run_state_machine_as_test(
            EndpointMachine,
            settings=settings(
                max_examples=count,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
                database=None,
            ),
        )
    except AssertionError as error:
        # Without them, the sequence of events that failed is not shown.
        notes = getattr(error, '__notes__', [])
        raise AssertionError('\n'.join([str(error), *notes])) from error
