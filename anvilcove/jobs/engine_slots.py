"""Assign the items of batch jobs to slots of engines."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Collection
from math import ceil
from statistics import median

from loguru import logger

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.permits import RatePermits
from anvilcove.control.share_hints import WorkspaceWeights
from anvilcove.decisions.failure_attribution import Run
from anvilcove.decisions.item_moves import (
    EngineUtilization,
    RunningItem,
    select_items_to_move,
)
from anvilcove.decisions.item_placement import (
    UNKNOWN_PACE,
    EngineSlotView,
    choose_engine,
)
from anvilcove.jobs.engine_ejections import EngineEjections
from anvilcove.jobs.engine_records import EngineRecords, relative_paces
from anvilcove.jobs.leaving_engines import LeavingEngines
from anvilcove.jobs.slot_queue import (
    EngineRequirements,
    NeedKey,
    SlotQueue,
    Waiter,
)
from anvilcove.state.clock import Clock
from anvilcove.state.endpoints import EndpointState
from anvilcove.telemetry.logs import DECISION

# Waiting items are retried this often, since engines also become usable
# without the release of a slot.
POLL_PERIOD_S = 0.05
# Permits are asked for the items of this time.
PERMIT_PERIOD_S = 0.1
MAX_REMEMBERED_GROUPS = 2_000
# Time for an event while no engine has been measured.
DEFAULT_INTERVAL_S = 0.02


class RunHandle:
    """Handle of a running item, to move it to another engine."""

    __slots__ = (
        'item_id',
        'requirements',
        'endpoint',
        'software',
        'run',
        'events',
        'moves',
        'move_requested',
        'timeout',
    )

    def __init__(
        self,
        item_id: str,
        requirements: EngineRequirements,
        entry: EndpointEntry,
        content: str,
        events: int,
        moves: int,
    ) -> None:
        """Start with the events and moves of earlier runs of the item.

        `content` is a hash of what the item runs.
        """
        self.item_id = item_id
        self.requirements = requirements
        self.endpoint = entry.endpoint
        self.software = entry.software
        self.run = Run(entry.endpoint, content)
        self.events = events
        self.moves = moves
        self.move_requested = False
        # Timeout of the pending wait for the next event.
        self.timeout: asyncio.Timeout | None = None

    def request_move(self) -> None:
        """End this run, so that the item continues at another engine."""
        self.move_requested = True
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


class EngineSlots:
    """Assign engine slots to waiting items in the order of their rank."""

    __slots__ = (
        'registry',
        '_clock',
        '_rng',
        'engine_records',
        'ejections',
        '_waiting',
        '_engine_by_group',
        '_runs',
        '_used_at_s_by_model',
        '_work_event',
        '_permits',
        '_shares',
        '_leaving',
    )

    def __init__(
        self,
        registry: EndpointRegistry,
        clock: Clock,
        rng: random.Random,
        permits: RatePermits,
        shares: WorkspaceWeights | None = None,
    ) -> None:
        """Start with all slots free; without `shares`, ranks decide."""
        self._shares = shares
        self._permits = permits
        self.registry = registry
        self._clock = clock
        self._rng = rng
        self.engine_records = EngineRecords(registry, clock)
        self.ejections = EngineEjections(registry, clock)
        self._leaving = LeavingEngines(registry, clock)
        self._waiting = SlotQueue()
        self._engine_by_group: OrderedDict[str, str] = OrderedDict()
        self._runs: dict[str, RunHandle] = {}
        # When an item of a model last held or waited for a slot.
        self._used_at_s_by_model: dict[str, float] = {}
        # Set when an item asks for a slot or begins to run.
        self._work_event = asyncio.Event()

    async def run(self) -> None:
        """Assign slots and move items off slow engines until cancelled."""
        while True:
            if not self._waiting and not self._runs:
                self._work_event.clear()
                await self._work_event.wait()
            self.assign_waiting()
            self._move_stragglers()
            self._leave_engines()
            self.engine_records.prune()
            self.ejections.prune()
            await self._clock.sleep(POLL_PERIOD_S)

    async def acquire(
        self, requirements: EngineRequirements, rank: tuple[float, ...]
    ) -> EndpointEntry | None:
        """Wait for a slot; lower ranks go first.

        The caller must call `release` afterwards. Return None if the item has
        to ask again, as its requirements may have changed.
        """
        self._used_at_s_by_model[requirements.model] = self._clock.now()
        self._work_event.set()
        if not self._has_to_wait(requirements):
            entry = self._try_assign(requirements, self._paces())
            if entry is not None:
                return entry
            self._note_engines(requirements)
        future: asyncio.Future[EndpointEntry | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.add(rank, requirements, future)
        if requirements.failing:
            self.assign_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            entry = None
            if future.done() and not future.cancelled():
                entry = future.result()
            if entry is not None:
                self.release(entry.endpoint, requirements)
            raise

    def ask_again(self) -> None:
        """Let all waiting items ask again; their routes have changed."""
        for future in self._waiting.take_all():
            future.set_result(None)

    def _has_to_wait(self, requirements: EngineRequirements) -> bool:
        """Tell whether others that wait may go before an item."""
        if requirements.failing:
            return bool(self._waiting)
        return self._waiting.awaits(requirements)

    def engine_count(self, services: Collection[str]) -> int:
        """Return the number of engines of services."""
        return sum(
            entry.service in services
            for entry in self.registry.entry_by_endpoint.values()
        )

    def sound_engines(self, services: Collection[str]) -> set[str]:
        """Return the engines of services that complete most of their runs."""
        return self._engines(services, sound=True)

    def unknown_engines(self, services: Collection[str]) -> set[str]:
        """Return the engines of services of which no run is known yet."""
        return self._engines(services, sound=None)

    def _engines(
        self, services: Collection[str], sound: bool | None
    ) -> set[str]:
        return {
            entry.endpoint
            for entry in self.registry.entry_by_endpoint.values()
            if entry.service in services
            and self.ejections.is_sound(entry.endpoint) is sound
        }

    def in_flight_count(self, endpoint: str) -> int:
        """Return the number of items of this daemon on an engine."""
        return self.engine_records.get_or_create(endpoint).in_flight

    def in_flight_by_model(self, endpoint: str) -> dict[str, int]:
        """Return the number of items of each model on an engine."""
        return self.engine_records.get_or_create(endpoint).in_flight_by_model

    def model_idle_s(self, model: str) -> float:
        """Return the time for which this daemon has run no item of a model.

        It is infinite if there was none.
        """
        if any(
            record.in_flight_by_model.get(model)
            for record in self.engine_records.values()
        ):
            return 0.0
        used_at_s = self._used_at_s_by_model.get(model, float('-inf'))
        return self._clock.now() - used_at_s

    def mark_loading(self, endpoint: str, model: str, version: int) -> None:
        """Skip an engine until it has probably loaded its new version."""
        self.engine_records.mark_loading(endpoint, model, version)

    def release(self, endpoint: str, requirements: EngineRequirements) -> None:
        """Free the slot of an item and assign it to a waiting one."""
        self.engine_records.get_or_create(endpoint).remove_item(
            requirements.model, requirements.long_item
        )
        self._used_at_s_by_model[requirements.model] = self._clock.now()
        self.assign_waiting()

    def assign_waiting(self) -> None:
        """Assign free slots to waiting items."""
        if not self._waiting:
            return
        paces = self._paces()
        now = self._clock.now()
        self._waiting.shares = (
            self._shares is not None and self._shares.enabled()
        )
        was_overloaded = self._waiting.overloaded
        unavailable: set[NeedKey] = set()
        while waiter := self._waiting.first(unavailable, now):
            entry = self._try_assign(waiter.requirements, paces)
            if entry is not None:
                waiter.future.set_result(entry)
                self._waiting.started(waiter, now, self._excess(waiter))
            else:
                unavailable.add(waiter.requirements.key())
                self._note_engines(waiter.requirements)
        if self._waiting.overloaded != was_overloaded:
            self._log_overload()

    def _excess(self, waiter: Waiter) -> float:
        """Return the excess of an item's workspace over all hosts."""
        if self._shares is None:
            return 1.0
        return self._shares.excess(waiter.requirements.workspace)

    def _note_engines(self, requirements: EngineRequirements) -> None:
        """Note whether an engine could run an item if it had a free slot."""
        if self._shares is None or not self._shares.enabled():
            return
        key = requirements.key()
        if self._usable_entries(requirements):
            self._waiting.unserved.discard(key)
        else:
            self._waiting.unserved.add(key)

    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the number of waiting items of each workspace."""
        return self._waiting.waiting_by_workspace()

    def _log_overload(self) -> None:
        overloaded = self._waiting.overloaded
        logger.bind(waiting=self.waiting_by_workspace()).log(
            DECISION,
            'shares decide between items: some will be late'
            if overloaded
            else 'ranks decide between items: all fit',
        )

    def register_run(self, handle: RunHandle) -> None:
        """Add a run that may be moved."""
        self._runs[handle.item_id] = handle
        self._work_event.set()

    def unregister_run(self, handle: RunHandle) -> None:
        """Remove a run that has ended."""
        if self._runs.get(handle.item_id) is handle:
            del self._runs[handle.item_id]

    def _paces(self) -> dict[str, float]:
        return relative_paces(self.engine_records.interval_by_endpoint())

    def _move_stragglers(self) -> None:
        if not self._runs:
            return
        now = self._clock.now()
        intervals = self.engine_records.interval_by_endpoint()
        handles_by_needs: dict[
            tuple[frozenset[str], str, int, str], list[RunHandle]
        ] = {}
        for handle in self._runs.values():
            if handle.events and not handle.move_requested:
                needs = handle.requirements
                key = (
                    frozenset(needs.services()),
                    needs.model,
                    needs.min_version,
                    handle.software,
                )
                handles_by_needs.setdefault(key, []).append(handle)
        for handles in handles_by_needs.values():
            engines = self._engine_utilizations(handles[0], intervals)
            moves = select_items_to_move(
                engines, [_running_item(handle, now) for handle in handles]
            )
            for item in moves:
                logger.bind(
                    request=item.item_id,
                    endpoint=item.endpoint,
                    events=item.events,
                    interval_ms=round(
                        intervals.get(item.endpoint, 0.0) * 1000, 1
                    ),
                    slowness=round(
                        self.engine_records.slowness(item.endpoint), 2
                    ),
                ).log(DECISION, 'item moved off a slow engine')
                self._runs[item.item_id].request_move()

    def _leave_engines(self) -> None:
        """Move items off engines that leave before the items end."""
        used = {handle.endpoint for handle in self._runs.values()}
        if not self._leaving.update(used):
            return
        for handle in self._runs.values():
            if handle.move_requested or not self._leaving.ends_now(
                handle.endpoint
            ):
                continue
            logger.bind(
                request=handle.item_id,
                endpoint=handle.endpoint,
                events=handle.events,
            ).log(DECISION, 'item moved off a leaving engine')
            handle.request_move()

    def _engine_utilizations(
        self, handle: RunHandle, intervals: dict[str, float]
    ) -> list[EngineUtilization]:
        """Return the engines at which the text of a run may go on."""
        requirements = handle.requirements
        paces = relative_paces(intervals)
        services = requirements.services()
        left_out = self._left_out(services)
        return [
            EngineUtilization(
                endpoint=entry.endpoint,
                slots=entry.slots,
                in_flight=self.in_flight_count(entry.endpoint),
                pace=paces.get(entry.endpoint, UNKNOWN_PACE),
                usable=entry.endpoint not in left_out
                and self._is_usable(entry, requirements),
                interval_s=intervals.get(entry.endpoint, 0.0),
                slow=self.engine_records.is_slow(
                    entry.endpoint, paces.get(entry.endpoint, UNKNOWN_PACE)
                ),
            )
            for entry in self.registry.entry_by_endpoint.values()
            if entry.service in services
            and entry.software == handle.software
            and not entry.draining
        ]

    def _try_assign(
        self, requirements: EngineRequirements, paces: dict[str, float]
    ) -> EndpointEntry | None:
        now = self._clock.now()
        usable = self._usable_entries(requirements)
        usable = self._of_software(usable, requirements, now)
        states = [self.registry.view.by_id[e.endpoint] for e in usable]
        permitted = [
            entry
            for entry, state in zip(usable, states, strict=True)
            if state.has_permit(now)
        ]
        for service in requirements.services():
            self._permits.refresh(service)
        chosen = self._choose(permitted, requirements, paces)
        if chosen is None:
            self._request_permits(usable, states)
            return None
        self.registry.view.by_id[chosen.endpoint].spend_permit()
        self.engine_records.get_or_create(chosen.endpoint).add_item(
            requirements.model, requirements.long_item
        )
        self._remember_group(requirements.group, chosen.endpoint)
        return self.registry.entry_by_endpoint[chosen.endpoint]

    def _choose(
        self,
        entries: list[EndpointEntry],
        requirements: EngineRequirements,
        paces: dict[str, float],
    ) -> EngineSlotView | None:
        """Choose an engine in use, or one left out if those are full.

        Of each, engines of the first service go before those of the next.
        """
        services = requirements.services()
        left_out = self._left_out(services)
        groups = [
            [
                entry
                for entry in entries
                if entry.service == service
                and (entry.endpoint in left_out) is unused
            ]
            for unused in (False, True)
            for service in services
        ]
        for group in groups:
            views = [self._view(e, requirements, paces) for e in group]
            chosen = choose_engine(views, self._rng, requirements.long_item)
            if chosen is not None:
                return chosen
        return None

    def _left_out(self, services: Collection[str]) -> set[str]:
        """Return the engines of services that are not to be used now."""
        return set().union(*map(self.ejections.left_out, services))

    def _usable_entries(
        self, requirements: EngineRequirements
    ) -> list[EndpointEntry]:
        """Return the engines that may run an item, full or not."""
        unusable: set[str] = set()
        for service in requirements.services():
            left_out = self.ejections.left_out(service)
            if left_out:
                unusable |= left_out - self.ejections.last_resort(service)
        return [
            entry
            for entry in self.registry.entry_by_endpoint.values()
            if entry.endpoint not in unusable
            and self._is_usable(entry, requirements)
        ]

    def _of_software(
        self,
        usable: list[EndpointEntry],
        requirements: EngineRequirements,
        now: float,
    ) -> list[EndpointEntry]:
        """Return the engines at which an item may go on, or begin anew.

        It waits for an engine of its software version that can't be used for
        the moment, but no longer than it takes to make its text again.
        """
        software = requirements.software
        if software is None:
            return usable
        same = [e for e in usable if e.software == software]
        if same or now >= requirements.remade_from_s:
            return same or usable
        serves = any(
            e.service in requirements.services()
            and e.software == software
            and not e.draining
            for e in self.registry.entry_by_endpoint.values()
        )
        return [] if serves else usable

    def typical_interval_s(self) -> float:
        """Return the time that an engine usually takes for an event."""
        intervals = self.engine_records.interval_by_endpoint().values()
        return median(intervals) if intervals else DEFAULT_INTERVAL_S

    def _request_permits(
        self, entries: list[EndpointEntry], states: list[EndpointState]
    ) -> None:
        """Ask for permits at engines that name a limit and have room."""
        for entry, state in zip(entries, states, strict=True):
            free = entry.slots - self.in_flight_count(entry.endpoint)
            limit_per_s = state.rate_limit_per_s
            if free > 0 and limit_per_s is not None:
                count = ceil(limit_per_s * PERMIT_PERIOD_S)
                self._permits.request(state, min(free, count))

    def _is_usable(
        self, entry: EndpointEntry, requirements: EngineRequirements
    ) -> bool:
        if (
            entry.service not in requirements.services()
            or entry.endpoint in requirements.excluded
        ):
            return False
        state = self.registry.view.by_id.get(entry.endpoint)
        if state is None or state.leaving:
            return False
        loading_until_s = self.engine_records.loading_until_s(
            entry.endpoint, requirements.model
        )
        if loading_until_s > self._clock.now():
            return False
        # An engine without the model reports version 0 of it.
        required_version = max(requirements.min_version, 1)
        return (
            self.engine_records.version(entry, requirements.model)
            >= required_version
        )

    def _view(
        self,
        entry: EndpointEntry,
        requirements: EngineRequirements,
        paces: dict[str, float],
    ) -> EngineSlotView:
        record = self.engine_records.get_or_create(entry.endpoint)
        pace = paces.get(entry.endpoint, UNKNOWN_PACE)
        return EngineSlotView(
            endpoint=entry.endpoint,
            slots=self.ejections.allowed_items(entry.endpoint, entry.slots),
            in_flight=record.in_flight,
            others=record.other_daemons_load,
            pace=pace,
            holds_group=(
                self._engine_by_group.get(requirements.group) == entry.endpoint
            ),
            long_items=record.long_items,
            slowness=self.engine_records.slowness(entry.endpoint),
            slow=self.engine_records.is_slow(entry.endpoint, pace),
        )

    def _remember_group(self, group: str, endpoint: str) -> None:
        self._engine_by_group[group] = endpoint
        self._engine_by_group.move_to_end(group)
        if len(self._engine_by_group) > MAX_REMEMBERED_GROUPS:
            self._engine_by_group.popitem(last=False)


def _running_item(handle: RunHandle, now: float) -> RunningItem:
    requirements = handle.requirements
    return RunningItem(
        handle.item_id,
        handle.endpoint,
        handle.events,
        handle.moves,
        requirements.expected_events,
        now - requirements.started_at_s,
        requirements.objective_s,
    )
