"""Client connections that record how the current call uses them."""

import asyncio
from contextvars import ContextVar
from typing import Any
from weakref import WeakSet

from aiohttp import (
    ClientError,
    ClientRequest,
    ClientResponse,
)
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection

from anvilcove.http.connections import (
    AnswerConnector,
    AnswerLimits,
    AnswerProtocol,
)
from anvilcove.http.room import AnswerRoom
from anvilcove.platform.names import ATTEMPT_ID
from anvilcove.ports.ways import NoObserver, WayObserver

# A server that has closed an idle connection resets a call within about one
# round trip. A connection that breaks later was carrying a running request.
CLOSED_ROUND_TRIPS = 2.0
CLOSED_MARGIN_S = 0.02
MAX_CLOSED_S = 0.1
# That time passes in this number of timers, one after the other. A delay of
# the event loop, during which a reset that has arrived is not read, makes one
# of them late and so counts for at most one part of the time.
CLOSED_PARTS = 4
# Bytes that may arrive from one event of a stream to the next, which includes
# what was read ahead.
MAX_EVENT_BYTES = 2 << 20


class UnsuitableConnection(ClientError):
    """Raised before a call is sent on a connection that it must not use."""


class ServerProtocol(AnswerProtocol):
    """Protocol of one connection to a server.

    A connection that receives bytes while no call uses it is closed: they
    would be read as the answer to the next call.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: AnswerLimits,
        room: AnswerRoom,
    ) -> None:
        """Start without a call."""
        super().__init__(loop, limits, room)
        # Time that it took to connect, about one round trip.
        self.connect_s: float | None = None
        # Whether bytes have arrived since the current call was sent.
        self.received = False
        self.idle = False
        # The last use, the attempt id of its call, and whether its answer
        # carried an id.
        self.last_use: ConnectionUse | None = None
        self.last_attempt_id = ''
        self.last_identified = True
        # Kind of the last answer if it was not surely that of its call.
        self.unclear_kind = ''

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the answer of the next call."""
        self.received = False
        self.idle = False
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Process bytes of the server."""
        # The reader of an answer that is complete may ask for more: no bytes.
        if self.idle and data:
            self.close()
            return
        self.received = self.received or bool(data)
        if self.last_use is not None:
            self.last_use.on_data()
        super().data_received(data)
        # The end of an answer makes the connection idle, also if the same
        # bytes begin another answer.
        if self.idle and self.should_close:
            self.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell of a connection that ended as nothing arrived on it."""
        if isinstance(exc, TimeoutError) and self.last_use is not None:
            self.last_use.on_silence(repr(exc))
        super().connection_lost(exc)


