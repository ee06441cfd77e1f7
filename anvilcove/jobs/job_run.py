"""Run one batch job as its owner and commit its results."""

import asyncio
import secrets
from copy import deepcopy
from functools import partial

from loguru import logger
from msgspec.structs import replace

from anvilcove.decisions.item_order import HintCalibration, latest_start_s
from anvilcove.decisions.item_placement import is_long_item, median_hint
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.item_window import ItemWindow
from anvilcove.jobs.job_memory import item_bytes
from anvilcove.jobs.progress import ItemProgress
from anvilcove.jobs.records import (
    CommitConflict,
    JobRecords,
    fit_one_commit,
)
from anvilcove.jobs.types import (
    Commit,
    Item,
    ItemFailures,
    ItemResult,
    JobSpec,
    TextPart,
    VersionedJob,
)
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.state.clock import Clock
from anvilcove.telemetry.metrics import NodeMetrics

# Finished results wait this long for others, so that one commit contains
# several.
COMMIT_WINDOW_S = 0.08
# The owner renews the row of the job this often while it has no results.
RENEW_PERIOD_S = 0.3
RETRY_DELAY_S = 0.2
# An item whose run ends with an unexpected error is run again after this time.
UNEXPECTED_ERROR_DELAY_S = 1.0
# The texts of running items are checkpointed this often, in parts of at least
# MIN_CHECKPOINT_EVENTS. Without checkpoints the loss of the owner would
# discard the text of every running item.
CHECKPOINT_PERIOD_S = 0.4
MIN_CHECKPOINT_EVENTS = 6
# Limits of checkpoints and failures in one commit. With the results it stays
# below the 100 rows and 1 MB in base64 that the store accepts.
MAX_CHECKPOINT_PARTS = 60
MAX_FAILURES_PER_COMMIT = 20
MAX_CHECKPOINT_BYTES = 150_000


