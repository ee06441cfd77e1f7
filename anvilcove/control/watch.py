"""Watch on the rows of a store table."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import HistoryLost, RowPage, StoredRow, StorePort
from anvilcove.state.clock import Clock

# Time that the store holds a call while there are no changes. It is short
# because a broken connection is noticed only when the wait is over.
LONG_POLL_S = 0.7
# Pause between two calls, which bounds the call rate on a busy table.
POLL_PAUSE_S = 0.12
# Bounds of the pause of a watch that follows the load of the store.
MIN_POLL_PAUSE_S = 0.03
MAX_POLL_PAUSE_S = 0.3
# Share of the store's rate of reads that all watches of one busy table use.
READ_RATE_SHARE = 0.2
RETRY_DELAY_S = 0.15
# A full table read takes place this often, whatever the watch has delivered.
FULL_READ_PERIOD_S = 10.0
# Full reads of large tables take place less often, so that they transfer no
# more than this in the mean.
FULL_READ_BYTES_PER_S = 500.0
# Size of a row in an answer without its value.
ROW_OVERHEAD_BYTES = 100
# How often a watch that is not needed looks whether it is.
UNNEEDED_CHECK_S = 0.3
# A full read waits this long for the slowest of several partitions.
PARTITION_WAIT_S = 0.6
# A later answer to a long poll counts as an outage of the store.
MAX_ANSWER_DELAY_S = 0.15
# After a longer time without an answer, renewals of leases by other daemons
# may have been missed.
MAX_ANSWER_GAP_S = 1.5

OnRows = Callable[[list[StoredRow], bool], None]
OnGap = Callable[[], None] | None


def poll_pause_s(daemons: int, reads_per_s: float) -> float:
    """Return the pause that keeps the watches of one table to their share."""
    pause_s = daemons / max(reads_per_s * READ_RATE_SHARE, 1.0)
    return min(max(pause_s, MIN_POLL_PAUSE_S), MAX_POLL_PAUSE_S)


class TableWatch:
    """Pass full table reads and later changes to a callback.

    The callback takes the rows and whether they are the full table.
    """

    __slots__ = (
        'table',
        'partitions',
        'version',
        'answered_at_s',
        'observed_s',
        '_received_at_s',
        '_store',
        '_clock',
        '_rng',
        '_on_rows',
        '_on_gap',
        'on_skipped',
        '_unread_partitions',
        '_task_by_partition',
        '_full_read_period_s',
        '_wake_event',
        'pause_s',
        'is_needed',
        'long_poll_s',
    )

    def __init__(
        self,
        table: str,
        partitions: list[str],
        store: StorePort,
        clock: Clock,
        rng: random.Random,
        on_rows: OnRows,
        on_gap: OnGap = None,
    ) -> None:
        """Read nothing before `run`.

        `on_gap` is called after more than MAX_ANSWER_GAP_S without an answer.
        """
        self.table = table
        self.partitions = partitions
        self.version = 0
        # Time when the last answered call was sent; the rows are at least
        # as new.
        self.answered_at_s = float('-inf')
        # Time for which changes of the table were seen in time; an outage of
        # the store does not count.
        self.observed_s = 0.0
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._on_gap = on_gap
        # Called with the number of rows that the callback could not apply.
        self.on_skipped: Callable[[int], None] = lambda count: None
        # Partitions that the store did not answer for in the last full read.
        self._unread_partitions: set[str] = set()
        self._task_by_partition: dict[str, asyncio.Task[None]] = {}
        self.long_poll_s = LONG_POLL_S
        # Returns the seconds between two calls.
        self.pause_s: Callable[[], float] = lambda: POLL_PAUSE_S
        # Tells whether the table is read at all.
        self.is_needed: Callable[[], bool] = lambda: True
        self._full_read_period_s = FULL_READ_PERIOD_S
        self._wake_event = asyncio.Event()
        # When the last answer arrived, None before the first one.
        self._received_at_s: float | None = None

    def age_s(self) -> float:
        """Return the seconds since the last answered call was sent."""
        return self._clock.now() - self.answered_at_s

    def wake(self) -> None:
        """End a pause between two calls."""
        self._wake_event.set()

    async def run(self) -> None:
        """Read the table and its changes, without end."""
        try:
            await self._follow()
        finally:
            for task in self._task_by_partition.values():
                task.cancel()

    async def _follow(self) -> None:
        full_read_at_s = float('-inf')
        while True:
            if not self.is_needed():
                full_read_at_s = float('-inf')
                await self._clock.sleep(UNNEEDED_CHECK_S)
                continue
            try:
                now = self._clock.now()
                if now - full_read_at_s >= self._full_read_period_s:
                    await self._read_all()
                    full_read_at_s = now + self._rng.uniform(0.0, 1.0)
                else:
                    self._start_reading_unread()
                    await self._read_changes()
                await self._pause()
            except HistoryLost:
                logger.bind(table=self.table, version=self.version).info(
                    'table history lost, full read follows'
                )
                full_read_at_s = float('-inf')
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(table=self.table, reason=str(error)).debug(
                    'table watch failed'
                )
                await self._clock.sleep(
                    self._rng.uniform(0.5, 1.5) * RETRY_DELAY_S
                )

    async def _pause(self) -> None:
        """Wait for the time between two calls, or until `wake`."""
        self._wake_event.clear()
        try:
            async with asyncio.timeout(self.pause_s()):
                await self._wake_event.wait()
        except TimeoutError:
            return

    async def _read_all(self) -> None:
        """Read all partitions; apply what was read if some do not answer."""
        sent_at_s = self._clock.now()
        reads = {
            partition: asyncio.create_task(
                self._store.read_range(self.table, partition)
            )
            for partition in self.partitions
        }
        try:
            done, _ = await asyncio.wait(
                reads.values(),
                timeout=PARTITION_WAIT_S if len(reads) > 1 else None,
            )
            if not done:
                await asyncio.wait(
                    reads.values(), return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            for read in reads.values():
                read.cancel()
        pages, reason_by_partition = _collect_pages(reads)
        if not pages:
            raise StoreUnavailable(
                f'no partition of {self.table} answers: {reason_by_partition}'
            )
        self._unread_partitions = set(reason_by_partition)
        for partition, reason in reason_by_partition.items():
            self._log_unread(partition, reason)
        # Later changes of the other partitions are read once more.
        self.version = max(min(p.version for p in pages), self.version)
        self._record_answer(sent_at_s)
        rows = [row for page in pages for row in page.rows]
        size = sum(len(row.value or b'') + ROW_OVERHEAD_BYTES for row in rows)
        self._full_read_period_s = max(
            FULL_READ_PERIOD_S, size / FULL_READ_BYTES_PER_S
        )
        self._deliver(rows, not self._unread_partitions)

    def _deliver(self, rows: list[StoredRow], full_read: bool) -> None:
        """Pass rows on; if one cannot be applied, skip it and apply the rest.

        After a failed full read the rows are passed as changes, so that rows
        which are gone stay until the next full read.
        """
        try:
            self._on_rows(rows, full_read)
            return
        except Exception:
            logger.bind(
                table=self.table, rows=len(rows), full_read=full_read
            ).exception('rows not applied at once')
        skipped = 0
        for row in rows:
            try:
                self._on_rows([row], False)
            except Exception as error:
                skipped += 1
                logger.bind(
                    table=self.table,
                    row=row.id.key[:200],
                    reason=repr(error)[:300],
                ).warning('row skipped')
        self.on_skipped(skipped)

    def _start_reading_unread(self) -> None:
        """Try the partitions again that a full read could not read.

        The tries don't delay the changes of the other partitions.
        """
        for partition in self._unread_partitions:
            task = self._task_by_partition.get(partition)
            if task is None or task.done():
                self._task_by_partition[partition] = asyncio.create_task(
                    self._read_partition(partition)
                )

    async def _read_partition(self, partition: str) -> None:
        try:
            page = await self._store.read_range(self.table, partition)
        except (StoreUnavailable, StoreAnswerLost) as error:
            self._log_unread(partition, str(error))
            return
        self._unread_partitions.discard(partition)
        self._deliver(page.rows, False)

    def _log_unread(self, partition: str, reason: str) -> None:
        logger.bind(table=self.table, partition=partition, reason=reason).info(
            'partition not read'
        )

    async def _read_changes(self) -> None:
        sent_at_s = self._clock.now()
        page = await self._store.changes(
            self.table, self.version, self.long_poll_s
        )
        self._record_answer(sent_at_s)
        if page.rows:
            self._deliver(page.rows, False)
        self.version = max(page.version, self.version)

    def _record_answer(self, sent_at_s: float) -> None:
        gap_s = sent_at_s - self.answered_at_s
        # Timers that the callback restarts run from this answer on.
        self.answered_at_s = sent_at_s
        if self._on_gap and gap_s > MAX_ANSWER_GAP_S:
            self._on_gap()
        now = self._clock.now()
        if self._received_at_s is not None:
            self.observed_s += min(
                now - self._received_at_s,
                self.long_poll_s + MAX_ANSWER_DELAY_S,
            )
        self._received_at_s = now


def _collect_pages(
    reads: dict[str, asyncio.Task[RowPage]],
) -> tuple[list[RowPage], dict[str, str]]:
    """Return the pages, and why each other partition was not read."""
    pages = []
    reason_by_partition = {}
    for partition, read in reads.items():
        if not read.done():
            reason_by_partition[partition] = 'no answer yet'
            continue
        try:
            pages.append(read.result())
        except (StoreUnavailable, StoreAnswerLost) as error:
            reason_by_partition[partition] = str(error)
    return pages, reason_by_partition
