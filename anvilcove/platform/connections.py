"""Kept connections to servers, some of which servers drop unannounced."""

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

# Idle connections are given up before the servers close them, which announce
# 10 s.
KEEPALIVE_S = 9.0
CONNECT_TIMEOUT_S = 0.4
# A connection that the server has dropped is reset within one round trip;
# a later break is one of a request that was running.
STALE_RESET_S = 0.1
# Idle connections that one call finds dropped before it gives up.
MAX_STALE_CONNECTIONS = 8
# Time for which calls that may not be repeated get connections of their own
# at a server that dropped an idle one.
STALE_MEMORY_S = 30.0
# Headers that the client library would add by itself.
SKIPPED_HEADERS = ('User-Agent', 'Accept', 'Accept-Encoding', 'Content-Type')


class ServerCall(Struct):
    """One HTTP call to a server.

    A `repeatable` call is sent again where an idle connection turns out to
    have been dropped by the server; `attempt_id` is echoed by the answer.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''
    attempt_id: str = ''
    repeatable: bool = False


class _Use(Struct):
    """How a call got its connection."""

    reused: bool = False
    started_s: float = field(default_factory=lambda: _now())

    def dropped_before(self) -> bool:
        """Tell whether a break now is that of a dropped idle connection."""
        return self.reused and _now() - self.started_s < STALE_RESET_S


class ServerConnections:
    """Sessions for calls to servers; an asynchronous context manager."""

    __slots__ = ('_stack', '_kept', '_single', '_dropped_at_s')

    def __init__(self) -> None:
        """Open nothing before the context is entered."""
        self._stack = AsyncExitStack()
        self._kept: ClientSession | None = None
        self._single: ClientSession | None = None
        self._dropped_at_s: dict[str, float] = {}

    async def __aenter__(self) -> Self:
        """Open the sessions."""
        enter = self._stack.enter_async_context
        self._kept = await enter(
            _session(TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S))
        )
        self._single = await enter(
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
        """Send a call and yield the start of its answer.

        Raises what the client library raises.
        """
        response = await self._send(call)
        async with response:
            yield response

    async def _send(self, call: ServerCall) -> ClientResponse:
        session = self._session_for(call)
        for left in range(MAX_STALE_CONNECTIONS, -1, -1):
            use = _Use()
            try:
                return await session.request(
                    call.method,
                    URL(f'http://{call.address}{call.path}', encoded=True),
                    data=call.body or None,
                    headers=call.headers,
                    skip_auto_headers=SKIPPED_HEADERS,
                    allow_redirects=False,
                    timeout=ClientTimeout(
                        total=None, sock_connect=CONNECT_TIMEOUT_S
                    ),
                    trace_request_ctx=use,
                )
            except (ClientError, OSError) as error:
                if not use.dropped_before():
                    raise
                self._note_dropped(call, error)
                if not call.repeatable or not left:
                    raise
        raise AssertionError('unreachable')

    def _session_for(self, call: ServerCall) -> ClientSession:
        assert self._kept is not None and self._single is not None
        dropped_at_s = self._dropped_at_s.get(call.address)
        if call.repeatable or dropped_at_s is None:
            return self._kept
        if _now() - dropped_at_s > STALE_MEMORY_S:
            del self._dropped_at_s[call.address]
            return self._kept
        return self._single

    def _note_dropped(self, call: ServerCall, error: Exception) -> None:
        self._dropped_at_s[call.address] = _now()
        logger.bind(
            request=call.attempt_id,
            address=call.address,
            repeated=call.repeatable,
            reason=repr(error)[:120],
        ).info('idle connection had been dropped by its server')


def _session(connector: TCPConnector) -> ClientSession:
    trace = TraceConfig()
    trace.on_connection_reuseconn.append(_note_reuse)
    session = ClientSession(
        connector=connector, auto_decompress=False, trace_configs=[trace]
    )
    # The library has no public switch for this. It would repeat a PUT or
    # DELETE whose connection breaks, also one that has run.
    session._retry_connection = False
    return session


async def _note_reuse(
    session: ClientSession, context: SimpleNamespace, params: Any
) -> None:
    use = context.trace_request_ctx
    if isinstance(use, _Use):
        use.reused = True


def _now() -> float:
    return asyncio.get_running_loop().time()
