"""Decode JSON objects in message bodies and row values."""

from typing import Any

from msgspec import DecodeError, ValidationError, json


class BodyError(Exception):
    """Raised for bytes that are not a JSON object."""


def decode_object(data: bytes) -> dict[str, Any]:
    """Decode a JSON object, or raise BodyError."""
    try:
        decoded = json.decode(data)
    except (
        DecodeError,
        ValidationError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise BodyError(f'not JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise BodyError('not a JSON object')
    return decoded
