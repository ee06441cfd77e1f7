"""Batch conditional writes of single rows into transactions."""

import asyncio
from collections import deque
from typing import Any

from loguru import logger

from anvilcove.daemon.context import Context
from anvilcove.messages.base import encode
from anvilcove.messages.table import (
    Check,
    Put,
    Row,
    Transaction,
    TransactionResult,
)
from anvilcove.ports.errors import PlatformError

BATCH_ROWS = 64
BATCH_BYTES = 1024 * 1024
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.2
# These identify a write: a nonce belongs to one claim, and a claim enters each
# state at most once.
IDENTITY_FIELDS = ('nonce', 'state')


class RowWrite:
    """Conditional write of one row; revision 0 requires that it is absent.

    The future resolves to the stored row: this one if `wrote` is true of it,
    else that of a conflicting write.
    """

    __slots__ = (
        'key',
        'revision',
        'value',
        'future',
        'size',
        'urgent',
        'cancelled',
    )

    def __init__(self, key: str, revision: int, value: dict[str, Any]) -> None:
        """Create the future on the running loop."""
        self.key = key
        self.revision = revision
        self.value = value
        self.size = len(encode(value))
        self.urgent = False
        self.cancelled = False
        self.future: asyncio.Future[Row] = (
            asyncio.get_running_loop().create_future()
        )

    def wrote(self, row: Row) -> bool:
        """Return whether a stored row was written by this write."""
        return row.value is not None and all(
            row.value.get(name) == self.value[name] for name in IDENTITY_FIELDS
        )


class RowWriter:
    """Group commit with at most one transaction in flight.

    A lost response is resolved by repeating the same conditional write: the
    conflicting row is then either that of this write or another writer's.
    """

    __slots__ = (
        'context',
        '_urgent',
        '_normal',
        '_wake',
        '_in_flight',
        '_batch_rows',
    )

    def __init__(self, context: Context) -> None:
        """Start with empty queues."""
        self.context = context
        self._urgent: deque[RowWrite] = deque()
        self._normal: deque[RowWrite] = deque()
        self._wake = asyncio.Event()
        self._in_flight = 0
        # Halved after each failure, so that a row which the store cannot
        # accept is soon written alone.
        self._batch_rows = BATCH_ROWS

    def add(self, write: RowWrite, urgent: bool) -> None:
        """Queue a write; urgent writes go first."""
        write.urgent = urgent
        (self._urgent if urgent else self._normal).append(write)
        self._wake.set()

    @property
    def pending(self) -> int:
        """Return the number of writes that are not in the table yet."""
        return len(self._urgent) + len(self._normal) + self._in_flight

    async def run(self) -> None:
        """Write until cancelled."""
        window_s = self.context.settings.timing.claim_window_ms / 1000
        backoff_s = FIRST_BACKOFF_S
        while True:
            await self._wake.wait()
            await self.context.clock.sleep(window_s)
            batch = self._next_batch()
            if not batch:
                continue
            self._in_flight = len(batch)
            if await self._write(batch):
                backoff_s = FIRST_BACKOFF_S
                self._batch_rows = BATCH_ROWS
            else:
                self._batch_rows = max(self._batch_rows // 2, 1)
                await self.context.clock.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self._in_flight = 0

    def _next_batch(self) -> list[RowWrite]:
        """Dequeue writes of distinct rows up to the batch limits."""
        batch: dict[str, RowWrite] = {}
        deferred: list[RowWrite] = []
        size = 0
        while (queue := self._urgent or self._normal) and (
            len(batch) < self._batch_rows and size < BATCH_BYTES
        ):
            write = queue.popleft()
            if write.cancelled:
                continue
            if write.key in batch:
                deferred.append(write)
                continue
            batch[write.key] = write
            size += write.size
        self._normal.extendleft(reversed(deferred))
        if not self._urgent and not self._normal:
            self._wake.clear()
        return list(batch.values())

    async def _write(self, batch: list[RowWrite]) -> bool:
        """Write a batch; on a store error requeue it and return False."""
        change = Transaction(
            checks=[Check(key=w.key, revision=w.revision) for w in batch],
            puts=[Put(key=w.key, value=w.value) for w in batch],
        )
        try:
            result = await self.context.ports['table'].transact(change)
        except PlatformError as error:
            logger.warning(
                '{} rows not written, will retry: {}', len(batch), error
            )
            self._requeue(batch)
            return False
        self._resolve_batch(batch, result)
        return True

    def _resolve_batch(
        self, batch: list[RowWrite], result: TransactionResult
    ) -> None:
        if result.committed:
            for write in batch:
                _resolve(
                    write,
                    Row(
                        key=write.key,
                        revision=result.revisions[write.key],
                        value=write.value,
                    ),
                )
            return
        row_by_key = {row.key: row for row in result.conflicts}
        self._requeue([w for w in batch if w.key not in row_by_key])
        for write in batch:
            if write.key in row_by_key:
                _resolve(write, row_by_key[write.key])

    def _requeue(self, batch: list[RowWrite]) -> None:
        writes = [write for write in batch if not write.cancelled]
        self._urgent.extendleft(reversed([w for w in writes if w.urgent]))
        self._normal.extend(write for write in writes if not write.urgent)
        if writes:
            self._wake.set()


def _resolve(write: RowWrite, row: Row) -> None:
    if not write.future.done():
        write.future.set_result(row)
