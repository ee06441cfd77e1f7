"""Decode JSON objects in message bodies and row values."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from msgspec import json

from anvilcove.messages.base import DECODE_ERRORS

MAX_REASON_CHARACTERS = 300


class BodyError(Exception):
    """Raised for bytes that are not a JSON object."""


def decode_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise BodyError."""
    try:
        decoded = json.decode(data)
    except DECODE_ERRORS as error:
        raise BodyError(f'not JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise BodyError('not a JSON object')
    return decoded


@contextmanager
def malformed_as(error_type: type[Exception], subject: str) -> Iterator[None]:
    """Raise an error type for whatever decoding a malformed value raises.

    The value comes from another writer: it can be nested so deeply that even
    its conversion to a text fails, or have numbers that fit no type.
    """
    try:
        yield
    except error_type:
        raise
    except Exception as error:
        reason = f'{type(error).__name__}: {error}'[:MAX_REASON_CHARACTERS]
        raise error_type(f'{subject}: {reason}') from error
