"""Generate the samples of the steps that this daemon holds."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger
from msgspec.structs import asdict

from anvilcove.commands.control.weights import WeightsComponent
from anvilcove.commands.requests.content_gate import ContentGate
from anvilcove.commands.requests.dispatch import (
    Dispatcher,
    NoSlotAvailable,
    Slot,
)
from anvilcove.commands.requests.viability import (
    StalenessCheck,
    pending_sample_views,
    sample_content_hash,
)
from anvilcove.commands.rollouts.sample_attempts import (
    AttemptFailed,
    accept_empty_result,
    acquire_slot,
    attempt_outcome,
    cancel_attempt,
    generate,
    retry_delay_s,
    score,
    waiting_step,
)
from anvilcove.commands.rollouts.step_shares import StepShares
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    OK,
    RouteRequest,
)
from anvilcove.messages.callers import VersionRange
from anvilcove.messages.engines import Generate, WorkspaceGenerate
from anvilcove.messages.trainers import Sample
from anvilcove.ports.errors import was_reached
from anvilcove.state.steps import (
    Attempt,
    SampleRun,
    StepId,
    StepRegistry,
    StepRun,
    is_stale,
)

# A sample waits this long for a free slot before it is queued again and
# another sample may start first.
SLOT_TIMEOUT_S = 1.0
IDLE_PERIOD_S = 0.1


@register_component
class SampleRunner(Component):
    """Schedule the samples of all held steps on the engines."""

    def __init__(self, context: Context) -> None:
        """Start without steps."""
        super().__init__(context)
        self.registry = StepRegistry()
        self._wake_by_pool: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.weights: WeightsComponent = context.component(WeightsComponent)
        self.staleness_check = StalenessCheck(context)
        self.gate = ContentGate(context)
        dispatcher: Dispatcher = context.component(Dispatcher)
        self.shares = StepShares(dispatcher.shares)
        self.weights.changes.subscribe(self._restart_stale_samples)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the daemon stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self, run: StepRun) -> None:
        """Queue the samples of a step that have no result yet."""
        now = self.context.clock.now()
        for position in self.context.policy('groups').starting_order(
            now, pending_sample_views(run)
        ):
            self._enqueue(run, run.samples[position])
        self._wake(self.pool(run))

    def stop(self, run: StepRun) -> None:
        """Cancel all attempts and tasks of a step."""
        run.stopped = True
        run.pending.clear()
        for sample in run.samples:
            self.stop_attempts(sample)
        for task in list(run.tasks):
            task.cancel()

    def restart(self, run: StepRun, sample: SampleRun) -> None:
        """Discard a sample's tokens and queue it again before the others."""
        run.clear_result(sample)
        sample.discard_tokens()
        self.stop_attempts(sample)
        self._enqueue(run, sample, at_front=True)
        self._wake(self.pool(run))

    def stop_attempts(
        self, sample: SampleRun, winner: Attempt | None = None
    ) -> None:
        """Cancel all attempts of a sample but the winner at their engines."""
        for attempt in sample.attempts:
            if attempt is winner:
                continue
            if attempt.task is not None:
                attempt.task.cancel()
            self.spawn(cancel_attempt(self.context, attempt))
        sample.attempts = [a for a in sample.attempts if a is winner]

    def _enqueue(
        self, run: StepRun, sample: SampleRun, at_front: bool = False
    ) -> None:
        if run.stopped or sample.queued or sample.result is not None:
            return
        sample.queued = True
        if at_front and not sample.failing:
            run.pending.appendleft(sample)
        else:
            run.pending.append(sample)

    def pool(self, run: StepRun) -> str:
        """Return the pool of engines that generate a step's samples."""
        target = self.context.config.target(run.row.class_name)
        return run.row.model if target is None else target.pool

    def _wake(self, pool: str) -> None:
        if pool not in self._wake_by_pool:
            self._wake_by_pool[pool] = asyncio.Event()
            self.spawn(self._schedule_pool(pool))
        self._wake_by_pool[pool].set()

    async def _schedule_pool(self, pool: str) -> None:
        """Start queued samples of a pool one by one as slots become free."""
        wake = self._wake_by_pool[pool]
        while True:
            wake.clear()
            choice = self._pop_next_sample(pool)
            if choice is None:
                await self._wait_for_work(pool, wake)
                continue
            try:
                await self._start_sample(*choice)
            except Exception:
                logger.exception('starting a sample failed')
                self._enqueue(*choice)
                await self.context.clock.sleep(IDLE_PERIOD_S)

    async def _wait_for_work(self, pool: str, wake: asyncio.Event) -> None:
        """Wait for a wake-up, or a short time while samples are queued."""
        has_pending = any(
            run.pending and self.pool(run) == pool
            for run in self.registry.by_id.values()
        )
        try:
            async with asyncio.timeout(IDLE_PERIOD_S if has_pending else None):
                await wake.wait()
        except TimeoutError:
            pass

    def _pop_next_sample(self, pool: str) -> tuple[StepRun, SampleRun] | None:
        ready: dict[StepId, tuple[StepRun, SampleRun]] = {}
        for run in self.registry.by_id.values():
            if run.pending and self.pool(run) == pool:
                sample = self._first_startable(run, pool)
                if sample is not None:
                    ready[run.step_id] = (run, sample)
        if not ready:
            return None
        # Failing samples wait behind those of all steps.
        sound = {
            step_id: choice
            for step_id, choice in ready.items()
            if not choice[1].failing
        }
        ready = sound or ready
        runs = self.shares.next_workspace(
            pool, [run for run, _ in ready.values()]
        )
        waiting = [waiting_step(run) for run in runs]
        chosen = self.context.policy('groups').next_step(
            self.context.clock.now(), waiting
        )
        run, sample = ready[chosen.trainer, chosen.step]
        run.pending.remove(sample)
        sample.queued = False
        return run, sample

    def _first_startable(self, run: StepRun, pool: str) -> SampleRun | None:
        """Return the first queued sample whose content may start now.

        Return None if there is none or if no engine may run it.
        """
        refused: set[str] = set()
        for sample in run.pending:
            content = sample_content_hash(run, sample)
            if content in refused:
                continue
            if self.gate.may_start(content):
                usable = self.staleness_check.has_engine(run, sample, pool)
                return sample if usable else None
            refused.add(content)
        return None

    async def _start_sample(self, run: StepRun, sample: SampleRun) -> None:
        """Start an attempt, or complete a sample that must never run."""
        request = self.route_request(run, sample)
        if request is None:
            accept_empty_result(self.context, run, sample)
            return
        if sample.attempt_count == 0:
            self.context.policy('retry').started(self.context.clock.now())
        self.gate.started(request.content)
        sample.queued = True
        start_task = self.spawn(self._start_in_free_slot(run, sample, request))
        # An isolated sample may wait long for an idle engine; the samples
        # behind it are not held up.
        if not request.isolated:
            await start_task

    async def _start_in_free_slot(
        self, run: StepRun, sample: SampleRun, request: RouteRequest
    ) -> None:
        """Start an attempt when a slot is free; requeue it on a timeout."""
        slot = None
        try:
            slot = await acquire_slot(self.context, request)
        except NoSlotAvailable:
            pass
        finally:
            sample.queued = False
            self.gate.ended(request.content)
        if slot is None:
            self._enqueue(run, sample, at_front=True)
            self._wake(request.pool)
        elif run.stopped or sample.result is not None:
            slot.release(CANCELLED)
        else:
            self._charge(run, sample, request.pool)
            self.start_attempt(
                run, sample, slot, sample.tokens, sample.versions
            )

    def _charge(self, run: StepRun, sample: SampleRun, pool: str) -> None:
        """Charge the workspace of a step for the tokens still expected."""
        if not self.shares.enabled():
            return
        expected = self.context.policy('groups').expected_tokens(
            sample_content_hash(run, sample), sample.group.max_tokens
        )
        self.shares.started(
            pool,
            run,
            max(expected - len(sample.tokens), 1.0),
            [
                other
                for other in self.registry.by_id.values()
                if other.pending and self.pool(other) == pool
            ],
        )

    def route_request(
        self, run: StepRun, sample: SampleRun
    ) -> RouteRequest | None:
        """Return the request for a slot, None if the sample must never run."""
        now = self.context.clock.now()
        content = sample_content_hash(run, sample)
        if self.gate.is_rejected(content):
            return None
        pool = self.pool(run)
        return RouteRequest(
            request_id=run.sample_id(sample),
            class_name=run.row.class_name,
            kind='trainer',
            pool=pool,
            content=content,
            prefixes=[sample.group.prompt],
            excluded=self.staleness_check.excluded_engines(run, sample, pool),
            deadline_at_s=now + SLOT_TIMEOUT_S,
            isolated=self.gate.is_isolated(content),
            workspace=run.workspace,
        )

    def new_request_id(self, run: StepRun, sample: SampleRun) -> str:
        """Count an attempt and return its identifier at the engine."""
        sample.attempt_count += 1
        return (
            f'{run.sample_id(sample)}~{run.row.fence}.{sample.attempt_count}'
        )

    def start_attempt(
        self,
        run: StepRun,
        sample: SampleRun,
        slot: Slot,
        tokens: list[str],
        versions: list[VersionRange],
        request_id: str = '',
    ) -> None:
        """Start an attempt in a slot, resuming from the given tokens."""
        now = self.context.clock.now()
        request_id = request_id or self.new_request_id(run, sample)
        attempt = Attempt(request_id, slot.state.endpoint, now)
        attempt.resume(tokens, versions)
        sample.attempts.append(attempt)
        self.gate.started(slot.request.content)
        task = self.spawn(self._run_attempt(run, sample, attempt, slot))
        attempt.task = task
        run.tasks.add(task)
        task.add_done_callback(run.tasks.discard)

    async def _run_attempt(
        self, run: StepRun, sample: SampleRun, attempt: Attempt, slot: Slot
    ) -> None:
        outcome, cause = CANCELLED, slot.request.content
        known_tokens = len(attempt.tokens)
        try:
            await self._generate(run, sample, attempt, slot)
            outcome = OK
            attempt.ended = True
        except Exception as error:
            # The sample must be retried after any failure.
            outcome = attempt_outcome(error)
            cause = cause if was_reached(error) else ''
            reason = repr(error)
            sample.failing = (
                outcome in (ERROR, CRASH)
                and len(attempt.tokens) == known_tokens
            )
        finally:
            content = slot.request.content
            if outcome == CRASH and slot.isolated:
                self.gate.revoke_proof(content)
            self.gate.ended(content)
            slot.release(outcome, cause)
            self._wake(self.pool(run))
        if outcome == OK:
            await self._accept_result(run, sample, attempt)
        else:
            await self._handle_failure(run, sample, attempt, outcome, reason)

    async def _generate(
        self, run: StepRun, sample: SampleRun, attempt: Attempt, slot: Slot
    ) -> None:
        group = sample.group
        request = Generate(
            request_id=attempt.request_id,
            prompt=group.prompt,
            max_tokens=group.max_tokens,
            model=run.row.model,
            priority=self.context.policy('groups').engine_priority(
                waiting_step(run),
                run.missing_by_group[group.group],
                group.samples,
            ),
            resume_tokens=list(attempt.tokens),
        )
        if run.workspace:
            request = WorkspaceGenerate(
                **asdict(request), workspace=run.workspace
            )
        async for _ in generate(self.context, slot.state, request, attempt):
            if self.gate.mark_proven(slot.request.content):
                self._wake(slot.request.pool)
            slot.heard()
            last = attempt.versions[-1]
            self.staleness_check.record_version(attempt.endpoint, last.version)
            is_new_range = last.end - last.start == 1
            if is_new_range and not self.staleness_check.viable(
                run, attempt, sample
            ):
                raise AttemptFailed('version exceeds the staleness bound')

    async def _accept_result(
        self, run: StepRun, sample: SampleRun, attempt: Attempt
    ) -> None:
        """Score a finished attempt and keep the first result of a sample."""
        groups = self.context.policy('groups')
        tokens = len(attempt.tokens)
        groups.finished(
            sample_content_hash(run, sample), tokens, sample.group.max_tokens
        )
        groups.observe_rate(attempt.endpoint, *attempt.progress())
        result = Sample(
            sample_id=run.sample_id(sample),
            group=sample.group.group,
            index=sample.index,
            tokens=attempt.tokens,
            versions=attempt.versions,
        )
        result.score = await score(self.context, sample, result, run.workspace)
        if sample.result is not None or attempt not in sample.attempts:
            return
        self.stop_attempts(sample, winner=attempt)
        sample.attempts = []
        newest = self.weights.newest(run.row.model)
        if is_stale(attempt.versions, newest, run.row.bound):
            self.restart(run, sample)
            return
        run.set_result(sample, result)

    async def _handle_failure(
        self,
        run: StepRun,
        sample: SampleRun,
        attempt: Attempt,
        outcome: str,
        reason: str,
    ) -> None:
        """Keep usable tokens and queue the sample again after a delay."""
        logger.info('attempt {} failed: {}', attempt.request_id, reason)
        if attempt not in sample.attempts:
            return
        sample.attempts.remove(attempt)
        sample.failure_count += 1
        if not sample.failing:
            sample.failed_endpoints.clear()
        sample.failed_endpoints.add(attempt.endpoint)
        if attempt.versions and self.staleness_check.viable(
            run, attempt, sample
        ):
            sample.keep_tokens(attempt)
        if sample.attempts:
            return
        await self.context.clock.sleep(
            retry_delay_s(self.context, sample, outcome)
        )
        if not sample.attempts:
            self._enqueue(run, sample, at_front=True)
            self._wake(self.pool(run))

    def _restart_stale_samples(self, model: str) -> None:
        """Restart samples that new weights put outside the staleness bound."""
        newest = self.weights.newest(model)
        for run in list(self.registry.by_id.values()):
            if run.row.model != model:
                continue
            for sample in run.stale_samples(newest):
                self.restart(run, sample)
            for sample in run.samples:
                self._restart_if_stale(run, sample)

    def _restart_if_stale(self, run: StepRun, sample: SampleRun) -> None:
        if not self.staleness_check.tokens_viable(run, sample.versions):
            sample.discard_tokens()
        if sample.attempts and not any(
            self.staleness_check.viable(run, attempt, sample)
            for attempt in sample.attempts
        ):
            self.restart(run, sample)

    async def close(self) -> None:
        """Cancel all tasks; called after the steps were handed over."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
