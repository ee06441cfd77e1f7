"""What a family of adapters provides to the daemon."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from aiohttp import ClientSession

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.node.service import NodeService
from anvilcove.ports.engines import EngineClient
from anvilcove.ports.servers import ServerClient
from anvilcove.ports.store import StoredRow, StorePort
from anvilcove.ports.transport import StoreTransport
from anvilcove.settings.node import NodeSettings

Close = Callable[[], Awaitable[None]]


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

    # Tables of the operator and of the endpoints.
    operator_table: str
    endpoint_table: str

    def transport(self, session: ClientSession) -> StoreTransport:
        """Return the direct way to the store."""

    def store(self, transport: StoreTransport) -> StorePort:
        """Return the client of the store."""

    def servers(self, session: ClientSession) -> ServerClient:
        """Return the client of the services."""

    def engines(self, session: ClientSession) -> EngineClient:
        """Return the client of the engines."""

    def apply_operator_rows(
        self,
        rows: list[StoredRow],
        desired: DesiredStateView,
        now: float,
    ) -> None:
        """Put what the operator and the trainers wrote in force."""

    def apply_endpoint_rows(
        self,
        rows: list[StoredRow],
        whole: bool,
        registry: EndpointRegistry,
        now: float,
        hold: bool,
    ) -> None:
        """Adopt what endpoints say of themselves."""

    async def listen(
        self, settings: NodeSettings, service: NodeService
    ) -> Listeners:
        """Open the listeners towards callers."""
