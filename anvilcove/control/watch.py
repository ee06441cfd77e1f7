"""Follow the rows of a table."""

import random
from collections.abc import Callable

from loguru import logger

from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import HistoryLost, RowPage, StoredRow, StorePort
from anvilcove.state.clock import Clock

# A watch waits this long in the store. It is short because a connection that
# has gone silent is noticed only when the wait is over.
WAIT_S = 0.7
# Pause between two calls, so that a busy table costs a bounded rate.
PAUSE_S = 0.12
RETRY_S = 0.15
# A table is read whole this often, whatever the watch has delivered.
WHOLE_READ_S = 10.0

# Without an answer for this long, other daemons may have renewed what they
# hold without being seen.
GAP_S = 1.5

OnRows = Callable[[list[StoredRow], bool], None]
OnGap = Callable[[], None] | None


class TableWatch:
    """Deliver whole tables and later changes to a callback.

    The callback takes the rows and whether they are the whole table.
    """

    __slots__ = (
        'table',
        'parts',
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
        parts: list[str],
        store: StorePort,
        clock: Clock,
        rng: random.Random,
        on_rows: OnRows,
        on_gap: OnGap = None,
    ) -> None:
        """Follow nothing before `run`; `on_gap` tells of missed changes."""
        self.table = table
        self.parts = parts
        self.version = 0
        # When the last answer was asked for: what it says is as old as that.
        self.answered_at_s = float('-inf')
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._on_gap = on_gap
        self.store_ms = 0.0
        self.store_ms_at_s = 0.0

    def age_s(self) -> float:
        """Return the age of what the watch knows."""
        return self._clock.now() - self.answered_at_s

    def store_now_ms(self) -> float:
        """Return the store's clock, as far as its last answer tells it."""
        return self.store_ms + (self._clock.now() - self.store_ms_at_s) * 1000

    async def run(self) -> None:
        """Follow the table for ever."""
        whole_at_s = float('-inf')
        while True:
            try:
                now = self._clock.now()
                if now - whole_at_s >= WHOLE_READ_S:
                    await self._read_all()
                    whole_at_s = now + self._rng.uniform(0.0, 1.0)
                else:
                    await self._read_changes()
                await self._clock.sleep(PAUSE_S)
            except HistoryLost:
                logger.bind(table=self.table, version=self.version).info(
                    'watch lost its place and reads the table again'
                )
                whole_at_s = float('-inf')
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(table=self.table, reason=str(error)).debug(
                    'watch failed'
                )
                await self._clock.sleep(self._rng.uniform(0.5, 1.5) * RETRY_S)

    async def _read_all(self) -> None:
        asked_at_s = self._clock.now()
        rows: list[StoredRow] = []
        version: int | None = None
        for part in self.parts:
            page = await self._store.read_range(self.table, part)
            rows += page.rows
            version = page.version if version is None else version
            self._answered(asked_at_s, page)
        self.version = max(version or 0, self.version)
        self._on_rows(rows, True)

    async def _read_changes(self) -> None:
        asked_at_s = self._clock.now()
        page = await self._store.changes(self.table, self.version, WAIT_S)
        self._answered(asked_at_s, page)
        if page.rows:
            self._on_rows(page.rows, False)
        self.version = max(page.version, self.version)

    def _answered(self, asked_at_s: float, page: RowPage) -> None:
        if self._on_gap and asked_at_s - self.answered_at_s > GAP_S:
            self._on_gap()
        self.answered_at_s = asked_at_s
        self.store_ms = page.store_ms
        self.store_ms_at_s = self._clock.now()
