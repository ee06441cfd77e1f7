"""Counts of the requests that this process runs for workspaces."""

import asyncio
from collections.abc import Callable
from math import floor

from loguru import logger

from anvilcove.control.usage_progress import ReportProgress, progress_period_s
from anvilcove.control.usage_rows import (
    RETENTION_S,
    UsageCounts,
    counts_rows,
    window_of,
    window_of_counts_key,
    windows_apart,
)
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import (
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StorePort,
)
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.state.true_time import TrueTime

MIN_PERIOD_S = 0.5
# Writes that the counts of all hosts may take, a tenth of those that the
# store takes.
WRITES_PER_S = 320.0
# The work of this time is announced, in whole seconds.
WORK_WINDOW_S = 5
# Workspaces with the most work; the others are below any share.
MAX_WORKSPACES = 256
# Rows of one transaction, each with a check. The store takes 100 entries; 16
# full rows are 0.6 MB, which a slow link transfers before the call times out.
MAX_ROWS = 16
# Counts kept until they are reported, about 10 MB: 45 minutes of 36 requests
# per second, each of another workspace.
MAX_COUNTS = 100_000


def write_period_s(hosts: int) -> float:
    """Return the least time between two writes of a process."""
    return max(MIN_PERIOD_S, hosts / WRITES_PER_S)


