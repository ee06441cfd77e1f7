"""Run the batch jobs that this daemon owns.

The owner of a job renews its row. A job whose row is not renewed is taken
over by another daemon, and a daemon that stops hands its jobs over.
"""

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
from anvilcove.decisions.item_order import HintCalibration
from anvilcove.decisions.succession import takeover_delay_s
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.job_memory import job_bytes
from anvilcove.jobs.job_run import JobRun
from anvilcove.jobs.records import CommitConflict, JobRecords
from anvilcove.jobs.types import (
    Commit,
    ItemFailures,
    JobHead,
    JobSpec,
    TextPart,
    VersionedJob,
)
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.settings.node import NodeSettings
from anvilcove.state.background_tasks import spawn_logged
from anvilcove.state.clock import Clock
from anvilcove.state.memory_room import MemoryRoom
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

POLL_PERIOD_S = 0.1
# No job is taken over while the view of the jobs table is older than this.
MAX_VIEW_AGE_S = 1.5
# Time after submission at which items may be given up if neither the desired
# state nor the row of the job tells.
DEFAULT_ITEM_LIFETIME_S = 40.0
# Time in which all results are due if the desired state no longer has it.
DEFAULT_OBJECTIVE_S = 7.5
# Added to the lifetime of items, since the clocks of hosts run at slightly
# different rates.
LIFETIME_MARGIN_S = 1.0


