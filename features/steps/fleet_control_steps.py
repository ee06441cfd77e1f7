"""Steps for the cost of control and the detection of lost daemons."""

import asyncio
import random
from collections import Counter

import msgspec
from behave import given, then, when
from memory_site import MemorySite, job_spec
from retry_steps import permits_of

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.node_rows import NodeRow
from anvilcove.jobs.engine_slots import EngineSlots
from anvilcove.jobs.slot_queue import EngineRequirements
from anvilcove.jobs.types import JobHead
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

SETTLE_S = 12.0


class CountingSlots(EngineSlots):
    """Slots that count for how many items an engine is searched."""

    looked_at = 0

    def _try_assign(self, requirements, paces):
        self.looked_at += 1
        return super()._try_assign(requirements, paces)


class CountingStore:
    """Store that counts what one daemon reads and may stop its writes."""

    def __init__(self, store):
        """Count calls to `store`."""
        self._store = store
        self.calls = Counter()
        self.rows = Counter()
        self.bytes = 0
        self.writable = True

    def __getattr__(self, name):
        return getattr(self._store, name)

    async def transact(self, change):
        """Apply a transaction unless writes are stopped."""
        while not self.writable:
            await asyncio.sleep(0.1)
        return await self._store.transact(change)

    async def read_range(self, table, part, start='', end=''):
        """Read a range and count it."""
        self.calls[table] += 1
        return self._count(
            table, await self._store.read_range(table, part, start, end)
        )

    async def changes(self, table, after, wait_s):
        """Read changes and count them."""
        # The store keeps the newest state of a row only.
        page = await self._store.changes(table, after, wait_s)
        page.rows = list({row.id: row for row in page.rows}.values())
        return self._count(table, page)

    def _count(self, table, page):
        self.rows[table] += len(page.rows)
        self.bytes += sum(
            len(row.value or b'') * 4 // 3 + 100 for row in page.rows
        )
        return page


@given('a platform with {engines:d} engines and a fleet of {count:d} daemons')
def build_fleet(context, engines, count):
    """Start the daemons and wait until one holds the lease."""
    if getattr(context, 'memory', None) is not None:
        context.memory.close()
    site = MemorySite(engines=engines)
    context.add_cleanup(site.close)
    context.memory = site
    context.stores = {}

    def count_reads(name):
        context.stores[name] = CountingStore(site.store)
        return context.stores[name]

    site.wrap_store = count_reads
    for number in range(count):
        site.start(f'd{number}', seed=number)
    site.pass_time(SETTLE_S)


def holder(context):
    """Return the daemon that holds the orders lease."""
    found = [
        name
        for name, daemon in context.memory.daemons.items()
        if daemon.lease.fence() is not None and name in context.memory.tasks
    ]
    assert len(found) == 1, found
    return found[0]


def by_rank(context):
    """Return the daemons in the takeover order, the holder first."""
    daemons, first = context.memory.daemons, holder(context)
    return sorted(
        daemons,
        key=lambda name: (name != first, daemons[name].nodes.takeover_rank()),
    )


@then('at most {count:d} daemons have read heartbeats since the start')
def check_readers(context, count):
    """Count the daemons with a read of the table."""
    readers = [
        name
        for name, store in context.stores.items()
        if store.calls['heartbeats']
    ]
    assert 3 <= len(readers) <= count, readers


@when('the fleet is idle for {seconds:d} s')
def idle(context, seconds):
    """Count what is read in that time."""
    for store in context.stores.values():
        store.rows.clear()
        store.bytes = 0
    context.memory.pass_time(seconds)
    context.idle_s = seconds


def followers(context):
    """Return the daemons after the first four of the takeover order."""
    return by_rank(context)[4:]


@then(
    'the daemons that only follow read at most {limit:d} bytes a second each'
)
def check_bytes(context, limit):
    """Check the bytes and keep the rows for a comparison."""
    stores = [context.stores[name] for name in followers(context)]
    rates = [store.bytes / context.idle_s for store in stores]
    context.rows_before = getattr(context, 'rows_now', None)
    context.rows_now = sum(sum(store.rows.values()) for store in stores) / len(
        stores
    )
    assert max(rates) <= limit, rates


