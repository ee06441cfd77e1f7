"""Messages of the platform's transactional table service."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message


class Check(Message):
    """Require a row to have a revision; 0 means that it is absent."""

    key: str
    revision: int


class Put(Message):
    """Write a row."""

    key: str
    value: dict[str, Any]


class Transaction(Message):
    """Apply all writes at once if all checks hold."""

    checks: list[Check] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


class Row(Message):
    """One row; revision 0 and no value means that it is absent."""

    key: str
    revision: int = 0
    value: dict[str, Any] | None = None


class TransactionResult(Message):
    """Outcome of a transaction, with the rows that failed their checks."""

    committed: bool
    revisions: dict[str, int] = field(default_factory=dict)
    conflicts: list[Row] = field(default_factory=list)


class ReadRows(Message):
    """Read some rows in one consistent snapshot."""

    keys: list[str]


class ScanRows(Message):
    """Read the rows of a prefix in key order."""

    prefix: str
    after: str = ''
    limit: int = 1000


class Rows(Message):
    """Rows of a read or scan."""

    rows: list[Row]
