"""Store client that records the store's clock for the time of day."""

from msgspec import Struct

from anvilcove.ports.store import (
    RowPage,
    RowTransaction,
    StorePort,
    TransactionOutcome,
)
from anvilcove.state.clock import Clock
from anvilcove.state.true_time import TrueTime

# Heartbeats are written each second; a longer time without an answer is an
# outage, a single lost answer is not.
MIN_OUTAGE_S = 1.5


class TimedStore(Struct):
    """Store client that tells `true_time` of the answers to transactions.

    Reads are left out: one that is shared with another call may answer with
    a time before it was asked for.
    """

    store: StorePort
    true_time: TrueTime
    clock: Clock
    # The first answer ends an outage, too: the daemon may have started in one.
    answered_at_s: float = float('-inf')
    # Time at which the last outage ended.
    back_at_s: float = float('-inf')

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction and record the store's time."""
        sent_at_s = self.clock.now()
        outcome = await self.store.transact(change)
        now = self.clock.now()
        if now - self.answered_at_s > MIN_OUTAGE_S:
            self.back_at_s = now
        self.answered_at_s = now
        self.true_time.record(sent_at_s, outcome.store_ms)
        return outcome

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows with start <= key < end."""
        return await self.store.read_range(table, part, start, end)

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes of a table after a version."""
        return await self.store.changes(table, after, wait_s)

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object, or raise ObjectExists."""
        await self.store.put_object(name, data)

    async def get_object(self, name: str) -> bytes:
        """Read an object, or raise ObjectNotFound."""
        return await self.store.get_object(name)

    async def remove_object(self, name: str) -> None:
        """Remove an object; it need not exist."""
        await self.store.remove_object(name)
