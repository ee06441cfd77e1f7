"""Own batch jobs: accept them, take them over and hand them on."""

import asyncio
import random
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger
from msgspec.structs import replace

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.watch import TableWatch
from anvilcove.decisions.item_order import HintScale
from anvilcove.decisions.succession import takeover_delay_s
from anvilcove.jobs.board import JobBoard
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.job_run import JobRun
from anvilcove.jobs.records import CommitConflict, JobRecords
from anvilcove.jobs.types import Commit, HeldJob, JobHead, JobSpec, TextPart
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

LOOK_S = 0.1
# What the watch knows must be this fresh before a job is taken over.
FRESH_S = 1.5
# Items may be given up this long after their submission if the operator's
# declaration cannot be found.
DEFAULT_LIFETIME_S = 40.0
# Time in which results are due where no declaration tells.
DEFAULT_OBJECTIVE_S = 7.5
# Added to the lifetime of items, since the store's clock is known only
# through its answers.
LIFETIME_MARGIN_S = 1.0


class JobOwner:
    """Jobs that this daemon runs."""

    __slots__ = (
        '_settings',
        '_nonce',
        '_records',
        '_board',
        '_watch',
        '_nodes',
        '_desired',
        '_runner',
        '_metrics',
        '_clock',
        '_rng',
        '_gives_orders',
        'runs',
        'tasks',
        'closing',
        'taking',
        '_considering',
        '_scale',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        records: JobRecords,
        board: JobBoard,
        watch: TableWatch,
        nodes: NodeDirectory,
        desired: DesiredStateView,
        runner: ItemRunner,
        metrics: NodeMetrics,
        clock: Clock,
        rng: random.Random,
        gives_orders: Callable[[], bool],
    ) -> None:
        """Own nothing; `watch` is that of the jobs table."""
        self._gives_orders = gives_orders
        self._settings = settings
        self._nonce = nonce
        self._records = records
        self._board = board
        self._watch = watch
        self._nodes = nodes
        self._desired = desired
        self._runner = runner
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self.runs: dict[str, JobRun] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.closing = False
        self._scale = HintScale()
        # Abandoned jobs that this daemon waits to take over.
        self._considering: set[str] = set()
        # Jobs that are being taken over.
        self.taking: set[str] = set()

    async def run(self) -> None:
        """Take over abandoned jobs and stop ended ones, for ever."""
        while True:
            await self._clock.sleep(LOOK_S)
            self._stop_ended()
            if self.closing or self._watch.age_s() > FRESH_S:
                continue
            await self._take_own()
            for held in self._board.abandoned():
                if held.head.job_id not in self._considering:
                    self._considering.add(held.head.job_id)
                    self.spawn(self._consider(held))

    async def close(self) -> None:
        """Hand every job over."""
        self.closing = True
        await asyncio.gather(
            *(run.hand_over() for run in list(self.runs.values()))
        )

    async def _take_own(self) -> None:
        """Begin jobs that name this daemon, also an earlier start of it."""
        for held in list(self._board.by_id.values()):
            head = held.head
            if head.owner != self._settings.host or head.job_id in self.runs:
                continue
            if head.finished or head.job_id in self._board.ended:
                continue
            same = head.nonce == self._nonce
            reason = 'assigned' if same else 'an earlier start owned it'
            await self.take_over(held, reason)

    async def _consider(self, held: HeldJob) -> None:
        """Take an abandoned job over unless another daemon does so first."""
        job_id = held.head.job_id
        try:
            if job_id in self.runs:
                return
            rank = 0
            if not self._gives_orders():
                rank = self._nodes.succession_rank(held.head.owner)
            await self._clock.sleep(takeover_delay_s(rank, self._rng))
            current = self._board.by_id.get(job_id)
            if self.closing or current is None:
                return
            if current.version == held.version:
                await self.take_over(
                    held,
                    'given back' if not held.head.owner else 'stood still',
                )
        finally:
            self._considering.discard(job_id)

    async def take_over(self, held: HeldJob, reason: str) -> None:
        """Become the owner of a job and run it, unless that is under way."""
        job_id = held.head.job_id
        if job_id in self.taking or job_id in self.runs:
            return
        self.taking.add(job_id)
        try:
            await self._become_owner(held, reason)
        finally:
            self.taking.discard(job_id)

    async def _become_owner(self, held: HeldJob, reason: str) -> None:
        head = replace(
            held.head,
            owner=self._settings.host,
            nonce=self._nonce,
            beat=held.head.beat + 1,
            commit_id=secrets.token_hex(8),
        )
        try:
            taken = await self._records.commit(held, Commit(head))
            self._board.adopt(taken)
            logger.bind(
                job=head.job_id,
                reason=reason,
                owner=held.head.owner,
                listed=head.listed,
                total=head.total,
            ).log(DECISION, 'job taken over')
            self._metrics.job_event('taken over')
            await self._resume(taken)
        except CommitConflict as conflict:
            if conflict.current is not None:
                self._board.adopt(conflict.current)
        except (StoreUnavailable, StoreAnswerLost, ObjectNotFound) as error:
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not taken over'
            )

    async def _resume(self, held: HeldJob) -> None:
        spec = await self._records.load(held.head.job_id)
        listed = await self._records.results(held.head.job_id, 0)
        texts = await self._records.texts(held.head.job_id)
        self.begin(spec, held, [result.item_id for result in listed], texts)

    def begin(
        self,
        spec: JobSpec,
        held: HeldJob,
        listed: list[str],
        texts: dict[str, TextPart],
    ) -> None:
        run = JobRun(
            spec,
            held,
            listed,
            texts,
            self._items_end_s(held.head),
            self._objective_s(held.head),
            self._scale,
            self._records,
            self._runner,
            self._metrics,
            self._clock,
        )
        self.runs[spec.job_id] = run
        self.spawn(self._run(run))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, run: JobRun) -> None:
        job_id = run.spec.job_id
        try:
            await run.run()
        except Exception:
            logger.bind(job=job_id).exception('job run ended by an error')
        finally:
            if self.runs.get(job_id) is run:
                del self.runs[job_id]
            self._board.adopt(run.held)

    def _items_end_s(self, head: JobHead) -> float:
        state = self._desired.current
        route = state.find(head.host, head.path) if state else None
        lifetime_s = DEFAULT_LIFETIME_S
        if route is not None and route.job is not None:
            lifetime_s = route.job.item_lifetime_s
        age_s = (self._watch.store_now_ms() - head.submitted_ms) / 1000
        left_s = lifetime_s + LIFETIME_MARGIN_S - max(age_s, 0.0)
        return self._clock.now() + left_s

    def _objective_s(self, head: JobHead) -> float:
        state = self._desired.current
        route = state.find(head.host, head.path) if state else None
        if route is None or route.job is None:
            return DEFAULT_OBJECTIVE_S
        return route.job.result_objective_s

    def _stop_ended(self) -> None:
        for job_id, run in list(self.runs.items()):
            if job_id in self._board.ended and run.owned:
                logger.bind(job=job_id, listed=run.held.head.listed).info(
                    'job ended'
                )
                run.stop()