class UsageMeter:
    """Totals by window, written to rows of this process."""

    __slots__ = (
        'host_count',
        'state_version',
        '_settings',
        '_nonce',
        '_store',
        '_clock',
        '_true_time',
        '_counts_by_window',
        '_work_by_second',
        '_written_work',
        '_changed',
        '_changed_windows',
        '_windows_apart',
        '_version_by_row',
        '_write_lock',
        '_progress',
        '_progress_at_s',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        store: StorePort,
        clock: Clock,
        true_time: TrueTime,
    ) -> None:
        """Start without counts."""
        # Returns the number of hosts that write counts.
        self.host_count: Callable[[], int] = lambda: 1
        # Returns the version of the newest desired state, 0 if none is known.
        self.state_version: Callable[[], int] = lambda: 0
        self._settings = settings
        self._nonce = nonce
        self._store = store
        self._clock = clock
        self._true_time = true_time
        self._counts_by_window: dict[int, dict[str, int]] = {}
        self._work_by_second: dict[int, dict[str, float]] = {}
        self._written_work: dict[str, float] = {}
        self._changed = False
        # Windows with counts that are not in the store yet.
        self._changed_windows: set[int] = set()
        # Windows with rows of their own.
        self._windows_apart: set[int] = set()
        self._version_by_row: dict[RowId, int] = {}
        self._write_lock = asyncio.Lock()
        self._progress = ReportProgress(store)
        self._progress_at_s = float('-inf')

    def began(self, workspace: str, at_s: float) -> None:
        """Count a request that began to run at a time of the clock."""
        if not workspace:
            return
        true_s = self._true_time.now_s() - (self._clock.now() - at_s)
        window = window_of(true_s, self._settings.bounds.report_window_s)
        counts = self._counts_by_window.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._changed_windows.add(window)
        self._changed = True

    def worked(self, workspace: str, seconds: float) -> None:
        """Add service time that has just ended."""
        if not workspace:
            return
        second = floor(self._clock.now())
        work = self._work_by_second.setdefault(second, {})
        work[workspace] = work.get(workspace, 0.0) + seconds

    async def run(self) -> None:
        """Write changed counts periodically, without end."""
        while True:
            try:
                await self._clock.sleep(write_period_s(self.host_count()))
                await self.flush()
            except Exception:
                logger.exception('writing of counts failed')
                await self._clock.sleep(MIN_PERIOD_S)

    async def flush(self) -> None:
        """Write the counts if they have changed since the last write."""
        async with self._write_lock:
            work = self._recent_work()
            if not self._changed and work == self._written_work:
                return
            await self._drop_reported()
            # What is counted during the call goes into the next write.
            self._changed = False
            written = False
            try:
                written = await self._write(work) or await self._write(work)
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(reason=str(error)).info('counts not written')
            finally:
                if written:
                    self._written_work = work
                else:
                    self._changed = True

    async def _write(self, work: dict[str, float]) -> bool:
        """Write the changed rows; return whether nobody else changed them.

        An earlier write whose answer was lost may be applied late. The checks
        keep it from replacing this one.
        """
        writes = self._changed_rows(work)
        surplus = [
            row
            for row in self._version_by_row
            if window_of_counts_key(row.key) not in self._windows_apart
            and row != writes[-1].id
        ]
        # What is counted during the calls goes into the next write.
        unwritten, self._changed_windows = self._changed_windows, set()
        try:
            for start in range(0, len(writes), MAX_ROWS):
                rows = writes[start:][:MAX_ROWS]
                if not await self._transact(rows, []):
                    return False
                left = _windows_of(writes[start + MAX_ROWS :])
                unwritten -= _windows_of(rows) - left
            unwritten = set()
        finally:
            self._changed_windows |= unwritten
        for start in range(0, len(surplus), MAX_ROWS):
            if not await self._transact([], surplus[start:][:MAX_ROWS]):
                return False
        return True

    def _changed_rows(self, work: dict[str, float]) -> list[RowWrite]:
        """Encode the row of the process and the changed rows of windows."""
        row_bytes = self._settings.store.row_bytes
        apart = windows_apart(
            self._counts_by_window, self._windows_apart, row_bytes
        )
        self._changed_windows |= apart - self._windows_apart
        self._windows_apart = apart
        counts = UsageCounts(
            {
                window: by_name
                for window, by_name in self._counts_by_window.items()
                if window not in apart or window in self._changed_windows
            },
            work,
            round(self._true_time.now_s(), 3),
            self.state_version(),
        )
        return counts_rows(
            self._settings.host, self._nonce, counts, row_bytes, apart
        )

    async def _transact(
        self, writes: list[RowWrite], removals: list[RowId]
    ) -> bool:
        """Write or remove rows under their versions; return whether done."""
        versions = self._version_by_row
        ids = [write.id for write in writes] + removals
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(row, versions.get(row, 0)) for row in ids],
                writes=writes,
                removals=removals,
            )
        )
        if outcome.applied:
            versions.update((write.id, outcome.version) for write in writes)
            for row in removals:
                versions.pop(row, None)
        for conflict in outcome.conflicts:
            versions[conflict.id] = conflict.version
            if conflict.value is None and conflict.id in removals:
                # The holder of the duty has removed it.
                del versions[conflict.id]
        return outcome.applied

    def _recent_work(self) -> dict[str, float]:
        """Return the work of the last WORK_WINDOW_S, the most first."""
        since = floor(self._clock.now()) - WORK_WINDOW_S
        total: dict[str, float] = {}
        for second in sorted(self._work_by_second):
            if second < since:
                del self._work_by_second[second]
                continue
            for name, work_s in self._work_by_second[second].items():
                total[name] = total.get(name, 0.0) + work_s
        largest = sorted(total, key=lambda name: (-total[name], name))
        return {
            name: round(total[name], 2) for name in largest[:MAX_WORKSPACES]
        }

    async def _drop_reported(self) -> None:
        """Drop old windows whose reports were sent.

        Looks that up rarely: a process needs it only to bound its rows.
        """
        window_s = self._settings.bounds.report_window_s
        old = window_of(self._true_time.now_s() - RETENTION_S, window_s)
        now = self._clock.now()
        if now < self._progress_at_s or old <= min(
            self._counts_by_window, default=old
        ):
            return
        self._progress_at_s = now + progress_period_s(self.host_count())
        try:
            await self._progress.read()
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).info('reported windows not known')
        current = window_of(self._true_time.now_s(), window_s)
        reported = min(old, self._progress.sent_before(current) or 0)
        self._drop({w for w in self._counts_by_window if w < reported})
        self._drop_excess()

    def _drop_excess(self) -> None:
        """Drop the oldest counts if no report was sent for hours."""
        size, dropped = 0, set()
        for window in sorted(self._counts_by_window, reverse=True):
            size += len(self._counts_by_window[window])
            if size > MAX_COUNTS:
                dropped.add(window)
        if dropped:
            logger.bind(first=min(dropped), last=max(dropped)).error(
                'unreported counts given up'
            )
            self._drop(dropped)
            # Rows that were written stay until their reports were sent.
            self._version_by_row = {
                row: version
                for row, version in self._version_by_row.items()
                if window_of_counts_key(row.key) not in dropped
            }

    def _drop(self, windows: set[int]) -> None:
        for window in windows:
            del self._counts_by_window[window]
        self._changed_windows -= windows


def _windows_of(rows: list[RowWrite]) -> set[int | None]:
    """Return the windows that have rows of their own among these."""
    return {window_of_counts_key(row.id.key) for row in rows}
