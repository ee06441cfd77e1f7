"""Authenticate peers and operators by shared keys."""

import hmac

from aiohttp import web

from anvilcove.settings.daemon import KeySettings

PEER_PREFIX = '/peer/'
OPERATOR_PATHS = (
    '/v1/classes',
    '/v1/status',
    '/v1/drain',
    '/v1/log-level',
    '/v1/decisions',
)
SCHEME = 'Bearer '


def required_key(path: str, keys: KeySettings) -> str | None:
    """Return the key that a path needs, or None for a public path."""
    if path.startswith(PEER_PREFIX):
        return keys.peer
    if path.rstrip('/') in OPERATOR_PATHS:
        return keys.operator
    return None


def is_allowed(request: web.Request, keys: KeySettings) -> bool:
    """Compare the presented key in constant time."""
    expected = required_key(request.path, keys)
    if expected is None:
        return True
    presented = request.headers.get('Authorization', '')
    if not presented.startswith(SCHEME):
        return False
    return hmac.compare_digest(
        presented[len(SCHEME) :].encode(errors='replace'), expected.encode()
    )