@then(
    'they read at most {factor:g} times as many rows as in the smaller fleet'
)
def check_growth(context, factor):
    """Compare the mean numbers of rows of a follower."""
    assert context.rows_now <= factor * context.rows_before, (
        context.rows_before,
        context.rows_now,
    )


@when('one follower is lost and {seconds:d} s go by')
def lose_follower(context, seconds):
    """Kill the last daemon of the takeover order."""
    context.lost = by_rank(context)[-1]
    context.memory.kill(context.lost)
    context.memory.pass_time(seconds)


@when('{lost} are lost')
def lose(context, lost):
    """Kill the daemons that the text names."""
    ranked = by_rank(context)
    gone = {
        'one follower': ranked[-1:],
        'the holder of the orders': ranked[:1],
        'the holder and its first successors': ranked[:4],
        'half of the daemons with the holder': ranked[: len(ranked) // 2],
    }[lost]
    for name in gone:
        context.memory.kill(name)
        del context.memory.daemons[name]


@then(
    'within {seconds:d} s all others know exactly the remaining ones as alive'
)
def check_views(context, seconds):
    """Check the directories at the end of the time."""
    site = context.memory
    site.pass_time(seconds)
    for name, daemon in site.daemons.items():
        alive = {node.host for node in daemon.nodes.alive()}
        assert alive == set(site.daemons) - {name}, (name, alive)


@when('a follower writes nothing for {seconds:d} s')
def stop_writes(context, seconds):
    """Hold the writes of the last daemon back for a while."""
    context.silent = by_rank(context)[-1]
    store = context.stores[context.silent]
    store.writable = False
    context.memory.pass_time(seconds)
    context.alive_by_name = {
        name: {node.host for node in daemon.nodes.alive()}
        for name, daemon in context.memory.daemons.items()
    }
    store.writable = True


@then('all others know it as lost')
def check_lost(context):
    """Check what the others knew at the end of the silence."""
    for name, alive in context.alive_by_name.items():
        if name != context.silent:
            assert context.silent not in alive, name


@when('the announcement of a follower is removed')
def remove_announcement(context):
    """Remove the row, as the holder does after a long silence."""
    context.memory.remove('nodes', by_rank(context)[-1])


@when('a follower announces that it leaves')
def announce_leaving(context):
    """Keep the row before; the daemon goes on to serve."""
    site = context.memory
    context.leaving = by_rank(context)[-1]
    context.row_before = next(
        value
        for row, (value, _) in site.store.rows.items()
        if (row.table, row.key) == ('nodes', context.leaving)
    )
    site.run(site.daemons[context.leaving].announcer.leave())
    site.pass_time(1.0)
    assert not knowing(context, context.leaving)


@when('the store applies its announcement before that once more')
def apply_late(context):
    """Write the row as it was."""
    context.memory.put('nodes', context.leaving, context.row_before)


@then('within {seconds:d} s no other daemon knows it as alive')
def check_stays_away(context, seconds):
    """Check the directories at the end of the time."""
    context.memory.pass_time(seconds)
    assert not knowing(context, context.leaving)


@when('the holder of the orders stops as planned')
def stop_holder(context):
    """Hand over and end the holder."""
    name = holder(context)
    site = context.memory
    site.run(site.daemons[name].hand_over())
    site.kill(name)
    del site.daemons[name]


@then('no daemon knows the lost follower as alive in the next {seconds:d} s')
def check_kept_out(context, seconds):
    """Check the directories several times a second."""
    site = context.memory
    for _ in range(seconds * 5):
        site.pass_time(0.2)
        for name, daemon in site.daemons.items():
            if name == context.lost:
                continue
            alive = {node.host for node in daemon.nodes.alive()}
            assert context.lost not in alive, (name, site.loop.time())


def put_old_row(context, host, beat):
    """Write an announcement without the fields of this version."""
    row = NodeRow(
        host, 'n', 'dc', 'r', f'{host}:1', f'{host}:2', beat, False, False
    )
    fields = msgspec.to_builtins(row)
    del fields['lost_by_host']
    context.memory.put('nodes', host, msgspec.msgpack.encode(fields))


@given('{count:d} rows of daemons that no longer run')
def write_old_rows(context, count):
    """Write announcements that nobody renews."""
    for number in range(count):
        put_old_row(context, f'old{number}', 1)


def knowing(context, host):
    """Return the daemons that know a host as alive."""
    return {
        name
        for name, daemon in context.memory.daemons.items()
        if host in {node.host for node in daemon.nodes.alive()}
    }


@when('a daemon that writes only its row each second runs for {seconds:d} s')
def run_old_daemon(context, seconds):
    """Write the row, and keep who knew it at the end of each second."""
    context.known_by = []
    for beat in range(seconds):
        put_old_row(context, 'old', beat)
        context.memory.pass_time(1.0)
        context.known_by.append(knowing(context, 'old'))


@then('all daemons of the fleet knew it as alive from its first second on')
def check_old_alive(context):
    """Check each second."""
    names = set(context.memory.daemons)
    assert all(known == names for known in context.known_by), context.known_by


@then('within {seconds:d} s after it ends all of them know it as lost')
def check_old_lost(context, seconds):
    """Check the directories at the end of the time."""
    context.memory.pass_time(seconds)
    assert not knowing(context, 'old')


@then('the store has rows of the {count:d} daemons only')
def check_rows_removed(context, count):
    """Check the announcements and the heartbeats."""
    hosts = {
        row.key
        for row in context.memory.store.rows
        if row.table in ('nodes', 'heartbeats')
    }
    assert hosts == set(context.memory.daemons), len(hosts)
    assert len(hosts) == count


@when('the desired state changes')
def change_desired_state(context):
    """Write a newer version."""
    context.changed_after = context.memory.store.version
    context.changed_at_s = context.memory.loop.time()
    context.memory.write_operator(version=9)


@then(
    'every daemon announces it within {seconds:d} s, and at most {limit:d} '
    'do so in a second'
)
def check_spread(context, seconds, limit):
    """Count the announcements of each second."""
    site = context.memory
    for _ in range(seconds):
        before = site.store.version
        site.pass_time(1.0)
        written = [
            row
            for row in site.store.history
            if row.id.table == 'nodes' and row.version > before
        ]
        assert len(written) <= limit, len(written)
    versions = {
        row.key: msgspec.msgpack.decode(value, type=NodeRow).desired_state
        for row, (value, _) in site.store.rows.items()
        if row.table == 'nodes'
    }
    assert set(versions.values()) == {9}, versions


@given('a batch job at the first daemon that takes a few seconds')
def submit_slow_job(context):
    """Accept a job with items of many events."""
    site = context.memory
    for engine in site.engines:
        engine.events = 400
    first = next(iter(site.daemons.values()))
    site.run(first.intake.accept(job_spec('job'), deadline_at_s=1e9))
    site.pass_time(1.0)


@when('a follower waits for a change of the job {count:d} times')
def wait_for_changes(context, count):
    """Measure the delay from each write of the row to its arrival."""
    site = context.memory
    daemon = site.daemons[by_rank(context)[-1]]
    context.delays_s = []

    async def wait():
        for _ in range(count):
            began_at_s = site.loop.time()
            await daemon.jobs_view.wait_for_change('job', 5.0)
            version = daemon.jobs_view.by_id['job'].version
            written = context.written_at_s.get(version)
            if written is not None:
                due_at_s = max(written, began_at_s)
                context.delays_s.append(site.loop.time() - due_at_s)
            # A pause, so that the daemon counts as one that only follows.
            await asyncio.sleep(0.5)

    context.written_at_s = {}
    apply = site.store.apply

    def record(change):
        outcome = apply(change)
        context.written_at_s[outcome.version] = site.loop.time()
        return outcome

    site.store.apply = record
    site.run(wait())


@then('it learned of each change within {limit:g} s')
def check_delays(context, limit):
    """Check the delays since the change, or since the wait began."""
    assert len(context.delays_s) >= 10, context.delays_s
    assert max(context.delays_s) <= limit, context.delays_s


@when(
    'the results are read without a wait, {count:d} times at followers in turn'
)
def read_results(context, count):
    """Keep how many results each read has and had to have."""
    site = context.memory
    readers = [site.daemons[name].reader for name in followers(context)]
    context.reads = []

    def listed():
        return max(
            msgspec.msgpack.decode(value, type=JobHead).listed
            for row, (value, _) in site.store.rows.items()
            if row.table == 'jobs' and row.key == 'job'
        )

    async def read():
        for number in range(count):
            expected = listed()
            await asyncio.sleep(0.5)
            page = await readers[number % len(readers)].page('job', 0, 0.0)
            context.reads.append((len(page.results), expected))
            await asyncio.sleep(0.07)

    site.run(read())


@then('each read has all results that were stored {seconds:g} s before')
def check_reads(context, seconds):
    """Check the counts, and that there were results at all."""
    assert all(found >= due for found, due in context.reads), context.reads
    assert context.reads[-1][0] > 0, context.reads


@given('4 engines with 2 slots for models m0, m1 and m2')
def build_slots(context):
    """Register engines that hold all models."""
    context.virtual_loop = VirtualLoop()
    asyncio.set_event_loop(context.virtual_loop)
    context.add_cleanup(context.virtual_loop.close)
    registry = EndpointRegistry()
    entries = {
        f'e{number}': EndpointEntry(
            instance=f'e{number}',
            started_ms=0,
            service='llm',
            address=f'10.0.0.{number}:80',
            data_centre='dc',
            draining=False,
            slots=2,
            version_by_model={'m0': 1, 'm1': 1, 'm2': 1},
        )
        for number in range(4)
    }
    registry.replace_all(entries, 0.0, False)
    clock = LoopClock(context.virtual_loop)
    context.slots = CountingSlots(
        registry, clock, random.Random(1), permits_of(registry, clock)
    )


@when(
    '{count:d} items of the models wait for slots in random order of their '
    'ranks'
)
def wait_for_slots(context, count):
    """Start the items; each holds its slot until it is released."""
    rng = random.Random(7)
    ranks = rng.sample(range(count), count)
    context.granted = []
    slots = context.slots

    async def hold(rank, needs):
        entry = await slots.acquire(needs, (float(rank),))
        context.granted.append((needs.model, rank, entry.endpoint, needs))

    async def start():
        for rank in ranks:
            model = f'm{rank % 3}'
            needs = EngineRequirements('llm', model, 1, f'g{rank}', set())
            context.virtual_loop.create_task(hold(rank, needs))
            await asyncio.sleep(0)

    context.virtual_loop.run_until_complete(start())
    context.at_once = len(context.granted)
    context.total = count


@when('slots are released one at a time until all items have had one')
def release_slots(context):
    """Release the slot of the oldest item again and again."""
    slots = context.slots
    context.looked_at = []

    async def release():
        for number in range(context.total):
            _, _, endpoint, needs = context.granted[number]
            slots.looked_at = 0
            slots.release(endpoint, needs)
            context.looked_at.append(slots.looked_at)
            await asyncio.sleep(0.01)

    context.virtual_loop.run_until_complete(release())


@then('the items of each model got their slots in the order of their ranks')
def check_order(context):
    """Check the order of all items that had to wait."""
    assert len(context.granted) == context.total
    waited = context.granted[context.at_once :]
    for model in ('m0', 'm1', 'm2'):
        ranks = [rank for name, rank, _, _ in waited if name == model]
        assert ranks == sorted(ranks)


@then('each release looked at no more than {limit:d} items')
def check_looked_at(context, limit):
    """Check the attempts to find an engine after each release."""
    assert max(context.looked_at) <= limit, max(context.looked_at)
