"""Base type and codec shared by every message."""

import json
from typing import TypeVar

import msgspec


class Message(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of all messages: typed, slotted, unknown fields refused."""


class MessageError(Exception):
    """Raised when bytes are not a valid message of the expected type."""


M = TypeVar('M')


def encode(message: object) -> bytes:
    """Encode a message as JSON."""
    return msgspec.json.encode(message)


def refuse_repeated_names(data: bytes) -> None:
    """Raise MessageError for a JSON object that names a field twice.

    Parsers differ in which of the values they take.
    """
    try:
        json.loads(data, object_pairs_hook=_unique)
    except RecursionError as error:
        raise MessageError('nested too deeply') from error
    except ValueError:
        # Not JSON: the decoder says where.
        return


def _unique(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise MessageError('a field is named twice')
    return found


def decode(data: bytes | str, kind: type[M]) -> M:
    """Decode JSON into a message of the given type, or raise MessageError."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from error
