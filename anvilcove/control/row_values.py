"""Values of this product's own rows."""

from typing import TypeVar

from loguru import logger
from msgspec import DecodeError, ValidationError, msgpack

from anvilcove.ports.store import StoredRow

T = TypeVar('T')


def decode_value(row: StoredRow, kind: type[T]) -> T | None:
    """Decode a row; None for one that is absent or cannot be read."""
    if row.value is None:
        return None
    try:
        return msgpack.decode(row.value, type=kind)
    except (DecodeError, ValidationError) as error:
        logger.bind(
            table=row.id.table, row=row.id.key, reason=str(error)
        ).warning('row skipped')
        return None
