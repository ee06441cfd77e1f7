"""Client connections that bound the answers which arrive on them."""

import asyncio
from functools import partial
from typing import Any

from aiohttp import ClientPayloadError, StreamReader, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from msgspec import Struct

from anvilcove.http.merged_reader import merge_chunks
from anvilcove.http.room import AnswerRoom

KIB, MIB = 1 << 10, 1 << 20
# Bytes that one read takes from a connection. What is checked after a read has
# cost at most that much.
READ_BYTES = 16 * KIB
# Reading pauses while twice as many bytes of a body wait for their reader.
READ_AHEAD_BYTES = 64 * KIB
# Interim answers before a final one.
MAX_INTERIM_ANSWERS = 16
INTERIM_STATUSES = range(100, 200)
STATUS_SWITCHING_PROTOCOLS = 101
# Bytes of chunk sizes, their extensions and trailers beyond those of the body
# itself. A read may end before its body bytes are parsed.
MAX_FRAMING_BYTES = 64 * KIB + READ_BYTES


class AnswerTooLarge(ClientPayloadError):
    """Raised for an answer that is ended as it takes too much memory."""


class AnswerLimits(Struct, frozen=True):
    """Bytes that may arrive of the head of an answer, and of its body.

    The head includes interim answers. Readers of streams, who hold only a part
    of the body, may allow more bytes as they go on.
    """

    head_bytes: int = 64 * KIB
    body_bytes: int = 8 * MIB


class AnswerProtocol(ResponseHandler):
    """Protocol of a connection whose answers have an end.

    A server in trouble may send bytes until its caller closes.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: AnswerLimits,
        room: AnswerRoom,
    ) -> None:
        """Start without an answer."""
        super().__init__(loop)
        self.held_bytes = 0
        # Number of the answer that arrives or arrived last.
        self.answer_number = 0
        self._limits = limits
        self._room = room
        self._in_body = False
        self._interim_answers = 0
        # Bytes since the head, or since the reader has allowed more.
        self._arrived_bytes = 0
        self._allowed_bytes = limits.head_bytes
        # Bytes behind the head, with the framing of the body.
        self._body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the bytes of a read, where the transport can."""
        super().connection_made(transport)
        if hasattr(transport, 'max_size'):
            transport.max_size = READ_BYTES

    def connection_lost(self, exc: BaseException | None) -> None:
        """Hold nothing for the answer any more."""
        self._room.hold(self, 0)
        super().connection_lost(exc)

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the answer of the next call."""
        self.answer_number += 1
        self._in_body = False
        self._interim_answers = 0
        self._body_bytes = 0
        self.allow_bytes(self._limits.head_bytes)
        super().set_response_params(**parameters)

    def allow_bytes(self, count: int) -> None:
        """Set how many more bytes may arrive; those before were used."""
        self._arrived_bytes = 0
        self._allowed_bytes = count
        self._room.hold(self, 0)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass on the head of an answer."""
        status = data[0].code
        if status in INTERIM_STATUSES and status != STATUS_SWITCHING_PROTOCOLS:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                return
        elif not self._in_body:
            self._in_body = True
            merge_chunks(data[1])
            self.allow_bytes(self._limits.body_bytes)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process bytes of the server within the limits."""
        self._arrived_bytes += len(data)
        if self._arrived_bytes > self._allowed_bytes:
            self.end_answer('answer without end')
            return
        was_in_body, payload = self._in_body, self._payload
        super().data_received(data)
        self._pass_error_to(payload)
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self.end_answer('interim answers without end')
        elif self._in_body:
            if was_in_body:
                self._body_bytes += len(data)
            self._check_body()

    def end_answer(self, reason: str) -> None:
        """Fail the call and close the connection."""
        error = AnswerTooLarge(reason)
        payload = self._payload
        self.set_exception(error)
        if payload is not None:
            payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _pass_error_to(self, payload: StreamReader | None) -> None:
        """Tell the reader of a body that its framing is malformed.

        The parser tells it for some errors only. Otherwise the reader waits
        until its own time is over.
        """
        error = self.exception()
        if error is None or payload is None or payload.is_eof():
            return
        if payload.exception() is None:
            payload.set_exception(ClientPayloadError(str(error)))

    def _check_body(self) -> None:
        payload = self._payload
        if payload is None or payload.is_eof():
            self._room.hold(self, 0)
        elif self._framing_bytes(payload) > MAX_FRAMING_BYTES:
            self.end_answer('framing without end')
        else:
            self._room.hold(self, self._arrived_bytes)

    def _framing_bytes(self, payload: StreamReader) -> int:
        """Return the framing beyond the bytes that it frames."""
        return self._body_bytes - 2 * payload.total_bytes


class AnswerConnector(TCPConnector):
    """Connector that opens connections with AnswerProtocol.

    There is no public option for it.
    """

    def __init__(
        self,
        limits: AnswerLimits | None = None,
        room: AnswerRoom | None = None,
        protocol: type[AnswerProtocol] = AnswerProtocol,
        **options: Any,
    ) -> None:
        """Create the connector with the options of a TCPConnector."""
        super().__init__(**{'limit': 0, **options})
        factory = partial(
            protocol,
            self._loop,
            limits or AnswerLimits(),
            AnswerRoom() if room is None else room,
        )
        self._factory = factory  # type: ignore[assignment]
