"""Base type and codec shared by every message."""

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


def decode(data: bytes | str, kind: type[M]) -> M:
    """Decode JSON into a message of the given type, or raise MessageError."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from error