class JobRun:
    """Run of one job by the daemon that owns it."""

    __slots__ = (
        'spec',
        'job',
        'owned',
        '_records',
        '_runner',
        '_metrics',
        '_clock',
        '_submitted_at_s',
        '_items_deadline_at_s',
        '_objective_s',
        '_hint_calibration',
        '_tasks',
        '_uncommitted',
        '_wake_event',
        '_committed_ids',
        '_restored_checkpoints',
        '_checkpointed_events',
        '_checkpointed_at_s',
        '_running',
        '_stored_failures_by_item',
        '_unstored_failures_by_item',
        '_committed_event',
        '_unconfirmed_commit',
        '_commit_lock',
        '_handing_over',
        '_store_answers',
        '_window',
    )

    def __init__(
        self,
        spec: JobSpec,
        job: VersionedJob,
        committed_ids: list[str],
        checkpoints: dict[str, TextPart],
        failures_by_item: dict[str, ItemFailures],
        age_s: float,
        deadline_at_s: float,
        objective_s: float,
        calibration: HintCalibration,
        records: JobRecords,
        runner: ItemRunner,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        """Prepare the run; no item starts before `run` is called.

        `committed_ids` are the items that already have a result;
        `checkpoints` and `failures_by_item` are what earlier owners stored.
        `age_s` is the measured time since the submission of the job. Items may
        be given up at `deadline_at_s`; all results are due within
        `objective_s`. `calibration` estimates run times and is shared by the
        jobs of the daemon.
        """
        self._objective_s = objective_s
        self._hint_calibration = calibration
        self.spec = spec
        self.job = job
        self.owned = True
        self._records = records
        self._runner = runner
        self._metrics = metrics
        self._clock = clock
        # The submission on the clock of this daemon.
        self._submitted_at_s = clock.now() - age_s
        self._items_deadline_at_s = deadline_at_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._uncommitted: list[ItemResult] = []
        self._wake_event = asyncio.Event()
        self._committed_ids = set(committed_ids)
        # Checkpoints of earlier owners, and the number of events of each item
        # that are checkpointed now.
        self._restored_checkpoints = checkpoints
        self._checkpointed_events = {
            item: len(part.texts) for item, part in checkpoints.items()
        }
        self._running: dict[str, ItemProgress] = {}
        # Failures of items as stored, and those that wait for a commit.
        # Entries are replaced, never changed, since a commit without an answer
        # is sent again as it was.
        self._stored_failures_by_item = failures_by_item
        self._unstored_failures_by_item: dict[str, ItemFailures] = {}
        # Set and replaced after each commit.
        self._committed_event = asyncio.Event()
        self._checkpointed_at_s = clock.now()
        self._unconfirmed_commit: Commit | None = None
        self._commit_lock = asyncio.Lock()
        self._handing_over = False
        # Whether the last commit was answered.
        self._store_answers = True
        self._window = ItemWindow()

    async def run(self) -> None:
        """Run the items and commit their results until the job ends."""
        feeding = asyncio.create_task(self._feed())
        self._tasks.add(feeding)
        feeding.add_done_callback(self._tasks.discard)
        try:
            while self.owned and not self.job.head.finished:
                await self._wait_for_results()
                if self.owned and not self._handing_over:
                    await self._commit()
        finally:
            self.stop()

    def stop(self) -> None:
        """Stop all items without changing the row."""
        self.owned = False
        self._wake_event.set()
        for task in self._tasks:
            task.cancel()

    async def hand_over(self) -> None:
        """Commit finished results and checkpoints and release the job.

        Until the store answers, no other daemon can take the job over, so
        that its items run on.
        """
        self._store_answers = False
        while self.owned and not self._store_answers:
            await self._commit()
        for task in self._tasks:
            task.cancel()
        self._handing_over = True
        while self.owned and self.job.head.owner:
            await self._commit()
        self.stop()

    async def _feed(self) -> None:
        """Start the items, as many at a time as memory is held for."""
        submissions = self._records.submissions
        number = 0
        while number < submissions.group_count(self.spec):
            try:
                items = await submissions.item_group(self.spec, number)
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(job=self.spec.job_id, reason=str(error)).info(
                    'items not read'
                )
                await self._clock.sleep(RETRY_DELAY_S)
                continue
            except ObjectNotFound:
                # The job was removed, as nobody can read it any more.
                logger.bind(job=self.spec.job_id).warning('items are gone')
                return
            number += 1
            await self._start_items(items)

    async def _start_items(self, items: list[Item]) -> None:
        """Start a task for each item, ranked by its latest start time."""
        position = {item.item_id: i for i, item in enumerate(items)}
        typical_hint = median_hint([item.length_hint for item in items])
        pending = [i for i in items if i.item_id not in self._committed_ids]
        for item in sorted(pending, key=lambda i: -i.length_hint):
            await self._window.enter(item_bytes(item))
            expected_s = self._hint_calibration.expected_s(
                item.length_hint, self._objective_s
            )
            rank = (
                latest_start_s(
                    self._submitted_at_s, self._objective_s, expected_s
                ),
                -float(item.length_hint),
                float(position[item.item_id]),
            )
            progress = ItemProgress(item, self._clock.now())
            progress.long_item = is_long_item(
                item.length_hint, expected_s, self._objective_s, typical_hint
            )
            progress.expected_events = self._hint_calibration.expected_events(
                item.length_hint
            )
            task = asyncio.create_task(self._run_item(progress, rank))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run_item(
        self, progress: ItemProgress, rank: tuple[float, ...]
    ) -> None:
        item = progress.item
        restored = self._restored_checkpoints.pop(item.item_id, None)
        if restored is not None:
            progress.restore(restored)
        failures = self._stored_failures_by_item.get(item.item_id)
        if failures is not None:
            progress.failures = deepcopy(failures)
        progress.store_failures = partial(self._store_failures, progress)
        self._running[item.item_id] = progress
        result = await self._run_to_result(progress, rank)
        self._metrics.item_finished(result.completed, progress.attempts)
        if result.completed and progress.attempts == 1 and restored is None:
            self._hint_calibration.observe(
                item.length_hint,
                progress.generation_time_s(),
                len(progress.texts),
            )
        del self._running[item.item_id]
        self._window.leave(item_bytes(item))
        self._uncommitted.append(result)
        self._wake_event.set()

    async def _run_to_result(
        self, progress: ItemProgress, rank: tuple[float, ...]
    ) -> ItemResult:
        while True:
            try:
                return await self._runner.run(
                    self.spec, progress, rank, self._items_deadline_at_s
                )
            except Exception:
                logger.bind(
                    job=self.spec.job_id, request=progress.item.item_id
                ).exception('item run failed unexpectedly')
                await self._clock.sleep(UNEXPECTED_ERROR_DELAY_S)

    async def _store_failures(self, progress: ItemProgress) -> None:
        """Commit the failures of an item before it is sent again.

        The next owner would otherwise send it as often once more.
        """
        item_id, failures = progress.item.item_id, deepcopy(progress.failures)
        self._unstored_failures_by_item[item_id] = failures
        while item_id in self._unstored_failures_by_item:
            self._wake_event.set()
            await self._committed_event.wait()

    async def _wait_for_results(self) -> None:
        """Wait for results, at most until the row must be renewed."""
        try:
            async with asyncio.timeout(RENEW_PERIOD_S):
                await self._wake_event.wait()
        except TimeoutError:
            return
        self._wake_event.clear()
        complete = self.job.head.listed + len(self._uncommitted) >= (
            self.job.head.total
        )
        # An owner that dies within the window forgets failures.
        if self.owned and not complete and not self._unstored_failures_by_item:
            await self._clock.sleep(COMMIT_WINDOW_S)

    async def _commit(self) -> None:
        """Commit finished results and checkpoints, or just renew the row."""
        async with self._commit_lock:
            try:
                if self._unconfirmed_commit is None:
                    self._unconfirmed_commit = await self._next_commit()
                commit = self._unconfirmed_commit
                # A commit without an answer may still be applied, so it is
                # sent again unchanged until its outcome is known.
                self.job = await self._records.commit(self.job, commit)
            except CommitConflict as conflict:
                self._on_ownership_lost(conflict)
                return
            except (StoreUnavailable, StoreAnswerLost) as error:
                logger.bind(job=self.spec.job_id, reason=str(error)).info(
                    'job row not written'
                )
                self._store_answers = False
                await self._clock.sleep(RETRY_DELAY_S)
                self._wake_event.set()
                return
            self._unconfirmed_commit = None
            self._store_answers = True
            self._apply_commit(commit)

    def _apply_commit(self, commit: Commit) -> None:
        committed, self._committed_event = (
            self._committed_event,
            asyncio.Event(),
        )
        committed.set()
        for failures in commit.failures:
            self._stored_failures_by_item[failures.item_id] = failures
            if (
                self._unstored_failures_by_item.get(failures.item_id)
                == failures
            ):
                del self._unstored_failures_by_item[failures.item_id]
        if self._unstored_failures_by_item:
            self._wake_event.set()
        del self._uncommitted[: len(commit.results)]
        if self._uncommitted:
            self._wake_event.set()
        for part in commit.parts:
            self._checkpointed_events[part.item_id] = part.after + len(
                part.texts
            )
        if commit.results:
            logger.bind(
                job=self.spec.job_id,
                listed=commit.head.listed,
                total=commit.head.total,
                items=[result.item_id for result in commit.results],
            ).info('results committed')

    async def _next_commit(self) -> Commit:
        for position, result in enumerate(self._uncommitted):
            self._uncommitted[position] = await self._records.offload_output(
                self.spec.job_id, result
            )
        results = fit_one_commit(self._uncommitted)
        head = replace(
            self.job.head,
            beat=self.job.head.beat + 1,
            commit_id=secrets.token_hex(8),
            listed=self.job.head.listed + len(results),
            age_ms=(self._clock.now() - self._submitted_at_s) * 1000,
        )
        if self._handing_over:
            head = replace(head, owner='', nonce='')
        failures = list(self._unstored_failures_by_item.values())
        return Commit(
            head,
            results,
            self._checkpoint_parts(),
            failures[:MAX_FAILURES_PER_COMMIT],
        )

    def _checkpoint_parts(self) -> list[TextPart]:
        """Return what running items generated since their last checkpoint."""
        now = self._clock.now()
        if (
            now - self._checkpointed_at_s < CHECKPOINT_PERIOD_S
            and not self._handing_over
        ):
            return []
        self._checkpointed_at_s = now
        parts: list[TextPart] = []
        size = 0
        for item_id, progress in self._running.items():
            if progress.was_reset:
                continue
            after = self._checkpointed_events.get(item_id, 0)
            texts = progress.texts[after:]
            if (
                len(texts) < MIN_CHECKPOINT_EVENTS
                or len(parts) >= MAX_CHECKPOINT_PARTS
            ):
                continue
            size += sum(len(text) for text in texts)
            if size > MAX_CHECKPOINT_BYTES:
                break
            parts.append(
                TextPart(
                    item_id,
                    after,
                    texts,
                    list(progress.versions),
                    progress.software,
                )
            )
        return parts

    def _on_ownership_lost(self, conflict: CommitConflict) -> None:
        current = conflict.current
        logger.bind(
            job=self.spec.job_id,
            owner=current.head.owner if current else '',
        ).warning('job lost to another owner')
        self._metrics.job_event('lost')
        self.stop()
