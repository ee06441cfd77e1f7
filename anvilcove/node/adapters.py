"""Interfaces between the daemon and the adapters of a platform."""

from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from aiohttp import ClientSession
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import StreamResponse
from msgspec import Struct

from anvilcove.http.room import AnswerRoom
from anvilcove.node.service import NodeService
from anvilcove.ports.duties import DutyPort
from anvilcove.ports.engines import EngineClient
from anvilcove.ports.probes import EndpointProbe
from anvilcove.ports.relays import RelayPort
from anvilcove.ports.rows import RowReader
from anvilcove.ports.servers import ServerClient
from anvilcove.ports.store import StorePort
from anvilcove.ports.streams import StreamClient
from anvilcove.ports.transport import StoreTransport
from anvilcove.ports.ways import WayObserver
from anvilcove.settings.node import NodeSettings


class EndpointConnections(Protocol):
    """Connections to endpoints, of this host and of peers through it."""

    def attach(
        self, session: ClientSession, observer: WayObserver, peers: RelayPort
    ) -> None:
        """Tell `observer` of the ways, and relay calls through `peers`."""

    def abandon_silent(self) -> None:
        """End calls that nothing has answered yet, to send them elsewhere."""

    def relay_handlers(
        self,
    ) -> dict[str, Callable[[BaseRequest], Awaitable[StreamResponse]]]:
        """Return the handlers, by path, of calls that peers relay here."""

    def stop_relaying(self) -> None:
        """Decline further calls of peers; those in flight go on."""

    def relayed_calls(self) -> int:
        """Return the number of calls of peers in flight."""


class EndpointClients(Struct):
    """Clients for requests, streams, engine calls and checks."""

    connections: EndpointConnections

    servers: ServerClient
    streams: StreamClient
    engines: EngineClient
    probe: EndpointProbe
    duties: DutyPort


class Listeners(Protocol):
    """Open listeners for requests of callers."""

    def in_flight(self) -> int:
        """Return the number of requests in progress."""

    async def stop_accepting(self) -> None:
        """Stop accepting connections; open ones stay open."""

    async def close(self) -> None:
        """Close every connection."""


class Adapters(Protocol):
    """Factory of the adapters of one platform."""

    @property
    def rows(self) -> RowReader:
        """Return the reader of rows of operators, trainers and endpoints."""

    def transport(self, session: ClientSession) -> StoreTransport:
        """Return the transport that sends calls directly to the store."""

    def store(self, transport: StoreTransport) -> StorePort:
        """Return a store client that sends its calls through `transport`."""

    def endpoint_clients(
        self, settings: NodeSettings, room: AnswerRoom
    ) -> AbstractAsyncContextManager[EndpointClients]:
        """Open connection pools to endpoints and yield their clients.

        `room` bounds the memory for answers.
        """

    async def listen(
        self, settings: NodeSettings, service: NodeService
    ) -> Listeners:
        """Open the listeners for callers."""
