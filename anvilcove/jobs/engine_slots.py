"""Slots of the engines that this daemon's batch jobs share."""

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict, deque

from loguru import logger
from msgspec import Struct

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.item_moves import (
    RunningEngine,
    RunningItem,
    slow_moves,
)
from anvilcove.decisions.item_placement import EngineSlotView, choose_engine
from anvilcove.ports.engines import EngineLoad
from anvilcove.state.clock import Clock

# Waiting items look again after this time, for engines that have become
# usable without a slot being given back.
LOOK_S = 0.05
# Times between events whose median is an engine's pace.
MEASURED_GAPS = 9
# A longer time between events is a load of weights, which stops all runs.
PAUSE_S = 0.6
# Time after which an engine that was ordered to load is tried again; its
# announcement comes up to two seconds later.
LOAD_S = 0.95
# An engine that refused an item is left out for this long; while it loads a
# version it refuses for about a second.
REFUSED_S = 0.15
FAILED_S = 0.8
LONGEST_OUT_S = 6.0
REMEMBERED_GROUPS = 2_000


class EngineNeed(Struct):
    """What an item asks of an engine."""

    service: str
    model: str
    min_version: int
    group: str
    excluded: set[str]


class RunHandle:
    """A running item, which may be told to go on elsewhere."""

    __slots__ = (
        'item_id',
        'endpoint',
        'events',
        'moves',
        'moved',
        'timeout',
    )

    def __init__(
        self, item_id: str, endpoint: str, events: int, moves: int
    ) -> None:
        """Start with what earlier runs of the item have made."""
        self.item_id = item_id
        self.endpoint = endpoint
        self.events = events
        self.moves = moves
        self.moved = False
        # The running wait for the next event.
        self.timeout: asyncio.Timeout | None = None

    def move(self) -> None:
        """End the run; its text goes on at another engine."""
        self.moved = True
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