class JobOwner:
    """Take over, run and hand over the jobs of this daemon."""

    __slots__ = (
        '_settings',
        '_nonce',
        '_records',
        '_jobs_view',
        '_watch',
        '_nodes',
        '_desired',
        '_runner',
        '_metrics',
        '_clock',
        '_rng',
        '_holds_orders_lease',
        'runs',
        'tasks',
        'closing',
        'being_taken_over',
        '_pending_takeovers',
        '_hint_calibration',
        '_room',
        '_waiting_for_room',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        records: JobRecords,
        jobs_view: JobsView,
        watch: TableWatch,
        nodes: NodeDirectory,
        desired: DesiredStateView,
        runner: ItemRunner,
        metrics: NodeMetrics,
        clock: Clock,
        rng: random.Random,
        holds_orders_lease: Callable[[], bool],
        room: MemoryRoom,
    ) -> None:
        """Start without jobs; `watch` follows the jobs table.

        `room` has the memory of the jobs that this daemon runs.
        `holds_orders_lease` tells whether this daemon holds the lease for
        orders to engines; the holder takes abandoned jobs over first.
        """
        self._holds_orders_lease = holds_orders_lease
        self._settings = settings
        self._nonce = nonce
        self._records = records
        self._jobs_view = jobs_view
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
        self._hint_calibration = HintCalibration()
        # Abandoned jobs that wait for their takeover delay.
        self._pending_takeovers: set[str] = set()
        # Jobs whose takeover or creation is in progress.
        self.being_taken_over: set[str] = set()
        self._room = room
        # Jobs that this daemon would take over if it had memory for them.
        self._waiting_for_room: set[str] = set()

    async def run(self) -> None:
        """Take over abandoned jobs and stop ended ones until cancelled."""
        while True:
            await self._wait_for_change()
            self._stop_ended()
            if self.closing or self._watch.age_s() > MAX_VIEW_AGE_S:
                continue
            if self._desired.current is None or not self._nodes.is_known:
                # The lifetime of items or the contents that crash engines are
                # not known yet.
                continue
            self._take_over_assigned()
            for job in self._jobs_view.abandoned():
                if job.head.job_id not in self._pending_takeovers:
                    self._pending_takeovers.add(job.head.job_id)
                    self.spawn(self._take_over_abandoned(job))

    async def _wait_for_change(self) -> None:
        """Wait for a change of the jobs table, at most POLL_PERIOD_S."""
        changed = self._jobs_view.changed
        try:
            async with asyncio.timeout(POLL_PERIOD_S):
                await changed.wait()
        except TimeoutError:
            return
        changed.clear()

    async def close(self) -> None:
        """Stop taking jobs over and hand over all owned jobs."""
        self.closing = True
        await asyncio.gather(
            *(run.hand_over() for run in list(self.runs.values()))
        )

    def _take_over_assigned(self) -> None:
        """Take over jobs whose row names this host as their owner.

        They are newly assigned or were owned by an earlier process.
        """
        for job in list(self._jobs_view.by_id.values()):
            head = job.head
            if head.owner != self._settings.host or head.job_id in self.runs:
                continue
            if head.finished or head.job_id in self._jobs_view.ended:
                continue
            same_process = head.nonce == self._nonce
            reason = (
                'assigned' if same_process else 'an earlier start owned it'
            )
            if head.job_id not in self.being_taken_over:
                self.spawn(self.take_over(job, reason))

    async def _take_over_abandoned(self, job: VersionedJob) -> None:
        """Take over an abandoned job unless another daemon does so first."""
        job_id = job.head.job_id
        try:
            if job_id in self.runs:
                return
            rank = 0
            if not self._holds_orders_lease():
                rank = self._nodes.takeover_rank(job.head.owner)
            await self._clock.sleep(takeover_delay_s(rank, self._rng))
            current = self._jobs_view.by_id.get(job_id)
            if self.closing or current is None:
                return
            if current.version == job.version:
                await self.take_over(
                    job,
                    'given back' if not job.head.owner else 'stood still',
                )
        finally:
            self._pending_takeovers.discard(job_id)

    async def take_over(self, job: VersionedJob, reason: str) -> None:
        """Become the owner of a job and run it, unless this is in progress."""
        job_id = job.head.job_id
        if job_id in self.being_taken_over or job_id in self.runs:
            return
        if not self._has_room_for(job.head):
            return
        self.being_taken_over.add(job_id)
        try:
            await self._become_owner(job, reason)
        finally:
            self.being_taken_over.discard(job_id)
            self.release_memory(job_id)

    def _has_room_for(self, head: JobHead) -> bool:
        """Hold memory for a job that exists, or leave it to another daemon.

        A job that no daemon has memory for waits until another one ends.
        """
        needed = job_bytes(head)
        if self._room.hold_job(head.job_id, needed, alone=True):
            self._waiting_for_room.discard(head.job_id)
            return True
        if head.job_id not in self._waiting_for_room:
            self._waiting_for_room.add(head.job_id)
            logger.bind(
                job=head.job_id, memory=needed, held=self._room.job_bytes
            ).log(DECISION, 'job not taken over: no memory for it')
            self._metrics.job_event('waits for memory')
        return False

    def hold_memory(self, job_id: str, needed: int) -> bool:
        """Hold memory for a job that is being accepted, if there is room."""
        return self._room.hold_job(job_id, needed, alone=False)

    def fits_memory(self, needed: int) -> bool:
        """Tell whether there is memory for another job."""
        return self._room.fits_job(needed)

    def held_bytes(self) -> int:
        """Return the memory that is held for jobs."""
        return self._room.job_bytes

    def count_refusal(self) -> None:
        """Count a job for which no host has memory."""
        self._metrics.job_event('refused for memory')

    def release_memory(self, job_id: str) -> None:
        """Hold no memory for a job unless it runs."""
        if job_id not in self.runs:
            self._room.release_job(job_id)

    async def _become_owner(self, job: VersionedJob, reason: str) -> None:
        head = replace(
            job.head,
            owner=self._settings.host,
            nonce=self._nonce,
            beat=job.head.beat + 1,
            commit_id=secrets.token_hex(8),
            age_ms=self._jobs_view.age_s(job.head) * 1000,
        )
        try:
            taken = await self._records.commit(job, Commit(head))
            self._jobs_view.apply(taken)
            logger.bind(
                job=head.job_id,
                reason=reason,
                owner=job.head.owner,
                listed=head.listed,
                total=head.total,
            ).log(DECISION, 'job taken over')
            self._metrics.job_event('taken over')
            await self._resume(taken)
        except CommitConflict as conflict:
            if conflict.current is not None:
                self._jobs_view.apply(conflict.current)
        except (StoreUnavailable, StoreAnswerLost, ObjectNotFound) as error:
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not taken over'
            )

    async def _resume(self, job: VersionedJob) -> None:
        spec = await self._records.load(job.head.job_id)
        committed_ids = await self._records.listed_ids(job.head)
        checkpoints = await self._records.checkpoints(job.head.job_id)
        failures_by_item = await self._records.failures(job.head.job_id)
        self.start_run(spec, job, committed_ids, checkpoints, failures_by_item)

    def start_run(
        self,
        spec: JobSpec,
        job: VersionedJob,
        committed_ids: list[str],
        checkpoints: dict[str, TextPart],
        failures_by_item: dict[str, ItemFailures],
    ) -> None:
        age_s = self._jobs_view.age_s(job.head)
        head = job.head
        lifetime_s = (
            self.item_lifetime_s(head.host, head.path)
            or head.item_lifetime_s
            or DEFAULT_ITEM_LIFETIME_S
        )
        items_deadline_at_s = (
            self._clock.now() + lifetime_s + LIFETIME_MARGIN_S - age_s
        )
        logger.bind(
            job=spec.job_id,
            listed=len(committed_ids),
            age_s=round(age_s, 2),
            lifetime_left_s=round(items_deadline_at_s - self._clock.now(), 2),
        ).info('job run started')
        run = JobRun(
            spec,
            job,
            committed_ids,
            checkpoints,
            failures_by_item,
            age_s,
            items_deadline_at_s,
            self._objective_s(job.head),
            self._hint_calibration,
            self._records,
            self._runner,
            self._metrics,
            self._clock,
        )
        self.runs[spec.job_id] = run
        # It is accepted: it runs even if its memory was given back meanwhile.
        self._room.hold_job(spec.job_id, job_bytes(head), alone=True)
        self.spawn(self._run(run))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = spawn_logged(work, 'job owner')
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, run: JobRun) -> None:
        job_id = run.spec.job_id
        try:
            await run.run()
        except Exception:
            logger.bind(job=job_id).exception('job run failed unexpectedly')
        finally:
            if self.runs.get(job_id) is run:
                del self.runs[job_id]
            self.release_memory(job_id)
            self._jobs_view.apply(run.job)

    def item_lifetime_s(self, host: str, path: str) -> float:
        """Return the lifetime of items by their route, 0 if it is unknown."""
        state = self._desired.current
        route = state.find_route(host, path) if state else None
        if route is None or route.job is None:
            return 0.0
        return route.job.item_lifetime_s

    def _objective_s(self, head: JobHead) -> float:
        state = self._desired.current
        route = state.find_route(head.host, head.path) if state else None
        if route is None or route.job is None:
            return DEFAULT_OBJECTIVE_S
        return route.job.result_objective_s

    def _stop_ended(self) -> None:
        self._waiting_for_room &= self._jobs_view.by_id.keys()
        for job_id, run in list(self.runs.items()):
            if job_id in self._jobs_view.ended and run.owned:
                logger.bind(job=job_id, listed=run.job.head.listed).info(
                    'job ended'
                )
                run.stop()
