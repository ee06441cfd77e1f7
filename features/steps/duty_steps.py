"""Steps with daemons that have a duty, on virtual time."""

import asyncio
from itertools import pairwise

from behave import given, then, when
from loguru import logger
from memory_site import MemorySite

from anvilcove.bench.duty_handover import measure_handovers
from anvilcove.cli.status import format_node_status
from anvilcove.control.duty_board import duty
from anvilcove.control.leases import LEASES_TABLE
from anvilcove.decisions.rendezvous import rendezvous_order
from anvilcove.node.gauges import set_gauges
from anvilcove.node.status import build_status
from anvilcove.ports.duties import DutyError, SizeOrder
from anvilcove.settings.node import DutySettings

DUTY, SUBJECT = 'test', 'app/dc'
LEASE_S = 3.0
PERIOD_S = 1.0


@duty(DUTY)
class TestWork:
    """Work that orders a size each second."""

    def __init__(self, held, context):
        """Use the port of the context."""
        self.held, self.port, self.clock = held, context.port, context.clock
        # Times that the work still fails while the duty is held.
        self.failures = 0

    async def run(self):
        """Order without end."""
        while True:
            await self.clock.sleep(self.port.interface.pause_s)
            if self.held.fence() is not None:
                if self.failures:
                    self.failures -= 1
                    raise ValueError('the work fails')
                try:
                    await self.held.perform(SUBJECT, self.order)
                except DutyError:
                    continue

    async def order(self, fence):
        """Send an order."""
        await self.port.order_size(fence, SizeOrder('app', 'dc', 3))


class GatedStore:
    """Store of a daemon whose calls and answers wait while it is frozen."""

    def __init__(self, site, name):
        """Forward calls to the store of the site."""
        self.site, self.name = site, name
        self.reads = []
        # Table whose next write raises an unexpected error.
        self.broken_table = ''

    def __getattr__(self, method):
        """Return a call that passes the gate before and after."""

        async def call(*arguments):
            if method == 'read_range' and arguments[0] == LEASES_TABLE:
                self.reads.append((self.site.loop.time(), arguments[2]))
            if method == 'transact':
                self.break_once(arguments[0])
            await pass_gate(self.site, self.name)
            result = await getattr(self.site.store, method)(*arguments)
            await pass_gate(self.site, self.name)
            return result

        return call

    def break_once(self, change):
        """Raise for a write to the broken table."""
        if any(w.id.table == self.broken_table for w in change.writes):
            self.broken_table = ''
            raise ValueError('failure made by the test')


async def pass_gate(site, name):
    """Wait until a daemon is not frozen."""
    while site.loop.time() < site.frozen_until_s.get(name, 0.0):
        await asyncio.sleep(0.01)


def start_site(context, count, duties, wall_error_s=None):
    """Start daemons with these duties."""
    context.memory = site = MemorySite(2, 2)
    context.add_cleanup(site.close)
    site.duty_calls = DutySettings('10.9.0.1:80', duties=duties)
    site.wall_error_s = wall_error_s or {}
    if not duties:
        site.duty_calls = DutySettings()
    site.frozen_until_s = {}
    stores = context.stores = {}
    site.wrap_store = lambda name: stores.setdefault(
        name, GatedStore(site, name)
    )
    site.interface.pause_s = PERIOD_S
    site.interface.gate = lambda name: pass_gate(site, name)
    for number in range(count):
        site.start(f'h{number}', seed=number + 1)


@given('{count:d} daemons with a duty')
def start(context, count):
    """Start daemons."""
    start_site(context, count, [DUTY])


@given('{count:d} daemons with a duty that calls without pause')
def start_busy(context, count):
    """Start daemons whose holder always has something to send."""
    start_site(context, count, [DUTY])
    context.memory.interface.pause_s = 0.001


@given('{count:d} daemons without duties')
def start_without(context, count):
    """Start daemons."""
    start_site(context, count, [])


@given(
    '{count:d} daemons of which only the last {knowing:d} in the order of a '
    'duty know it'
)
def start_mixed(context, count, knowing):
    """Start daemons; the first ones have no duties, as an older build."""
    start_site(context, 0, [DUTY])
    site, calls = context.memory, context.memory.duty_calls
    order = rendezvous_order(DUTY, [f'h{n}' for n in range(count)])
    for number, host in enumerate(order):
        known = number >= count - knowing
        if number == count - knowing:
            # The others are known before a daemon can take the duty.
            site.pass_time(3.0)
        site.duty_calls = calls if known else DutySettings()
        site.start(host, seed=number + 1)
    context.failed_at_s = 0.0


