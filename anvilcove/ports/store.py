"""Port of the store that keeps what must last."""

from typing import Protocol

from msgspec import Struct, field


class RowId(Struct, frozen=True):
    """Name of a row."""

    table: str
    part: str
    key: str


class StoredRow(Struct):
    """A row; `value` is None and the version 0 where it does not exist."""

    id: RowId
    value: bytes | None
    version: int


class RowCheck(Struct):
    """Require a row to have a version; 0 means that it does not exist."""

    id: RowId
    version: int


class RowWrite(Struct):
    """Write a row."""

    id: RowId
    value: bytes


class RowTransaction(Struct):
    """Apply all writes and removals at once if all checks hold."""

    checks: list[RowCheck] = field(default_factory=list)
    writes: list[RowWrite] = field(default_factory=list)
    removals: list[RowId] = field(default_factory=list)


class TransactionOutcome(Struct):
    """Whether a transaction applied, or the rows that failed its checks."""

    applied: bool
    version: int
    store_ms: float
    conflicts: list[StoredRow] = field(default_factory=list)


class RowPage(Struct):
    """Rows as of one moment, up to which `version` counts."""

    rows: list[StoredRow]
    version: int
    store_ms: float


class HistoryLost(Exception):
    """Raised when the changes after a version are no longer kept."""


class ObjectExists(Exception):
    """Raised when an object of that name exists."""


class StorePort(Protocol):
    """Rows, their changes and objects.

    Every call raises StoreUnavailable if nothing was done and StoreAnswerLost
    if it may have been done or may still be done later.
    """

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply a transaction."""

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows from `start` up to, without, `end`."""

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes after a version, or raise HistoryLost."""

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object or raise ObjectExists."""

    async def get_object(self, name: str) -> bytes:
        """Read an object or raise ObjectNotFound."""

    async def remove_object(self, name: str) -> None:
        """Remove an object; one that is not there is not an error."""
