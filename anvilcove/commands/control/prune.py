"""Delete claims that are too old for their request to be sent again."""

import time
from collections.abc import Callable

from loguru import logger

from anvilcove.commands.control.leases import LeaseKeeper
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.messages.table import Check, Row, Transaction
from anvilcove.ports.errors import PlatformError
from anvilcove.state.background_tasks import Work

PRUNE_LEASE = 'claims'
CLAIM_PREFIX = 'claim/'
MAX_CLAIM_AGE_S = 24 * 3600.0
PRUNE_PERIOD_S = 60.0
START_DELAY_S = 2.0
SCAN_ROWS = 500
# Rows deleted by one transaction; small, to keep transactions short.
DELETE_ROWS = 64
SCAN_PAUSE_S = 0.1


@register_component
class ClaimPruning(Component):
    """Prune old claims on the daemon that holds the lease."""

    control = True

    def __init__(
        self, context: Context, wall_time: Callable[[], float] = time.time
    ) -> None:
        """Use wall time, as stored in claims when they are inserted."""
        super().__init__(context)
        self.leases: LeaseKeeper = context.component(LeaseKeeper)
        self._wall_time = wall_time

    def tasks(self) -> list[Work]:
        """Return the pruning loop."""
        return [self._loop]

    async def _loop(self) -> None:
        self.leases.want(PRUNE_LEASE)
        await self.context.clock.sleep(START_DELAY_S)
        while True:
            try:
                await self.prune()
            except PlatformError as error:
                logger.warning('old claims could not be deleted: {}', error)
            await self.context.clock.sleep(PRUNE_PERIOD_S)

    async def prune(self) -> int:
        """Delete old claims while the lease is held; return their number."""
        table = self.context.ports['control_table']
        after = ''
        deleted = 0
        while self.leases.fence(PRUNE_LEASE) is not None:
            rows = await table.scan(CLAIM_PREFIX, after, SCAN_ROWS)
            old = [row for row in rows if self._is_old(row)]
            for start in range(0, len(old), DELETE_ROWS):
                if self.leases.fence(PRUNE_LEASE) is None:
                    return deleted
                chunk = old[start : start + DELETE_ROWS]
                result = await table.transact(delete_transaction(chunk))
                deleted += len(chunk) if result.committed else 0
            if len(rows) < SCAN_ROWS:
                break
            after = rows[-1].key
            await self.context.clock.sleep(SCAN_PAUSE_S)
        return deleted

    def _is_old(self, row: Row) -> bool:
        claimed_at = (row.value or {}).get('claimed_at')
        if not isinstance(claimed_at, int | float):
            return False
        return self._wall_time() - claimed_at > MAX_CLAIM_AGE_S


def delete_transaction(rows: list[Row]) -> Transaction:
    """Return a transaction that deletes rows unless one has changed."""
    return Transaction(
        checks=[Check(key=row.key, revision=row.revision) for row in rows],
        deletes=[row.key for row in rows],
    )
