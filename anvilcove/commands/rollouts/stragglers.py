"""Start second attempts of slow samples on engines that finish sooner."""

from urllib.parse import quote

from loguru import logger

from anvilcove.commands.requests.dispatch import NoSlotAvailable, Slot
from anvilcove.commands.requests.viability import sample_content_hash
from anvilcove.commands.rollouts.sample_attempts import acquire_slot
from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.decisions.groups import Move, Rerun, StragglerView, Wait
from anvilcove.decisions.types import CANCELLED, DecisionRecord
from anvilcove.ports.errors import EndpointError
from anvilcove.state.background_tasks import Work
from anvilcove.state.steps import Attempt, SampleRun, StepRun

CHECK_PERIOD_S = 0.1
IDLE_PERIOD_S = 0.5
SLOT_TIMEOUT_S = 0.3
# A sample that is still slow on its fourth engine is long itself; the engines
# are not the cause.
MAX_MOVES = 3
# With fewer tokens of the attempt, the known rate of the engine is a better
# estimate of the attempt's rate.
MIN_RATE_TOKENS = 5


@register_component
class Stragglers(Component):
    """Check the running samples of steps that have no queued sample."""

    def __init__(self, context: Context) -> None:
        """Use the sample runner of this daemon."""
        super().__init__(context)
        self.runner: SampleRunner = context.component(SampleRunner)

    def tasks(self) -> list[Work]:
        """Return the loop that checks for stragglers."""
        return [self._check_loop]

    async def _check_loop(self) -> None:
        while True:
            has_steps = bool(self.runner.registry.by_id)
            await self.context.clock.sleep(
                CHECK_PERIOD_S if has_steps else IDLE_PERIOD_S
            )
            for run in list(self.runner.registry.by_id.values()):
                if not run.pending and run.missing_count:
                    self._check_step(run)

    def _check_step(self, run: StepRun) -> None:
        free = self._free_slots(self.runner.pool(run))
        for sample in run.samples:
            if (
                len(sample.attempts) == 1
                and not sample.attempts[0].ended
                and not sample.is_moving
                and sample.move_count < MAX_MOVES
            ):
                self._check_sample(run, sample, free)

    def _free_slots(self, pool: str) -> dict[str, int]:
        """Return the free slots by engine, for engines with a known rate.

        The limit on requests in flight exceeds an engine's slots to keep its
        queue filled. A second attempt must not wait in that queue, so only
        the slots count here.
        """
        now = self.context.clock.now()
        groups = self.context.policy('groups')
        free = {}
        for state in self.context.endpoints.in_pool(pool):
            if not state.has_capacity(now) or groups.rate(state.endpoint) <= 0:
                continue
            used, slots = state.in_flight, int(state.limit)
            if state.report is not None and state.report.capacity:
                slots = min(slots, state.report.capacity)
                used = max(used, state.report.running + state.report.queued)
            if used < slots:
                free[state.endpoint] = slots - used
        return free

    def _check_sample(
        self, run: StepRun, sample: SampleRun, free: dict[str, int]
    ) -> None:
        attempt = sample.attempts[0]
        now = self.context.clock.now()
        groups = self.context.policy('groups')
        rates = {e: groups.rate(e) for e, slots in free.items() if slots > 0}
        view = self._straggler_view(run, sample, attempt, rates, now)
        decision = groups.handle_straggler(now, view)
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
        sample.is_moving = True
        task = self.runner.spawn(
            self._start_second_attempt(run, sample, attempt, decision)
        )
        run.tasks.add(task)
        task.add_done_callback(run.tasks.discard)
        task.add_done_callback(lambda _: setattr(sample, 'is_moving', False))

    def _straggler_view(
        self,
        run: StepRun,
        sample: SampleRun,
        attempt: Attempt,
        rates: dict[str, float],
        now: float,
    ) -> StragglerView:
        excluded = self.runner.staleness_check.excluded_engines(
            run, sample, self.runner.pool(run)
        )
        excluded = excluded | {attempt.endpoint}
        produced, elapsed_s = attempt.progress()
        rate = self.context.policy('groups').rate(attempt.endpoint)
        if produced >= MIN_RATE_TOKENS and elapsed_s > 0:
            rate = produced / elapsed_s
        return StragglerView(
            content=sample_content_hash(run, sample),
            tokens=len(attempt.tokens),
            max_tokens=sample.group.max_tokens,
            running_s=now - attempt.started_at_s,
            silent_s=now - attempt.last_token_at_s,
            rate=rate,
            viable=self.runner.staleness_check.viable(run, attempt, sample),
            rates={e: r for e, r in rates.items() if e not in excluded},
        )

    async def _start_second_attempt(
        self,
        run: StepRun,
        sample: SampleRun,
        attempt: Attempt,
        decision: Move | Rerun,
    ) -> None:
        """Start a second attempt; the result that ends first is kept."""
        request = self.runner.route_request(run, sample)
        # A failing sample takes no second slot from others.
        if request is None or request.isolated or sample.failing:
            return
        pool = self.context.endpoints.ids_by_pool.get(request.pool, [])
        request.excluded = set(pool) - {decision.endpoint}
        request.deadline_at_s = self.context.clock.now() + SLOT_TIMEOUT_S
        try:
            slot = await acquire_slot(self.context, request)
        except NoSlotAvailable:
            return
        try:
            cache_moved = isinstance(
                decision, Move
            ) and await self._transfer_kv_cache(attempt, slot)
        except BaseException:
            slot.release(CANCELLED)
            raise
        if run.stopped or attempt not in sample.attempts or attempt.ended:
            slot.release(CANCELLED)
            return
        sample.move_count += 1
        resume = attempt if isinstance(decision, Move) else Attempt('', '', 0)
        self.runner.start_attempt(
            run,
            sample,
            slot,
            resume.tokens,
            resume.versions,
            attempt.request_id if cache_moved else '',
        )

    async def _transfer_kv_cache(self, attempt: Attempt, slot: Slot) -> bool:
        """Copy the KV cache to the new engine; return whether it succeeded.

        The cache is stored under the request's identifier. Without the copy
        the engine computes the cache again from the tokens.
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
            logger.info(
                'KV cache of {} could not be copied: {}',
                attempt.request_id,
                error,
            )
            return False
        return True
