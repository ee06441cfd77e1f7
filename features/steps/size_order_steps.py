"""Steps with daemons that have the duty for the sizes of services."""

from itertools import pairwise

import msgspec
from behave import given, then, when
from memory_site import MemorySite, job_spec
from msgspec.structs import replace

from anvilcove.control.desired import DesiredState
from anvilcove.control.size_rows import SIZES_TABLE, SizeRow
from anvilcove.ports.store import RowId
from anvilcove.settings.node import SIZES, DutySettings
from anvilcove.state.size_bounds import SizeBounds

CONFIG = RowId('op', '', 'config')
RESERVED = RowId(SIZES_TABLE, '', 'llm/dc/reserved')


@given('daemons that may have {least:d} to {most:d} engines')
def start_daemons(context, least, most):
    """Start three daemons with the duty."""
    context.memory = site = MemorySite(4, 1, slots=1)
    context.add_cleanup(site.close)
    site.duty_calls = DutySettings('10.9.0.1:80', duties=[SIZES])
    set_bounds(context, least, most)
    for number in range(3):
        site.start(f'h{number}', seed=number)


@when('the bounds become {least:d} to {most:d}')
def set_bounds(context, least, most):
    """Write a newer desired state with these bounds."""
    site = context.memory
    value, _ = site.store.rows[CONFIG]
    state = msgspec.msgpack.decode(value, type=DesiredState)
    services = dict(state.services_by_name)
    bounds = SizeBounds(least, most, 4.0, 0.4, {'dc': 1.0, 'nowhere': 0.1})
    services['llm'] = replace(services['llm'], size_bounds=bounds)
    state = replace(
        state, version=state.version + 1, services_by_name=services
    )
    site.put('op', 'config', msgspec.msgpack.encode(state))


@given('the interface does not answer')
def lose_answers(context):
    """Let calls arrive without an answer."""
    context.memory.interface.lost_hosts.add('*')


@given('no engines are available')
def refuse(context):
    """Answer that none are available."""
    context.memory.interface.none_available = True


@given('the interface takes no calls')
def throttle(context):
    """Answer that the rate is exceeded."""
    context.memory.interface.throttled = True


@when('the interface answers again')
def end_faults(context):
    """End the faults of the interface."""
    context.memory.interface.lost_hosts.clear()
    context.memory.interface.throttled = False


@when('no row of a size can be written')
def lose_rows(context):
    """Lose the transactions that write sizes."""
    faults = context.memory.store.faults
    faults.apply_lost = False
    faults.lose = lambda change: any(
        write.id.table == SIZES_TABLE for write in change.writes
    )


@when('rows of sizes can be written')
def keep_rows(context):
    """End the loss of transactions."""
    context.memory.store.faults.lose = lambda change: False


@when('a trainer submits {count:d} jobs of {items:d} items')
def submit_jobs(context, count, items):
    """Submit a job every 4 s."""
    site = context.memory
    for number in range(count):
        site.pass_time(4.0)
        intake = site.daemons['h0'].intake
        spec = job_spec(f'j{number}', items)
        site.run(intake.accept(spec, deadline_at_s=1e9))
    site.pass_time(4.0)


@when('the holder is killed')
def kill_holder(context):
    """Kill the daemon that has sent the last order."""
    site = context.memory
    site.kill(site.interface.calls[-1].holder)


@when('an engine is lost')
def lose_engine(context):
    """Remove the row of an engine."""
    site = context.memory
    site.remove('servers', site.engines[0].address)


@when('the daemons run for {seconds:d} s')
def pass_seconds(context, seconds):
    """Let virtual time pass."""
    context.memory.pass_time(seconds)


@then('nothing is ordered')
def check_silence(context):
    """Check that no order arrived."""
    assert not context.memory.interface.calls, context.memory.interface.calls


@then('{count:d} engines are ordered first')
def check_first(context, count):
    """Compare the first order that arrived."""
    order = context.memory.interface.calls[0].content
    found = order.service, order.data_centre, order.servers, order.reclaimable
    assert found == ('llm', 'dc', count, False), order


@then('more than {count:d} engines are ordered first')
def check_more(context, count):
    """Check that the first order is an increase."""
    order = context.memory.interface.calls[0].content
    assert order.service == 'llm' and order.servers > count, order


@then('the row of the reserved engines has the number {count:d}')
def check_row(context, count):
    """Compare the stored number."""
    value, _ = context.memory.store.rows[RESERVED]
    row = msgspec.msgpack.decode(value, type=SizeRow)
    assert row.number == count, row


@then('each order is for {count:d} engines')
def check_numbers(context, count):
    """Compare all orders that arrived."""
    calls = context.memory.interface.calls
    assert {call.content.servers for call in calls} == {count}, calls


@then('orders of another holder have a higher fence')
def check_fences(context):
    """Compare the orders of different holders."""
    calls = context.memory.interface.calls
    assert len({call.holder for call in calls}) > 1, calls
    for one, other in pairwise(calls):
        assert one.holder == other.holder or one.fence < other.fence, calls


@then('the orders are {least:d} to {most:d} s apart')
def check_gaps(context, least, most):
    """Compare the times of orders."""
    times = [call.at_s for call in context.memory.interface.calls]
    gaps = [b - a for a, b in pairwise(times)]
    assert gaps and all(least <= gap <= most for gap in gaps), gaps
