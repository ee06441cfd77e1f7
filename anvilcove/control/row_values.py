"""Decoding of the rows that daemons write."""

from typing import TypeVar

from loguru import logger
from msgspec import msgpack

from anvilcove.messages.base import DECODE_ERRORS
from anvilcove.ports.store import StoredRow

T = TypeVar('T')


def decode_value(row: StoredRow, value_type: type[T]) -> T | None:
    """Decode a row; return None if absent or, with a log line, invalid."""
    if row.value is None:
        return None
    try:
        return msgpack.decode(row.value, type=value_type)
    except DECODE_ERRORS as error:
        logger.bind(
            table=row.id.table, row=row.id.key, reason=str(error)
        ).warning('invalid row skipped')
        return None
