"""Server side of connections, all of whose memory is on one account."""

import asyncio
import socket
import struct
from asyncio.trsock import TransportSocket
from collections.abc import Hashable
from contextlib import suppress
from typing import Any

from aiohttp.web_exceptions import HTTPException
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from anvilcove.http.bodies import document_bytes
from anvilcove.http.client_account import ClientAccount
from anvilcove.http.request_sizes import RequestSizes

KIB = 1 << 10
# Bytes that one read takes from a connection.
READ_BYTES = 16 * KIB
# Bytes that the system keeps for a connection that is not read; the kernel
# doubles what is asked for.
RECEIVE_BUFFER_BYTES = 32 * KIB
UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES
# Bytes that the system takes for a connection before it can send them. By
# default it takes up to 4 MB, which no bound of this process covers.
UNSENT_BYTES = 32_768
# Bytes of the objects of a connection that is in use. The system's part is
# added for one that does not take all bytes.
CONNECTION_BYTES = 20_480
# Pipelined requests that wait for the one before; a read may bring some more.
MAX_QUEUED_REQUESTS = 4
# Framing in one read from which it takes much time: about 400 chunks.
COSTLY_FRAMING_BYTES = 2 * KIB
HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)
# Time for which a client that was refused may go on to send.
REFUSED_S = 1.0
# Closing a socket with this option drops what it has not sent.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class ClientConnection(RequestHandler):
    """Connection of a client, with the bytes that it makes the process keep.

    The transport pauses it with the first byte that the system does not take
    at once, and resumes it when all bytes are taken.
    """

    __slots__ = (
        'account',
        '_taken',
        'request_id',
        'workspace',
        'body_bytes',
        'answer_bytes',
        'reserved_bytes',
        'waits_since_s',
        'requests',
        '_opened_at',
        '_written_bytes',
        '_received_bytes',
        '_awaits_turn',
        '_is_refused',
    )

    def __init__(
        self, account: ClientAccount, *arguments: Any, **kwargs: Any
    ) -> None:
        """Serve a connection whose memory is on an account."""
        super().__init__(*arguments, read_bufsize=READ_BYTES, **kwargs)
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self.account = account
        self._taken = asyncio.Event()
        self._taken.set()
        # Request that is answered, and the bytes of its body and its answer
        # that are kept until the answer is written.
        self.request_id = ''
        self.workspace = ''
        self.body_bytes = 0
        self.answer_bytes = 0
        # Room for the body, until the answer has arrived.
        self.reserved_bytes = 0
        # When it became idle, or its oldest request began to arrive.
        self.waits_since_s = 0.0
        self.requests = RequestSizes()
        self._opened_at: Hashable = None
        self._written_bytes = 0
        self._received_bytes = 0
        self._awaits_turn = False
        # Whether its last answer was sent before its request was complete.
        self._is_refused = False

    @property
    def listener(self) -> Hashable:
        """Return the server that has accepted the connection."""
        return self._opened_at

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit reads, and let the transport pause for any unsent byte."""
        self._opened_at = self._manager
        self.waits_since_s = self._loop.time()
        super().connection_made(transport)
        assert isinstance(transport, asyncio.WriteTransport)
        transport.set_write_buffer_limits(high=0)
        if hasattr(transport, 'max_size'):
            transport.max_size = READ_BYTES
        opened = transport.get_extra_info('socket')
        if opened is not None and hasattr(socket, 'TCP_NOTSENT_LOWAT'):
            # Python may know the option although the kernel does not.
            with suppress(OSError):
                opened.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES
                )
        self.account.connections.opened(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Hold nothing for a connection that has ended."""
        self.account.connections.closed(self)
        self.account.release(self)
        self._taken.set()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the client and count what is kept of them."""
        if self._is_refused:
            return
        started_s = self._loop.time()
        self._received_bytes += len(data)
        if self.requests.is_idle():
            self.waits_since_s = started_s
        before = self._request_count
        super().data_received(data)
        if count := self._request_count - before:
            self.requests.take_heads([*self._messages][-count:], len(data))
        elif self.requests.take_bytes(len(data)) > COSTLY_FRAMING_BYTES:
            self._wait_for_turn(self._loop.time() - started_s)
        if self.requests.head_bytes > self.account.settings.max_head_bytes():
            self._refuse_head()
        else:
            self.recount()

    def pause_writing(self) -> None:
        """Count what the client does not take."""
        super().pause_writing()
        self._taken.clear()
        self.recount()

    def resume_writing(self) -> None:
        """Count that all bytes are taken."""
        super().resume_writing()
        self._taken.set()
        self.recount()

    def take_turn(self) -> None:
        """Read again after other connections were served."""
        self._awaits_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def begin(self, request_id: str) -> None:
        """Start with a request of which nothing is kept yet."""
        self.request_id = request_id
        self.workspace = ''
        self.body_bytes = self.answer_bytes = 0

    def writes(self, count: int) -> None:
        """Count bytes of an answer, before they are written."""
        self._written_bytes += count

    def holds_document(self, data: bytes) -> bool:
        """Count a JSON body as what it is decoded to.

        Return False if this has ended the client.
        """
        self.holds_body(document_bytes(data))
        transport = self.transport
        return transport is not None and not transport.is_closing()

    def holds_body(self, count: int) -> None:
        """Count the bytes that are kept of the body of the request."""
        self.body_bytes = count
        self.recount()

    def recount(self) -> None:
        """Count what is held anew."""
        requests = self.requests
        is_lost = self._manager is None
        if is_lost or (
            requests.is_idle()
            and not requests.keeps_large_head()
            and not self._paused
        ):
            self.account.release(self)
        else:
            self.account.hold(self)

    def keep_answer(self, response: StreamResponse) -> None:
        """Count the body of an answer, before it is written."""
        if isinstance(response, Response) and isinstance(
            response.body, bytes | bytearray
        ):
            self.answer_bytes = len(response.body)
            self.writes(self.answer_bytes)
            self.recount()

    async def wait_until_taken(self, timeout_s: float) -> None:
        """Wait until all bytes are taken, at most for a time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._taken.wait()
        except TimeoutError:
            return

    def is_served(self) -> bool:
        """Tell whether a whole request waits for its answer."""
        return self.requests.is_served()

    def is_awaited(self) -> bool:
        """Tell whether the client has to send or to take bytes next."""
        if self._paused or not self.requests.has_requests():
            return True
        return not self.is_served() and not self._is_reading_paused()

    def held_bytes(self) -> int:
        """Return the bytes that are held for the client now."""
        held = CONNECTION_BYTES + self.requests.kept_heads_bytes()
        # The buffer of the transport grows by an eighth more than it needs.
        held += self.unsent_bytes() * 9 // 8 + self.answer_bytes
        if self._paused:
            held += UNSENT_BYTES
        if self._is_reading_paused():
            held += READ_BYTES + UNREAD_BYTES
        # A body with room of its own is counted there.
        if not self.reserved_bytes:
            held += max(self.requests.kept_body_bytes(), self.body_bytes)
        for _, body in self._messages:
            held += body.total_bytes
        return held

    def written_bytes(self) -> int:
        """Return the bytes written since the connection was opened."""
        return self._written_bytes

    def received_bytes(self) -> int:
        """Return the bytes received since the connection was opened."""
        return self._received_bytes

    def unsent_bytes(self) -> int:
        """Return the written bytes that the connection has not taken."""
        transport = self.transport
        if not isinstance(transport, asyncio.WriteTransport):
            return 0
        return transport.get_write_buffer_size()

    def end(self) -> None:
        """Reset the connection and drop what is held, also in the system."""
        transport = self.transport
        if transport is None:
            return
        opened = transport.get_extra_info('socket')
        if opened is not None:
            with suppress(OSError):
                opened.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        transport.abort()

    async def finish_response(
        self,
        request: BaseRequest,
        resp: StreamResponse,
        start_time: float | None,
    ) -> tuple[StreamResponse, bool]:
        """Count an answer while it is written."""
        self.keep_answer(resp)
        return await super().finish_response(request, resp, start_time)

    async def _handle_request(
        self, request: BaseRequest, *arguments: Any
    ) -> tuple[StreamResponse, bool]:
        """Serve a request, and keep nothing of it but its head."""
        self.requests.begin(request.content)
        try:
            response, reset = await super()._handle_request(
                request, *arguments
            )
            # The base class keeps both objects until the next request.
            if isinstance(response, Response):
                response.body = None
            if isinstance(response, HTTPException):
                # Its frames keep what was read of the body.
                response.__traceback__ = response.__cause__ = None
                response.__context__ = None
            return response, reset
        finally:
            self.requests.finish()
            self.body_bytes = self.answer_bytes = 0
            self.waits_since_s = self._loop.time()
            self.recount()

    def _refuse_head(self) -> None:
        """Answer with 431 if no other answer is due, and close."""
        self.account.head_refused(self.requests.head_bytes)
        if self.requests.has_requests() or self.transport is None:
            self.end()
            return
        self._is_refused = True
        self.transport.write(HEAD_TOO_LARGE)
        # A close with unread bytes would reset the connection, and the answer
        # could be lost.
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._loop.call_later(REFUSED_S, self.end)

    def _is_reading_paused(self) -> bool:
        return self._reading_paused or self._buffer_paused or self._awaits_turn

    def _wait_for_turn(self, spent_s: float) -> None:
        if not self._awaits_turn and self.transport is not None:
            self._awaits_turn = True
            self._pause_transport_reading()
            self.account.turns.wait(self, spent_s)

    def _resume_transport_reading(self) -> None:
        if not self._awaits_turn:
            super()._resume_transport_reading()


class ClientServer(Server):
    """Server of connections whose memory is on an account."""

    def __init__(
        self, account: ClientAccount, handler: Any, **kwargs: Any
    ) -> None:
        """Serve with `handler`."""
        super().__init__(handler, **kwargs)
        self.account = account

    def __call__(self) -> ClientConnection:
        """Return the handler of a new connection."""
        return ClientConnection(
            self.account, self, loop=self._loop, **self._kwargs
        )


def client_connection(request: BaseRequest) -> ClientConnection | None:
    """Return the counted connection of a request, None if not counted."""
    protocol = request.protocol
    return protocol if isinstance(protocol, ClientConnection) else None


def limit_receive_buffer(
    listening: socket.socket | TransportSocket,
) -> None:
    """Bound what the system receives for each connection of a listener."""
    with suppress(OSError):
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
