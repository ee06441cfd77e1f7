"""Steps on formats of 53f4f11 and of this build, and on bad input."""

import json
import random
from pathlib import Path
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from format_samples import JOB, encoded, job_samples, samples
from loguru import logger
from memory_site import settings_of
from site_steps import run
from usage_steps import start_usage, window_at

from anvilcove.control.failure_detector import FailureDetector
from anvilcove.control.leases import (
    LEASE_DURATION_S,
    LEASES_TABLE,
    Lease,
    LeaseRow,
)
from anvilcove.control.node_rows import (
    NODES_TABLE,
    heartbeat_row_id,
    node_row_id,
)
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.peer_calls import serve_by_path
from anvilcove.control.permit_peers import serve_permits
from anvilcove.control.relay import RelayedCall, RelayedStore
from anvilcove.control.share_hints import (
    SHARES_ROW,
    ShareRow,
    WorkspaceWeights,
)
from anvilcove.control.size_rows import SIZES_TABLE, SizeRecords, SizeRow
from anvilcove.control.usage_rows import (
    COUNTS_TABLE,
    CountsReader,
    UsageCounts,
    UsageReport,
    read_reports,
    report_row_id,
)
from anvilcove.decisions.size_mix import EngineGroup
from anvilcove.jobs.records import JobRecords, decode_job_row, partition_of
from anvilcove.platform.endpoint_relay import serve_call
from anvilcove.ports.store import RowId, RowTransaction, RowWrite, StoredRow
from anvilcove.standins.memory_store import MemoryStore
from anvilcove.standins.virtual_loop import LoopClock, VirtualLoop

FIXTURES = Path(__file__).parents[1] / 'fixtures' / 'formats.json'
FOR_WORKSPACE = 'anvilcove.messages.services.ServiceCall'
FUTURE = {'later-build': [1, {'a': 'b'}]}
NESTED = b'\x91' * 65_000 + b'\xc0'
BAD_CONTENTS = {
    'empty': [b''],
    # In a field that is not read, and after the fields of an array.
    '64 KB of nested arrays': [
        b'\x81\xa1x' + NESTED,
        b'\x93\xa1x\x01' + NESTED,
    ],
    '64 KB of undefined bytes': [b'\xc1' * 65_536],
    'of an unknown kind': [msgspec.msgpack.encode(FUTURE)],
}
GROUP = EngineGroup('dc', False)


def expected(name, value_type, codec, value):
    """Return a sample of 53f4f11 as this build has to read it."""
    known = samples(False).get(name)
    if known:
        return known[1]
    return codec.decode(value, type=value_type)


@then('each recorded format of 53f4f11 decodes to the same sample')
def check_old(context):
    """Decode the bytes that 53f4f11 wrote."""
    known, found = samples(False), encoded(False)
    recorded = json.loads(FIXTURES.read_text())
    assert set(recorded) == set(found)
    for name, (value_type, codec, data) in found.items():
        old = codec.decode(
            bytes.fromhex(recorded[name]['old']), type=value_type
        )
        value = codec.decode(data, type=value_type)
        assert old == value, (name, old)
        assert name not in known or old == known[name][1], (name, old)


@then('this build writes the recorded bytes, which 53f4f11 reads')
def check_new(context):
    """Compare with what 53f4f11 decoded, without the appended fields."""
    recorded, old = json.loads(FIXTURES.read_text()), encoded(False)
    for name, (value_type, codec, data) in encoded(True).items():
        assert recorded[name]['new'] == data.hex(), name
        if 'read' in recorded[name]:
            read = msgspec.convert(recorded[name]['read'], value_type)
            assert read == codec.decode(old[name][2], type=value_type), name


@then('only a call for a workspace was rejected by 53f4f11')
def check_rejected(context):
    """Compare the names; such a call without a workspace is unchanged."""
    recorded = json.loads(FIXTURES.read_text())
    rejected = [n for n, sample in recorded.items() if 'read' not in sample]
    assert rejected == [FOR_WORKSPACE], rejected
    assert (
        encoded(False)[FOR_WORKSPACE][2].hex()
        == (recorded[FOR_WORKSPACE]['old'])
    )


@then('each row and message with fields of a later build is still read')
def check_later(context):
    """Append fields; messages of `anvilcove serve` may reject them."""
    for name, (value_type, codec, data) in encoded(True).items():
        if name in (FOR_WORKSPACE, 'anvilcove.messages.peers.Gossip'):
            continue
        plain = codec.decode(data)
        if isinstance(plain, dict):
            plain |= FUTURE
            for digest in plain.get('suspects', []):
                digest.append(FUTURE)
        elif value_type.__class__ is not type(list[int]):
            plain.append(FUTURE)
        else:
            plain[0].append(FUTURE)
        found = codec.decode(codec.encode(plain), type=value_type)
        assert found == codec.decode(data, type=value_type), name


