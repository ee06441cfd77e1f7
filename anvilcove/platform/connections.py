"""Pooled connections to servers, which may close idle ones unannounced."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from types import SimpleNamespace, TracebackType
from typing import Any, Self

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
    TraceConfig,
)
from loguru import logger
from msgspec import Struct, field
from yarl import URL

# Servers announce that they close idle connections after 10 s; the pool closes
# them earlier.
KEEPALIVE_S = 9.0
CONNECT_TIMEOUT_S = 0.4
# A call on a connection that the server has closed fails within one round
# trip; a connection that breaks later was carrying a running request.
STALE_RESET_S = 0.1
# Maximum number of retries of a call that finds its idle connection closed.
MAX_STALE_RETRIES = 8
# After a server has closed an idle connection, non-repeatable calls to it use
# new connections for this time.
UNPOOLED_PERIOD_S = 30.0
# Headers that aiohttp would add by default.
SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class ServerCall(Struct):
    """One HTTP call to a server.

    A `repeatable` call is sent again if the server has closed the idle
    connection that it used. The answer echoes `attempt_id`.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''
    attempt_id: str = ''
    repeatable: bool = False


class _ConnectionUse(Struct):
    """Whether a call reuses a connection, and when the call started."""

    reused: bool = False
    started_s: float = field(default_factory=lambda: _now())

    def is_stale(self) -> bool:
        """Tell whether an error now means that the connection was closed."""
        return self.reused and _now() - self.started_s < STALE_RESET_S


class ServerConnections:
    """HTTP sessions for calls to servers; an async context manager."""

    __slots__ = ('_stack', '_pooled', '_unpooled', '_stale_at_s_by_address')

    def __init__(self) -> None:
        """Create the object; the sessions open when the context is entered."""
        self._stack = AsyncExitStack()
        self._pooled: ClientSession | None = None
        self._unpooled: ClientSession | None = None
        self._stale_at_s_by_address: dict[str, float] = {}

    async def __aenter__(self) -> Self:
        """Open the sessions."""
        open_session = self._stack.enter_async_context
        self._pooled = await open_session(
            _session(TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S))
        )
        self._unpooled = await open_session(
            _session(TCPConnector(limit=0, force_close=True))
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every connection."""
        await self._stack.aclose()

    @asynccontextmanager
    async def open(self, call: ServerCall) -> AsyncIterator[ClientResponse]:
        """Send a call and yield the response before its body is read.

        Errors of aiohttp are not converted.
        """
        response = await self._send(call)
        async with response:
            yield response

    async def _send(self, call: ServerCall) -> ClientResponse:
        session = self._session_for(call)
        for retries_left in range(MAX_STALE_RETRIES, -1, -1):
            use = _ConnectionUse()
            try:
                return await session.request(
                    call.method,
                    URL(f'http://{call.address}{call.path}', encoded=True),
                    data=call.body or None,
                    headers=call.headers,
                    skip_auto_headers=SKIPPED_AUTO_HEADERS,
                    allow_redirects=False,
                    timeout=ClientTimeout(
                        total=None, sock_connect=CONNECT_TIMEOUT_S
                    ),
                    trace_request_ctx=use,
                )
            except (ClientError, OSError) as error:
                if not use.is_stale():
                    raise
                self._record_stale(call, error)
                if not call.repeatable or not retries_left:
                    raise
        raise AssertionError('unreachable')

    def _session_for(self, call: ServerCall) -> ClientSession:
        assert self._pooled is not None and self._unpooled is not None
        stale_at_s = self._stale_at_s_by_address.get(call.address)
        if call.repeatable or stale_at_s is None:
            return self._pooled
        if _now() - stale_at_s > UNPOOLED_PERIOD_S:
            del self._stale_at_s_by_address[call.address]
            return self._pooled
        return self._unpooled

    def _record_stale(self, call: ServerCall, error: Exception) -> None:
        self._stale_at_s_by_address[call.address] = _now()
        logger.bind(
            request=call.attempt_id,
            address=call.address,
            repeated=call.repeatable,
            reason=repr(error)[:120],
        ).info('server had closed the idle connection')


def _session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_connection_reuseconn.append(_record_reuse)
    session = ClientSession(
        connector=connector, auto_decompress=False, trace_configs=[trace]
    )
    # By default aiohttp repeats a PUT or DELETE whose connection breaks, even
    # if the server has run it. There is no public option to turn this off.
    session._retry_connection = False
    return session


async def _record_reuse(
    session: ClientSession, context: SimpleNamespace, params: Any
) -> None:
    use = context.trace_request_ctx
    if isinstance(use, _ConnectionUse):
        use.reused = True


def _now() -> float:
    return asyncio.get_running_loop().time()
