"""Read the keys of callers, and keep them from everything behind."""

from collections.abc import Mapping

from multidict import CIMultiDictProxy

from anvilcove.platform.names import AUTHORIZATION, TENANT
from anvilcove.ports.servers import Headers

SCHEME = 'bearer'
# Headers of callers that the system replaces where there are workspaces.
REPLACED = frozenset({AUTHORIZATION.lower(), TENANT.lower()})


def bearer_key(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the key of a request, None if it does not carry exactly one."""
    values = headers.getall(AUTHORIZATION, [])
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(' ')
    if scheme.lower() != SCHEME:
        return None
    return key.strip() or None


def without_access_headers(headers: Headers) -> Headers:
    """Return the headers without keys and names of workspaces."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in REPLACED
    ]


def workspace_headers(workspace: str) -> Mapping[str, str]:
    """Return the headers that tell an endpoint the workspace of a call."""
    return {TENANT: workspace} if workspace else {}
