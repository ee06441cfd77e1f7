"""Authenticate peers and operators by shared bearer keys."""

import hmac

from aiohttp import web

from anvilcove.decisions.access import Admitted, Denied, decide_access
from anvilcove.settings.daemon import KeySettings
from anvilcove.state.workspaces import Workspace, WorkspaceDirectory

PEER_PREFIX = '/peer/'
OPERATOR_PATHS = (
    '/v1/classes',
    '/v1/status',
    '/v1/drain',
    '/v1/log-level',
    '/v1/decisions',
)
BEARER_PREFIX = 'Bearer '
# Paths of callers and trainers, which need the key of a workspace where the
# class declarations have workspaces.
WORKSPACE_PATHS = ('/v1/requests', '/v1/steps', '/v1/trainers', '/v1/weights')
# Name in a request of the workspace that it was admitted for.
WORKSPACE = 'workspace'


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


def decide_workspace(
    request: web.Request, directory: WorkspaceDirectory | None
) -> Admitted | Denied:
    """Decide whether the key of a call of a caller or trainer admits it."""
    public = not any(
        request.path == path or request.path.startswith(f'{path}/')
        for path in WORKSPACE_PATHS
    )
    if public:
        return Admitted()
    return decide_access(directory, False, _bearer_key(request))


def workspace_of(request: web.Request) -> Workspace | None:
    """Return the workspace that a call was admitted for, if any."""
    found: Workspace | None = request.get(WORKSPACE)
    return found


def _bearer_key(request: web.Request) -> str | None:
    """Return the key of a call, None if it does not carry exactly one."""
    values = request.headers.getall('Authorization', [])
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(' ')
    if scheme.lower() != BEARER_PREFIX.strip().lower():
        return None
    return key.strip() or None
