"""Hash of what a request asks for, whatever its identifier."""

import json
from typing import Any

from xxhash import xxh3_128_hexdigest


def content_hash(class_name: str, body: dict[str, Any]) -> str:
    """Return the same hash for the same class and body."""
    text = json.dumps([class_name, body], sort_keys=True)
    return xxh3_128_hexdigest(text.encode())
