"""Remove the rows of daemons that are gone."""

from collections.abc import Callable

from loguru import logger

from anvilcove.control.failure_detector import FailureDetector
from anvilcove.control.node_rows import heartbeat_row_id, node_row_id
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import RowId, RowTransaction, StorePort
from anvilcove.state.clock import Clock

SWEEP_PERIOD_S = 2.0
# A daemon without a heartbeat for this long is gone; one that returns later
# writes its row again. A daemon that starts cannot tell how old a row is, and
# would give jobs to a daemon that is gone.
RETENTION_S = 8.0
# Entries that the store accepts in one transaction.
MAX_REMOVALS = 100


class NodeSweeper:
    """Remove old rows, on the daemon that holds the orders lease."""

    __slots__ = ('_detector', '_store', '_clock', '_holds_orders_lease')

    def __init__(
        self,
        detector: FailureDetector,
        store: StorePort,
        clock: Clock,
        holds_orders_lease: Callable[[], bool],
    ) -> None:
        """Remove nothing before `run`."""
        self._detector = detector
        self._store = store
        self._clock = clock
        self._holds_orders_lease = holds_orders_lease

    async def run(self) -> None:
        """Remove the rows of lost daemons until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_PERIOD_S)
            if self._holds_orders_lease():
                await self.remove_lost()

    async def remove_lost(self) -> None:
        """Remove the rows that were not renewed for RETENTION_S."""
        hosts = self._detector.silent_hosts(RETENTION_S)
        if not hosts:
            return
        rows_by_part: dict[str, list[RowId]] = {}
        for host in hosts:
            for row in (node_row_id(host), heartbeat_row_id(host)):
                rows_by_part.setdefault(row.part, []).append(row)
        try:
            for rows in rows_by_part.values():
                await self._remove(rows)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).info('daemon rows not removed')
            return
        logger.bind(hosts=hosts).info('daemon rows removed')

    async def _remove(self, rows: list[RowId]) -> None:
        for start in range(0, len(rows), MAX_REMOVALS):
            await self._store.transact(
                RowTransaction(removals=rows[start : start + MAX_REMOVALS])
            )
