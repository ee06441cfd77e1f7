"""Run slow samples a second time where they are expected to end sooner."""

from collections.abc import Coroutine
from typing import Any
from urllib.parse import quote

from loguru import logger

from anvilcove.commands.requests.dispatch import NoSlot, Slot
from anvilcove.commands.requests.viability import content_of
from anvilcove.commands.rollouts.sample_attempts import acquire_slot
from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.decisions.groups import Move, Rerun, StragglerView, Wait
from anvilcove.decisions.types import CANCELLED, DecisionRecord
from anvilcove.ports.errors import EndpointError
from anvilcove.state.steps import Attempt, SampleRun, StepRun

CHECK_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5
SLOT_WAIT_S = 0.3
# A sample that is slow at a fourth engine is a long one.
MAX_MOVES = 3
# With fewer tokens the rate of the engine is a better estimate.
MEASURED_TOKENS = 5


@part
class Stragglers(Part):
    """Watch the running samples of steps that have none waiting."""

    def __init__(self, context: Context) -> None:
        """Use the sample runner."""
        super().__init__(context)
        self.runner: SampleRunner = context.part(SampleRunner)

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the loop that looks for stragglers."""
        return [self._watch()]

    async def _watch(self) -> None:
        while True:
            held = bool(self.runner.book.by_id)
            await self.context.clock.sleep(
                CHECK_PERIOD_S if held else IDLE_PERIOD_S
            )
            for run in list(self.runner.book.by_id.values()):
                if not run.pending and run.missing:
                    self._check_step(run)

    def _check_step(self, run: StepRun) -> None:
        free = self._free_slots(self.runner.pool(run))
        for sample in run.samples:
            if (
                len(sample.attempts) == 1
                and not sample.attempts[0].ended
                and not sample.moving
                and sample.moves < MAX_MOVES
            ):
                self._check(run, sample, free)

    def _free_slots(self, pool: str) -> dict[str, int]:
        """Return the free slots of engines with room and a known rate.

        Limits are above the slots, so that an engine's queue is never empty;
        a second attempt must not wait in that queue.
        """
        now = self.context.clock.now()
        groups = self.context.policy('groups')
        free = {}
        for state in self.context.endpoints.in_pool(pool):
            if not state.has_room(now) or groups.rate(state.endpoint) <= 0:
                continue
            used, slots = state.in_flight, int(state.limit)
            if state.report is not None and state.report.capacity:
                slots = min(slots, state.report.capacity)
                used = max(used, state.report.running + state.report.queued)
            if used < slots:
                free[state.endpoint] = slots - used
        return free

    def _check(
        self, run: StepRun, sample: SampleRun, free: dict[str, int]
    ) -> None:
        attempt = sample.attempts[0]
        now = self.context.clock.now()
        groups = self.context.policy('groups')
        rates = {e: groups.rate(e) for e, slots in free.items() if slots > 0}
        view = self._view(run, sample, attempt, rates, now)
        decision = groups.straggler(now, view)
        if isinstance(decision, Wait):
            return
        free[decision.endpoint] -= 1
        self.context.decisions.record(
            DecisionRecord(
                at_s=now,
                decision='straggler',
                subject=run.sample_id(sample),
                class_name=run.row.class_name,
                choice=f'{type(decision).__name__} to {decision.endpoint}',
                reason=f'{view.tokens} tokens in {view.running_s:.3f} s',
                revision=self.context.config.revision,
            )
        )
        sample.moving = True
        task = self.runner.spawn(self._second(run, sample, attempt, decision))
        run.tasks.add(task)
        task.add_done_callback(run.tasks.discard)
        task.add_done_callback(lambda _: setattr(sample, 'moving', False))

    def _view(
        self,
        run: StepRun,
        sample: SampleRun,
        attempt: Attempt,
        rates: dict[str, float],
        now: float,
    ) -> StragglerView:
        excluded = self.runner.viability.excluded(
            run, sample, self.runner.pool(run)
        )
        excluded = excluded | {attempt.endpoint}
        produced, spent_s = attempt.progress()
        rate = self.context.policy('groups').rate(attempt.endpoint)
        if produced >= MEASURED_TOKENS and spent_s > 0:
            rate = produced / spent_s
        return StragglerView(
            content=content_of(run, sample),
            tokens=len(attempt.tokens),
            max_tokens=sample.group.max_tokens,
            running_s=now - attempt.started_at_s,
            silent_s=now - attempt.token_at_s,
            rate=rate,
            viable=self.runner.viability.viable(run, attempt, sample),
            rates={e: r for e, r in rates.items() if e not in excluded},
        )

    async def _second(
        self,
        run: StepRun,
        sample: SampleRun,
        attempt: Attempt,
        decision: Move | Rerun,
    ) -> None:
        """Start the second attempt; the first that ends is kept."""
        request = self.runner.route_request(run, sample)
        if request is None or request.isolated:
            return
        pool = self.context.endpoints.ids_by_pool.get(request.pool, [])
        request.excluded = set(pool) - {decision.endpoint}
        request.deadline_at_s = self.context.clock.now() + SLOT_WAIT_S
        try:
            slot = await acquire_slot(self.context, request)
        except NoSlot:
            return
        try:
            moved = isinstance(decision, Move) and await self._move_cache(
                attempt, slot
            )
        except BaseException:
            slot.release(CANCELLED)
            raise
        if run.dropped or attempt not in sample.attempts or attempt.ended:
            slot.release(CANCELLED)
            return
        sample.moves += 1
        resume = attempt if isinstance(decision, Move) else Attempt('', '', 0)
        self.runner.begin(
            run,
            sample,
            slot,
            resume.tokens,
            resume.versions,
            attempt.request_id if moved else '',
        )

    async def _move_cache(self, attempt: Attempt, slot: Slot) -> bool:
        """Move the KV cache; it belongs to the request's identifier.

        Without it the engine computes the cache from the tokens again.
        """
        source = self.context.endpoints.by_id.get(attempt.endpoint)
        if source is None:
            return False
        name = quote(attempt.request_id, safe='')
        try:
            data = await self.context.endpoint_port(source).export_kv(name)
            port = self.context.endpoint_port(slot.state)
            await port.import_kv(name, data)
        except EndpointError as error:
            logger.info('cache of {} not moved: {}', attempt.request_id, error)
            return False
        return True