def holders(site, name=DUTY):
    """Return the daemons that hold a duty."""
    return [
        host
        for host, daemon in site.daemons.items()
        if host in site.tasks
        and daemon.duties.duty(name)
        and daemon.duties.duty(name).fence() is not None
    ]


def fail(site, host, fault):
    """Let a fault befall a daemon."""
    interface = site.interface
    if fault == 'is killed':
        site.kill(host)
    elif fault == 'stops as planned':
        site.run(site.daemons[host].hand_over())
        site.kill(host)
    elif fault.startswith('is frozen'):
        site.frozen_until_s[host] = site.loop.time() + float(fault.split()[3])
    elif fault == 'is cut from the interface':
        interface.cut_hosts.add(host)
    elif fault == 'gets no answers':
        interface.silent_hosts.add(host)
    else:
        assert fault == 'has its calls arrive without an answer', fault
        interface.lost_hosts.add(host)


@when('the holder of the duty {fault}')
def fail_holder(context, fault):
    """Let a fault befall the holder."""
    (context.former,) = holders(context.memory)
    context.failed_at_s = context.memory.loop.time()
    fail(context.memory, context.former, fault)


@when('the holder of a duty is lost {count:d} times')
def lose_holders(context, count):
    """Run the benchmark of handovers."""
    logger.remove()
    context.handovers_s = measure_handovers(count)


@then('the first call of the next one followed within {limit:d} s each time')
def check_handovers(context, limit):
    """Check the longest one, and that each had to wait for the lease."""
    assert context.handovers_s[-1] <= limit, context.handovers_s
    assert context.handovers_s[0] >= LEASE_S - PERIOD_S, context.handovers_s


@when('the work of the holder of the duty fails {count:d} times')
def fail_work(context, count):
    """Let the work end by exceptions while the daemon holds the duty."""
    site = context.memory
    (context.former,) = holders(site)
    site.daemons[context.former].duties.work(DUTY).failures = count
    context.failed_at_s = site.loop.time()
    context.lines = []
    sink = logger.add(context.lines.append, level='ERROR', format='{extra}')
    context.add_cleanup(logger.remove, sink)


def raise_once(context, owner, attribute):
    """Let a call that an object makes raise an unexpected error once."""
    original = getattr(owner, attribute)

    def failing(*arguments):
        setattr(owner, attribute, original)
        raise ValueError('failure made by the test')

    setattr(owner, attribute, failing)
    record_errors(context)


def record_errors(context):
    """Keep the error lines that follow."""
    context.lines = []
    sink = logger.add(context.lines.append, level='ERROR')
    context.add_cleanup(logger.remove, sink)


@when('the lease loop of the holder fails once')
def fail_lease_loop(context):
    """Let the next round of its lease raise an unexpected error."""
    site = context.memory
    (context.former,) = holders(site)
    lease = site.daemons[context.former].duties.duty(DUTY).lease
    raise_once(context, lease, 'may_hold')
    site.pass_time(1.0)
    context.failed_at_s = site.loop.time()


@when('the lease loop of the holder fails while it announces a call')
def fail_while_announcing(context):
    """Let the answer to the announcement arrive after the failure."""
    site = context.memory
    (context.former,) = holders(site)
    held = site.daemons[context.former].duties.duty(DUTY)
    raise_once(context, held.lease, 'may_hold')
    site.frozen_until_s[context.former] = site.loop.time() + 0.9
    announcement = site.loop.create_task(held.announce(['app/dc']))
    site.pass_time(0.8)
    assert len(context.lines) == 1 and not announcement.done()
    site.pass_time(0.2)
    assert announcement.done()
    context.failed_at_s = site.loop.time()


@then('the former holder does not act for {seconds:d} s')
def check_passive(context, seconds):
    """Check that it neither holds the duty nor calls."""
    for _ in range(seconds * 4):
        context.memory.pass_time(0.25)
        assert context.former not in holders(context.memory)
    for call in context.memory.interface.calls:
        late = call.at_s > context.failed_at_s
        assert not (late and call.holder == context.former), call


@then('{count:d} failure was logged with its traceback')
def check_traceback(context, count):
    """Read the error lines."""
    assert len(context.lines) == count, context.lines
    assert all('Traceback' in line for line in context.lines)


@when('all other daemons are killed')
def kill_others(context):
    """Leave the former holder alone."""
    for host in list(context.memory.tasks):
        if host != context.former:
            context.memory.kill(host)


@then('the former holder has the duty again')
def check_former(context):
    """Check that its loop still runs."""
    assert holders(context.memory) == [context.former]


@then('each of the {count:d} failures of the work was logged')
def check_work_log(context, count):
    """Count the lines that name the duty."""
    found = [line for line in context.lines if DUTY in line]
    assert len(found) == count, context.lines


