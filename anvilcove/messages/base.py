"""Base type and codec shared by every message."""

import json
from typing import TypeVar

import msgspec


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all messages; decoding rejects unknown fields."""


# What decoders raise for the bytes of another writer. Values that are nested
# deeply raise RecursionError even in fields that are not read.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    OverflowError,
    RecursionError,
)


class MessageError(Exception):
    """Raised when bytes are not a valid message of the expected type."""


M = TypeVar('M')


def encode(message: object) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def reject_duplicate_fields(data: bytes) -> None:
    """Raise MessageError if an object in the JSON names a field twice.

    Parsers differ in which of the two values they take.
    """
    try:
        json.loads(data, object_pairs_hook=_reject_duplicates)
    except RecursionError as error:
        raise MessageError('nested too deeply') from error
    except ValueError:
        # Not JSON: `decode` raises an error that names the position.
        return


def _reject_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value_by_name = dict(pairs)
    if len(value_by_name) != len(pairs):
        raise MessageError('a field is named twice')
    return value_by_name


def decode(data: bytes | str, message_type: type[M]) -> M:
    """Decode JSON into a message of the given type, or raise MessageError."""
    try:
        return msgspec.json.decode(data, type=message_type)
    except DECODE_ERRORS as error:
        raise MessageError(str(error)) from error