class ConnectionUse:
    """Use of a connection by one send of a call."""

    __slots__ = (
        'reused',
        'follows_identified',
        'follows_unclear_kind',
        '_repeatable',
        '_started_at_s',
        '_protocol',
        '_answer',
        '_answer_number',
        '_closed_parts_left',
        '_closed_timer',
        '_address',
        '_observer',
        'unanswered',
        'abandoned',
        '__weakref__',
    )

    def __init__(
        self,
        repeatable: bool,
        address: str = '',
        observer: WayObserver | None = None,
        unanswered: 'WeakSet[ConnectionUse] | None' = None,
    ) -> None:
        """Start before a connection to an address is chosen.

        The use is in `unanswered` from the send of a repeatable call to the
        first bytes that arrive.
        """
        self.unanswered = WeakSet() if unanswered is None else unanswered
        self.abandoned = False
        self._address = address
        self._observer = observer or NoObserver()
        self.reused = False
        # Whether the answer before on this connection carried an id.
        self.follows_identified = True
        # Kind of that answer if it was not surely that of its call.
        self.follows_unclear_kind = ''
        self._repeatable = repeatable
        self._started_at_s = _now()
        self._protocol: ServerProtocol | None = None
        # Connection on which the answer arrives, None once it is whole.
        self._answer: AnswerProtocol | None = None
        self._answer_number = 0
        self._closed_parts_left = 0
        self._closed_timer: asyncio.TimerHandle | None = None

    def on_data(self) -> None:
        """Note that something arrived on the connection."""
        self.unanswered.discard(self)
        self._closed_parts_left = 0
        if self._closed_timer is not None:
            self._closed_timer.cancel()
            self._closed_timer = None
        self._observer.heard(self._address)

    def abandon(self) -> None:
        """End the call, as its answer can't arrive."""
        self.abandoned = True
        protocol = self._protocol
        if protocol is not None and protocol.transport is not None:
            protocol.transport.abort()

    def on_silence(self, reason: str) -> None:
        """Note that nothing arrives on the connection any more."""
        self._observer.failed(self._address, reason)

    def allow_bytes(self, count: int) -> None:
        """Set how many more bytes of the answer may arrive.

        Its reader may go on after the connection is used for another one.
        """
        answer = self._answer
        if answer is not None and answer.answer_number == self._answer_number:
            answer.allow_bytes(count)

    def read_from(self, response: ClientResponse) -> None:
        """Allow bytes of the answer in a response, while it arrives."""
        connection = response.connection
        protocol = None if connection is None else connection.protocol
        if isinstance(protocol, AnswerProtocol):
            self._answer = protocol
            self._answer_number = protocol.answer_number

    def begin(self, protocol: ServerProtocol, attempt_id: str) -> None:
        """Record the connection on which the call is about to be sent.

        Raises UnsuitableConnection if a second answer of the call before
        could not be told from the answer to this one.
        """
        now = _now()
        if protocol.connect_s is None:
            protocol.connect_s = now - self._started_at_s
            self._observer.heard(self._address)
        else:
            self.reused = True
            self.follows_identified = protocol.last_identified
            self.follows_unclear_kind = protocol.unclear_kind
            same_id = attempt_id and attempt_id == protocol.last_attempt_id
            unclear = not self._repeatable and not self.follows_identified
            if same_id or unclear:
                raise UnsuitableConnection('a second answer may follow')
            self._start_closed_period(protocol.connect_s)
        self._protocol = protocol
        protocol.last_use = self
        protocol.last_attempt_id = attempt_id
        self._observer.sent(self._address)
        if self._repeatable:
            self.unanswered.add(self)

    def record_answer(self, identified: bool, unclear_kind: str = '') -> None:
        """Record whether the answer carries an id, and its kind if unclear."""
        if self._protocol is not None and self._protocol.last_use is self:
            self._protocol.last_identified = identified
            self._protocol.unclear_kind = unclear_kind

    def discard(self) -> None:
        """Close the connection unless another call uses it by now."""
        protocol = self._protocol
        if protocol is not None and protocol.last_use is self:
            protocol.close()

    def closed_while_idle(self) -> bool:
        """Tell whether an error now probably means a closed idle connection.

        The call may have run all the same.
        """
        protocol = self._protocol
        if not self.reused or protocol is None or protocol.received:
            return False
        return self._closed_parts_left > 0

    def _start_closed_period(self, round_trip_s: float) -> None:
        """Start the time in which an error means a closed connection."""
        period_s = min(
            CLOSED_ROUND_TRIPS * round_trip_s + CLOSED_MARGIN_S, MAX_CLOSED_S
        )
        self._closed_parts_left = CLOSED_PARTS
        self._wait_closed_part(period_s / CLOSED_PARTS)

    def _wait_closed_part(self, part_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._closed_timer = loop.call_later(
            part_s, self._end_closed_part, part_s
        )

    def _end_closed_part(self, part_s: float) -> None:
        self._closed_timer = None
        self._closed_parts_left -= 1
        if self._closed_parts_left:
            self._wait_closed_part(part_s)


CURRENT_USE: ContextVar[ConnectionUse] = ContextVar('connection_use')


class ServerRequest(ClientRequest):
    """Request that records the connection on which it is sent."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request."""
        protocol = conn.protocol
        assert isinstance(protocol, ServerProtocol)
        attempt_id = self.headers.get(ATTEMPT_ID, '')
        CURRENT_USE.get().begin(protocol, attempt_id)
        return await super().send(conn)


class ServerConnector(AnswerConnector):
    """Connector that opens connections with ServerProtocol.

    There are no public options for what it overrides.
    """

    def __init__(self, room: AnswerRoom | None = None, **options: Any) -> None:
        """Create the connector with the options of a TCPConnector."""
        super().__init__(room=room, protocol=ServerProtocol, **options)

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        assert isinstance(protocol, ServerProtocol)
        protocol.idle = True


def _now() -> float:
    return asyncio.get_running_loop().time()
