"""In-memory implementation of the store port with fault injection."""

import asyncio
from bisect import bisect_right
from collections.abc import Callable

from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import (
    HistoryLost,
    ObjectExists,
    RowId,
    RowPage,
    RowTransaction,
    StoredRow,
    TransactionOutcome,
)

RESPONSE_TIME_S = 0.004
LOST_RESPONSE_DELAY_S = 1.0
SILENCE_CHECK_S = 0.05
# Entries that a transaction may have.
MAX_ENTRIES = 100


class StoreFaults:
    """Faults that tests switch on.

    `lose` selects the transactions whose response is lost; if `apply_lost`
    is set, they are applied after `delay_s` seconds.
    """

    def __init__(self) -> None:
        """Create the settings of a store without faults."""
        self.away = False
        self.lose: Callable[[RowTransaction], bool] = lambda change: False
        self.apply_lost = True
        self.delay_s = 0.0
        # Tables and partitions whose reads are not answered.
        self.silent_partitions: set[tuple[str, str]] = set()
        # Factor by which the response time of every call is multiplied.
        self.slow = 1.0


class MemoryStore:
    """Rows, change history and objects shared by the daemons of a test."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create an empty store that uses the clock of the event loop."""
        self._loop = loop
        self.faults = StoreFaults()
        # Time of the store's clock at time 0 of the event loop.
        self.origin_ms = 0.0
        self.rows: dict[RowId, tuple[bytes, int]] = {}
        self.history: list[StoredRow] = []
        self.history_start_version = 0
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.transactions = 0
        self._changed = asyncio.Event()

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction, or raise StoreAnswerLost if selected."""
        await self._simulate_call()
        _check_limits(change)
        if self.faults.lose(change):
            if self.faults.apply_lost:
                if self.faults.delay_s:
                    self._loop.call_later(
                        self.faults.delay_s, self.apply, change
                    )
                else:
                    self.apply(change)
            await asyncio.sleep(LOST_RESPONSE_DELAY_S)
            raise StoreAnswerLost('lost by the test')
        return self.apply(change)

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows of a partition with keys in [start, end).

        An empty `end` means no upper bound.
        """
        await self._simulate_call()
        while (table, part) in self.faults.silent_partitions:
            await asyncio.sleep(SILENCE_CHECK_S)
        rows = [
            StoredRow(row_id, value, version)
            for row_id, (value, version) in self.rows.items()
            if row_id.table == table
            and row_id.part == part
            and row_id.key >= start
            and (not end or row_id.key < end)
        ]
        rows.sort(key=lambda row: row.id.key)
        return RowPage(rows, self.version, self.store_ms())

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes of a table after version `after`.

        Return an empty page after `wait_s` seconds; raise HistoryLost if
        older changes have been discarded.
        """
        await self._simulate_call()
        deadline_at_s = self._loop.time() + wait_s
        while True:
            if after < self.history_start_version:
                raise HistoryLost(table)
            rows = self._rows_since(table, after)
            version = self.version
            remaining_s = deadline_at_s - self._loop.time()
            if rows or remaining_s <= 0:
                await self._simulate_call()
                # A change during the call belongs to the next answer.
                return RowPage(rows, version, self.store_ms())
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                # The loop runs timers early by up to its clock resolution.
                deadline_at_s = self._loop.time()

    def _rows_since(self, table: str, after: int) -> list[StoredRow]:
        """Return the changes of a table after a version, oldest first."""
        start = bisect_right(self.history, after, key=lambda row: row.version)
        return [row for row in self.history[start:] if row.id.table == table]

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object or raise ObjectExists."""
        await self._simulate_call()
        if name in self.objects:
            raise ObjectExists(name)
        self.objects[name] = data

    async def get_object(self, name: str) -> bytes:
        """Read an object or raise ObjectNotFound."""
        await self._simulate_call()
        if name not in self.objects:
            raise ObjectNotFound(name)
        return self.objects[name]

    async def remove_object(self, name: str) -> None:
        """Remove an object if it exists."""
        await self._simulate_call()
        self.objects.pop(name, None)

    def apply(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction without delay or faults."""
        conflicts = [
            self._current(check.id)
            for check in change.checks
            if self._current(check.id).version != check.version
        ]
        if conflicts:
            return TransactionOutcome(
                False, self.version, self.store_ms(), conflicts
            )
        self.version += 1
        self.transactions += 1
        for write in change.writes:
            self.rows[write.id] = (write.value, self.version)
            self.history.append(self._current(write.id))
        for row_id in change.removals:
            self.rows.pop(row_id, None)
            self.history.append(StoredRow(row_id, None, self.version))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return TransactionOutcome(True, self.version, self.store_ms())

    def forget_history(self) -> None:
        """Discard the change history."""
        self.history.clear()
        self.history_start_version = self.version

    def store_ms(self) -> float:
        """Return the time of the store in milliseconds."""
        return self.origin_ms + self._loop.time() * 1000

    async def _simulate_call(self) -> None:
        await asyncio.sleep(RESPONSE_TIME_S * self.faults.slow)
        if self.faults.away:
            raise StoreUnavailable('switched off by the test')

    def _current(self, row_id: RowId) -> StoredRow:
        value, version = self.rows.get(row_id, (None, 0))
        return StoredRow(row_id, value, version)


def _check_limits(change: RowTransaction) -> None:
    """Reject a transaction that is too large or covers several partitions."""
    parts = {check.id.part for check in change.checks}
    parts |= {write.id.part for write in change.writes}
    parts |= {row.part for row in change.removals}
    entries = len(change.checks) + len(change.writes) + len(change.removals)
    if entries > MAX_ENTRIES or len(parts) > 1:
        raise StoreUnavailable(
            f'rejected: {entries} entries in {len(parts)} partitions'
        )