@then('the same daemon has made calls of the duty since')
def check_kept(context):
    """Check the holders of the calls that arrived."""
    found = {
        call.holder
        for call in context.memory.interface.calls
        if call.at_s > context.failed_at_s
    }
    assert found == {context.former}, found


@then('another daemon has made calls of the duty since')
def check_moved(context):
    """Check the calls that arrived."""
    found = [
        call.holder
        for call in context.memory.interface.calls
        if call.at_s > context.failed_at_s
    ]
    assert found and found[-1] != context.former, found


@then('no call came too early after that of another holder')
def check_calls(context):
    """Check tokens and the times between holders."""
    check_order(context.memory.interface.calls)


def check_order(calls):
    """Check the tokens and the holders of calls of one subject."""
    last_at_s = {}
    for before, call in pairwise(calls):
        last_at_s[before.holder] = before.at_s
        assert call.fence >= before.fence, (before, call)
        if call.holder == before.holder:
            continue
        assert call.fence > before.fence, (before, call)
        assert call.at_s - before.at_s >= LEASE_S, (before, call)


@then('at most {count:d} daemons have read the row of the duty in 5 s')
def check_polls(context, count):
    """Count the daemons that read it in the last seconds."""
    since_s = context.memory.loop.time() - 5.0
    readers = [
        host
        for host, store in context.stores.items()
        if any(at_s > since_s and key == DUTY for at_s, key in store.reads)
    ]
    assert len(readers) <= count, readers


@when('the interface is away for {seconds:d} s')
def cut_interface(context, seconds):
    """Let it refuse all connections and record the holders."""
    context.memory.interface.cut_hosts.add('*')
    record_holders(context, seconds)


@when(
    'the interface throttles calls and is {factor:d} times slower for '
    '{seconds:d} s'
)
def slow_interface(context, factor, seconds):
    """Let it refuse calls and record the holders."""
    context.memory.interface.throttled = True
    context.memory.interface.slow = factor
    record_holders(context, seconds)


def record_holders(context, seconds):
    """Let time pass and record who holds the duty."""
    context.held = []
    for _ in range(seconds * 4):
        context.memory.pass_time(0.25)
        context.held += holders(context.memory)


@then(
    'the duty has moved at most {count:d} times, at most {late:d} times in '
    'the last {seconds:d} s'
)
def check_moves(context, count, late, seconds):
    """Count the changes of the holder."""
    assert moves(context.held) <= count, moves(context.held)
    last = context.held[-seconds * 4 :]
    assert moves(last) <= late, moves(last)


def moves(held):
    """Return the number of changes in a list of holders."""
    return sum(a != b for a, b in pairwise(held))


@when('the interface is back')
def restore_interface(context):
    """End the outage."""
    context.memory.interface.cut_hosts.clear()
    context.failed_at_s = context.memory.loop.time()


@then('calls of the duty have arrived since')
def check_calls_again(context):
    """Check that calls arrived after the outage."""
    calls = context.memory.interface.calls
    assert calls[-1].at_s > context.failed_at_s, calls[-3:]


@then('no row of the store mentions duties')
def check_no_duties(context):
    """Check tables, keys and fields of rows."""
    for row_id, (value, _) in context.memory.store.rows.items():
        assert not row_id.table.startswith('usage'), row_id
        assert row_id.key != DUTY, row_id
        assert b'wall_offset' not in value and b'unable' not in value, row_id


@then(
    'the interface got at most {rate:d} calls in any second, and {count:d} '
    'in all'
)
def check_rate(context, rate, count):
    """Count the calls in each second."""
    times = [call.at_s for call in context.memory.interface.calls]
    assert len(times) >= count, len(times)
    for at_s in times:
        assert sum(at_s <= other < at_s + 1 for other in times) <= rate


@then("the candidates' status and metrics name the holder of the duty")
def check_status(context):
    """Read the status of the candidates, as text too, and the gauge."""
    site = context.memory
    (holder,) = holders(site)
    daemon = site.daemons[holder]
    status = build_status(daemon, site.loop.time())
    row = status['duties'][DUTY]
    assert row['held_here_s'] > 1 and row['last_call'] == 'answered', row
    assert f'{holder} ' in format_node_status(status).split('duty ')[-1]
    for host in row['candidates'].split():
        other = build_status(site.daemons[host], site.loop.time())
        assert other['duties'][DUTY]['holder'] == holder, other['duties']
    set_gauges(daemon)
    text = daemon.metrics.render().decode()
    assert f'anvilcove_duty_held{{duty="{DUTY}"}} 1' in text, text
