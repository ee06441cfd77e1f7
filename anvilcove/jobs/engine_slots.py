"""Slots of the engines that this daemon's batch jobs share."""

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict

from loguru import logger
from msgspec import Struct

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.item_moves import (
    RunningEngine,
    RunningItem,
    slow_moves,
)
from anvilcove.decisions.item_placement import (
    UNKNOWN_PACE,
    EngineSlotView,
    choose_engine,
)
from anvilcove.jobs.engine_records import EngineRecords
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

# Waiting items look again after this time, for engines that have become
# usable without a slot being given back.
LOOK_S = 0.05
REMEMBERED_GROUPS = 2_000


class EngineNeed(Struct):
    """What an item asks of an engine.

    `excluded` holds the engines at which the item has failed.
    """

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


class EngineSlots:
    """Give out slots to waiting items, the most urgent first."""

    __slots__ = (
        'registry',
        '_clock',
        '_rng',
        'records',
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
        self.records = EngineRecords(registry, clock)
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
            self.records.prune()
            await self._clock.sleep(LOOK_S)

    async def take(
        self, need: EngineNeed, rank: tuple[float, ...]
    ) -> EndpointEntry:
        """Wait for a slot; `give_back` must follow. Lower ranks go first."""
        if not self._waiting:
            entry = self._try(need, self.records.pace_by_endpoint())
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

    def count(self, service: str) -> int:
        """Return the number of engines of a service."""
        return sum(
            entry.service == service
            for entry in self.registry.entry_by_endpoint.values()
        )

    def in_flight(self, endpoint: str) -> int:
        """Return the items that run at an engine."""
        return self.records.of(endpoint).in_flight

    def load_ordered(self, endpoint: str, model: str, version: int) -> None:
        """Use an engine again, with its new weights, when it has loaded."""
        self.records.load_ordered(endpoint, model, version)

    def give_back(self, endpoint: str) -> None:
        """Free a slot."""
        self.records.of(endpoint).in_flight -= 1
        self.serve()

    def serve(self) -> None:
        """Give free slots to waiting items."""
        if not self._waiting:
            return
        paces = self.records.pace_by_endpoint()
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
                entry = self._try(need, paces)
            if entry is not None:
                future.set_result(entry)
                continue
            if not need.excluded:
                blocked.add(key)
            left.append(item)
        for item in left:
            heapq.heappush(self._waiting, item)

    def run_started(self, handle: RunHandle) -> None:
        """Know a run, so that it can be moved."""
        self._runs[handle.item_id] = handle

    def run_ended(self, handle: RunHandle) -> None:
        """Forget a run."""
        if self._runs.get(handle.item_id) is handle:
            del self._runs[handle.item_id]

    def _move_stragglers(self) -> None:
        if not self._runs:
            return
        paces = self.records.pace_by_endpoint()
        for service in self._services_with_runs():
            moves = slow_moves(
                self._running_engines(service, paces), self._running_items()
            )
            for item in moves:
                logger.bind(
                    request=item.item_id,
                    endpoint=item.endpoint,
                    events=item.events,
                    pace=round(paces.get(item.endpoint, UNKNOWN_PACE), 2),
                ).log(DECISION, 'item moved off a slow engine')
                self._runs[item.item_id].move()

    def _services_with_runs(self) -> set[str]:
        by_endpoint = self.registry.entry_by_endpoint
        return {
            by_endpoint[handle.endpoint].service
            for handle in self._runs.values()
            if handle.endpoint in by_endpoint
        }

    def _running_engines(
        self, service: str, paces: dict[str, float]
    ) -> list[RunningEngine]:
        now = self._clock.now()
        return [
            RunningEngine(
                endpoint=entry.endpoint,
                slots=entry.slots,
                in_flight=self.in_flight(entry.endpoint),
                pace=paces.get(entry.endpoint, UNKNOWN_PACE),
                usable=self.records.out_until_s(entry.endpoint) <= now,
            )
            for entry in self.registry.entry_by_endpoint.values()
            if entry.service == service and not entry.draining
        ]

    def _running_items(self) -> list[RunningItem]:
        return [
            RunningItem(
                handle.item_id, handle.endpoint, handle.events, handle.moves
            )
            for handle in self._runs.values()
            if handle.events and not handle.moved
        ]

    def _try(
        self, need: EngineNeed, paces: dict[str, float]
    ) -> EndpointEntry | None:
        views = [
            self._view(entry, need, paces)
            for entry in self.registry.entry_by_endpoint.values()
            if self._usable(entry, need)
        ]
        chosen = choose_engine(views, self._rng)
        if chosen is None:
            return None
        self.records.of(chosen.endpoint).in_flight += 1
        self._remember_group(need.group, chosen.endpoint)
        return self.registry.entry_by_endpoint[chosen.endpoint]

    def _usable(self, entry: EndpointEntry, need: EngineNeed) -> bool:
        if entry.service != need.service or entry.endpoint in need.excluded:
            return False
        state = self.registry.view.by_id.get(entry.endpoint)
        if state is None or state.leaving:
            return False
        if self.records.out_until_s(entry.endpoint) > self._clock.now():
            return False
        # An engine that does not hold the model has no version of it.
        wanted = max(need.min_version, 1)
        return self.records.version(entry, need.model) >= wanted

    def _view(
        self, entry: EndpointEntry, need: EngineNeed, paces: dict[str, float]
    ) -> EngineSlotView:
        record = self.records.of(entry.endpoint)
        return EngineSlotView(
            endpoint=entry.endpoint,
            slots=entry.slots,
            in_flight=record.in_flight,
            others=record.others,
            pace=paces.get(entry.endpoint, UNKNOWN_PACE),
            holds_group=(
                self._engine_by_group.get(need.group) == entry.endpoint
            ),
        )

    def _remember_group(self, group: str, endpoint: str) -> None:
        self._engine_by_group[group] = endpoint
        self._engine_by_group.move_to_end(group)
        if len(self._engine_by_group) > REMEMBERED_GROUPS:
            self._engine_by_group.popitem(last=False)
