"""Steps for daemons and a store whose clocks have different origins."""

import asyncio
import itertools
import random

from batch_job_steps import orders_holder
from behave import given, then, use_step_matcher, when
from memory_site import MemorySite
from msgspec import Struct, msgpack

from anvilcove.control.leases import LEASES_TABLE, Lease, LeaseRow
from anvilcove.ports.store import RowId, RowTransaction, RowWrite
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop
from anvilcove.state.store_clock import StoreClock

use_step_matcher('parse')

STORE_ORIGIN_MS = 5_000_000.0
ORIGIN_BY_DAEMON = {'a': 70_000.0, 'b': 30.0, 'c': 900.0, 'd': 4.0, 'e': 2e6}
LEASE, ENGINE, GAP_S = 'versions', 'engine', 3.0


class FormerRow(Struct):
    """Row of a lease as the version before declared it."""

    holder: str
    nonce: str
    fence: int
    beat: int
    use_by_resource: dict[str, tuple[str, float]]


class FormerUse(Struct, array_like=True):
    """Announcement as the version before declared it."""

    holder: str
    announced_ms: float


class FormerReadRow(Struct):
    """Row of a lease as the version before reads it."""

    holder: str
    use_by_resource: dict[str, FormerUse]


class FaultyStore:
    """Store whose answers to one daemon are late or bear other times."""

    def __init__(self, store):
        """Delay nothing yet."""
        self._store = store
        self.delay_s = 0.0
        # Added to the times of the answers, in turn.
        self.offsets_ms = itertools.repeat(0.0)

    async def transact(self, change):
        """Apply a transaction."""
        return await self._answer(await self._store.transact(change))

    async def read_range(self, table, part, start='', end=''):
        """Read rows."""
        page = await self._store.read_range(table, part, start, end)
        return await self._answer(page)

    async def _answer(self, answer):
        await asyncio.sleep(self.delay_s)
        answer.store_ms += next(self.offsets_ms)
        return answer


class LeaseHolder:
    """Lease of a daemon, without the rest of the daemon."""

    def __init__(self, loop, store, host, origin_s):
        """Request nothing yet."""
        self._loop = loop
        self.store = FaultyStore(store)
        self.clock = LoopClock(loop)
        self.clock.ahead_s = origin_s
        self.lease = Lease(
            LEASE,
            host,
            f'{host}-1',
            GAP_S,
            self.store,
            self.clock,
            random.Random(1),
        )
        self.task = None

    def start(self):
        """Start to request the lease."""
        self.task = self._loop.create_task(self.lease.run())

    async def wait_until_held(self):
        """Wait until the lease is held."""
        for _ in range(2_000):
            if self.lease.fence() is not None:
                return
            await asyncio.sleep(0.005)
        raise AssertionError('lease not acquired')


@given(
    'a platform with {count:d} engine, daemons a, b and c and unrelated clocks'
)
def start_unrelated(context, count):
    """Start a site of three daemons and a store with unrelated clocks."""
    context.memory = MemorySite(engines=count)
    context.add_cleanup(context.memory.close)
    context.most_loading = 0
    context.memory.store.origin_ms = STORE_ORIGIN_MS
    start_daemons(context, 'abc')
    context.memory.pass_time(1.0)


def start_daemons(context, names):
    """Start daemons, each with an origin of its own for its clock."""
    for seed, name in enumerate(names):
        origin_s = ORIGIN_BY_DAEMON[name]
        context.memory.start(name, seed=seed + 1, origin_s=origin_s)


@when(
    'version {version:d} is named and the engine has been ordered to load it'
)
def name_until_ordered(context, version):
    """Name a version and wait for the order."""
    site = context.memory
    site.name_version(version)
    for _ in range(200):
        site.pass_time(0.02)
        if site.engines[0].orders:
            return
    raise AssertionError('no order')