@given('a row that is {content} beside a valid one in each table')
def write_bad_rows(context, content):
    """Keep the contents and the log."""
    context.bad = BAD_CONTENTS[content]
    keep_log(context)


def keep_log(context):
    """Keep the log lines of warnings and errors."""
    context.lines = []
    sink = logger.add(
        context.lines.append, level='WARNING', format='{message} {extra}'
    )
    context.add_cleanup(logger.remove, sink)


def stored(row_id, value, version=2):
    """Return a row as the store delivers it."""
    data = value if isinstance(value, bytes) else msgspec.msgpack.encode(value)
    return StoredRow(row_id, data, version)


def bad_rows(context, table, part, key):
    """Return the bad rows of a table."""
    return [
        stored(RowId(table, part, f'{key}bad{n}'), data, 9)
        for n, data in enumerate(context.bad)
    ]


def check_log(context, count):
    """Check for one line for each bad row."""
    assert len(context.lines) == count, (count, context.lines)
    context.lines.clear()


@then('the valid rows are read and each other one is logged')
def check_valid(context):
    """Give the rows to the reader of each table."""
    count = len(context.bad)
    for check in (check_nodes, check_duties, check_jobs):
        for lines in check(context):
            check_log(context, lines * count)


def check_nodes(context):
    """Read announcements and heartbeats."""
    known = samples(True)
    clock = LoopClock(context.loop)
    crashes = SimpleNamespace(merge=lambda digests: None)
    nodes = NodeDirectory(settings_of('h9'), crashes, clock, 'n9')
    node = known['anvilcove.control.node_rows.NodeRow'][1]
    rows = [
        *bad_rows(context, NODES_TABLE, '', ''),
        stored(node_row_id('h1'), node),
    ]
    nodes.on_rows(rows, True)
    assert list(nodes.by_host) == ['h1']
    yield 1
    detector = FailureDetector(nodes, clock, lambda: True)
    beat = known['anvilcove.control.node_rows.Heartbeat'][1]
    row = stored(heartbeat_row_id('h1'), beat)
    detector.on_rows([*bad_rows(context, 'heartbeats', 'h0', ''), row], True)
    assert detector._heartbeat_by_host == {'h1': beat}
    yield 1


def check_duties(context):
    """Read counts, reports, sizes and shares."""
    counts = UsageCounts({3: {'w': 2}})
    row = stored(RowId(COUNTS_TABLE, 'u0', 'h1/n1'), counts)
    reader = CountsReader()
    found = reader.read([*bad_rows(context, COUNTS_TABLE, 'u0', ''), row])
    assert found == {row.id: counts}
    yield 1
    report = UsageReport(3, {'w': 2}, 'h1', 1)
    row = stored(report_row_id(3), report)
    assert read_reports(
        [*bad_rows(context, 'usage_reports', '', ''), row]
    ) == [report]
    yield 1
    state = SimpleNamespace(workspaces=None)
    desired = SimpleNamespace(current=state)
    weights = WorkspaceWeights(desired, LoopClock(context.loop))
    bad = [stored(SHARES_ROW, data, 9) for data in context.bad]
    weights.on_rows([stored(SHARES_ROW, ShareRow(1, {'w': 2.0})), *bad], True)
    assert weights.hints() == {'w': 2.0}
    yield 1


def check_jobs(context):
    """Read the rows of a job."""
    part = partition_of(JOB)
    store = MemoryStore(context.loop)
    records = JobRecords(store)
    for name, (_type, data) in job_samples(True).items():
        table, _, key = name.partition('/')
        if key:
            put(store, RowId(table, part, key), data)
    for table in ('results', 'texts', 'failures'):
        for row in bad_rows(context, table, part, f'{JOB}/'):
            put(store, row.id, row.value)
    assert len(run(context, records.results(JOB, 0))) == 1
    yield 1
    assert list(run(context, records.checkpoints(JOB))) == ['i2']
    yield 1
    assert list(run(context, records.failures(JOB))) == ['i3']
    yield 1
    found = [decode_job_row(r) for r in bad_rows(context, 'jobs', part, '')]
    assert found == [None] * len(found)
    yield 1


def put(store, row_id, data):
    """Write a row."""
    store.apply(RowTransaction(writes=[RowWrite(row_id, data)]))


@given('a lease whose row was written {count:d} times and is now {content}')
def write_lease(context, count, content):
    """Write a lease repeatedly, then bad content."""
    context.virtual = VirtualLoop()
    context.add_cleanup(context.virtual.close)
    context.store = MemoryStore(context.virtual)
    row_id = RowId(LEASES_TABLE, '', 'usage')
    for number in range(1, count):
        row = LeaseRow('h1', 'n1', number, 0)
        put(context.store, row_id, msgspec.msgpack.encode(row))
    put(context.store, row_id, BAD_CONTENTS[content][0])


