"""HTTP listener with limits, authentication and JSON errors."""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

from aiohttp import web
from loguru import logger

from anvilcove.daemon.auth import (
    PEER_PREFIX,
    WORKSPACE,
    decide_workspace,
    is_allowed,
)
from anvilcove.daemon.context import Context
from anvilcove.daemon.metrics import is_control_path
from anvilcove.daemon.replies import (
    BODY_TIMEOUT,
    BadRequest,
    Handler,
    error_response,
)
from anvilcove.decisions.access import Denied
from anvilcove.http.client_account import ClientAccount
from anvilcove.http.client_connections import (
    ClientConnection,
    limit_receive_buffer,
)
from anvilcove.http.freed_memory import return_freed_memory
from anvilcove.messages.base import encode
from anvilcove.messages.callers import Refusal
from anvilcove.settings.daemon import TlsSettings

BACKLOG = 512
CLEANUP_TIMEOUT_S = 2.0
IDLE_POLL_S = 0.02
# A drain ends once no request was in flight for this long. It exceeds the
# pause between two long polls of a peer that waits for an outcome.
MIN_IDLE_S = 0.3


class HeaderTimeoutHandler(ClientConnection):
    """Connection that is closed if request headers do not arrive in time."""

    __slots__ = (
        '_headers_timeout_s',
        '_headers_timer',
        '_on_lost',
        'serves_peer',
        '__weakref__',
    )

    def __init__(
        self,
        *arguments: Any,
        headers_timeout_s: float,
        on_lost: Callable[['HeaderTimeoutHandler'], None],
        **options: Any,
    ) -> None:
        """Set the header timeout and the callback for a lost connection."""
        super().__init__(*arguments, **options)
        self._on_lost = on_lost
        self._headers_timeout_s = headers_timeout_s
        self._headers_timer: asyncio.TimerHandle | None = None
        self.serves_peer = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the header timeout."""
        super().connection_made(transport)
        self._start_timer()

    def data_received(self, data: bytes) -> None:
        """Keep the header timeout running while headers are incomplete."""
        super().data_received(data)
        if self.has_no_request():
            self._start_timer()
        else:
            self._stop_timer()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timeout and report the lost connection."""
        self._stop_timer()
        self._on_lost(self)
        super().connection_lost(exc)

    def has_no_request(self) -> bool:
        """Return whether no request is being served or queued."""
        return self._current_request is None and not self._messages

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond with JSON to a request that could not be parsed."""
        if status >= 500:
            return super().handle_error(request, status, exc, message)
        response = error_response(
            status, 'bad_request', 'request is not valid HTTP'
        )
        response.force_close()
        return response

    def _start_timer(self) -> None:
        if self._headers_timer is None:
            loop = asyncio.get_running_loop()
            self._headers_timer = loop.call_later(
                self._headers_timeout_s, self._on_headers_timeout
            )

    def _stop_timer(self) -> None:
        if self._headers_timer is not None:
            self._headers_timer.cancel()
            self._headers_timer = None

    def _on_headers_timeout(self) -> None:
        self._headers_timer = None
        if self.has_no_request() and isinstance(
            self.transport, asyncio.Transport
        ):
            self.transport.write(
                _encode_refusal(408, 'slow_headers', 'headers not received')
            )
            self.force_close()


class _RefusingProtocol(asyncio.Protocol):
    """Connection above the limit, closed after a refusal."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.write(
            _encode_refusal(503, 'too_many_connections', 'try another host')
        )
        transport.close()


def _encode_refusal(status: int, error: str, reason: str) -> bytes:
    body = encode(Refusal(error=error, reason=reason))
    head = (
        f'HTTP/1.1 {status} Refused\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n'
    )
    return head.encode() + body


