"""Messages of the platform's transactional table service."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message


class Check(Message):
    """Condition on the revision of a row; 0 means that it is absent."""

    key: str
    revision: int


class Put(Message):
    """Write of one row."""

    key: str
    value: dict[str, Any]


class Transaction(Message):
    """Apply all puts and deletes atomically if all checks hold."""

    checks: list[Check] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


class Row(Message):
    """A row; revision 0 and no value mean that it is absent."""

    key: str
    revision: int = 0
    value: dict[str, Any] | None = None


class TransactionResult(Message):
    """Outcome of a transaction; `conflicts` are rows that failed a check."""

    committed: bool
    revisions: dict[str, int] = field(default_factory=dict)
    conflicts: list[Row] = field(default_factory=list)


class ReadRows(Message):
    """Read rows by key in one consistent snapshot."""

    keys: list[str]


class ScanRows(Message):
    """Read up to `limit` rows with a key prefix and a key above `after`."""

    prefix: str
    after: str = ''
    limit: int = 1000


class Rows(Message):
    """Result of a read or scan."""

    rows: list[Row]