@when('a daemon tries to take it for {seconds:d} s')
def take_lease(context, seconds):
    """Run a lease and note when it is held first."""
    clock = LoopClock(context.virtual)
    lease = Lease(
        'usage', 'h2', 'n2', 3.0, context.store, clock, random.Random(1)
    )

    async def observe():
        task = context.virtual.create_task(lease.run())
        context.taken_at_s = context.fence = None
        started_s = clock.now()
        while clock.now() - started_s < seconds:
            await clock.sleep(0.05)
            if lease.fence() is not None and context.fence is None:
                context.taken_at_s = clock.now() - started_s
                context.fence = lease.fence()
        task.cancel()

    context.virtual.run_until_complete(observe())


@then('it takes the lease after the lease time with a fence above {count:d}')
def check_lease(context, count):
    """Compare the time and the fence."""
    assert context.taken_at_s is not None
    assert context.taken_at_s >= LEASE_DURATION_S, context.taken_at_s
    assert context.fence > count, context.fence


@given('a row that is {content} in place of a size and of a report')
def write_bad_duty_rows(context, content):
    """Start daemons with usage and write the rows."""
    start_usage(context, 3, {})
    site = context.memory
    context.window = window_at(context, site.loop.time()) + 1
    context.bad_id = report_row_id(context.window)
    put(site.store, context.bad_id, BAD_CONTENTS[content][0])
    context.store = MemoryStore(context.loop)
    row_id = RowId(SIZES_TABLE, '', 'llm/dc/reserved')
    put(context.store, row_id, BAD_CONTENTS[content][0])


@then('the size is replaced and the later windows are reported')
def check_duties_go_on(context):
    """Write a size and wait for three windows."""
    records = SizeRecords(context.store)
    assert run(context, records.read()) == {}
    run(context, records.write('llm', {}, {GROUP: 4}, 1, False))
    found = run(context, records.read())['llm'][GROUP].row
    assert found == SizeRow(4, found.time_ms, 1)
    site = context.memory
    site.pass_time(35.0)
    reported = {call.content[0] for call in site.interface.calls}
    later = set(range(context.window + 1, context.window + 4))
    assert later <= reported, reported
    assert context.window not in reported, reported


class PeerMessage:
    """Message of a peer as its handler sees it."""

    remote = '10.0.0.1'
    client_max_size = 1 << 20

    def __init__(self, path, data=b''):
        """Keep the path and the body."""
        self.path = path
        self.content = self
        self._parts = [data]

    async def readany(self):
        """Return the body, and nothing the second time."""
        return self._parts.pop() if self._parts else b''


def status_of(context, handler, message):
    """Return the status of the answer and check the log."""
    keep_log(context)
    try:
        status = run(context, handler(message)).status
    except Exception as error:
        status = getattr(error, 'status', None)
        assert status, repr(error)
    check_log(context, 1)
    return status


@then('a peer message with an unknown path is answered 404 and logged')
def check_unknown_path(context):
    """Serve paths of a later build."""

    async def serve(message):
        return await serve_by_path({}, message)

    assert status_of(context, serve, PeerMessage('/later')) == 404
    assert status_of(context, serve, PeerMessage('/' + 'x' * 65_000)) == 404


@then('a store call with an unknown method is answered 503 and logged')
def check_unknown_method(context):
    """Relay a call whose method the store's client does not know."""
    relay = RelayedStore(None, None, LoopClock(context.loop), None)
    for method in ('MERGE', 'BAD METHOD\n', ''):
        call = RelayedCall(method, '/rows', b'', 1.0, True, False)
        message = PeerMessage('/relay', msgspec.msgpack.encode(call))
        assert status_of(context, relay.serve, message) == 503


@then('malformed messages to each path are answered 400 and logged')
def check_malformed(context):
    """Serve bytes of each kind of bad content."""
    relay = RelayedStore(None, None, LoopClock(context.loop), None)

    async def endpoint_call(message):
        return await serve_call(None, None, message)

    async def permits(message):
        return await serve_permits(SimpleNamespace(serve=None), message)

    bad = [data for values in BAD_CONTENTS.values() for data in values]
    array = b'\x98' + b'\xa1x' * 7 + NESTED
    deep_json = b'{"x":' + b'[' * 65_000
    for data in [*bad, array, deep_json, b'\x90', b'{}']:
        for handler in (relay.serve, endpoint_call, permits):
            assert status_of(context, handler, PeerMessage('/p', data)) == 400
