"""Pooled connections to servers, which may close idle ones unannounced."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from types import TracebackType
from typing import Self

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from loguru import logger
from msgspec import Struct
from yarl import URL

from anvilcove.platform.answer_identity import AnswerIdentity
from anvilcove.platform.client_protocol import (
    CURRENT_USE,
    MAX_ANSWER_BYTES,
    ConnectionUse,
    ServerConnector,
    ServerRequest,
    UnsuitableConnection,
)

# Servers announce that they close idle connections after 10 s; the pool closes
# them earlier.
KEEPALIVE_S = 9.0
CONNECT_TIMEOUT_S = 0.4
# Maximum number of retries of a call that finds its idle connection closed.
# The last one opens a connection of its own.
MAX_STALE_RETRIES = 2
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

    A `repeatable` call is sent again if the server seems to have closed the
    idle connection that it used. The answer echoes `attempt_id`.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''
    attempt_id: str = ''
    repeatable: bool = False


class SendRecord(Struct):
    """Record of the sends of one call.

    `broken` counts those whose connection broke before the last one. The
    server may have run each of them. `use` is that of the last one.
    """

    broken: int = 0
    use: ConnectionUse | None = None


class ServerConnections:
    """HTTP sessions for calls to servers; an async context manager."""

    __slots__ = (
        'identity',
        '_stack',
        '_pooled',
        '_unpooled',
        '_stale_at_s_by_address',
    )

    def __init__(self) -> None:
        """Create the object; the sessions open when the context is entered."""
        self.identity = AnswerIdentity()
        self._stack = AsyncExitStack()
        self._pooled: ClientSession | None = None
        self._unpooled: ClientSession | None = None
        self._stale_at_s_by_address: dict[str, float] = {}

    async def __aenter__(self) -> Self:
        """Open the sessions."""
        open_session = self._stack.enter_async_context
        self._pooled = await open_session(
            _session(ServerConnector(limit=0, keepalive_timeout=KEEPALIVE_S))
        )
        self._unpooled = await open_session(
            _session(ServerConnector(limit=0, force_close=True))
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
    async def open(
        self, call: ServerCall, record: SendRecord
    ) -> AsyncIterator[ClientResponse]:
        """Send a call and yield the response before its body is read.

        Errors of aiohttp are not converted. `record` tells how many sends
        came before the one that was answered or failed.
        """
        response = await self._send(call, record)
        async with response:
            yield response

    async def _send(
        self, call: ServerCall, record: SendRecord
    ) -> ClientResponse:
        for retries_left in range(MAX_STALE_RETRIES, -1, -1):
            record.use = use = ConnectionUse(call.repeatable)
            try:
                return await self._send_once(call, use, bool(retries_left))
            except UnsuitableConnection:
                continue
            except (ClientError, OSError) as error:
                if not use.closed_while_idle():
                    raise
                self._record_stale(call, error)
                if not call.repeatable or not retries_left:
                    raise
                record.broken += 1
        raise AssertionError('unreachable')

    async def _send_once(
        self, call: ServerCall, use: ConnectionUse, may_reuse: bool
    ) -> ClientResponse:
        assert self._unpooled is not None
        session = self._session_for(call) if may_reuse else self._unpooled
        CURRENT_USE.set(use)
        response = await session.request(
            call.method,
            URL(f'http://{call.address}{call.path}', encoded=True),
            data=call.body or None,
            headers=call.headers,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        use.allow_bytes(MAX_ANSWER_BYTES)
        return response

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


def _session(connector: ServerConnector) -> ClientSession:
    session = ClientSession(
        connector=connector, auto_decompress=False, request_class=ServerRequest
    )
    # By default aiohttp repeats a PUT or DELETE whose connection breaks, even
    # if the server has run it. There is no public option to turn this off.
    session._retry_connection = False
    return session


def _now() -> float:
    return asyncio.get_running_loop().time()
