"""Steps with daemons that report the usage of workspaces."""

import random

import msgspec
from behave import given, then, when
from duty_steps import (
    check_order,
    fail,
    holders,
    record_errors,
    start_site,
)
from forwarding_steps import shop_request
from loguru import logger
from memory_site import EPOCH_S, HOST, MemorySite, settings_of

from anvilcove.control.timed_store import TimedStore
from anvilcove.control.usage_counts import AllCounts
from anvilcove.control.usage_meter import UsageMeter
from anvilcove.control.usage_report_rows import ReportRows
from anvilcove.control.usage_rows import (
    COUNTS_TABLE,
    REPORTS_TABLE,
    CountsReader,
    UsageCounts,
    UsageReport,
    counts_rows,
    report_row_id,
    report_rows,
)
from anvilcove.control.usage_sweep import sweep
from anvilcove.ports.duties import DutyNotHeld
from anvilcove.ports.store import RowId, RowTransaction, RowWrite, StoredRow
from anvilcove.settings.node import USAGE
from anvilcove.standins.virtual_loop import LoopClock
from anvilcove.state.true_time import TrueTime
from anvilcove.state.workspaces import (
    Workspace,
    WorkspaceDirectory,
    WorkspaceKeys,
)

WINDOW_S, DUE_S = 5.0, 10.0
REQUEST_PERIOD_S = 0.2
NAMES = ('w0', 'w1', 'w2')


def apply_workspaces(site, names=NAMES, again=False):
    """Let all daemons know the workspaces."""
    for daemon in site.daemons.values():
        state = daemon.desired.current
        if state is not None and (again or state.workspaces is None):
            directory = WorkspaceDirectory(
                WorkspaceKeys(Workspace(name)) for name in names
            )
            daemon.desired.current = msgspec.structs.replace(
                state, workspaces=directory, version=state.version
            )
            daemon.desired.current.__dict__.clear()


@given('{count:d} daemons that report usage')
def start(context, count):
    """Start daemons and let them learn the workspaces."""
    start_usage(context, count, {})


@given(
    '{count:d} daemons that report usage, whose clocks are {errors} s wrong'
)
def start_wrong(context, count, errors):
    """Start daemons whose time of day is wrong."""
    values = errors.replace(' and', ',').split(', ')
    wrong = {f'h{i}': float(value) for i, value in enumerate(values)}
    start_usage(context, count, wrong)


def start_usage(context, count, wrong):
    """Start daemons; requests begin when they know each other's clocks."""
    start_site(context, count, [USAGE], wrong)
    context.rng = random.Random(7)
    context.ran = {}
    for _ in range(60):
        context.memory.pass_time(0.1)
        apply_workspaces(context.memory)
    context.memory.interface.calls.clear()


