"""Watch on the rows of a store table."""

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
RETRY_DELAY_S = 0.15
# A full table read takes place this often, whatever the watch has delivered.
FULL_READ_PERIOD_S = 10.0

# After a longer time without an answer, renewals of leases by other daemons
# may have been missed.
MAX_ANSWER_GAP_S = 1.5

OnRows = Callable[[list[StoredRow], bool], None]
OnGap = Callable[[], None] | None


class TableWatch:
    """Pass full table reads and later changes to a callback.

    The callback takes the rows and whether they are the full table.
    """

    __slots__ = (
        'table',
        'partitions',
        'version',
        'answered_at_s',
        'store_ms',
        'store_ms_at_s',
        '_store',
        '_clock',
        '_rng',
        '_on_rows',
        '_on_gap',
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
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._on_gap = on_gap
        self.store_ms = 0.0
        self.store_ms_at_s = 0.0

    def age_s(self) -> float:
        """Return the seconds since the last answered call was sent."""
        return self._clock.now() - self.answered_at_s

    def estimated_store_time_ms(self) -> float:
        """Return the store's time in ms, extrapolated from its last answer."""
        return self.store_ms + (self._clock.now() - self.store_ms_at_s) * 1000

    async def run(self) -> None:
        """Read the table and its changes, without end."""
        full_read_at_s = float('-inf')
        while True:
            try:
                now = self._clock.now()
                if now - full_read_at_s >= FULL_READ_PERIOD_S:
                    await self._read_all()
                    full_read_at_s = now + self._rng.uniform(0.0, 1.0)
                else:
                    await self._read_changes()
                await self._clock.sleep(POLL_PAUSE_S)
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

    async def _read_all(self) -> None:
        sent_at_s = self._clock.now()
        rows: list[StoredRow] = []
        version: int | None = None
        for partition in self.partitions:
            page = await self._store.read_range(self.table, partition)
            rows += page.rows
            version = page.version if version is None else version
            self._record_answer(sent_at_s, page)
        self.version = max(version or 0, self.version)
        self._on_rows(rows, True)

    async def _read_changes(self) -> None:
        sent_at_s = self._clock.now()
        page = await self._store.changes(self.table, self.version, LONG_POLL_S)
        self._record_answer(sent_at_s, page)
        if page.rows:
            self._on_rows(page.rows, False)
        self.version = max(page.version, self.version)

    def _record_answer(self, sent_at_s: float, page: RowPage) -> None:
        if self._on_gap and sent_at_s - self.answered_at_s > MAX_ANSWER_GAP_S:
            self._on_gap()
        self.answered_at_s = sent_at_s
        self.store_ms = page.store_ms
        self.store_ms_at_s = self._clock.now()