@when('the clock of the store jumps by {jump:d} s')
def jump_store(context, jump):
    """Change the origin of the store's clock, as its restart does."""
    context.memory.store.origin_ms += jump * 1000


@when(
    'all daemons and the store end and daemons d and e start, the clock of '
    'the store {jump:d} s on'
)
def restart_all(context, jump):
    """Replace the daemons, and change the origin of the store's clock."""
    site = context.memory
    context.former_holder = orders_holder(context)
    for name in list(site.daemons):
        site.kill(name)
        site.daemons.pop(name)
    site.store.origin_ms += jump * 1000
    start_daemons(context, 'de')


@given('two daemons with unrelated clocks that request the orders lease')
def prepare_holders(context):
    """Prepare two leases of the same name on a store in memory."""
    loop = context.lease_loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    context.store = MemoryStore(loop)
    context.store.origin_ms = STORE_ORIGIN_MS
    context.first = LeaseHolder(loop, context.store, 'a', 70_000.0)
    context.second = LeaseHolder(loop, context.store, 'b', 30.0)
    context.add_cleanup(stop_holders, context)


@given('answers to the first one with times of two clocks in turn')
def alternate_clocks(context):
    """Let each answer bear the time of the other clock."""
    context.first.store.offsets_ms = itertools.cycle([0.0, 30_000.0])


def stop_holders(context):
    """Cancel the tasks of both leases and close their loop."""
    tasks = asyncio.all_tasks(context.lease_loop)
    for task in tasks:
        task.cancel()
    if tasks:
        run(context, asyncio.wait(tasks))
    context.lease_loop.close()


def run(context, work):
    """Run a coroutine until it returns."""
    return context.lease_loop.run_until_complete(work)


@when('the first one acquires it by a call whose answer takes {delay:f} s')
def acquire_first(context, delay):
    """Acquire a lease, with late answers."""
    context.first.store.delay_s = delay
    context.first.start()
    run(context, context.first.wait_until_held())
    context.first.store.delay_s = 0.0


@when('the second one looks on for {seconds:d} s and polls {pace}')
def look_on(context, seconds, pace):
    """Let the second daemon poll the lease."""
    rank = {'fast': 0, 'slowly': 99}[pace]
    context.second.lease.get_rank = lambda: rank
    context.second.start()
    run(context, asyncio.sleep(seconds))


@when(
    'the first one renews the lease by a call whose answer takes {delay:f} s'
)
def renew_late(context, delay):
    """Delay the answers to one renewal of the holder."""
    context.first.store.delay_s = delay
    wait_for_renewal(context)
    context.first.store.delay_s = 0.0


def wait_for_renewal(context):
    """Wait until the holder knows that its next renewal was applied."""
    lease = context.first.lease
    before = lease.row.beat

    async def work():
        while lease.row.beat == before:
            await asyncio.sleep(0.005)

    run(context, work())


@when('the holder has just renewed it')
def pass_renewal(context):
    """Let time pass up to the next renewal."""
    wait_for_renewal(context)


@when('the store restarts with its clock {jump:d} s on')
def restart_store(context, jump):
    """Change the origin of the store's clock."""
    context.store.origin_ms += jump * 1000


@when('both request the lease for {seconds:f} s more')
def request_more(context, seconds):
    """Let time pass, less than until the next renewal."""
    run(context, asyncio.sleep(seconds))


@when('it announces an engine and releases the lease')
def announce_and_release(context):
    """Announce as version orders do, then release the lease."""
    announce(context)
    run(context, context.first.lease.release())


@when('it announces an engine and is killed')
def announce_and_end(context):
    """Announce as version orders do, then end."""
    announce(context)
    context.first.task.cancel()


def announce(context):
    """Announce an engine; afterwards the holder may order it."""
    lease = context.first.lease
    context.announced_at_s = context.lease_loop.time()
    assert run(context, lease.announce([ENGINE]))
    assert lease.may_act_on(ENGINE)