def window_at(context, loop_s):
    """Return the window of a time of the loop, by the median clock."""
    site = context.memory
    errors = sorted(site.wall_error_s.get(h, 0.0) for h in site.daemons)
    middle = len(errors) // 2
    median = (errors[middle] + errors[-1 - middle]) / 2
    return int((site.epoch_s + loop_s + median) // WINDOW_S)


def send_requests(context, seconds):
    """Count requests at random daemons for some time."""
    site = context.memory
    for _ in range(round(seconds / REQUEST_PERIOD_S)):
        site.pass_time(REQUEST_PERIOD_S)
        now = site.loop.time()
        running = [
            host
            for host in site.tasks
            if now >= site.frozen_until_s.get(host, 0.0)
        ]
        name = context.rng.choice(NAMES)
        host = context.rng.choice(running)
        # It began when it was sent, its end is known only now.
        site.daemons[host].meter.began(name, now - 0.05)
        counts = context.ran.setdefault(window_at(context, now - 0.05), {})
        counts[name] = counts.get(name, 0) + 1


@when('{seconds:g} s go by with requests')
def pass_with_requests(context, seconds):
    """Let time pass while requests run."""
    send_requests(context, seconds)


@when('the holder of the usage {fault} just {moment} a window')
def fail_holder(context, fault, moment):
    """Wait for a moment of the holder, then let a fault befall it."""
    site = context.memory
    (host,) = holders(site, USAGE)
    before = progress(context)
    wanted = {'before it fixes': 0, 'after it fixed': 1, 'after it sent': 2}
    phase = next(p for p in wanted if moment == p)
    if wanted[phase] == 0:
        # Windows are fixed 4 s after their end.
        while (site.epoch_s + site.loop.time()) % WINDOW_S < 3.5:
            send_requests(context, REQUEST_PERIOD_S)
    else:
        kind = wanted[phase] - 1
        while progress(context)[kind] == before[kind]:
            site.pass_time(0.001)
    fail(site, host, fault)


def progress(context):
    """Return the numbers of fixed windows and of calls that arrived."""
    site = context.memory
    fixed = sum(row.table == REPORTS_TABLE for row in site.store.rows)
    return fixed, len(site.interface.calls)


@when('{fault} for {seconds:d} s with requests')
def fail_for(context, fault, seconds):
    """Let a fault of the store or the interface last."""
    site, interface = context.memory, context.memory.interface
    store = site.store.faults
    origin_ms = site.store.origin_ms + 4000.0
    switch = {
        'the store is away': (store, 'away', True),
        'the store is 100 times slower': (store, 'slow', 100.0),
        'answers of the store are lost': (
            store,
            'lose',
            lambda change: context.rng.random() < 0.3,
        ),
        'the interface refuses calls': (interface, 'cut_hosts', {'*'}),
        'the interface throttles': (interface, 'throttled', True),
        'the clock of the store jumps': (site.store, 'origin_ms', origin_ms),
        'the time of day of one daemon steps': (
            site,
            'wall_error_s',
            {'h1': 7.0},
        ),
    }
    target, name, value = switch[fault]
    before = getattr(target, name)
    setattr(target, name, value)
    send_requests(context, seconds)
    setattr(target, name, before)


@when("the next write of the holder's {kind} raises an unexpected error")
def break_store(context, kind):
    """Let the store client of the holder raise once."""
    (host,) = holders(context.memory, USAGE)
    table = {'counts': COUNTS_TABLE, 'reports': REPORTS_TABLE}[kind]
    context.stores[host].broken_table = table
    record_errors(context)


@when('a daemon without the duty is killed 0.6 s after its last request')
def kill_other(context):
    """Kill a daemon once its counts are written."""
    site = context.memory
    host = next(h for h in site.tasks if h not in holders(site, USAGE))
    site.daemons[host].meter.began('w0', site.loop.time())
    counts = context.ran.setdefault(window_at(context, site.loop.time()), {})
    counts['w0'] = counts.get('w0', 0) + 1
    site.pass_time(0.6)
    site.kill(host)


@when('workspace w2 is removed and all daemons start again')
def remove_and_restart(context):
    """Let no process of those that follow have known the workspace."""
    apply_workspaces(context.memory, NAMES[:2], again=True)
    restart_all(context, 2, NAMES[:2])


@when('all daemons are killed and start again after {seconds:d} s')
def restart_all(context, seconds, names=NAMES):
    """Lose all processes, after their last counts were written."""
    site = context.memory
    site.pass_time(0.6)
    hosts = list(site.tasks)
    for host in hosts:
        site.kill(host)
    site.pass_time(seconds)
    for number, host in enumerate(hosts):
        site.start(host, seed=100 + number)
    for _ in range(40):
        site.pass_time(0.1)
        apply_workspaces(site, names)


@then('the reports of all windows are exact, single and in time')
def check_reports_in_time(context):
    """Check the reports and when they arrived."""
    check_reports(context)
    for call in context.memory.interface.calls:
        window, _ = call.content
        now = window_at(context, call.at_s)
        assert now >= window + 1, (window, now)
    for window, at_s in context.first_at_s.items():
        late_s = at_s - end_s(context, window)
        assert late_s <= DUE_S, (window, late_s)


def end_s(context, window):
    """Return the time of the loop at which a window ends."""
    low, high = 0.0, 1000.0
    while high - low > 1e-4:
        middle = (low + high) / 2
        if window_at(context, middle) > window:
            high = middle
        else:
            low = middle
    return high


@then('the reports of all windows are exact and single')
def check_reports(context):
    """Check the counts of all windows that are due."""
    counts_by_window, context.first_at_s = {}, {}
    for call in context.memory.interface.calls:
        window, counts = call.content
        known = counts_by_window.setdefault(window, counts)
        assert known == counts, (window, known, counts)
        context.first_at_s.setdefault(window, call.at_s)
    due = window_at(context, context.memory.loop.time() - DUE_S - WINDOW_S)
    expected = {w: dict(sorted(context.ran[w].items())) for w in context.ran}
    assert len(expected) >= 3
    first = min(expected)
    for window in range(first, due + 1):
        found = counts_by_window.get(window)
        assert found == expected.get(window, {}), (
            window,
            found,
            expected.get(window),
        )
    check_order(context.memory.interface.calls)


@then('they arrived in the order of their windows')
def check_window_order(context):
    """Compare the first arrivals, which `check_reports` has noted."""
    order = sorted(context.first_at_s, key=context.first_at_s.get)
    assert order == sorted(order), order


@then('the reports of all windows with requests are exact and single')
def check_windows_with_requests(context):
    """Check the reports but for windows in which nothing ran."""
    site, reports = context.memory, {}
    for call in site.interface.calls:
        window, counts = call.content
        assert reports.setdefault(window, counts) == counts, window
    for window, counts in context.ran.items():
        assert reports.get(window) == dict(sorted(counts.items())), window
    assert len(reports) < 800, len(reports)


@given('a holder that has read the progress, and another that sent window 7')
def send_elsewhere(context):
    """Let the other one also remove the row of the window."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    context.rows = ReportRows(site.store, settings_of('a'))
    site.run(context.rows.progress.read())
    other = ReportRows(site.store, settings_of('b'))
    report = site.run(other.create(7, {'w0': 2}, 2, latest=20))
    site.run(other.mark_sent(report, 8, latest=20))
    site.run(sweep(site.store, [], 8))
    assert report_row_id(7) not in site.store.rows


@when('the first holder fixes window 7 with other counts')
def fix_late(context):
    """Fix the window as if it went on after a freeze."""
    context.error = None
    try:
        context.memory.run(context.rows.create(7, {'w0': 1}, 1, latest=20))
    except DutyNotHeld as error:
        context.error = error


@then('no row of window 7 exists, and window 8 can be fixed')
def check_not_fixed(context):
    """Check the refusal, and that it was for this window only."""
    site = context.memory
    assert context.error is not None
    assert report_row_id(7) not in site.store.rows
    site.run(context.rows.create(8, {'w0': 1}, 3, latest=20))
    assert report_row_id(8) in site.store.rows


@given('a store whose calls of a daemon are timed')
def time_store(context):
    """Build the store client of a daemon that has just started."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    clock = LoopClock(site.loop)
    context.timed = TimedStore(site.store, TrueTime(clock), clock)


@when('the first call of the daemon is answered after {seconds:d} s')
def answer_first(context, seconds):
    """Let the store come back."""
    site = context.memory
    site.pass_time(seconds)
    site.run(context.timed.transact(RowTransaction()))


@then('the daemon awaits what other hosts held back')
def check_back(context):
    """Check the end of the outage."""
    assert context.timed.back_at_s == context.memory.loop.time()


@then('the reports of all windows that are due are fixed')
def check_fixed(context):
    """Look at the rows, as nothing could be sent."""
    due = window_at(context, context.memory.loop.time() - DUE_S - WINDOW_S)
    rows = {row.key for row in context.memory.store.rows}
    sent = {call.content[0] for call in context.memory.interface.calls}
    unsent = set(range(min(context.ran), due + 1)) - sent
    assert len(unsent) > 100, unsent
    for window in unsent:
        assert report_row_id(window).key in rows, window


@given(
    'rows with counts that are negative, of an unknown workspace or not '
    'decodable'
)
def write_bad_rows(context):
    """Write bad rows, as of broken processes."""
    site = context.memory
    window = window_at(context, site.loop.time())
    windows = range(window, window + 6)
    values = {
        'x/negative': msgspec.msgpack.encode(
            UsageCounts({w: {'w0': -3} for w in windows})
        ),
        'x/unknown': msgspec.msgpack.encode(
            UsageCounts({w: {'nobody': 3} for w in windows})
        ),
        'x/broken': b'\xc1 no counts',
    }
    for key, value in values.items():
        row = RowWrite(RowId(COUNTS_TABLE, 'u0', key), value)
        site.store.apply(RowTransaction(writes=[row]))
    context.lines = []
    sink = logger.add(context.lines.append, level='WARNING', format='{extra}')
    context.add_cleanup(logger.remove, sink)


@when('a row of a report of the far future is written')
def write_future_report(context):
    """Write a row as of a holder whose clock is wrong."""
    site = context.memory
    window = window_at(context, site.loop.time()) + 9000
    rows = report_rows(UsageReport(window, {}, 'h9', 1, True), 65536)
    site.store.apply(RowTransaction(writes=rows))


@given('a row of a report with an invalid key')
def write_invalid_report(context):
    """Write a row that sorts before all windows."""
    row = RowWrite(RowId(REPORTS_TABLE, '', '0 no window'), b'\xc1')
    context.memory.store.apply(RowTransaction(writes=[row]))


@then('each bad row was logged once')
def check_logged(context):
    """Count the lines for each row."""
    for key in ('x/negative', 'x/unknown', 'x/broken'):
        found = [line for line in context.lines if key in line]
        assert len(found) == 1, (key, found)


@then('no row of counts is left and at most {count:d} rows of reports')
def check_swept(context, count):
    """Count the rows."""
    tables = [row.table for row in context.memory.store.rows]
    assert COUNTS_TABLE not in tables
    assert 0 < tables.count(REPORTS_TABLE) <= count, tables


@given('the counts of {count:d} workspaces in {windows:d} windows')
def make_counts(context, count, windows):
    """Prepare counts."""
    context.counts = {
        window: {f'workspace-{i}': i + 1 for i in range(count)}
        for window in range(windows)
    }


@when('they are written as rows of at most {limit:d} bytes')
def write_rows(context, limit):
    """Encode the counts."""
    context.limit = limit
    counts = UsageCounts(context.counts)
    context.rows = counts_rows('h', 'n', counts, limit)


@then('the rows hold the same counts and none is larger')
def check_rows(context):
    """Read the rows again."""
    assert max(len(row.value) for row in context.rows) <= context.limit
    stored = [StoredRow(row.id, row.value, 1) for row in context.rows]
    reader = CountsReader()
    found = reader.read(stored)
    for window, counts in context.counts.items():
        assert reader.total(found, window, counts) == dict(
            sorted(counts.items())
        )


@given(
    'a process that has written the counts of {names:d} workspaces in '
    '{windows:d} windows'
)
def write_first(context, names, windows):
    """Write counts that fit into one row."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    clock = LoopClock(site.loop)
    context.meter = UsageMeter(
        settings_of('h'),
        'n',
        site.store,
        clock,
        TrueTime(clock, lambda: EPOCH_S + site.loop.time()),
    )
    context.counts = {}
    context.windows = windows
    count_requests(context, range(names))
    site.run(context.meter.flush())
    assert len(count_rows(site)) == 1


def count_requests(context, numbers):
    """Count a request of each workspace in each window."""
    for number in numbers:
        for window in range(context.windows):
            at_s = context.memory.loop.time() - WINDOW_S * window
            context.meter.began(f'w{number}', at_s)
        context.counts[f'w{number}'] = context.windows


def count_rows(site):
    """Return the rows of counts as the store has them."""
    return [
        StoredRow(row_id, value, version)
        for row_id, (value, version) in site.store.rows.items()
        if row_id.table == COUNTS_TABLE
    ]


def stored_counts(site, names, known_rows):
    """Return what a holder reads of some workspaces, over all windows.

    `known_rows` holds what was decoded before, by row and version.
    """
    reader, total, found = CountsReader(), {}, {}
    for row in count_rows(site):
        key = (row.id, row.version)
        if key not in known_rows:
            by_window = reader.read([row])[row.id].counts_by_window
            known_rows[key] = UsageCounts(
                {
                    window: {n: c for n, c in counts.items() if n in names}
                    for window, counts in by_window.items()
                }
            )
        found[row.id] = known_rows[key]
    for window in {w for c in found.values() for w in c.counts_by_window}:
        for name, count in reader.total(found, window, names).items():
            total[name] = total.get(name, 0) + count
    return total


@when('it writes those of {names:d} more while {fault}')
def write_more(context, names, fault):
    """Write until all is written, and read the rows at each change."""
    site, rng = context.memory, random.Random(3)
    before, known_rows = dict(context.counts), {}
    count_requests(context, range(len(before), len(before) + names))
    faults, apply = site.store.faults, site.store.apply
    if fault != 'the store answers':
        faults.lose = lambda change: rng.random() < 0.33
        faults.delay_s = 3.0 if fault.endswith('come late') else 0.0
        faults.apply_lost = not fault.endswith('never come')
    context.lines = []
    sink = logger.add(
        context.lines.append, level='INFO', format='{message} {extra}'
    )
    context.add_cleanup(logger.remove, sink)

    def checked_apply(change):
        outcome = apply(change)
        found = stored_counts(site, before, known_rows)
        assert found == before, found
        return outcome

    site.store.apply = checked_apply
    for _ in range(30):
        site.run(context.meter.flush())
        site.pass_time(0.5)
    site.store.apply = apply


@when('it gives up its oldest counts as {names:d} more workspaces come')
def give_up(context, names):
    """Exceed the counts that a process keeps, 31 s later."""
    site = context.memory
    site.pass_time(31.0)
    lines = []
    sink = logger.add(lines.append, level='ERROR', format='{message}')
    context.add_cleanup(logger.remove, sink)
    for number in range(names):
        context.meter.began(f'x{number}', site.loop.time())
        context.counts[f'x{number}'] = 1
    site.run(context.meter.flush())
    assert lines == ['unreported counts given up\n'], lines


@then(
    'no transaction was rejected and each state of the rows had the '
    'counts once'
)
def check_not_rejected(context):
    """Read the log; the states were checked at each change."""
    assert len(count_rows(context.memory)) > 50
    assert not [line for line in context.lines if 'rejected' in line]


@then('the rows hold the same counts at the end')
def check_stored(context):
    """Compare all counts."""
    found = stored_counts(context.memory, context.counts, {})
    assert found == context.counts


class CountingReader(CountsReader):
    """Reader that records the bytes of each row that it decodes."""

    def __init__(self):
        """Start without rows."""
        super().__init__()
        self.slices = [[]]
        # Counts that each slice has added up.
        self.added = [0]

    def add(self, total, rows, window, known):
        """Record the counts of the current slice."""
        self.added[-1] += sum(len(c.counts_by_window[window]) for _, c in rows)
        super().add(total, rows, window, known)

    def read(self, rows):
        """Record the rows of the current slice."""
        self.slices[-1] += [len(row.value) for row in rows]
        return super().read(rows)

    async def sleep(self, seconds):
        """Begin another slice, as the clock of the holder."""
        self.slices.append([])
        self.added.append(0)


def write_counts(site, host, count):
    """Write the counts of a host, 2 kB."""
    counts = UsageCounts(
        {w: {f'w{n}': count for n in range(30)} for w in (1, 2, 3, 4, 5, 6, 7)}
    )
    rows = counts_rows(host, 'n', counts, 65536)
    site.store.apply(RowTransaction(writes=rows))


@given('the counts of {count:d} hosts that are read once')
def read_first(context, count):
    """Decode all rows."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    for number in range(count):
        write_counts(site, f'h{number}', 1)
    context.reader = CountingReader()
    context.all_counts = AllCounts(site.store, context.reader)
    context.all_counts._reader = context.reader
    site.run(context.all_counts.refresh())
    assert sum(map(len, context.reader.slices)) == count


@when('{count:d} hosts write again and the counts are read again')
def read_again(context, count):
    """Decode what has changed."""
    for number in range(count):
        write_counts(context.memory, f'h{number}', 2)
    context.read_before = context.reader.slices
    context.reader.slices = [[]]
    context.memory.run(context.all_counts.refresh())
    total = context.memory.run(context.all_counts.total(7, {'w1'}))
    assert total == {'w1': 2200 + count}, total


@then(
    '{count:d} rows were decoded since, and never more than {size:d} kB at '
    'a time'
)
def check_decoded(context, count, size):
    """Count rows and bytes."""
    assert sum(map(len, context.reader.slices)) == count
    largest = max(sum(part) for part in context.read_before)
    assert 0 < largest <= size * 1000, largest


@given('the counts of {count:d} hosts with {names:d} workspaces each')
def read_large(context, count, names):
    """Decode windows that have many workspaces at each host."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    counts = UsageCounts({7: {f'w{n}': 1 for n in range(names)}}, {}, 0.0, 1)
    for number in range(count):
        for row in counts_rows(f'h{number}', 'n', counts, 65536):
            site.store.apply(RowTransaction(writes=[row]))
    context.reader = CountingReader()
    context.all_counts = AllCounts(site.store, context.reader)
    context.all_counts._reader = context.reader
    site.run(context.all_counts.refresh())


@given('the counts of {count:d} hosts with {windows:d} windows each')
def read_windows(context, count, windows):
    """Decode rows as they are after an outage."""
    context.memory = site = MemorySite(0, 0)
    context.add_cleanup(site.close)
    counts = UsageCounts({window: {'w0': 1} for window in range(windows)})
    for number in range(count):
        rows = counts_rows(f'h{number}', 'n', counts, 65536)
        site.store.apply(RowTransaction(writes=rows))
    context.reader = CountingReader()
    context.all_counts = AllCounts(site.store, context.reader)
    site.run(context.all_counts.refresh())
    assert len(context.all_counts.windows()) == windows


@when('the windows are dropped')
def drop_windows(context):
    """Drop all as their reports are fixed."""
    context.reader.slices = [[]]
    context.memory.run(context.all_counts.drop_before(1000))


@then('none is left, and other tasks had at least {turns:d} turns')
def check_dropped(context, turns):
    """Count the pauses."""
    assert not context.all_counts.windows()
    assert len(context.reader.slices) - 1 >= turns


@then('no more than {limit:d} of the {count:d} counts are added up at a time')
def check_added(context, limit, count):
    """Add up the window."""
    total = context.memory.run(context.all_counts.total(7, set()))
    assert sum(total.values()) == count, sum(total.values())
    assert sum(context.reader.added) == count
    assert max(context.reader.added) <= limit, context.reader.added


@then('no row of counts has more than {count:d} windows')
def check_windows(context, count):
    """Count the windows of each row."""
    found = CountsReader().read(count_rows(context.memory)).values()
    sizes = [len(counts.counts_by_window) for counts in found]
    assert sizes and max(sizes) <= count, sizes


class RecordingCounter:
    """Counter that records what it is told."""

    def __init__(self):
        """Start without requests."""
        self.begun = []

    def began(self, workspace, at_s):
        """Record a request, unless it has no workspace as `UsageMeter`."""
        if workspace:
            self.begun.append((workspace, at_s))

    def worked(self, workspace, seconds):
        """Ignore it."""


@when('a request of workspace {workspace} {course} at daemon a')
def run_request(context, workspace, course):
    """Send a request that takes a course."""
    site = context.memory
    daemon = site.daemons['a']
    context.counter = daemon.forwarder.usage = RecordingCounter()
    request = shop_request(site, 1, 1.0)
    request.workspace = '' if workspace == 'none' else workspace
    if course == 'is refused by all':
        site.servers.refusing.update(site.server_addresses)
    elif course == 'is never answered':
        site.servers.silent.update(site.server_addresses)
    elif course == 'is answered by a second one':
        site.servers.connection_errors['q1'] = [ConnectionResetError()]
    route = daemon.service.route(HOST, request.path)
    context.sent_at_s = site.loop.time()
    owed = course == 'is a reward call'
    site.run(daemon.forwarder.forward(request, route, owed=owed))
    if course == 'is answered by a second one':
        assert len(site.servers.runs) == 2, site.servers.runs


@then('{count:d} requests were counted, as of its first attempt')
def check_counted(context, count):
    """Check the number and the time."""
    expected = [('w0', context.sent_at_s)] * count
    assert context.counter.begun == expected, context.counter.begun
