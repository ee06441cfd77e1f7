"""Client connections that record how the current call uses them."""

import asyncio
from contextvars import ContextVar
from functools import partial
from typing import Any

from aiohttp import ClientRequest, ClientResponse, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

# A server that has closed an idle connection resets a call within about one
# round trip. A connection that breaks later was carrying a running request.
CLOSED_ROUND_TRIPS = 2.0
CLOSED_MARGIN_S = 0.02
MAX_CLOSED_S = 0.1


class ServerProtocol(ResponseHandler):
    """Protocol of one connection to a server."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a call."""
        super().__init__(loop)
        # Time that it took to connect, about one round trip.
        self.connect_s: float | None = None
        # Whether bytes have arrived since the current call was sent.
        self.received = False

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the answer of the next call."""
        self.received = False
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Process bytes of the server."""
        self.received = self.received or bool(data)
        super().data_received(data)


class ConnectionUse:
    """Use of a connection by one send of a call."""

    __slots__ = ('reused', '_started_at_s', '_protocol')

    def __init__(self) -> None:
        """Start before a connection is chosen."""
        self.reused = False
        self._started_at_s = _now()
        self._protocol: ServerProtocol | None = None

    def begin(self, protocol: ServerProtocol) -> None:
        """Record the connection on which the call is about to be sent."""
        now = _now()
        self._protocol = protocol
        self.reused = protocol.connect_s is not None
        if protocol.connect_s is None:
            protocol.connect_s = now - self._started_at_s
        self._started_at_s = now

    def closed_while_idle(self) -> bool:
        """Tell whether an error now probably means a closed idle connection.

        The call may have run all the same.
        """
        protocol = self._protocol
        if not self.reused or protocol is None or protocol.received:
            return False
        round_trip_s = protocol.connect_s or 0.0
        return _now() - self._started_at_s < min(
            CLOSED_ROUND_TRIPS * round_trip_s + CLOSED_MARGIN_S, MAX_CLOSED_S
        )


CURRENT_USE: ContextVar[ConnectionUse] = ContextVar('connection_use')


class ServerRequest(ClientRequest):
    """Request that records the connection on which it is sent."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request."""
        protocol = conn.protocol
        assert isinstance(protocol, ServerProtocol)
        CURRENT_USE.get().begin(protocol)
        return await super().send(conn)


class ServerConnector(TCPConnector):
    """Connector that opens connections with ServerProtocol."""

    def __init__(self, **options: Any) -> None:
        """Create the connector with the options of a TCPConnector."""
        super().__init__(**options)
        # There is no public option for the class of the protocol.
        factory = partial(ServerProtocol, self._loop)
        self._factory = factory  # type: ignore[assignment]


def _now() -> float:
    return asyncio.get_running_loop().time()
