"""Hash of the content of a request, independent of its identifier."""

import json
from typing import Any

from xxhash import xxh3_128_hexdigest


def content_hash(class_name: str, body: dict[str, Any]) -> str:
    """Return a hex digest of class and body; key order does not matter."""
    text = json.dumps([class_name, body], sort_keys=True)
    return xxh3_128_hexdigest(text.encode())