class EngineRecord:
    """What this daemon has learned of one engine."""

    __slots__ = (
        'in_flight',
        'others',
        'gaps_s',
        'out_until_s',
        'loading_until_s',
        'failures',
        'versions',
    )

    def __init__(self) -> None:
        """Start without knowledge."""
        self.in_flight = 0
        self.others = 0
        # Times between events; their median ignores the pauses of loads.
        self.gaps_s: deque[float] = deque(maxlen=MEASURED_GAPS)
        self.loading_until_s = float('-inf')
        self.out_until_s = 0.0
        self.failures = 0
        # Versions that its answers have named, by model.
        self.versions: dict[str, int] = {}

    def event_s(self) -> float:
        """Return the median time between events, 0 while not measured."""
        if len(self.gaps_s) < MEASURED_GAPS // 2:
            return 0.0
        return sorted(self.gaps_s)[len(self.gaps_s) // 2]


class EngineSlots:
    """Give out slots to waiting items, the most urgent first."""

    __slots__ = (
        'registry',
        '_clock',
        '_rng',
        '_records',
        '_waiting',
        '_sequence',
        '_engine_by_group',
        '_runs',
    )

    def __init__(
        self, registry: EndpointRegistry, clock: Clock, rng: random.Random
    ) -> None:
        """Start with every slot free."""
        self.registry = registry
        self._clock = clock
        self._rng = rng
        self._records: dict[str, EngineRecord] = {}
        self._waiting: list[
            tuple[
                tuple[float, ...],
                int,
                EngineNeed,
                'asyncio.Future[EndpointEntry]',
            ]
        ] = []
        self._sequence = itertools.count()
        self._engine_by_group: OrderedDict[str, str] = OrderedDict()
        self._runs: dict[str, RunHandle] = {}

    async def run(self) -> None:
        """Serve waiting items for ever."""
        while True:
            self.serve()
            self._move_stragglers()
            await self._clock.sleep(LOOK_S)

    async def take(
        self, need: EngineNeed, rank: tuple[float, ...]
    ) -> EndpointEntry:
        """Wait for a slot; `give_back` must follow. Lower ranks go first."""
        entry = None if self._waiting else self._try(need)
        if entry is not None:
            return entry
        future: asyncio.Future[EndpointEntry] = (
            asyncio.get_running_loop().create_future()
        )
        item = (rank, next(self._sequence), need, future)
        heapq.heappush(self._waiting, item)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.give_back(future.result().endpoint)
            raise

    def in_flight(self, endpoint: str) -> int:
        """Return the items that run at an engine."""
        record = self._records.get(endpoint)
        return record.in_flight if record else 0

    def give_back(self, endpoint: str) -> None:
        """Free a slot."""
        self._record(endpoint).in_flight -= 1
        self.serve()

    def serve(self) -> None:
        """Give free slots to waiting items."""
        left = []
        blocked: set[tuple[str, str, int]] = set()
        while self._waiting:
            item = heapq.heappop(self._waiting)
            _, _, need, future = item
            if future.done():
                continue
            key = (need.service, need.model, need.min_version)
            entry = None
            if key not in blocked or need.excluded:
                entry = self._try(need)
            if entry is not None:
                future.set_result(entry)
                continue
            if not need.excluded:
                blocked.add(key)
            left.append(item)
        for item in left:
            heapq.heappush(self._waiting, item)

    def started(
        self, endpoint: str, model: str, version: int, load: EngineLoad | None
    ) -> None:
        """Learn from the start of an answer."""
        record = self._record(endpoint)
        record.versions[model] = version
        if load is not None:
            busy = load.running + load.waiting
            record.others = max(busy - record.in_flight, 0)

    def event_took(self, endpoint: str, seconds: float) -> None:
        """Learn the time between two events; pauses of loads don't count."""
        if seconds < PAUSE_S:
            self._record(endpoint).gaps_s.append(seconds)

    def run_started(self, handle: RunHandle) -> None:
        """Know a run, so that it can be moved."""
        self._runs[handle.item_id] = handle

    def run_ended(self, handle: RunHandle) -> None:
        """Forget a run."""
        if self._runs.get(handle.item_id) is handle:
            del self._runs[handle.item_id]

    def load_ordered(self, endpoint: str, model: str, version: int) -> None:
        """Use an engine again, with its new weights, when it has loaded."""
        record = self._record(endpoint)
        record.loading_until_s = self._clock.now() + LOAD_S
        record.versions[model] = max(record.versions.get(model, 0), version)

    def _move_stragglers(self) -> None:
        if not self._runs:
            return
        for service in {e.service for e in self._entries_with_runs()}:
            moves = slow_moves(
                self._running_engines(service), self._running_items()
            )
            for item in moves:
                logger.bind(
                    request=item.item_id,
                    endpoint=item.endpoint,
                    events=item.events,
                    pace=round(self.pace(item.endpoint), 2),
                ).info('item moved off a slow engine')
                self._runs[item.item_id].move()

    def _entries_with_runs(self) -> list[EndpointEntry]:
        by_endpoint = self.registry.entry_by_endpoint
        return [
            by_endpoint[handle.endpoint]
            for handle in self._runs.values()
            if handle.endpoint in by_endpoint
        ]

    def _running_engines(self, service: str) -> list[RunningEngine]:
        now = self._clock.now()
        found = []
        for entry in self.registry.entry_by_endpoint.values():
            if entry.service != service or entry.draining:
                continue
            record = self._record(entry.endpoint)
            out_s = max(record.out_until_s, record.loading_until_s)
            found.append(
                RunningEngine(
                    endpoint=entry.endpoint,
                    slots=entry.slots,
                    in_flight=record.in_flight,
                    pace=self.pace(entry.endpoint),
                    usable=out_s <= now,
                )
            )
        return found

    def _running_items(self) -> list[RunningItem]:
        return [
            RunningItem(
                handle.item_id, handle.endpoint, handle.events, handle.moves
            )
            for handle in self._runs.values()
            if handle.events and not handle.moved
        ]

    def succeeded(self, endpoint: str) -> None:
        """Note a whole generation."""
        self._record(endpoint).failures = 0

    def refused(self, endpoint: str) -> None:
        """Leave an engine out that ran nothing of an item."""
        record = self._record(endpoint)
        until_s = self._clock.now() + REFUSED_S
        record.out_until_s = max(record.out_until_s, until_s)

    def failed(self, endpoint: str) -> None:
        """Leave an engine out that broke off, longer each time."""
        record = self._record(endpoint)
        now = self._clock.now()
        if record.out_until_s > now + REFUSED_S:
            return
        out_s = min(FAILED_S * 2.0**record.failures, LONGEST_OUT_S)
        record.failures += 1
        record.out_until_s = now + out_s
        logger.bind(
            endpoint=endpoint, for_s=out_s, failures=record.failures
        ).info('engine ejected')

    def pace(self, endpoint: str) -> float:
        """Return the time per event of an engine over the pool's median."""
        record = self._records.get(endpoint)
        own_s = record.event_s() if record else 0.0
        known = sorted(
            other.event_s()
            for name, other in self._records.items()
            if name in self.registry.entry_by_endpoint and other.event_s()
        )
        if not own_s or not known:
            return 1.0
        return own_s / known[(len(known) - 1) // 2]

    def _try(self, need: EngineNeed) -> EndpointEntry | None:
        views = [
            self._view(entry, need)
            for entry in self.registry.entry_by_endpoint.values()
            if self._usable(entry, need)
        ]
        chosen = choose_engine(views, self._rng)
        if chosen is None:
            return None
        self._record(chosen.endpoint).in_flight += 1
        self._remember_group(need.group, chosen.endpoint)
        return self.registry.entry_by_endpoint[chosen.endpoint]

    def _usable(self, entry: EndpointEntry, need: EngineNeed) -> bool:
        if entry.service != need.service or entry.endpoint in need.excluded:
            return False
        state = self.registry.view.by_id.get(entry.endpoint)
        if state is None or state.leaving:
            return False
        record = self._record(entry.endpoint)
        now = self._clock.now()
        if max(record.out_until_s, record.loading_until_s) > now:
            return False
        version = max(
            entry.version_by_model.get(need.model, 0),
            record.versions.get(need.model, 0),
        )
        # An engine that does not hold the model has no version of it.
        return version >= max(need.min_version, 1)

    def _view(self, entry: EndpointEntry, need: EngineNeed) -> EngineSlotView:
        record = self._record(entry.endpoint)
        return EngineSlotView(
            endpoint=entry.endpoint,
            slots=entry.slots,
            in_flight=record.in_flight,
            others=record.others,
            pace=self.pace(entry.endpoint),
            holds_group=(
                self._engine_by_group.get(need.group) == entry.endpoint
            ),
        )

    def _record(self, endpoint: str) -> EngineRecord:
        record = self._records.get(endpoint)
        if record is None:
            record = self._records[endpoint] = EngineRecord()
        return record

    def _remember_group(self, group: str, endpoint: str) -> None:
        self._engine_by_group[group] = endpoint
        self._engine_by_group.move_to_end(group)
        if len(self._engine_by_group) > REMEMBERED_GROUPS:
            self._engine_by_group.popitem(last=False)
