"""Calls of callers whose keys admit them, with their bodies."""

import asyncio

from aiohttp.http import HttpVersion11
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_exceptions import HTTPBadRequest
from aiohttp.web_request import BaseRequest
from msgspec import Struct

from anvilcove.control.desired import Route
from anvilcove.decisions.access import Admitted, Denied
from anvilcove.http.bodies import CheckBody, body_parts
from anvilcove.http.client_connections import (
    ClientConnection,
    client_connection,
)
from anvilcove.node.service import NodeService
from anvilcove.platform.access import bearer_key, without_access_headers
from anvilcove.platform.headers import end_to_end
from anvilcove.platform.names import ATTEMPT_ID
from anvilcove.ports.servers import Headers
from anvilcove.state.memory_room import (
    SMALL_BODY_BYTES,
    BodyPace,
    MemoryRoom,
    NoRoom,
)

# Encodings of bodies that the HTTP parser decodes while it reads them.
DECODED = frozenset({'gzip', 'deflate', 'br', 'zstd'})
# Callers with a shorter deadline get this time to send a large body.
MIN_BODY_WAIT_S = 30.0


class AdmittedCall(Struct):
    """A call that is served, on its route and for its workspace, if any."""

    route: Route
    admission: Admitted
    body: bytes
    # Whether there were workspaces when the call arrived or was admitted, so
    # that it may carry a key.
    has_workspaces: bool

    def job_workspace(self) -> str | None:
        """Return the workspace of a submission, None without workspaces."""
        return self.admission.name if self.has_workspaces else None

    def forwarded(self, request: BaseRequest) -> Headers:
        """Return the headers that are forwarded to endpoints."""
        headers = _end_to_end_headers(request)
        if self.has_workspaces:
            return without_access_headers(headers)
        return headers


async def admit_call(
    service: NodeService,
    request: BaseRequest,
    host: str,
    path: str,
    route: Route,
    limit_s: float,
) -> AdmittedCall | None:
    """Read the body of a call; return None if its key does not admit it.

    Raises NoRoom if a large body did not fit within `limit_s`.

    The key is checked before the body, so that the refusal does not wait for
    it, and again if the configuration has changed until the body is here.
    """
    key = bearer_key(request.headers)
    request_id = request.headers.get(ATTEMPT_ID, '')
    configuration = service.configuration()
    has_workspaces = service.has_workspaces()
    admission = service.admit(route, key, request_id)
    if isinstance(admission, Denied):
        return None
    body = await read_counted(service, request, limit_s)
    if configuration != service.configuration():
        has_workspaces |= service.has_workspaces()
        if has_workspaces:
            route = service.route(host, path) or route
            admission = service.admit(route, key, request_id)
    if isinstance(admission, Denied):
        return None
    connection = client_connection(request)
    if connection is not None:
        connection.workspace = admission.name
        connection.body_bytes = len(body)
    return AdmittedCall(route, admission, body, has_workspaces)


def _end_to_end_headers(request: BaseRequest) -> Headers:
    """Return the end-to-end headers of a request, which are forwarded."""
    headers = end_to_end(request.headers.items())
    if not _is_decoded(request):
        return headers
    return [pair for pair in headers if pair[0].lower() != 'content-encoding']


def _is_decoded(request: BaseRequest) -> bool:
    """Tell whether the body is read without its encoding."""
    return request.headers.get('Content-Encoding', '').lower() in DECODED


async def read_counted(
    service: NodeService, request: BaseRequest, limit_s: float
) -> bytes:
    """Read a body, a large one once there is room, for up to `limit_s`.

    Raises NoRoom for a caller that sends too slowly, whatever the size:
    it must not keep memory for ever.
    """
    connection, room = client_connection(request), service.memory_room
    if connection is None:
        _send_continue(request)
        return await _read_rest(request, b'')
    try:
        async with asyncio.timeout(max(limit_s, MIN_BODY_WAIT_S)):
            return await _read_with_room(
                connection, room, request, limit_s, service.max_body_bytes()
            )
    except TimeoutError as error:
        raise NoRoom('body not sent in time') from error


async def _read_with_room(
    connection: ClientConnection,
    room: MemoryRoom,
    request: BaseRequest,
    limit_s: float,
    max_bytes: int,
) -> bytes:
    # The length of an encoded body does not tell that of the decoded one.
    known_size = None if _is_decoded(request) else request.content_length
    start, size = b'', known_size
    if size is None:
        # Most bodies of unknown length are small, too.
        _send_continue(request)
        start = await _read_start(request)
        size = len(start) if request.content.at_eof() else max_bytes
    # Longer bodies are refused once so much of them has arrived.
    size = min(size, max_bytes or size)
    if size > SMALL_BODY_BYTES:
        connection.reserved_bytes = await room.reserve(size, limit_s)
        connection.recount()
    if known_size is not None:
        _send_continue(request)
    if size <= SMALL_BODY_BYTES:
        return await _read_rest(request, start)
    body = await _read_rest(request, start, BodyPace(room).check)
    # Of a body of unknown length, the largest allowed size was reserved.
    connection.reserved_bytes = room.shrink(
        connection.reserved_bytes, len(body)
    )
    return body


async def discard_body(request: BaseRequest, max_bytes: int) -> None:
    """Read a body that nobody needs, without keeping it.

    Bodies above `max_bytes` (0: no limit) get status 413.
    """
    connection = client_connection(request)
    if connection is not None:
        connection.requests.keeps_body = False
    _send_continue(request)
    try:
        async for _ in body_parts(request, max_bytes):
            pass
    except HttpProcessingError as error:
        raise HTTPBadRequest from error


def _send_continue(request: BaseRequest) -> None:
    """Ask a caller that waits for it to send the body.

    HTTP/1.0 knows no such answer; it would be taken for the final one.
    """
    if (
        'Expect' in request.headers
        and request.version >= HttpVersion11
        and request.transport is not None
    ):
        request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')


async def _read_start(request: BaseRequest) -> bytes:
    """Return a small body whole, or the first bytes of a large one."""
    start = bytearray()
    try:
        async for part in body_parts(request, 0):
            start += part
            if len(start) > SMALL_BODY_BYTES:
                break
    except HttpProcessingError as error:
        raise HTTPBadRequest from error
    return bytes(start)


async def _read_rest(
    request: BaseRequest, start: bytes, check: CheckBody | None = None
) -> bytes:
    """Return a body of which `start` was read before.

    Bodies above the limit of the request get status 413.
    """
    parts = [start] if start else []
    limit = request.client_max_size
    try:
        async for part in body_parts(request, limit, len(start), check):
            parts.append(part)
    except HttpProcessingError as error:
        raise HTTPBadRequest from error
    return b''.join(parts)
