"""Run one batch job to its end as its owner."""

import asyncio
import secrets

from loguru import logger
from msgspec.structs import replace

from anvilcove.decisions.item_order import HintScale, latest_start_s
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.records import (
    CommitConflict,
    JobRecords,
    first_commit,
)
from anvilcove.jobs.types import (
    Commit,
    HeldJob,
    Item,
    ItemResult,
    JobSpec,
    TextPart,
)
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.state.clock import Clock
from anvilcove.telemetry.metrics import NodeMetrics

# Results wait this long for others to share a commit.
COMMIT_WINDOW_S = 0.08
# Without results the owner renews its row this often.
RENEW_S = 0.4
RETRY_S = 0.2
# Texts of running items are kept this often, in parts of at least so many
# events: an item that took longer than this would be lost with its owner.
KEEP_S = 0.8
KEPT_EVENTS = 8
# Bounds of one commit; with the results it stays below the 100 rows and 1 MB
# in base64 that the store takes.
KEPT_PARTS = 60
KEPT_BYTES = 150_000


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
        '_objective_s',
        '_scale',
        '_tasks',
        '_ready',
        '_wake',
        '_listed',
        '_texts',
        '_kept',
        '_kept_at_s',
        '_running',
        '_pending',
        '_writing',
        '_leaving',
    )

    def __init__(
        self,
        spec: JobSpec,
        held: HeldJob,
        listed: list[str],
        texts: dict[str, TextPart],
        end_s: float,
        objective_s: float,
        scale: HintScale,
        records: JobRecords,
        runner: ItemRunner,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        """Start no item.

        `end_s` is when items may be given up, `objective_s` the time in which
        all results are due; `scale` is shared by the jobs of the daemon.
        """
        self._objective_s = objective_s
        self._scale = scale
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
        # Texts that an earlier owner kept, and how much of each is kept now.
        self._texts = texts
        self._kept = {item: len(part.texts) for item, part in texts.items()}
        self._running: dict[str, ItemProgress] = {}
        self._kept_at_s = clock.now()
        self._pending: Commit | None = None
        self._writing = asyncio.Lock()
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
        """Start the items, those first that must start first."""
        submitted_s = self.held.head.submitted_ms / 1000
        position = {item.item_id: i for i, item in enumerate(items)}
        for item in sorted(items, key=lambda i: -i.length_hint):
            expected_s = self._scale.expected_s(
                item.length_hint, self._objective_s
            )
            rank = (
                latest_start_s(submitted_s, self._objective_s, expected_s),
                -float(item.length_hint),
                float(position[item.item_id]),
            )
            task = asyncio.create_task(self._run_item(item, rank))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_item(self, item: Item, rank: tuple[float, ...]) -> None:
        progress = ItemProgress(item, self._clock.now())
        kept = self._texts.pop(item.item_id, None)
        if kept is not None:
            progress.resume(kept)
        self._running[item.item_id] = progress
        result = await self._runner.run(self.spec, progress, rank, self._end_s)
        self._metrics.item_listed(result.completed, progress.attempts)
        if result.completed and progress.attempts == 1 and kept is None:
            self._scale.observe(item.length_hint, progress.run_s())
        del self._running[item.item_id]
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
        """Write what is ready, or renew the row."""
        async with self._writing:
            try:
                if self._pending is None:
                    self._pending = await self._next_commit()
                commit = self._pending
                # A commit without an answer may still be applied, so exactly
                # the same one is sent until it is known what came of it.
                self.held = await self._records.commit(self.held, commit)
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
            self._committed(commit)

    def _committed(self, commit: Commit) -> None:
        del self._ready[: len(commit.results)]
        if self._ready:
            self._wake.set()
        for part in commit.parts:
            self._kept[part.item_id] = part.after + len(part.texts)
        if commit.results:
            logger.bind(
                job=self.spec.job_id,
                listed=commit.head.listed,
                total=commit.head.total,
                items=[result.item_id for result in commit.results],
            ).info('results committed')

    async def _next_commit(self) -> Commit:
        for position, result in enumerate(self._ready):
            self._ready[position] = await self._records.keep_output(
                self.spec.job_id, result
            )
        results = first_commit(self._ready)
        head = replace(
            self.held.head,
            beat=self.held.head.beat + 1,
            commit_id=secrets.token_hex(8),
            listed=self.held.head.listed + len(results),
        )
        if self._leaving:
            head = replace(head, owner='', nonce='')
        return Commit(head, results, self._parts_to_keep())

    def _parts_to_keep(self) -> list[TextPart]:
        """Return what long running items have made since it was last kept."""
        now = self._clock.now()
        if now - self._kept_at_s < KEEP_S and not self._leaving:
            return []
        self._kept_at_s = now
        parts: list[TextPart] = []
        size = 0
        for item_id, progress in self._running.items():
            if progress.restarted:
                continue
            after = self._kept.get(item_id, 0)
            texts = progress.texts[after:]
            if len(texts) < KEPT_EVENTS or len(parts) >= KEPT_PARTS:
                continue
            size += sum(len(text) for text in texts)
            if size > KEPT_BYTES:
                break
            parts.append(
                TextPart(item_id, after, texts, list(progress.versions))
            )
        return parts

    def _lose(self, conflict: CommitConflict) -> None:
        current = conflict.current
        logger.bind(
            job=self.spec.job_id,
            owner=current.head.owner if current else '',
        ).warning('job lost to another owner')
        self._metrics.job_event('lost')
        self.stop()
