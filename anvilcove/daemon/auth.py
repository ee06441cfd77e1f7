"""Authenticate peers and operators by shared bearer keys."""

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
BEARER_PREFIX = 'Bearer '


def required_key(path: str, keys: KeySettings) -> str | None:
    """Return the key that a path requires, or None for a public path."""
    if path.startswith(PEER_PREFIX):
        return keys.peer
    if path.rstrip('/') in OPERATOR_PATHS:
        return keys.operator
    return None


def is_allowed(request: web.Request, keys: KeySettings) -> bool:
    """Return whether a request has the key that its path requires.

    The keys are compared in constant time, so that response times do not
    reveal them.
    """
    expected = required_key(request.path, keys)
    if expected is None:
        return True
    presented = request.headers.get('Authorization', '')
    if not presented.startswith(BEARER_PREFIX):
        return False
    return hmac.compare_digest(
        presented[len(BEARER_PREFIX) :].encode(errors='replace'),
        expected.encode(),
    )
