"""Counts of all processes, as the holder of the duty reads them."""

from collections.abc import Collection, Iterator

from msgspec import Struct

from anvilcove.control.usage_rows import (
    COUNT_PARTITIONS,
    COUNTS_TABLE,
    CountsReader,
    UsageCounts,
    process_of_key,
    sorted_total,
)
from anvilcove.ports.store import RowId, StoredRow, StorePort
from anvilcove.state.clock import Clock

# Bytes of rows that are decoded, and counts that are added up, before other
# tasks get their turn.
SLICE_BYTES = 65_536
SLICE_COUNTS = 10_000
# Windows of processes that are dropped before other tasks get their turn;
# after an outage of 10 minutes each process has 120.
SLICE_WINDOWS = 5_000


class CountRow(Struct, gc=False):
    """Row of counts; `counts` is None if it cannot be decoded.

    `newest_window` also tells of windows that were dropped here.
    """

    id: RowId
    version: int
    counts: UsageCounts | None
    newest_window: int


class AllCounts:
    """Rows of all processes; those that have not changed are kept decoded."""

    __slots__ = ('_store', '_clock', '_reader', '_by_part', '_first_window')

    def __init__(self, store: StorePort, clock: Clock) -> None:
        """Read nothing before `refresh`."""
        self._store = store
        self._clock = clock
        self._reader = CountsReader()
        self._by_part: dict[str, dict[str, CountRow]] = {}
        self._first_window = 0

    def clear(self) -> None:
        """Forget all rows; the next holder may need dropped windows."""
        self._by_part, self._first_window = {}, 0

    def rows(self) -> Iterator[CountRow]:
        """Return all rows that can be decoded."""
        for by_key in self._by_part.values():
            yield from (row for row in by_key.values() if row.counts)

    def windows(self) -> set[int]:
        """Return the windows that have counts."""
        return {
            window
            for row in self.rows()
            if row.counts
            for window in row.counts.counts_by_window
        }

    def work(
        self, written_after_s: float
    ) -> list[tuple[str, dict[str, float]]]:
        """Return the work by process of the rows written after a time."""
        return [
            (row.id.key, row.counts.work_by_workspace)
            for row in self.rows()
            if row.counts and row.counts.written_s > written_after_s
        ]

    async def refresh(self) -> None:
        """Read all rows, or raise StoreUnavailable or StoreAnswerLost."""
        for part in COUNT_PARTITIONS:
            page = await self._store.read_range(COUNTS_TABLE, part)
            await self._apply(part, page.rows)

    async def _apply(self, part: str, stored_rows: list[StoredRow]) -> None:
        known, found, size = self._by_part.get(part, {}), {}, 0
        for stored in stored_rows:
            row = known.get(stored.id.key)
            if row is None or row.version != stored.version:
                if size > SLICE_BYTES:
                    size = 0
                    await self._clock.sleep(0)
                size += len(stored.value or b'')
                row = self._decode(stored)
            found[stored.id.key] = row
        self._by_part[part] = found

    def _decode(self, stored: StoredRow) -> CountRow:
        counts = self._reader.read([stored]).get(stored.id)
        if counts is None:
            return CountRow(stored.id, stored.version, None, -1)
        newest = max(counts.counts_by_window, default=-1)
        _drop_before(counts.counts_by_window, self._first_window)
        return CountRow(stored.id, stored.version, counts, newest)

    async def drop_before(self, window: int) -> None:
        """Drop the counts of earlier windows, whose reports are fixed."""
        self._first_window = window
        dropped = 0
        for row in self.rows():
            if dropped > SLICE_WINDOWS:
                dropped = 0
                await self._clock.sleep(0)
            if row.counts:
                by_window = row.counts.counts_by_window
                dropped += len(by_window)
                _drop_before(by_window, window)

    async def total(
        self, window: int, known: Collection[str]
    ) -> dict[str, int]:
        """Add the counts of a window of the known workspaces, by name."""
        total: dict[str, int] = {}
        for part in COUNT_PARTITIONS:
            size = 0
            await self._clock.sleep(0)
            for rows in self._processes(part, window):
                if size > SLICE_COUNTS:
                    size = 0
                    await self._clock.sleep(0)
                size += sum(
                    len(counts.counts_by_window[window]) for _, counts in rows
                )
                self._reader.add(total, rows, window, known)
        return sorted_total(total)

    def _processes(
        self, part: str, window: int
    ) -> list[list[tuple[str, UsageCounts]]]:
        """Return the rows of each process that have counts of a window."""
        by_process: dict[str, list[tuple[str, UsageCounts]]] = {}
        for key, row in self._by_part.get(part, {}).items():
            if row.counts and window in row.counts.counts_by_window:
                rows = by_process.setdefault(process_of_key(key), [])
                rows.append((key, row.counts))
        return list(by_process.values())


def _drop_before(by_window: dict[int, dict[str, int]], window: int) -> None:
    for old in [other for other in by_window if other < window]:
        del by_window[old]
