"""Steps that run the lease keeper and the pruning on a table in memory."""

import time
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when
from queue_model import daemon_settings
from site_steps import run

from anvilcove.commands.control.leases import LeaseKeeper
from anvilcove.commands.control.prune import ClaimPruning
from anvilcove.daemon.app import load_modules, open_context
from anvilcove.messages.table import Row, TransactionResult

LEASE = 'claims'
HOUR_S = 3600.0
NOW_S = 1_000 * HOUR_S


class MemoryTable:
    """Table with conditional transactions."""

    def __init__(self):
        """Start empty."""
        self.rows = {}
        self.revision = 0

    def row(self, key):
        """Return a row; an absent one has revision 0."""
        return self.rows.get(key) or Row(key=key)

    async def read(self, keys):
        """Read rows."""
        return {key: self.row(key) for key in keys}

    async def scan(self, prefix, after='', limit=1000):
        """Read the rows of a prefix."""
        keys = [k for k in sorted(self.rows) if k.startswith(prefix)]
        return [self.rows[k] for k in keys if k > after][:limit]

    async def transact(self, change):
        """Apply a transaction if its checks hold."""
        conflicts = [
            self.row(check.key)
            for check in change.checks
            if self.row(check.key).revision != check.revision
        ]
        if conflicts:
            return TransactionResult(committed=False, conflicts=conflicts)
        self.revision += 1
        for put in change.puts:
            self.rows[put.key] = Row(
                key=put.key, revision=self.revision, value=put.value
            )
        for key in change.deletes:
            self.rows.pop(key, None)
        revisions = {put.key: self.revision for put in change.puts}
        return TransactionResult(committed=True, revisions=revisions)


def daemon_parts(table, clock, host, lease_ms):
    """Return the lease keeper and the pruning of one daemon."""
    parts = {}
    context = SimpleNamespace(
        settings=SimpleNamespace(
            host=host, timing=SimpleNamespace(lease_ms=lease_ms)
        ),
        clock=clock,
        ports={'control_table': table},
        component=parts.get,
    )
    keeper = parts[LeaseKeeper] = LeaseKeeper(context)
    keeper.want(LEASE)
    return keeper, ClaimPruning(context, wall_time=lambda: NOW_S)


@given('daemons a and b that request a lease of {lease:d} s named claims')
def prepare(context, lease):
    """Build two daemons that share a table and a clock."""
    context.table_in_memory = MemoryTable()
    context.time_s = 100.0
    clock = SimpleNamespace(now=lambda: context.time_s)
    context.daemons = {
        host: daemon_parts(context.table_in_memory, clock, host, lease * 1000)
        for host in ('a', 'b')
    }


@when('daemon {host} renews or acquires its leases')
def renew_or_acquire(context, host):
    """Run one round of the lease keeper."""
    run(context, context.daemons[host][0].renew_or_acquire_all())


@when('{seconds:f} s pass')
def pass_time(context, seconds):
    """Advance the clock."""
    context.time_s += seconds


@then('daemon {host} may act with fencing token {fence:d}')
def check_may_act(context, host, fence):
    """Compare the fencing token of the holder."""
    found = context.daemons[host][0].fence(LEASE)
    assert found == fence, found


@then('daemon {host} may not act')
def check_may_not_act(context, host):
    """Check that the daemon has no fencing token, so that it cannot act."""
    assert context.daemons[host][0].fence(LEASE) is None


@given('claims that are {hours} hours old')
def add_claims(context, hours):
    """Insert claims of these ages into the table."""
    for age in numbers(hours):
        key = f'claim/shop/{age:03d}'
        value = {'claimed_at': NOW_S - age * HOUR_S}
        context.table_in_memory.rows[key] = Row(
            key=key, revision=1, value=value
        )


@when('daemon {host} prunes the claims')
def prune(context, host):
    """Prune once and check the returned number of deleted claims."""
    before = len(context.table_in_memory.rows)
    deleted = run(context, context.daemons[host][1].prune())
    assert before - len(context.table_in_memory.rows) == deleted
    if host == 'b':
        assert deleted == 0, 'pruned without the lease'


@then('claims that are {hours} hours old are left')
def check_claims(context, hours):
    """Compare the claims in the table."""
    keys = [k for k in context.table_in_memory.rows if k.startswith('claim/')]
    assert keys == [f'claim/shop/{age:03d}' for age in numbers(hours)], keys


def numbers(text):
    """Return the numbers of a list such as `1, 2 and 3`."""
    return [int(part) for part in text.replace(' and ', ', ').split(', ')]


@given(
    'a daemon that requests a lease of {lease:d} s and reads the clock of its '
    'host'
)
def prepare_with_host_clock(context, lease):
    """Build a lease keeper as a daemon does, on a table in memory."""
    load_modules()
    settings = daemon_settings()
    settings.timing.lease_ms = lease * 1000

    async def build():
        daemon = open_context(settings)
        await daemon.control_session.close()
        await daemon.session.close()
        return daemon

    daemon = run(context, build())
    daemon.ports['control_table'] = MemoryTable()
    context.keeper = LeaseKeeper(daemon)
    context.keeper.want(LEASE)


@when('it acquires the lease')
def acquire(context):
    """Run one round of the lease keeper."""
    run(context, context.keeper.renew_or_acquire_all())
    assert context.keeper.fence(LEASE) == 1


@when('its host is suspended for {seconds:d} s')
def suspend(context, seconds):
    """Advance the clock that continues during a suspension."""
    read = time.clock_gettime
    patched = patch.object(
        time,
        'clock_gettime',
        lambda clock: read(clock) + seconds * (clock == time.CLOCK_BOOTTIME),
    )
    patched.start()
    context.add_cleanup(patched.stop)


@then('it no longer holds the lease')
def check_lost(context):
    """Check that the daemon has no fencing token."""
    assert context.keeper.fence(LEASE) is None
