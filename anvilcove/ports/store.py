"""Port of the durable store of rows and objects."""

from typing import Protocol

from msgspec import Struct, field


class RowId(Struct, frozen=True):
    """Address of a row: table, partition of the table and key."""

    table: str
    part: str
    key: str


class StoredRow(Struct):
    """Row of the store.

    If it does not exist, `value` is None and `version` 0.
    """

    id: RowId
    value: bytes | None
    version: int


class RowCheck(Struct):
    """Condition that a row has a version; 0 means that it does not exist."""

    id: RowId
    version: int


class RowWrite(Struct):
    """New value of a row."""

    id: RowId
    value: bytes


class RowTransaction(Struct):
    """Writes and removals to apply atomically if all checks hold."""

    checks: list[RowCheck] = field(default_factory=list)
    writes: list[RowWrite] = field(default_factory=list)
    removals: list[RowId] = field(default_factory=list)


class TransactionOutcome(Struct):
    """Result of a transaction.

    `conflicts` are the rows whose checks failed. `store_ms` is the time of
    the store's clock in milliseconds.
    """

    applied: bool
    version: int
    store_ms: float
    conflicts: list[StoredRow] = field(default_factory=list)


class RowPage(Struct):
    """Rows, including all changes up to `version`.

    `store_ms` is the time of the store's clock in milliseconds.
    """

    rows: list[StoredRow]
    version: int
    store_ms: float


class HistoryLost(Exception):
    """Raised when the store has discarded changes after a version."""


class ObjectExists(Exception):
    """Raised when an object of that name already exists."""


class StorePort(Protocol):
    """Client of the store: rows, their changes and objects.

    Every call raises StoreUnavailable if it had no effect, and
    StoreAnswerLost if it may have taken effect or still may later.
    """

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction if all of its checks hold."""

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows with start <= key < end; empty bounds are open."""

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait up to `wait_s` for changes after a version.

        Raise HistoryLost if the store no longer keeps them.
        """

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object, or raise ObjectExists."""

    async def get_object(self, name: str) -> bytes:
        """Read an object, or raise ObjectNotFound."""

    async def remove_object(self, name: str) -> None:
        """Remove an object; it need not exist."""
