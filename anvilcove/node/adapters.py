"""What a family of adapters provides to the daemon."""

from contextlib import AbstractAsyncContextManager
from typing import Protocol

from aiohttp import ClientSession
from msgspec import Struct

from anvilcove.node.service import NodeService
from anvilcove.ports.engines import EngineClient
from anvilcove.ports.rows import RowReader
from anvilcove.ports.servers import ServerClient
from anvilcove.ports.store import StorePort
from anvilcove.ports.streams import StreamClient
from anvilcove.ports.transport import StoreTransport
from anvilcove.settings.node import NodeSettings


class EndpointClients(Struct):
    """Clients of everything that endpoints do."""

    servers: ServerClient
    streams: StreamClient
    engines: EngineClient


class Listeners(Protocol):
    """Open listeners of the daemon."""

    def in_flight(self) -> int:
        """Return the number of requests that are being answered."""

    async def stop_accepting(self) -> None:
        """Take no new connections."""

    async def close(self) -> None:
        """Close every connection."""


class Adapters(Protocol):
    """Adapters of one platform."""

    @property
    def rows(self) -> RowReader:
        """Return the decoder of others' rows."""

    def transport(self, session: ClientSession) -> StoreTransport:
        """Return the direct way to the store."""

    def store(self, transport: StoreTransport) -> StorePort:
        """Return the client of the store."""

    def endpoint_clients(
        self,
    ) -> AbstractAsyncContextManager[EndpointClients]:
        """Open the connections to endpoints and yield their clients."""

    async def listen(
        self, settings: NodeSettings, service: NodeService
    ) -> Listeners:
        """Open the listeners towards callers."""