@when('the second one acquires it')
def acquire_second(context):
    """Wait until the second daemon holds the lease."""
    run(context, context.second.wait_until_held())


@when('the answers to the second one take {delay:f} s')
def delay_second(context, delay):
    """Delay the answers to the second daemon."""
    context.second.store.delay_s = delay


def blocked_until_s(context):
    """Return the time on the loop until which the engine is blocked."""
    return context.lease_loop.time() + context.second.lease.blocked_s(ENGINE)


@then(
    'the engine is free from {seconds:f} s after the announcement, at most '
    '{late:f} s later'
)
def check_free(context, seconds, late):
    """Check the time until which the engine is blocked."""
    free_s = blocked_until_s(context) - context.announced_at_s
    assert seconds <= round(free_s, 6) <= seconds + late, free_s


@then('the engine is not free before {seconds:f} s after the announcement')
def check_not_free(context, seconds):
    """Check the earliest time at which the engine can be ordered."""
    free_s = blocked_until_s(context) - context.announced_at_s
    assert round(free_s, 6) >= seconds, free_s


@when(
    'the row of the lease was released by a daemon of the version before '
    'that had announced an engine {age:d} s ago'
)
def write_former_row(context, age):
    """Write a row as the version before does."""
    announced_ms = context.store.store_ms() - age * 1000
    row = FormerRow('', '', 7, 3, {ENGINE: ('z', announced_ms)})
    context.store.apply(
        RowTransaction(
            writes=[
                RowWrite(
                    RowId(LEASES_TABLE, '', LEASE),
                    msgpack.encode(row),
                )
            ]
        )
    )


@then('the engine is blocked for at least {seconds:f} s more')
def check_blocked(context, seconds):
    """Check for how long an engine is blocked."""
    blocked_s = context.second.lease.blocked_s(ENGINE)
    assert blocked_s >= seconds, blocked_s


@then('a daemon of the version before reads the announcement from the row')
def check_former_reader(context):
    """Decode the row that a daemon has written as the version before does."""
    value, _ = context.store.rows[RowId(LEASES_TABLE, '', LEASE)]
    assert msgpack.decode(value, type=LeaseRow).holder == 'b'
    row = msgpack.decode(value, type=FormerReadRow)
    use = row.use_by_resource[ENGINE]
    age_s = (context.store.store_ms() - use.announced_ms) / 1000
    assert use.holder == 'z' and 0.0 <= age_s <= 1.2, use


@given('a relation of a clock to that of the store')
def prepare_relation(context):
    """Create a relation that knows no answer."""
    context.relation = StoreClock()


@then("neither bound of the store's time is known")
def check_unknown(context):
    """Check that nothing is extrapolated."""
    assert context.relation.latest_ms(100.0) == float('inf')
    assert context.relation.latest_local_s(1e9) == float('inf')


@when(
    'a call sent at {sent:f} s is answered at {received:f} s with '
    '{store_ms:d} ms'
)
def record_answer(context, sent, received, store_ms):
    """Record an answer."""
    context.relation.record(sent, received, float(store_ms))


@then("at {now:f} s the store's time is at most {high:d} ms")
def check_latest(context, now, high):
    """Check the upper bound of the store's time, with 1 ms of drift."""
    found = context.relation.latest_ms(now)
    assert abs(found - high) <= 1.0, found


@then("{store_ms:d} ms of the store's time were reached by {now:f} s")
def check_latest_local(context, store_ms, now):
    """Check the latest local time of a store time, with 1 ms of drift."""
    found = context.relation.latest_local_s(float(store_ms))
    assert abs(found - now) <= 0.001, found


@then('it has not noticed a restart of the store')
def check_no_restart(context):
    """Check the number of noticed restarts."""
    assert context.relation.restarts == 0


@then('it has noticed a restart of the store at {now:f} s')
def check_restart(context, now):
    """Check that times from before are no longer related."""
    assert context.relation.restarts == 1
    assert context.relation.known_since_s == now
