"""Store in memory behind the port, with the faults of the real one."""

import asyncio
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

ANSWER_S = 0.004
LOST_ANSWER_S = 1.0


class StoreFaults:
    """Faults that tests switch on.

    `lose` decides for each transaction whether its answer is lost, and
    `delay_s` when such a transaction is applied.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.away = False
        self.lose: Callable[[RowTransaction], bool] = lambda change: False
        self.apply_lost = True
        self.delay_s = 0.0
        # Factor on the time of every answer.
        self.slow = 1.0


class MemoryStore:
    """Rows, their changes and objects, shared by the daemons of a test."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start empty; the store's clock is that of the loop."""
        self._loop = loop
        self.faults = StoreFaults()
        self.rows: dict[RowId, tuple[bytes, int]] = {}
        self.history: list[StoredRow] = []
        self.oldest_kept = 0
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.transactions = 0
        self._changed = asyncio.Event()

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction."""
        await self._reach()
        if self.faults.lose(change):
            if self.faults.apply_lost:
                if self.faults.delay_s:
                    self._loop.call_later(
                        self.faults.delay_s, self.apply, change
                    )
                else:
                    self.apply(change)
            await asyncio.sleep(LOST_ANSWER_S)
            raise StoreAnswerLost('lost by the test')
        return self.apply(change)

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows from `start` up to, without, `end`."""
        await self._reach()
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
        """Wait for changes after a version, or raise HistoryLost."""
        await self._reach()
        end_s = self._loop.time() + wait_s
        while True:
            if after < self.oldest_kept:
                raise HistoryLost(table)
            rows = [
                row
                for row in self.history
                if row.id.table == table and row.version > after
            ]
            left_s = end_s - self._loop.time()
            if rows or left_s <= 0:
                await self._reach()
                return RowPage(rows, self.version, self.store_ms())
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object or raise ObjectExists."""
        await self._reach()
        if name in self.objects:
            raise ObjectExists(name)
        self.objects[name] = data

    async def get_object(self, name: str) -> bytes:
        """Read an object or raise ObjectNotFound."""
        await self._reach()
        if name not in self.objects:
            raise ObjectNotFound(name)
        return self.objects[name]

    async def remove_object(self, name: str) -> None:
        """Remove an object; one that is not there is not an error."""
        await self._reach()
        self.objects.pop(name, None)

    def apply(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction at once."""
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
        """Drop every change so far."""
        self.history.clear()
        self.oldest_kept = self.version

    def store_ms(self) -> float:
        """Return the store's clock."""
        return self._loop.time() * 1000

    async def _reach(self) -> None:
        await asyncio.sleep(ANSWER_S * self.faults.slow)
        if self.faults.away:
            raise StoreUnavailable('switched off by the test')

    def _current(self, row_id: RowId) -> StoredRow:
        value, version = self.rows.get(row_id, (None, 0))
        return StoredRow(row_id, value, version)
