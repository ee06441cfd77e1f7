"""Run one batch job to its end as its owner."""

import asyncio
import secrets

from loguru import logger
from msgspec.structs import replace

from anvilcove.jobs.item_run import ItemProgress, ItemRunner
from anvilcove.jobs.records import (
    CommitConflict,
    JobRecords,
    first_commit,
)
from anvilcove.jobs.types import HeldJob, Item, ItemResult, JobHead, JobSpec
from anvilcove.node.metrics import NodeMetrics
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.state.clock import Clock

# Results wait this long for others to share a commit.
COMMIT_WINDOW_S = 0.08
# Without results the owner renews its row this often.
RENEW_S = 0.8
RETRY_S = 0.2


class JobRun:
    """The owner's side of one job."""

    __slots__ = (
        'spec',
        'held',
        'owned',
        '_records',
        '_runner',
        '_metrics',
        '_clock',
        '_end_s',
        '_tasks',
        '_ready',
        '_wake',
        '_listed',
        '_pending',
        '_leaving',
    )

    def __init__(
        self,
        spec: JobSpec,
        held: HeldJob,
        listed: list[str],
        end_s: float,
        records: JobRecords,
        runner: ItemRunner,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        """Start no item; `end_s` is when items may be given up."""
        self.spec = spec
        self.held = held
        self.owned = True
        self._records = records
        self._runner = runner
        self._metrics = metrics
        self._clock = clock
        self._end_s = end_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._ready: list[ItemResult] = []
        self._wake = asyncio.Event()
        self._listed = set(listed)
        self._pending: tuple[JobHead, list[ItemResult]] | None = None
        self._leaving = False

    async def run(self) -> None:
        """Run the items and commit their results until the job ends."""
        pending = [
            item
            for item in self.spec.items
            if item.item_id not in self._listed
        ]
        self._start(pending)
        try:
            while self.owned and not self.held.head.finished:
                await self._wait()
                if self.owned and not self._leaving:
                    await self._commit()
        finally:
            self.stop()

    def stop(self) -> None:
        """Stop every item; the row stays as it is."""
        self.owned = False
        self._wake.set()
        for task in self._tasks:
            task.cancel()

    async def hand_over(self) -> None:
        """Commit what is ready and give the job to any other daemon."""
        for task in self._tasks:
            task.cancel()
        self._leaving = True
        while self.owned and self.held.head.owner:
            await self._commit()
        self.stop()

    def _start(self, items: list[Item]) -> None:
        """Start the items, those of the first groups and long ones first."""
        position = {item.item_id: i for i, item in enumerate(items)}
        for item in sorted(items, key=lambda i: -i.length_hint):
            rank = (
                self.held.head.submitted_ms,
                -float(item.length_hint),
                float(position[item.item_id]),
            )
            task = asyncio.create_task(self._run_item(item, rank))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_item(self, item: Item, rank: tuple[float, ...]) -> None:
        progress = ItemProgress(item, self._clock.now())
        result = await self._runner.run(self.spec, progress, rank, self._end_s)
        self._metrics.item_listed(result.completed, progress.attempts)
        self._ready.append(result)
        self._wake.set()

    async def _wait(self) -> None:
        """Wait for results, at most until the row must be renewed."""
        try:
            async with asyncio.timeout(RENEW_S):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()
        if self.owned and self.held.head.listed + len(self._ready) < (
            self.held.head.total
        ):
            await self._clock.sleep(COMMIT_WINDOW_S)

    async def _commit(self) -> None:
        """Write ready results, or renew the row."""
        try:
            if self._pending is None:
                self._pending = await self._next_commit()
            head, results = self._pending
            # A commit without an answer may still be applied, so exactly the
            # same one is sent until it is known what came of it.
            self.held = await self._records.commit(self.held, head, results)
        except CommitConflict as conflict:
            self._lose(conflict)
            return
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(job=self.spec.job_id, reason=str(error)).info(
                'job row not written'
            )
            await self._clock.sleep(RETRY_S)
            self._wake.set()
            return
        self._pending = None
        del self._ready[: len(results)]
        if self._ready:
            self._wake.set()
        if results:
            logger.bind(
                job=self.spec.job_id,
                listed=head.listed,
                total=head.total,
                items=[result.item_id for result in results],
            ).info('results committed')

    async def _next_commit(self) -> tuple[JobHead, list[ItemResult]]:
        self._ready = [
            await self._records.keep_output(self.spec.job_id, result)
            for result in self._ready
        ]
        results = first_commit(self._ready)
        head = replace(
            self.held.head,
            beat=self.held.head.beat + 1,
            commit_id=secrets.token_hex(8),
            listed=self.held.head.listed + len(results),
        )
        if self._leaving:
            head = replace(head, owner='', nonce='')
        return head, results

    def _lose(self, conflict: CommitConflict) -> None:
        current = conflict.current
        logger.bind(
            job=self.spec.job_id,
            owner=current.head.owner if current else '',
        ).warning('job lost to another owner')
        self._metrics.job_event('lost')
        self.stop()
