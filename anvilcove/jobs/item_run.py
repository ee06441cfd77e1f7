"""Run one item of a batch job to its result."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing

from loguru import logger

from anvilcove.control.desired import DesiredStateView, Route
from anvilcove.control.endpoints import EndpointEntry
from anvilcove.jobs.engine_slots import EngineNeed, EngineSlots, RunHandle
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.reward_calls import RewardCalls
from anvilcove.jobs.types import ItemResult, JobSpec
from anvilcove.ports.engines import (
    NO_EVENT_LEFT,
    EngineClient,
    Generation,
    GenerationEnd,
    GenerationEvent,
    GenerationStart,
    ItemFailed,
    ItemRejected,
    TokenEvent,
)
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.state.clock import Clock

# An engine that sends nothing for this long is taken as lost. A load of a
# version, which stops its runs, takes about a second.
FIRST_EVENT_TIMEOUT_S = 2.5
NEXT_EVENT_TIMEOUT_S = 1.5
RETRY_S = 0.05
LONGEST_RETRY_S = 0.5


class StaleEngine(EndpointError):
    """Raised when an engine answers with weights that are too old."""


class Moved(EndpointError):
    """Raised when a run was told to go on at another engine."""


class ItemRunner:
    """Run the items of the batch jobs of this daemon."""

    __slots__ = (
        '_slots',
        '_engines',
        '_desired',
        '_rewards',
        '_clock',
        '_rng',
    )

    def __init__(
        self,
        slots: EngineSlots,
        engines: EngineClient,
        desired: DesiredStateView,
        rewards: RewardCalls,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Keep what items need."""
        self._slots = slots
        self._engines = engines
        self._desired = desired
        self._rewards = rewards
        self._clock = clock
        self._rng = rng

    async def run(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        rank: tuple[float, ...],
        end_s: float,
    ) -> ItemResult:
        """Return the result of an item; give up at `end_s`."""
        item = progress.item
        try:
            async with asyncio.timeout(max(end_s - self._clock.now(), 0.0)):
                result = await self._generate(spec, progress, rank, end_s)
                progress.generated_s = self._clock.now()
                if result is None:
                    result = await self._rewards.score(progress)
        except TimeoutError:
            result = ItemResult(item.item_id, completed=False)
            logger.bind(
                job=spec.job_id,
                request=item.item_id,
                attempts=progress.attempts,
                events=len(progress.texts),
            ).warning('item given up at the end of its time')
        self._record(spec, progress, result)
        return result

    def _record(
        self, spec: JobSpec, progress: ItemProgress, result: ItemResult
    ) -> None:
        now = self._clock.now()
        logger.bind(
            job=spec.job_id,
            request=result.item_id,
            completed=result.completed,
            group=progress.item.group,
            endpoint=progress.endpoint,
            attempts=progress.attempts,
            events=len(progress.texts),
            hint=progress.item.length_hint,
            versions=result.versions,
            waited_ms=round(progress.waited_s * 1000),
            generated_ms=round(
                (progress.generated_s - progress.started_s) * 1000
            ),
            reward_ms=round((now - progress.generated_s) * 1000),
        ).info('item finished')

    async def _generate(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        rank: tuple[float, ...],
        end_s: float,
    ) -> ItemResult | None:
        """Complete the text; return a result only if that cannot be."""
        pause_s = RETRY_S
        while True:
            route = self._route(spec)
            if route is None:
                await self._pause(LONGEST_RETRY_S)
                continue
            need = self._need(spec, progress, route)
            asked_s = self._clock.now()
            entry = await self._slots.take(need, rank)
            progress.waited_s += self._clock.now() - asked_s
            progress.endpoint = entry.endpoint
            progress.attempts += 1
            try:
                await self._attempt(spec, progress, route, entry, end_s)
            except ItemRejected:
                return self._errored(spec, progress, 'rejected')
            except ItemFailed:
                self._slots.records.item_failed(entry.endpoint)
                progress.failed_at(entry.endpoint)
                if progress.failed_everywhere(route.max_attempts):
                    return self._errored(spec, progress, 'failed each time')
            except Moved:
                progress.moves += 1
            except EndpointError as error:
                self._note(spec, progress, entry, error)
                await self._pause(pause_s)
                pause_s = min(pause_s * 2, LONGEST_RETRY_S)
            else:
                self._slots.records.succeeded(entry.endpoint)
                return None
            finally:
                self._slots.give_back(entry.endpoint)

    async def _attempt(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        route: Route,
        entry: EndpointEntry,
        end_s: float,
    ) -> None:
        """Run the rest of the text at one engine."""
        if route.job is not None and route.job.single_version:
            self._keep_single_version(progress, entry, spec.model)
        generation = Generation(
            item_id=progress.item.item_id,
            host=spec.host,
            path=progress.item.path,
            headers=progress.item.headers,
            body=progress.item.body,
            deadline_s=end_s - self._clock.now(),
            after=len(progress.texts),
        )
        stream = self._engines.generate(
            entry.address, entry.instance, generation
        )
        handle = RunHandle(
            progress.item.item_id,
            entry.endpoint,
            len(progress.texts),
            progress.moves,
        )
        self._slots.run_started(handle)
        try:
            async with aclosing(stream):  # type: ignore[type-var]
                await self._follow(spec, progress, route, stream, handle)
        finally:
            self._slots.run_ended(handle)

    async def _follow(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        route: Route,
        stream: AsyncIterator[GenerationEvent],
        handle: RunHandle,
    ) -> None:
        """Take events until the text is whole."""
        timeout_s = FIRST_EVENT_TIMEOUT_S
        at_s = self._clock.now()
        while True:
            event = await self._next(stream, handle, timeout_s)
            if isinstance(event, GenerationEnd):
                return
            now = self._clock.now()
            if isinstance(event, GenerationStart):
                self._check_start(spec, handle.endpoint, event)
            else:
                self._check_event(spec, route, progress, event)
                progress.add(event)
                handle.events = len(progress.texts)
                if timeout_s == NEXT_EVENT_TIMEOUT_S:
                    self._slots.records.event_took(handle.endpoint, now - at_s)
                timeout_s = NEXT_EVENT_TIMEOUT_S
            at_s = now

    async def _next(
        self,
        stream: AsyncIterator[GenerationEvent],
        handle: RunHandle,
        timeout_s: float,
    ) -> GenerationEvent:
        try:
            async with asyncio.timeout(timeout_s) as handle.timeout:
                if handle.moved:
                    raise Moved(handle.endpoint)
                return await anext(stream)
        except TimeoutError as error:
            if handle.moved:
                raise Moved(handle.endpoint) from error
            raise EndpointError(f'no event for {timeout_s} s') from error
        finally:
            handle.timeout = None

    def _check_start(
        self, spec: JobSpec, endpoint: str, start: GenerationStart
    ) -> None:
        if start.version == NO_EVENT_LEFT:
            return
        self._slots.records.started(
            endpoint, spec.model, start.version, start.load
        )
        if start.version < spec.min_version:
            raise StaleEngine(f'engine holds version {start.version}')

    def _check_event(
        self,
        spec: JobSpec,
        route: Route,
        progress: ItemProgress,
        event: TokenEvent,
    ) -> None:
        if event.version < spec.min_version:
            raise StaleEngine(f'event of version {event.version}')
        single = route.job is not None and route.job.single_version
        if (
            single
            and progress.versions
            and event.version != (progress.versions[0])
        ):
            progress.restart()
            raise StaleEngine('the version changed within the text')

    def _keep_single_version(
        self, progress: ItemProgress, entry: EndpointEntry, model: str
    ) -> None:
        version = entry.version_by_model.get(model, 0)
        if progress.versions and progress.versions != [version]:
            progress.restart()

    def _route(self, spec: JobSpec) -> Route | None:
        state = self._desired.current
        route = state.find(spec.host, spec.path) if state else None
        return route if route is not None and route.job else None

    def _need(
        self, spec: JobSpec, progress: ItemProgress, route: Route
    ) -> EngineNeed:
        item = progress.item
        service = route.targets[0].service
        excluded = progress.failed_endpoints
        if len(excluded) >= self._slots.count(service):
            excluded = set()
        return EngineNeed(
            service=service,
            model=item.model or spec.model,
            min_version=spec.min_version,
            group=f'{spec.job_id}/{item.group}',
            excluded=excluded,
        )

    def _note(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        entry: EndpointEntry,
        error: EndpointError,
    ) -> None:
        if isinstance(error, EndpointNotRun) and not error.unreachable:
            self._slots.records.refused(entry.endpoint)
        elif isinstance(error, StaleEngine):
            self._slots.records.refused(entry.endpoint)
        else:
            self._slots.records.failed(entry.endpoint)
        logger.bind(
            job=spec.job_id,
            request=progress.item.item_id,
            endpoint=entry.endpoint,
            attempt=progress.attempts,
            events=len(progress.texts),
            reason=str(error)[:160],
        ).info('item attempt failed')

    def _errored(
        self, spec: JobSpec, progress: ItemProgress, reason: str
    ) -> ItemResult:
        logger.bind(
            job=spec.job_id,
            request=progress.item.item_id,
            attempts=progress.attempts,
            reason=reason,
        ).info('item errored')
        return ItemResult(progress.item.item_id, completed=False)

    async def _pause(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._rng.uniform(0.5, 1.5))
