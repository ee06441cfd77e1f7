"""Write single rows of the table in grouped transactions."""

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
LAST_BACKOFF_S = 0.2
# The nonce is unique to one claim, and a claim has each state at most once.
OWN_FIELDS = ('nonce', 'state')


class RowWrite:
    """Conditional write of one row; revision 0 means that it is absent.

    The future holds the row as it is in the table: ours if `committed`.
    """

    __slots__ = (
        'key',
        'revision',
        'value',
        'future',
        'size',
        'urgent',
        'dropped',
    )

    def __init__(self, key: str, revision: int, value: dict[str, Any]) -> None:
        """Create the future on the running loop."""
        self.key = key
        self.revision = revision
        self.value = value
        self.size = len(encode(value))
        self.urgent = False
        self.dropped = False
        self.future: asyncio.Future[Row] = (
            asyncio.get_running_loop().create_future()
        )

    def wrote(self, row: Row) -> bool:
        """Tell whether a row is what this write put there."""
        return row.value is not None and all(
            row.value.get(name) == self.value[name] for name in OWN_FIELDS
        )


class RowWriter:
    """Group commit with one open transaction.

    A lost answer is resolved by repeating the same conditional write: the
    row that makes it fail is either our own or that of another writer.
    """

    __slots__ = (
        'context',
        '_urgent',
        '_later',
        '_wake',
        '_open',
        '_batch_rows',
    )

    def __init__(self, context: Context) -> None:
        """Start with nothing to write."""
        self.context = context
        self._urgent: deque[RowWrite] = deque()
        self._later: deque[RowWrite] = deque()
        self._wake = asyncio.Event()
        self._open = 0
        # Halved after a failure, so that a row which the store cannot take
        # is soon written alone.
        self._batch_rows = BATCH_ROWS

    def add(self, write: RowWrite, urgent: bool) -> None:
        """Queue a write; urgent ones are written first."""
        write.urgent = urgent
        (self._urgent if urgent else self._later).append(write)
        self._wake.set()

    @property
    def pending(self) -> int:
        """Return the number of writes that are not in the table yet."""
        return len(self._urgent) + len(self._later) + self._open

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
            self._open = len(batch)
            if await self._write(batch):
                backoff_s = FIRST_BACKOFF_S
                self._batch_rows = BATCH_ROWS
            else:
                self._batch_rows = max(self._batch_rows // 2, 1)
                await self.context.clock.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, LAST_BACKOFF_S)
            self._open = 0

    def _next_batch(self) -> list[RowWrite]:
        """Take writes of different rows, within the limits of a batch."""
        batch: dict[str, RowWrite] = {}
        held_back: list[RowWrite] = []
        size = 0
        while (queue := self._urgent or self._later) and (
            len(batch) < self._batch_rows and size < BATCH_BYTES
        ):
            write = queue.popleft()
            if write.dropped:
                continue
            if write.key in batch:
                held_back.append(write)
                continue
            batch[write.key] = write
            size += write.size
        self._later.extendleft(reversed(held_back))
        if not self._urgent and not self._later:
            self._wake.clear()
        return list(batch.values())

    async def _write(self, batch: list[RowWrite]) -> bool:
        """Write a batch; return False if the store did not answer."""
        change = Transaction(
            checks=[Check(key=w.key, revision=w.revision) for w in batch],
            puts=[Put(key=w.key, value=w.value) for w in batch],
        )
        try:
            result = await self.context.ports['table'].transact(change)
        except PlatformError as error:
            logger.warning('{} rows not written: {}', len(batch), error)
            self._again(batch)
            return False
        self._finish(batch, result)
        return True

    def _finish(
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
        self._again([w for w in batch if w.key not in row_by_key])
        for write in batch:
            if write.key in row_by_key:
                _resolve(write, row_by_key[write.key])

    def _again(self, batch: list[RowWrite]) -> None:
        writes = [write for write in batch if not write.dropped]
        self._urgent.extendleft(reversed([w for w in writes if w.urgent]))
        self._later.extend(write for write in writes if not write.urgent)
        if writes:
            self._wake.set()


def _resolve(write: RowWrite, row: Row) -> None:
    if not write.future.done():
        write.future.set_result(row)
