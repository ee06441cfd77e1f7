"""In-memory implementations of the engine and server ports."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from anvilcove.ports.engines import (
    ACCEPTED,
    ALREADY_LOADED,
    BUSY,
    EngineLoad,
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
from anvilcove.ports.reports import NO_REPORT, EndpointReport
from anvilcove.ports.servers import CallerRequest, ServerAnswer
from anvilcove.ports.streams import StreamAnswer, StreamPiece
from anvilcove.standins.memory_crashes import MemoryCrashes
from anvilcove.standins.memory_run_faults import (
    EndpointFault,
    RunFailed,
    RunFault,
    RunFaults,
)

# Period of the comments of a stalled stream.
COMMENT_PERIOD_S = 0.5
EVENT_PERIOD_S = 0.04
VERSION_LOAD_TIME_S = 0.9
SERVICE_TIME_S = 0.03
HANG_S = 3600.0


class MemoryEngine:
    """Simulated engine whose generations have `events` token events."""

    def __init__(self, address: str, slots: int = 12) -> None:
        """Create an engine with version 1 of its model."""
        self.address = address
        self.slots = slots
        self.events = 6
        self.version = 1
        self.order_count = 0
        self.loading = False
        self.running = 0
        self.refused = 0
        self.slowdown = 1.0
        # Events of the generations of items that have other than `events`.
        self.events_by_item: dict[str, int] = {}
        # Time of work relative to its usual time at a time of the loop; its
        # answers name it. None: they name no load.
        self.slowness: Callable[[float], float] | None = None
        self.unreachable = False
        # Number of events after which the generation of an item fails, once.
        self.break_after: dict[str, int] = {}
        self.broken: set[str] = set()
        # Remaining failures by item.
        self.failing: dict[str, int] = {}
        # Errors by item that end the connection of its next runs, and the
        # number of events before.
        self.connection_errors: dict[str, tuple[list[OSError], int]] = {}
        # Fault of the runs of an item, by its path, and of the engine's runs.
        self.fault_by_path: dict[str, RunFault] = {}
        self.fault: EndpointFault | None = None
        # Whether every item fails.
        self.fails_all_items = False
        self.rejected: set[str] = set()
        self.order_delay_s: float = 0.0
        # Item of each generation and the event number that it resumed after.
        self.runs: list[tuple[str, int]] = []
        self.run_at_s: list[float] = []
        # What it says about itself in each answer.
        self.report = NO_REPORT
        self.orders: list[tuple[float, VersionOrder]] = []

    def accept_order(self, order: VersionOrder) -> str:
        """Start loading a version; return ACCEPTED, BUSY or ALREADY_LOADED."""
        if self.loading or order.order_count != self.order_count:
            return BUSY
        if order.version <= self.version:
            return ALREADY_LOADED
        self.order_count += 1
        self.loading = True
        asyncio.get_running_loop().call_later(
            VERSION_LOAD_TIME_S, self._loaded, order.version
        )
        return ACCEPTED

    def fails_next_run(self, item: str) -> bool:
        """Count a run of an item; tell whether it fails at once."""
        if self.failing.get(item, 0):
            self.failing[item] -= 1
            return True
        return self.fails_all_items

    def next_fault(self, path: str) -> RunFault | None:
        """Return the fault of the next run, of the item of this path."""
        fault = self.fault_by_path.get(path)
        if fault is None and self.fault is not None:
            return self.fault.next_run()
        return fault

    def event_period_s(self) -> float:
        """Return the time that the next event takes."""
        slowness = self.slowness or (lambda now: 1.0)
        now = asyncio.get_running_loop().time()
        return EVENT_PERIOD_S * self.slowdown * slowness(now)

    def load(self) -> EngineLoad | None:
        """Return the load that its answers name."""
        if self.slowness is None:
            return None
        slowness = self.slowness(asyncio.get_running_loop().time())
        return EngineLoad(self.running, 0, self.slots, slowness, True)

    def _loaded(self, version: int) -> None:
        self.version = version
        self.loading = False


async def _strike(fault: RunFault | None, events: int) -> None:
    """Let a run fail behind this number of events if its fault says so."""
    if fault is None:
        return
    try:
        await fault(events)
    except RunFailed as error:
        raise ItemFailed('failed by the stand-in') from error


class MemoryEngines:
    """Engine client that looks up simulated engines by address."""

    def __init__(
        self, engines: list[MemoryEngine], crashes: MemoryCrashes
    ) -> None:
        """Index the engines by address."""
        self.by_address = {engine.address: engine for engine in engines}
        self.crashes = crashes
        # Address of the engine that made an event last, by item and number.
        self.made_by: dict[tuple[str, int], str] = {}

    async def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation, subject to the faults of its engine."""
        engine = self.by_address[address]
        if engine.unreachable:
            await asyncio.sleep(HANG_S)
        self.crashes.connect(address)
        item = generation.item_id
        if engine.loading or engine.running >= engine.slots:
            engine.refused += 1
            raise EndpointNotRun('refused', overloaded=True)
        if item in engine.rejected:
            raise ItemRejected(item)
        engine.runs.append((item, generation.after))
        engine.run_at_s.append(asyncio.get_running_loop().time())
        if engine.fails_next_run(item):
            raise ItemFailed(item)
        fault = engine.next_fault(generation.path)
        engine.running += 1
        try:
            await self.crashes.begin(address, generation.body)
            await _strike(fault, generation.after)
            yield GenerationStart(engine.version, engine.load(), engine.report)
            last = engine.events_by_item.get(item, engine.events)
            for number in range(generation.after + 1, last + 1):
                await self.crashes.work(address, engine.event_period_s())
                await _strike(fault, number - 1)
                while engine.loading:
                    await asyncio.sleep(EVENT_PERIOD_S)
                errors, events = engine.connection_errors.get(item, ([], 0))
                if errors and number > events:
                    raise errors.pop()
                break_at = engine.break_after.get(item)
                if (
                    break_at is not None
                    and number > break_at
                    and (item not in engine.broken)
                ):
                    engine.broken.add(item)
                    raise EndpointCrashed('broken off by the test')
                self.made_by[item, number] = address
                yield TokenEvent(number, f'{item}:{number}', engine.version)
            yield GenerationEnd(last)
        finally:
            engine.running -= 1

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Send an order to an engine.

        With `order_delay_s` the order is carried out late and not answered.
        """
        engine = self.by_address[address]
        loop = asyncio.get_running_loop()
        engine.orders.append((loop.time(), order))
        if engine.order_delay_s:
            loop.call_later(engine.order_delay_s, engine.accept_order, order)
            await asyncio.sleep(HANG_S)
        return engine.accept_order(order)

    async def report(self, address: str) -> EngineReport:
        """Return the loaded version and order count of an engine."""
        engine = self.by_address[address]
        if engine.unreachable:
            raise EndpointFailed('dark')
        return EngineReport(
            {'m': engine.version}, engine.loading, engine.order_count
        )


class MemoryServers:
    """Client of simulated services that echo the request body."""

    def __init__(self, crashes: MemoryCrashes) -> None:
        """Create a client of services without faults."""
        self.crashes = crashes
        self.work_s = SERVICE_TIME_S
        self.silent: set[str] = set()
        # Remaining failures by request identifier.
        self.failing: dict[str, int] = {}
        # Errors by request identifier that end the connection of its next
        # sends.
        self.connection_errors: dict[str, list[OSError]] = {}
        self.refusing: set[str] = set()
        # Services that drop the connection after running the request.
        self.breaking: set[str] = set()
        self.faults = RunFaults()
        # Services that answer with a failure without beginning a run.
        self.failing_at_once: set[str] = set()
        # Services that fail every n-th of their requests, with n.
        self.failing_every: dict[str, int] = {}
        self.work_by_address: dict[str, float] = {}
        # What services say about themselves in each answer.
        self.report_by_address: dict[str, EndpointReport] = {}
        # Time of each run, in the order of `runs`.
        self.run_at_s: list[float] = []
        # Address and request identifier of each request that ran.
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
        """Echo the body with a stamp that contains the request identifier."""
        report = self.report_by_address.get(address, NO_REPORT)
        if address in self.refusing:
            raise _reported(EndpointNotRun('refused', overloaded=True), report)
        self.crashes.connect(address)
        self.runs.append((address, request.request_id))
        self.run_at_s.append(asyncio.get_running_loop().time())
        if address in self.failing_at_once:
            return _failed_answer()
        try:
            if address in self.silent:
                await asyncio.sleep(HANG_S)
            await self.faults.strike(address, request.body)
            await self.crashes.begin(address, request.body)
            await self.crashes.work(
                address, self.work_by_address.get(address, self.work_s)
            )
        except RunFailed:
            return _failed_answer(report)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        every = self.failing_every.get(address, 0)
        count = sum(run_address == address for run_address, _ in self.runs)
        if every and count % every == 0:
            return _failed_answer(report)
        errors = self.connection_errors.get(request.request_id)
        if errors:
            raise errors.pop()
        if address in self.breaking:
            raise EndpointCrashed('broken off by the test')
        remaining_failures = self.failing.get(request.request_id, 0)
        if remaining_failures:
            self.failing[request.request_id] = remaining_failures - 1
            return _failed_answer()
        stamp = f'stamp-{request.request_id}'
        return ServerAnswer(200, [], request.body, stamp=stamp, report=report)


def _failed_answer(report: EndpointReport = NO_REPORT) -> ServerAnswer:
    return ServerAnswer(
        500, [], b'', stamp='failed', run_failed=True, report=report
    )


def _reported(error: EndpointNotRun, report: EndpointReport) -> EndpointNotRun:
    """Return an error of an answer that carries a report."""
    error.report = report
    return error


async def _no_pieces() -> AsyncIterator[StreamPiece]:
    return
    yield


class MemoryStreams:
    """Client of simulated services that stream `events` events."""

    def __init__(self, crashes: MemoryCrashes) -> None:
        """Create a client of services without faults."""
        self.crashes = crashes
        self.events = 6
        # Number of events after which the next stream of any service fails;
        # later streams of that service fail at the same event.
        self.break_first: int | None = None
        # Number of events after which each stream of a service fails.
        self.break_after: dict[str, int] = {}
        self.faults = RunFaults()
        # Number of events after which each request's first stream fails.
        self.break_each: int | None = None
        # Address of the service that made an event, by request identifier
        # and number.
        self.made_by: dict[tuple[str, int], str] = {}
        # Number of events after which the first stream sends only comments.
        self.stall_first: int | None = None
        # The same for all streams.
        self.stall_all: int | None = None
        self.event_period_s = EVENT_PERIOD_S
        self.runs: list[tuple[str, int | None]] = []
        # Services that run streams and send nothing, and the number of further
        # streams that any service does not answer.
        self.silent: set[str] = set()
        self.silent_count = 0
        # What services say about themselves in each answer.
        self.report_by_address: dict[str, EndpointReport] = {}

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
        """Stream the events that follow event number `after`."""
        self.crashes.connect(address)
        self.runs.append((address, after))
        if self.break_first is not None:
            self.break_after[address] = self.break_first
            self.break_first = None
        await self.crashes.begin(address, request.body)
        self.silent_count -= 1
        if address in self.silent or self.silent_count >= 0:
            await asyncio.sleep(HANG_S)
        fault = self.faults.next_run(address, request.body)
        report = self.report_by_address.get(address, NO_REPORT)
        try:
            await fault(after or 0)
        except RunFailed:
            yield StreamAnswer(500, [], _no_pieces(), report)
            return
        yield StreamAnswer(
            200,
            [],
            self._pieces(address, after or 0, request.request_id, fault),
            report,
        )

    async def _pieces(
        self,
        address: str,
        after: int,
        request_id: str,
        fault: RunFault,
    ) -> AsyncIterator[StreamPiece]:
        stall_after, self.stall_first = self.stall_first, None
        if stall_after is None:
            stall_after = self.stall_all
        breaks_at = self.break_after.get(address, self.events)
        if self.break_each is not None and (request_id, 1) not in self.made_by:
            breaks_at = min(breaks_at, self.break_each)
        for number in range(after + 1, self.events + 1):
            while stall_after is not None and number > stall_after:
                await self.crashes.work(address, COMMENT_PERIOD_S)
                yield StreamPiece(b': still here\n\n')
            await self.crashes.work(address, self.event_period_s)
            await fault(number - 1)
            if number > breaks_at:
                raise EndpointCrashed('broken off by the test')
            self.made_by[request_id, number] = address
            data = f'id: {number}\ndata: {number}\n\n'.encode()
            yield StreamPiece(data, number)
