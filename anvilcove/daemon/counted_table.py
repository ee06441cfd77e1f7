"""Table port that counts store calls in the metrics."""

from collections.abc import Iterator
from contextlib import contextmanager

from anvilcove.daemon.metrics import Metrics
from anvilcove.messages.table import Row, Transaction, TransactionResult
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.interfaces import TablePort


class CountedTable:
    """Forward calls to a table port and count them.

    The kind of a call is the first segment of its first key.
    """

    __slots__ = ('_table', '_metrics')

    def __init__(self, table: TablePort, metrics: Metrics) -> None:
        """Wrap a table port."""
        self._table = table
        self._metrics = metrics

    async def transact(self, change: Transaction) -> TransactionResult:
        """Apply a transaction."""
        keys = [put.key for put in change.puts] or change.deletes
        with self._count_call('write', keys):
            return await self._table.transact(change)

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows in one snapshot."""
        with self._count_call('read', keys):
            return await self._table.read(keys)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Read the rows of a prefix in key order."""
        with self._count_call('read', [prefix]):
            return await self._table.scan(prefix, after, limit)

    @contextmanager
    def _count_call(self, operation: str, keys: list[str]) -> Iterator[None]:
        kind = keys[0].partition('/')[0] if keys else 'none'
        result = 'ok'
        try:
            yield
        except StoreUnavailable:
            result = 'unavailable'
            raise
        except StoreAnswerLost:
            result = 'lost'
            raise
        finally:
            self._metrics.store_call(operation, kind, result)
