"""Pooled connections to servers, which may close idle ones unannounced."""

import asyncio
import errno
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from types import TracebackType
from typing import Any, Protocol, Self
from weakref import WeakSet

from aiohttp import (
    AddrInfoType,
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from loguru import logger
from msgspec import Struct
from yarl import URL

from anvilcove.http.room import AnswerRoom
from anvilcove.http.sessions import open_session
from anvilcove.http.sliced_body import call_body
from anvilcove.platform.answer_identity import AnswerIdentity
from anvilcove.platform.client_protocol import (
    CURRENT_USE,
    ConnectionUse,
    ServerConnector,
    ServerRequest,
    UnsuitableConnection,
)
from anvilcove.ports.relays import NoRelay, RelayPort
from anvilcove.ports.ways import NoObserver, WayObserver

# Servers announce that they close idle connections after 10 s; the pool closes
# them earlier.
KEEPALIVE_S = 9.0
CONNECT_TIMEOUT_S = 0.4
# An open connection on which nothing arrives is probed after this time, and
# then each second. It ends after this number of probes without an answer, so
# that a host without a way to its servers finds it out. TCP_USER_TIMEOUT stays
# unset: it would end the probes whatever their number, and also a call whose
# server reads slowly.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Errors of connecting that are not those of the way.
LOCAL_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})
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
    idle connection that it used. The answer echoes `attempt_id`. A `direct`
    call never goes through a peer.
    """

    method: str
    address: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b''
    attempt_id: str = ''
    repeatable: bool = False
    direct: bool = False


class CallNotSent(ClientError):
    """Raised when neither this host nor a peer can connect to a server."""


class RelayBroken(ClientError):
    """Raised when a relayed call failed after it may have begun to run."""


class CallRelay(Protocol):
    """Sender of calls through peers."""

    async def send(
        self, call: ServerCall, record: 'SendRecord'
    ) -> ClientResponse | None:
        """Return the server's response, or None if no peer took the call."""


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
        '_source_ip',
        'observer',
        'peers',
        'relay',
        '_unanswered',
        '_room',
    )

    def __init__(
        self, source_ip: str = '', room: AnswerRoom | None = None
    ) -> None:
        """Create the object; the sessions open when the context is entered.

        Connections come from `source_ip`; the system chooses it if empty.
        `room` bounds the memory for answers.
        """
        self._source_ip = source_ip
        self._room = AnswerRoom() if room is None else room
        # What connections show about the ways to the servers goes here.
        self.observer: WayObserver = NoObserver()
        self.peers: RelayPort = NoRelay()
        self.relay: CallRelay | None = None
        # Uses of connections for repeatable calls, of which nothing arrived.
        self._unanswered: WeakSet[ConnectionUse] = WeakSet()
        self.identity = AnswerIdentity()
        self._stack = AsyncExitStack()
        self._pooled: ClientSession | None = None
        self._unpooled: ClientSession | None = None
        self._stale_at_s_by_address: dict[str, float] = {}

    async def __aenter__(self) -> Self:
        """Open the sessions."""
        open_session = self._stack.enter_async_context
        self._pooled = await open_session(
            _session(self._connector(keepalive_timeout=KEEPALIVE_S))
        )
        self._unpooled = await open_session(
            _session(self._connector(force_close=True))
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

    def _connector(self, **options: Any) -> ServerConnector:
        source = (self._source_ip, 0) if self._source_ip else None
        return ServerConnector(
            self._room,
            local_addr=source,
            socket_factory=open_socket,
            **options,
        )

    def abandon_silent(self) -> None:
        """End repeatable calls that nothing has answered yet."""
        for use in list(self._unanswered):
            use.abandon()

    async def _send(
        self, call: ServerCall, record: SendRecord
    ) -> ClientResponse:
        if not call.direct and self.relay is not None and self.peers.needed():
            response = await self.relay.send(call, record)
            if response is not None:
                return response
        try:
            return await self._send_directly(call, record)
        except (ClientError, OSError) as error:
            relayed = await self._relay_after(error, call, record)
            if relayed is None:
                raise
            return relayed

    async def _relay_after(
        self, error: Exception, call: ServerCall, record: SendRecord
    ) -> ClientResponse | None:
        """Send a call through a peer if its own way may have failed."""
        not_sent = isinstance(
            error, ClientConnectorError | ConnectionTimeoutError
        )
        if not_sent and getattr(error, 'errno', None) not in LOCAL_ERRORS:
            self.observer.failed(call.address, repr(error))
        if call.direct or self.relay is None:
            return None
        if not_sent and not record.broken:
            if not self.peers.needed_after_failure(call.address):
                return None
        elif record.use is not None and record.use.abandoned:
            # It may have run: the host was cut off after it was sent.
            record.broken += 1
        else:
            return None
        return await self.relay.send(call, record)

    async def _send_directly(
        self, call: ServerCall, record: SendRecord
    ) -> ClientResponse:
        for retries_left in range(MAX_STALE_RETRIES, -1, -1):
            record.use = use = ConnectionUse(
                call.repeatable, call.address, self.observer, self._unanswered
            )
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
            data=call_body(call.body),
            headers=call.headers,
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
            timeout=ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        use.read_from(response)
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


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket with keep-alive probes for a connection."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        opened.setsockopt(level, option, value)
    return opened


def _session(connector: ServerConnector) -> ClientSession:
    # Callers' headers are passed on as they are.
    session = open_session(connector, headers={}, request_class=ServerRequest)
    # By default aiohttp repeats a PUT or DELETE whose connection breaks, even
    # if the server has run it. There is no public option to turn this off.
    session._retry_connection = False
    return session


def _now() -> float:
    return asyncio.get_running_loop().time()