class Listener:
    """HTTP server of a daemon with its open connections."""

    __slots__ = (
        'context',
        'account',
        'app',
        'closing',
        '_runner',
        '_server',
        '_open_connections',
    )

    def __init__(self, context: Context) -> None:
        """Build an application without routes."""
        self.context = context
        self.closing = False
        limits = context.settings.limits
        self.app = web.Application(
            middlewares=[self._handle_request],
            client_max_size=limits.body_bytes,
        )
        self.app[BODY_TIMEOUT] = limits.body_timeout_ms / 1000
        self.app.on_response_prepare.append(self._prepare_response)
        self.account = ClientAccount(limits, context.clock, context.metrics)
        self.account.on_freed = return_freed_memory
        self._runner: web.AppRunner | None = None
        # Weak references, because connection_lost is not called for a
        # connection whose TLS handshake fails.
        self._open_connections: WeakSet[HeaderTimeoutHandler] = WeakSet()
        self._server: asyncio.Server | None = None

    async def open(self, ip: str, port: int) -> None:
        """Listen at an address and port."""
        limits = self.context.settings.limits
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            shutdown_timeout=CLEANUP_TIMEOUT_S,
            max_field_size=limits.header_bytes,
            max_line_size=limits.header_bytes,
        )
        await self._runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._accept_connection,
            ip,
            port,
            ssl=server_tls(self.context.settings.tls),
            backlog=BACKLOG,
        )
        for listening in self._server.sockets:
            limit_receive_buffer(listening)

    async def close(self, timeout_s: float) -> bool:
        """Refuse new connections and finish the requests in flight.

        Idle connections are closed at once, the others after their response.
        Connections of peers stay open until the cleanup: callers that are
        attached at another host wait for their outcome over them, in repeated
        long polls. Return whether all requests ended in time.
        """
        assert self._server is not None and self._runner is not None
        self.closing = True
        self._server.close()
        loop = asyncio.get_running_loop()
        deadline_at_s = loop.time() + timeout_s
        last_busy_at_s = loop.time()
        while loop.time() < min(deadline_at_s, last_busy_at_s + MIN_IDLE_S):
            if self._close_idle_connections():
                last_busy_at_s = loop.time()
            await asyncio.sleep(IDLE_POLL_S)
        return self.context.in_flight == 0

    async def cleanup(self) -> None:
        """Close the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _close_idle_connections(self) -> int:
        """Close idle connections of callers; return requests in flight."""
        for connection in list(self._open_connections):
            if connection.has_no_request() and not connection.serves_peer:
                connection.close()
        return self.context.in_flight

    def _accept_connection(self) -> asyncio.Protocol:
        assert self._runner is not None and self._runner.server is not None
        server = self._runner.server
        limits = self.context.settings.limits
        # The connection list of aiohttp's server cannot be used: in a burst
        # it grows only after all connections were accepted.
        if len(self._open_connections) >= limits.connections:
            return _RefusingProtocol()
        connection = HeaderTimeoutHandler(
            self.account,
            server,
            loop=asyncio.get_running_loop(),
            headers_timeout_s=limits.header_timeout_ms / 1000,
            on_lost=self._open_connections.discard,
            **server._kwargs,
        )
        self._open_connections.add(connection)
        return connection

    async def _prepare_response(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        response.headers.popall('Server', None)
        if self.closing and not request.path.startswith(PEER_PREFIX):
            response.headers['Connection'] = 'close'
            response.force_close()
        if is_control_path(request.path):
            self.context.metrics.control_served(request, response)

    @web.middleware
    async def _handle_request(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Authenticate and count a request; map errors to JSON responses."""
        if not is_allowed(request, self.context.settings.keys):
            return error_response(
                401, 'unauthorized', 'a valid key is required'
            )
        access = decide_workspace(request, self.context.config.workspaces)
        if isinstance(access, Denied):
            self.context.metrics.access_denied(access.reason)
            logger.bind(path=request.path[:80], reason=access.reason).info(
                'access denied'
            )
            return error_response(
                401, 'unauthorized', 'a valid key is required'
            )
        request[WORKSPACE] = access.workspace
        if isinstance(request.protocol, HeaderTimeoutHandler):
            request.protocol.serves_peer = request.path.startswith(PEER_PREFIX)
        counted = not is_control_path(request.path)
        self.context.in_flight += counted
        try:
            return await handler(request)
        except BadRequest as error:
            return error.response
        except web.HTTPException as error:
            return error_response(
                error.status, 'refused', f'{request.method}: {error.reason}'
            )
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception:
            logger.exception(
                'unhandled error in the handler of {}', request.path
            )
            if request.task.done() or _response_started(request):
                raise
            return error_response(
                500, 'internal_error', 'see the log of the host'
            )
        finally:
            self.context.in_flight -= counted


def _response_started(request: web.Request) -> bool:
    """Return whether part of a response was already sent."""
    return request.writer is not None and request.writer.output_size > 0


def server_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the listener, or None for plain TCP."""
    if not tls.certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(tls.certificate_file, tls.key_file)
    return context


def client_tls(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of calls to peers, or None for plain TCP.

    Peers are reached by IP address and their certificates are signed by a
    shared authority, so the host name is not checked.
    """
    if not tls.certificate_file:
        return None
    authority = tls.authority_file or tls.certificate_file
    context = ssl.create_default_context(cafile=authority)
    context.check_hostname = False
    return context
