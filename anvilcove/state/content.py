"""Hash of the content of a request, independent of its identifier."""

import json
from typing import Any

from xxhash import xxh3_128, xxh3_128_hexdigest


def content_hash(class_name: str, body: dict[str, Any]) -> str:
    """Return a hex digest of class and body; key order does not matter."""
    text = json.dumps([class_name, body], sort_keys=True)
    return xxh3_128_hexdigest(text.encode())


def request_content_hash(
    method: str, host: str, path: str, body: bytes
) -> str:
    """Return a hex digest of a request without its headers."""
    digest = xxh3_128(f'{method} {host}{path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()
