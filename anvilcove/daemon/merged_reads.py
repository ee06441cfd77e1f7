"""Table port that merges the reads of the control loops."""

import asyncio

from anvilcove.messages.table import Row, Transaction, TransactionResult
from anvilcove.ports.interfaces import TablePort

# Loops that wake up at the same tick ask within this time.
MERGE_WINDOW_S = 0.005


class _Merged:
    __slots__ = ('keys', 'task')

    def __init__(self) -> None:
        self.keys: set[str] = set()
        self.task: asyncio.Task[dict[str, Row]] | None = None


class MergedReads:
    """Answer reads that come together from one snapshot of the table.

    Each call to the table costs a daemon about a millisecond of processor
    time, a tenth of its budget for control at one call a second.
    """

    __slots__ = ('_table', '_open')

    def __init__(self, table: TablePort) -> None:
        """Wrap a table port."""
        self._table = table
        self._open: _Merged | None = None

    async def transact(self, change: Transaction) -> TransactionResult:
        """Apply a transaction."""
        return await self._table.transact(change)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Read the rows of a prefix in key order."""
        return await self._table.scan(prefix, after, limit)

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows in one snapshot that is taken after this call."""
        merged = self._open
        if merged is None:
            merged = self._open = _Merged()
            merged.task = asyncio.create_task(self._read(merged))
        merged.keys.update(keys)
        assert merged.task is not None
        rows = await asyncio.shield(merged.task)
        return {key: rows[key] for key in keys}

    async def _read(self, merged: _Merged) -> dict[str, Row]:
        await asyncio.sleep(MERGE_WINDOW_S)
        self._open = None
        return await self._table.read(sorted(merged.keys))
