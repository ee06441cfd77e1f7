"""Generate and score one item of a batch job."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing

from loguru import logger

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.desired import DesiredStateView, Route
from anvilcove.control.endpoint_reports import EndpointReports
from anvilcove.control.endpoints import EndpointEntry
from anvilcove.decisions.failure_attribution import Run
from anvilcove.decisions.service_choice import (
    service_order,
    service_shares,
)
from anvilcove.jobs.engine_records import IntervalMeter
from anvilcove.jobs.engine_slots import (
    EngineSlots,
    RunHandle,
)
from anvilcove.jobs.progress import ItemProgress, ItemRun
from anvilcove.jobs.reward_calls import RewardCalls
from anvilcove.jobs.slot_queue import EngineRequirements
from anvilcove.jobs.types import ItemResult, JobSpec
from anvilcove.ports.engines import (
    VERSION_WITHOUT_EVENTS,
    EngineClient,
    Generation,
    GenerationEnd,
    GenerationEvent,
    GenerationStart,
    ItemFailed,
    ItemRejected,
    TokenEvent,
)
from anvilcove.ports.errors import (
    EndpointCrashed,
    EndpointError,
    EndpointNotRun,
    EndpointRefused,
    is_unreachable,
)
from anvilcove.ports.reports import EndpointReport
from anvilcove.ports.usage import NoUsage, UsageCounter
from anvilcove.state.answer_timeout import AnswerTimeout
from anvilcove.state.clock import Clock
from anvilcove.state.content import request_content_hash
from anvilcove.telemetry.logs import DECISION

# An attempt fails if its engine sends nothing for this long. Loading a weight
# version, which pauses the runs of an engine, takes about a second.
FIRST_EVENT_TIMEOUT_S = 2.5
NEXT_EVENT_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# An item that was refused this often in a row lets others go first. A single
# refusal may be that of an engine that is full.
SEVERAL_REFUSALS = 2
# An item that may be given up waits this long for evidence on its engines.
EVIDENCE_WAIT_S = 1.0


class StaleWeights(EndpointError):
    """Raised when an engine answers with weights of an unusable version."""


class RunMoved(EndpointError):
    """Raised when a run was asked to continue at another engine."""


class ItemRunner:
    """Run the items of the batch jobs that this daemon owns."""

    __slots__ = (
        '_slots',
        '_engines',
        '_desired',
        '_rewards',
        '_crashes',
        '_reports',
        '_clock',
        '_rng',
        'usage',
        'uses_slowness',
    )

    def __init__(
        self,
        slots: EngineSlots,
        engines: EngineClient,
        desired: DesiredStateView,
        rewards: RewardCalls,
        crashes: ContentCrashes,
        reports: EndpointReports,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Set up; `slots` assigns items to engines, `rewards` scores texts."""
        # Told of the engine time of workspaces.
        self.usage: UsageCounter = NoUsage()
        # Whether loads that name a slowness are used.
        self.uses_slowness = True
        self._slots = slots
        self._engines = engines
        self._desired = desired
        self._rewards = rewards
        self._crashes = crashes
        self._reports = reports
        self._clock = clock
        self._rng = rng

    async def run(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        rank: tuple[float, ...],
        deadline_at_s: float,
    ) -> ItemResult:
        """Return the result of an item.

        The result is marked as not completed if the item is unfinished at
        `deadline_at_s`. Items of lower `rank` get engine slots first.
        """
        item = progress.item
        progress.content = request_content_hash(
            'POST', spec.host, item.path, item.body
        )
        lifetime = asyncio.timeout(max(deadline_at_s - self._clock.now(), 0.0))
        try:
            async with lifetime:
                result = await self._generate(
                    spec, progress, rank, deadline_at_s
                )
                progress.generated_at_s = self._clock.now()
                if result is None:
                    result = await self._rewards.score(
                        progress, spec.workspace
                    )
        except TimeoutError:
            if not lifetime.expired():
                raise
            result = ItemResult(item.item_id, completed=False)
            logger.bind(
                job=spec.job_id,
                request=item.item_id,
                attempts=progress.attempts,
                failures=progress.failures.runs,
                reward_failures=progress.failures.reward_calls,
                events=len(progress.texts),
                overdue_ms=round((self._clock.now() - deadline_at_s) * 1000),
            ).warning('item not completed within its lifetime')
        self._log_result(spec, progress, result)
        return result

    def _log_result(
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
                (progress.generated_at_s - progress.started_at_s) * 1000
            ),
            reward_ms=round((now - progress.generated_at_s) * 1000),
            runs=progress.runs_until(now),
        ).info('item finished')

    async def _generate(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        rank: tuple[float, ...],
        deadline_at_s: float,
    ) -> ItemResult | None:
        """Complete the text and return None.

        A result is returned only for an item that is rejected or fails.
        """
        retry_delay_s = RETRY_DELAY_S
        while True:
            route = await self._known_route(spec)
            if await self._is_exhausted(progress, route):
                return self._errored_result(spec, progress, 'failed each time')
            await self._crashes.delay_owed_call(
                progress.item.item_id, progress.content
            )
            requirements = self._requirements(spec, progress, route)
            wait_started_at_s = self._clock.now()
            entry = await self._slots.acquire(requirements, rank)
            progress.waited_s += self._clock.now() - wait_started_at_s
            if entry is None:
                # The route has changed meanwhile.
                continue
            progress.endpoint = entry.endpoint
            progress.attempts += 1
            failed = False
            handle = RunHandle(
                progress.item.item_id,
                requirements,
                entry,
                progress.content,
                len(progress.texts),
                progress.moves,
            )
            try:
                await self._attempt(
                    spec, progress, route, entry, handle, deadline_at_s
                )
            except ItemRejected as error:
                self._record_report(progress, entry, error.report)
                return self._errored_result(spec, progress, 'rejected')
            except ItemFailed as error:
                self._record_report(progress, entry, error.report)
                self._slots.ejections.item_failed(handle.run)
                failed = progress.failing = True
            except RunMoved:
                progress.moves += 1
                progress.long_item = True
            except EndpointError as error:
                self._record_report(progress, entry, error.report)
                self._record_attempt_failure(
                    spec, progress, entry, handle.run, error
                )
                await self._sleep_with_jitter(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
            else:
                self._slots.ejections.succeeded(handle.run)
                return None
            finally:
                self._slots.release(entry.endpoint, requirements)
            if failed:
                await progress.record_failure(entry.endpoint)

    async def _attempt(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        route: Route,
        entry: EndpointEntry,
        handle: RunHandle,
        deadline_at_s: float,
    ) -> None:
        """Generate the rest of the text at one engine."""
        if route.job is not None and route.job.single_version:
            self._reset_if_version_differs(progress, entry, spec.model)
        self._reset_if_software_differs(progress, entry)
        progress.software = entry.software
        generation = Generation(
            item_id=progress.item.item_id,
            host=spec.host,
            path=progress.item.path,
            headers=progress.item.headers,
            body=progress.item.body,
            deadline_s=deadline_at_s - self._clock.now(),
            after=len(progress.texts),
            workspace=spec.workspace,
            has_workspaces=self._has_workspaces(),
        )
        stream = self._engines.generate(
            entry.address, entry.instance, generation
        )
        handle.events = len(progress.texts)
        self._slots.register_run(handle)
        started_at_s = self._clock.now()
        first_event = len(progress.texts) + 1
        try:
            async with aclosing(stream):  # type: ignore[type-var]
                await self._consume(spec, progress, route, stream, handle)
        finally:
            self._slots.unregister_run(handle)
            self.usage.worked(spec.workspace, self._clock.now() - started_at_s)
            progress.runs.append(
                ItemRun(
                    entry.endpoint,
                    started_at_s,
                    self._clock.now(),
                    first_event,
                    len(progress.texts),
                )
            )

    async def _consume(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        route: Route,
        stream: AsyncIterator[GenerationEvent],
        handle: RunHandle,
    ) -> None:
        """Append the events of a stream until the text is complete."""
        timeout_s = FIRST_EVENT_TIMEOUT_S
        meter = IntervalMeter()
        last_event_at_s = self._clock.now()
        while True:
            event = await self._next_event(stream, handle, timeout_s)
            if isinstance(event, GenerationEnd):
                return
            now = self._clock.now()
            if isinstance(event, GenerationStart):
                self._reports.record(
                    handle.endpoint, event.report, handle.item_id
                )
                self._check_start(spec, handle.endpoint, event)
            else:
                self._check_event(spec, route, progress, event)
                progress.append(event)
                self._slots.ejections.progressed(handle.run)
                progress.refusals = 0
                if len(progress.texts) == 1:
                    self._crashes.finished(
                        progress.content,
                        progress.item.item_id,
                        handle.endpoint,
                    )
                handle.events = len(progress.texts)
                if timeout_s == NEXT_EVENT_TIMEOUT_S:
                    self._slots.engine_records.on_event_interval(
                        handle.endpoint, now - last_event_at_s, meter
                    )
                timeout_s = NEXT_EVENT_TIMEOUT_S
            last_event_at_s = now

    async def _next_event(
        self,
        stream: AsyncIterator[GenerationEvent],
        handle: RunHandle,
        timeout_s: float,
    ) -> GenerationEvent:
        try:
            async with AnswerTimeout(timeout_s) as handle.timeout:
                if handle.move_requested:
                    raise RunMoved(handle.endpoint)
                return await anext(stream)
        except OSError as error:
            # A connection that ends with ETIMEDOUT raises TimeoutError, too.
            if handle.timeout is None or not handle.timeout.expired():
                raise EndpointCrashed(f'{error!r}') from error
            if handle.move_requested:
                raise RunMoved(handle.endpoint) from error
            raise EndpointError(f'no event for {timeout_s} s') from error
        finally:
            handle.timeout = None

    def _check_start(
        self, spec: JobSpec, endpoint: str, start: GenerationStart
    ) -> None:
        if start.version == VERSION_WITHOUT_EVENTS:
            return
        load = start.load
        if load and load.names_slowness and not self.uses_slowness:
            load = None
        self._slots.engine_records.on_start(
            endpoint, spec.model, start.version, load
        )
        if start.version < spec.min_version:
            raise StaleWeights(f'engine holds weight version {start.version}')

    def _check_event(
        self,
        spec: JobSpec,
        route: Route,
        progress: ItemProgress,
        event: TokenEvent,
    ) -> None:
        if event.version < spec.min_version:
            raise StaleWeights(f'event of weight version {event.version}')
        single = route.job is not None and route.job.single_version
        if (
            single
            and progress.versions
            and event.version != (progress.versions[0])
        ):
            progress.reset()
            raise StaleWeights(
                'weight version changed within a single-version text'
            )

    def _reset_if_version_differs(
        self, progress: ItemProgress, entry: EndpointEntry, model: str
    ) -> None:
        version = entry.version_by_model.get(model, 0)
        if progress.versions and progress.versions != [version]:
            progress.reset()

    def _reset_if_software_differs(
        self, progress: ItemProgress, entry: EndpointEntry
    ) -> None:
        """Discard a text that an engine of another version can't go on."""
        known = progress.software
        if known is None:
            # The text is of an owner that did not store the version.
            recent = self._slots.registry.recent_software(
                entry.service, self._clock.now()
            )
            known = entry.software if len(recent) == 1 else None
        if not progress.texts or known == entry.software:
            return
        logger.bind(
            request=progress.item.item_id,
            endpoint=entry.endpoint,
            software=entry.software,
            text_software=progress.software,
            events=len(progress.texts),
        ).log(DECISION, 'text discarded: no engine of its software version')
        progress.reset()

    async def _is_exhausted(
        self, progress: ItemProgress, route: Route
    ) -> bool:
        """Tell whether an item failed too often to be tried again.

        If it depends on engines that have not completed anything yet, runs of
        other items there are awaited for a short time.
        """
        if progress.failures.runs < route.max_attempts:
            return False
        services, slots = service_shares(route.targets), self._slots
        wait_until_s = self._clock.now() + EVIDENCE_WAIT_S
        while True:
            sound = slots.sound_engines(services)
            if progress.failures_exhausted(route.max_attempts, sound):
                return True
            unknown = slots.unknown_engines(services)
            if not unknown & progress.failures.endpoints:
                return False
            if self._clock.now() >= wait_until_s:
                return progress.failures_exhausted(
                    route.max_attempts, sound | unknown
                )
            await self._clock.sleep(RETRY_DELAY_S)

    async def _known_route(self, spec: JobSpec) -> Route:
        """Return the route of a job, once the desired state has one."""
        while (route := self._job_route(spec)) is None:
            await self._sleep_with_jitter(MAX_RETRY_DELAY_S)
        return route

    def _job_route(self, spec: JobSpec) -> Route | None:
        state = self._desired.current
        route = state.find_route(spec.host, spec.path) if state else None
        return route if route is not None and route.job else None

    def _requirements(
        self, spec: JobSpec, progress: ItemProgress, route: Route
    ) -> EngineRequirements:
        item = progress.item
        # Items that share a prompt prefer the same service.
        services = service_order(
            route.targets, f'{spec.job_id}/{item.group or item.item_id}'
        )
        excluded = progress.failures.endpoints
        if len(excluded) >= self._slots.engine_count(services):
            excluded = set()
        remake_s = len(progress.texts) * self._slots.typical_interval_s()
        return EngineRequirements(
            service=services[0],
            others=tuple(services[1:]),
            model=item.model or spec.model,
            min_version=spec.min_version,
            group=f'{spec.job_id}/{item.group}',
            excluded=excluded,
            long_item=progress.long_item,
            failing=progress.failing,
            expected_events=progress.expected_events,
            started_at_s=progress.started_at_s,
            objective_s=route.job.result_objective_s if route.job else 0.0,
            software=progress.software if progress.texts else None,
            remake_s=remake_s,
            remade_from_s=self._clock.now() + remake_s,
            workspace=spec.workspace,
            workspace_weight=self._weight(spec.workspace),
            cost=float(item.length_hint or item.tokens or 1),
        )

    def _has_workspaces(self) -> bool:
        """Tell whether items of earlier builds may hold keys."""
        state = self._desired.current
        return state is not None and state.workspaces is not None

    def _weight(self, workspace: str) -> float:
        """Return the weight of a workspace, 1 if it is not known."""
        state = self._desired.current
        if state is None or state.workspaces is None:
            return 1.0
        known = state.workspaces.by_name.get(workspace)
        return known.weight if known is not None else 1.0

    def _record_attempt_failure(
        self,
        spec: JobSpec,
        progress: ItemProgress,
        entry: EndpointEntry,
        run: Run,
        error: EndpointError,
    ) -> None:
        ejections = self._slots.ejections
        if is_unreachable(error):
            ejections.unreachable(entry.endpoint)
        elif isinstance(error, StaleWeights):
            self._slots.engine_records.mark_stale(entry.endpoint, spec.model)
        elif isinstance(error, EndpointRefused | EndpointNotRun):
            ejections.refused(run)
            progress.refusals += 1
            progress.failing = progress.refusals >= SEVERAL_REFUSALS
        else:
            progress.failing = not run.recorded
            ejections.broke(run)
        if not progress.texts:
            self._crashes.on_failure(
                progress.item.item_id, progress.content, entry.endpoint, error
            )
        logger.bind(
            job=spec.job_id,
            request=progress.item.item_id,
            endpoint=entry.endpoint,
            attempt=progress.attempts,
            events=len(progress.texts),
            reason=str(error)[:160],
        ).info('item attempt failed')

    def _record_report(
        self,
        progress: ItemProgress,
        entry: EndpointEntry,
        report: EndpointReport | None,
    ) -> None:
        self._reports.record(entry.endpoint, report, progress.item.item_id)

    def _errored_result(
        self, spec: JobSpec, progress: ItemProgress, reason: str
    ) -> ItemResult:
        logger.bind(
            job=spec.job_id,
            request=progress.item.item_id,
            attempts=progress.attempts,
            failures=progress.failures.runs,
            reason=reason,
        ).info('item errored')
        return ItemResult(progress.item.item_id, completed=False)

    async def _sleep_with_jitter(self, seconds: float) -> None:
        await self._clock.sleep(seconds * self._rng.uniform(0.5, 1.5))
