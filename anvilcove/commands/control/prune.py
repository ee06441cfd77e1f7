"""Delete the claims of requests that nobody can send again."""

import time
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

from anvilcove.commands.control.leases import LeaseKeeper
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.messages.table import Check, Row, Transaction
from anvilcove.ports.errors import PlatformError

LEASE = 'claims'
PREFIX = 'claim/'
CLAIM_AGE_S = 24 * 3600.0
PERIOD_S = 60.0
FIRST_LOOK_S = 2.0
PAGE = 500
# Rows deleted by one transaction, to keep its time short.
CHUNK = 64
PAUSE_S = 0.1


@part
class ClaimPruning(Part):
    """Prune claims at the daemon that holds the lease."""

    control = True

    def __init__(
        self, context: Context, wall_time: Callable[[], float] = time.time
    ) -> None:
        """Use wall time: claims carry the wall time of their insertion."""
        super().__init__(context)
        self.leases: LeaseKeeper = context.part(LeaseKeeper)
        self._wall_time = wall_time

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the pruning loop."""
        return [self._loop()]

    async def _loop(self) -> None:
        self.leases.want(LEASE)
        await self.context.clock.sleep(FIRST_LOOK_S)
        while True:
            try:
                await self.prune()
            except PlatformError as error:
                logger.warning('claims not pruned: {}', error)
            await self.context.clock.sleep(PERIOD_S)

    async def prune(self) -> int:
        """Delete old claims while the lease is held; return their number."""
        table = self.context.ports['control_table']
        after = ''
        deleted = 0
        while self.leases.fence(LEASE) is not None:
            rows = await table.scan(PREFIX, after, PAGE)
            old = [row for row in rows if self._is_old(row)]
            for start in range(0, len(old), CHUNK):
                if self.leases.fence(LEASE) is None:
                    return deleted
                chunk = old[start : start + CHUNK]
                result = await table.transact(deletion(chunk))
                deleted += len(chunk) if result.committed else 0
            if len(rows) < PAGE:
                break
            after = rows[-1].key
            await self.context.clock.sleep(PAUSE_S)
        return deleted

    def _is_old(self, row: Row) -> bool:
        claimed_at = (row.value or {}).get('claimed_at')
        if not isinstance(claimed_at, int | float):
            return False
        return self._wall_time() - claimed_at > CLAIM_AGE_S


def deletion(rows: list[Row]) -> Transaction:
    """Return the deletion of rows that nobody has changed since."""
    return Transaction(
        checks=[Check(key=row.key, revision=row.revision) for row in rows],
        deletes=[row.key for row in rows],
    )
