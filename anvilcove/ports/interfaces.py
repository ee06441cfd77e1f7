"""Interfaces of the ports: what the daemon needs of each outside system."""

from collections.abc import AsyncIterator
from typing import Protocol

from anvilcove.messages.engines import (
    CacheEvents,
    DoneEvent,
    EngineOrder,
    EngineState,
    Generate,
    LoadReport,
    TokenEvent,
)
from anvilcove.messages.membership import Members
from anvilcove.messages.services import ServiceAnswer, ServiceCall
from anvilcove.messages.table import Row, Transaction, TransactionResult


class TablePort(Protocol):
    """Transactional table; raises StoreUnavailable or StoreAnswerLost."""

    async def transact(self, change: Transaction) -> TransactionResult:
        """Apply a transaction."""

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows in one snapshot; absent rows have revision 0."""

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Read the rows of a prefix in key order."""


class ObjectsPort(Protocol):
    """Object store; raises StoreUnavailable, StoreAnswerLost."""

    async def put(self, name: str, data: bytes) -> None:
        """Write an object; writing the same bytes again is harmless."""

    async def get(self, name: str) -> bytes:
        """Read an object or raise ObjectNotFound."""


class MembershipPort(Protocol):
    """Lagging list of hosts and endpoints; raises StoreUnavailable."""

    async def members(self) -> Members:
        """Read the current list."""


class WeightsPort(Protocol):
    """Rate-limited weight store; raises StoreUnavailable."""

    async def newest(self, model: str) -> int:
        """Return the newest version that the store holds, 0 for none."""


class EnginePort(Protocol):
    """One model engine; raises EndpointError."""

    def generate(
        self, request: Generate
    ) -> AsyncIterator[TokenEvent | DoneEvent]:
        """Stream tokens, then exactly one DoneEvent, or raise."""

    async def cancel(self, request_id: str) -> None:
        """Stop a generation."""

    async def load(self) -> LoadReport:
        """Read the lagging load report."""

    async def cache_events(self, after: int) -> CacheEvents:
        """Read the cache events after a sequence number."""

    async def order(self, order: EngineOrder) -> EngineState:
        """Give an order; the engine may refuse an old fence."""

    async def state(self) -> EngineState:
        """Read what the engine runs."""

    async def export_kv(self, request_id: str) -> bytes:
        """Export the KV cache of a generation."""

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Import the KV cache of a generation."""


class ServicePort(Protocol):
    """One plain service; raises EndpointError."""

    async def call(
        self,
        request: ServiceCall,
        timeout_s: float,
        fresh_connection: bool = False,
    ) -> ServiceAnswer:
        """Call the service and check that the answer is whole and ours."""

    async def load(self) -> LoadReport:
        """Read the lagging load report."""
