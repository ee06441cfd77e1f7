"""Engines and services in memory behind their ports, with faults."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anvilcove.ports.engines import (
    ACCEPTED,
    ALREADY_LOADED,
    BUSY,
    EngineReport,
    Generation,
    GenerationEnd,
    GenerationEvent,
    GenerationStart,
    ItemFailed,
    ItemRejected,
    TokenEvent,
    VersionOrder,
)
from anvilcove.ports.errors import (
    EndpointCrashed,
    EndpointFailed,
    EndpointNotRun,
)
from anvilcove.ports.servers import CallerRequest, ServerAnswer
from anvilcove.ports.streams import StreamAnswer, StreamPiece

EVENT_S = 0.04
LOAD_S = 0.9
WORK_S = 0.03
SILENCE_S = 3600.0


class MemoryEngine:
    """One engine; `events` is the length of every generation."""

    def __init__(self, address: str, slots: int = 12) -> None:
        """Start with version 1 of every model."""
        self.address = address
        self.slots = slots
        self.events = 6
        self.version = 1
        self.order_count = 0
        self.loading = False
        self.running = 0
        self.refused = 0
        self.pace = 1.0
        self.dark = False
        # Generations break off after this many events, once each.
        self.break_after: dict[str, int] = {}
        self.broken: set[str] = set()
        self.failing: dict[str, int] = {}
        # Every item is answered with a failure, whatever it is.
        self.faulty = False
        self.rejected: set[str] = set()
        self.late_orders: float = 0.0
        self.runs: list[tuple[str, int]] = []
        self.orders: list[tuple[float, VersionOrder]] = []

    def take_order(self, order: VersionOrder) -> str:
        """Start to load a version."""
        if self.loading or order.order_count != self.order_count:
            return BUSY
        if order.version <= self.version:
            return ALREADY_LOADED
        self.order_count += 1
        self.loading = True
        asyncio.get_running_loop().call_later(
            LOAD_S, self._loaded, order.version
        )
        return ACCEPTED

    def _loaded(self, version: int) -> None:
        self.version = version
        self.loading = False


class MemoryEngines:
    """Client of the engines of a test, by address."""

    def __init__(self, engines: list[MemoryEngine]) -> None:
        """Keep the engines."""
        self.by_address = {engine.address: engine for engine in engines}

    async def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation with the faults of its engine."""
        engine = self.by_address[address]
        if engine.dark:
            await asyncio.sleep(SILENCE_S)
        item = generation.item_id
        if engine.loading or engine.running >= engine.slots:
            engine.refused += 1
            raise EndpointNotRun('refused', overloaded=True)
        if item in engine.rejected:
            raise ItemRejected(item)
        engine.runs.append((item, generation.after))
        if engine.failing.get(item, 0):
            engine.failing[item] -= 1
            raise ItemFailed(item)
        if engine.faulty:
            raise ItemFailed(item)
        engine.running += 1
        try:
            yield GenerationStart(engine.version)
            for number in range(generation.after + 1, engine.events + 1):
                await asyncio.sleep(EVENT_S * engine.pace)
                while engine.loading:
                    await asyncio.sleep(EVENT_S)
                cut = engine.break_after.get(item)
                if (
                    cut is not None
                    and number > cut
                    and (item not in engine.broken)
                ):
                    engine.broken.add(item)
                    raise EndpointCrashed('broken off by the test')
                yield TokenEvent(number, f'{item}:{number}', engine.version)
            yield GenerationEnd(engine.events)
        finally:
            engine.running -= 1

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Give an order, which may be carried out late without an answer."""
        engine = self.by_address[address]
        loop = asyncio.get_running_loop()
        engine.orders.append((loop.time(), order))
        if engine.late_orders:
            loop.call_later(engine.late_orders, engine.take_order, order)
            await asyncio.sleep(SILENCE_S)
        return engine.take_order(order)

    async def report(self, address: str) -> EngineReport:
        """Tell what an engine holds."""
        engine = self.by_address[address]
        if engine.dark:
            raise EndpointFailed('dark')
        return EngineReport(
            {'m': engine.version}, engine.loading, engine.order_count
        )


class MemoryServers:
    """Client of plain services; every request gets a stamp."""

    def __init__(self) -> None:
        """Start with healthy services."""
        self.work_s = WORK_S
        self.silent: set[str] = set()
        self.failing: dict[str, int] = {}
        self.refusing: set[str] = set()
        # Services that break the connection after they have begun to run.
        self.breaking: set[str] = set()
        # Services that fail each second, third, ... request.
        self.failing_every: dict[str, int] = {}
        self.work_by_address: dict[str, float] = {}
        self.runs: list[tuple[str, str]] = []
        self.cancelled = 0

    async def send(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
    ) -> ServerAnswer:
        """Answer with a stamp that names the request."""
        if address in self.refusing:
            raise EndpointNotRun('refused', overloaded=True)
        self.runs.append((address, request.request_id))
        try:
            if address in self.silent:
                await asyncio.sleep(SILENCE_S)
            await asyncio.sleep(self.work_by_address.get(address, self.work_s))
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        every = self.failing_every.get(address, 0)
        count = sum(where == address for where, _ in self.runs)
        if every and count % every == 0:
            return ServerAnswer(500, [], b'', stamp='failed')
        if address in self.breaking:
            raise EndpointCrashed('broken off by the test')
        left = self.failing.get(request.request_id, 0)
        if left:
            self.failing[request.request_id] = left - 1
            return ServerAnswer(500, [], b'', stamp='failed')
        stamp = f'stamp-{request.request_id}'
        return ServerAnswer(200, [], request.body, stamp=stamp)


class MemoryStreams:
    """Client of services that stream `events` events."""

    def __init__(self) -> None:
        """Start with healthy services."""
        self.events = 6
        # Events after which the first stream breaks off, wherever it runs.
        self.break_first: int | None = None
        # Services that break off after so many events.
        self.break_after: dict[str, int] = {}
        self.runs: list[tuple[str, int | None]] = []

    @asynccontextmanager
    async def open(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
        after: int | None,
    ) -> AsyncIterator[StreamAnswer]:
        """Answer with the events after a number."""
        self.runs.append((address, after))
        if self.break_first is not None:
            self.break_after[address] = self.break_first
            self.break_first = None
        yield StreamAnswer(200, [], self._pieces(address, after or 0))

    async def _pieces(
        self, address: str, after: int
    ) -> AsyncIterator[StreamPiece]:
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(EVENT_S)
            if number > self.break_after.get(address, self.events):
                raise EndpointCrashed('broken off by the test')
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            yield StreamPiece(data, number)
