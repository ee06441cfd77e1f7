"""Slots of the engines that this daemon's batch jobs share."""

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict

from loguru import logger
from msgspec import Struct

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.item_placement import EngineSlotView, choose_engine
from anvilcove.ports.engines import EngineLoad
from anvilcove.state.clock import Clock

# Waiting items look again after this time, for engines that have become
# usable without a slot being given back.
LOOK_S = 0.05
# Weight of a new measurement of an engine's pace.
PACE_STEP = 0.2
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


class EngineRecord:
    """What this daemon has learned of one engine."""

    __slots__ = (
        'in_flight',
        'others',
        'event_s',
        'out_until_s',
        'failures',
        'versions',
    )

    def __init__(self) -> None:
        """Start without knowledge."""
        self.in_flight = 0
        self.others = 0
        # Mean time between events, 0 while not measured.
        self.event_s = 0.0
        self.out_until_s = 0.0
        self.failures = 0
        # Versions that its answers have named, by model.
        self.versions: dict[str, int] = {}


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

    async def run(self) -> None:
        """Serve waiting items for ever."""
        while True:
            self.serve()
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
        """Learn the time between two events."""
        record = self._record(endpoint)
        known = record.event_s or seconds
        record.event_s = known + PACE_STEP * (seconds - known)

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
        if record is None or not record.event_s:
            return 1.0
        return record.event_s / self._median_event_s()

    def _median_event_s(self) -> float:
        known = sorted(
            record.event_s
            for endpoint, record in self._records.items()
            if record.event_s and endpoint in self.registry.entry_by_endpoint
        )
        return known[len(known) // 2] if known else 1.0

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
        if record.out_until_s > self._clock.now():
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
