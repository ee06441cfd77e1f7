"""Interfaces of the systems that an entry daemon calls."""

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
    """Transactional table.

    Calls raise StoreUnavailable or StoreAnswerLost.
    """

    async def transact(self, change: Transaction) -> TransactionResult:
        """Apply all writes of a transaction if all of its checks hold."""

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows in one snapshot; a missing row has revision 0."""

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Read up to `limit` rows with a key prefix, in key order.

        Only keys greater than `after` are returned.
        """


class ObjectsPort(Protocol):
    """Object store.

    Calls raise StoreUnavailable or StoreAnswerLost.
    """

    async def put(self, name: str, data: bytes) -> None:
        """Write an object; writing the same bytes again has no effect."""

    async def get(self, name: str) -> bytes:
        """Read an object, or raise ObjectNotFound."""


class MembershipPort(Protocol):
    """Membership list of hosts and endpoints, which may be out of date.

    Calls raise StoreUnavailable.
    """

    async def members(self) -> Members:
        """Read the membership list."""


class WeightsPort(Protocol):
    """Store of model weights, rate-limited.

    Calls raise StoreUnavailable.
    """

    async def newest(self, model: str) -> int:
        """Return the newest stored version of a model, 0 if there is none."""


class EnginePort(Protocol):
    """Client of one model engine.

    Calls raise EndpointError.
    """

    def generate(
        self, request: Generate
    ) -> AsyncIterator[TokenEvent | DoneEvent]:
        """Stream tokens and finally exactly one DoneEvent, or raise."""

    async def cancel(self, request_id: str) -> None:
        """Stop a generation."""

    async def load(self) -> LoadReport:
        """Read the load report, which may be out of date."""

    async def cache_events(self, after: int) -> CacheEvents:
        """Read the cache events after a sequence number."""

    async def order(self, order: EngineOrder) -> EngineState:
        """Send an order; the engine may refuse an outdated fencing token."""

    async def state(self) -> EngineState:
        """Read the model, version and adapters that the engine runs."""

    async def export_kv(self, request_id: str) -> bytes:
        """Export the KV cache of a generation."""

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Import the KV cache of a generation."""


class ServicePort(Protocol):
    """Client of one service that is not a model engine.

    Calls raise EndpointError.
    """

    async def call(
        self,
        request: ServiceCall,
        timeout_s: float,
        fresh_connection: bool = False,
    ) -> ServiceAnswer:
        """Call the service and return a complete answer to this request.

        `fresh_connection` forbids the use of an idle connection.
        """

    async def load(self) -> LoadReport:
        """Read the load report, which may be out of date."""
