"""Remove batch jobs that nobody may read any more from the store."""

from collections.abc import Callable

from loguru import logger

from anvilcove.control.watch import TableWatch
from anvilcove.jobs.board import JobBoard
from anvilcove.jobs.records import JobRecords
from anvilcove.jobs.types import JobHead
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.settings.node import NodeBounds
from anvilcove.state.clock import Clock
from anvilcove.telemetry.metrics import NodeMetrics

SWEEP_S = 5.0
# Jobs removed in one round; each costs about five calls of the store.
JOBS_PER_ROUND = 4
# Added to the time for which results must be readable: readers may be late.
READ_MARGIN_S = 30.0
# A job that is never ended is kept for this long after its submission.
ABANDONED_S = 3600.0


class JobSweeper:
    """Remove old jobs, on the daemon that is the home of new ones."""

    __slots__ = (
        '_bounds',
        '_records',
        '_board',
        '_watch',
        '_metrics',
        '_clock',
        '_is_home',
    )

    def __init__(
        self,
        bounds: NodeBounds,
        records: JobRecords,
        board: JobBoard,
        watch: TableWatch,
        metrics: NodeMetrics,
        clock: Clock,
        is_home: Callable[[], bool],
    ) -> None:
        """Remove nothing before `run`; `watch` is that of the jobs table."""
        self._bounds = bounds
        self._records = records
        self._board = board
        self._watch = watch
        self._metrics = metrics
        self._clock = clock
        self._is_home = is_home

    async def run(self) -> None:
        """Remove old jobs for ever."""
        while True:
            await self._clock.sleep(SWEEP_S)
            if self._is_home():
                for head in self._removable()[:JOBS_PER_ROUND]:
                    await self._remove(head)

    def _removable(self) -> list[JobHead]:
        now_ms = self._watch.store_now_ms()
        return [
            held.head
            for job_id, held in self._board.by_id.items()
            if is_removable(
                held.head, job_id in self._board.ended, now_ms, self._bounds
            )
        ]

    async def _remove(self, head: JobHead) -> None:
        try:
            await self._records.remove(head.job_id)
        except (StoreUnavailable, StoreAnswerLost) as error:
            # The row of the job goes last, so the next round goes on.
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not removed'
            )
            return
        logger.bind(
            job=head.job_id, listed=head.listed, total=head.total
        ).info('job removed')
        self._metrics.job_event('removed')


def is_removable(
    head: JobHead, ended: bool, now_ms: float, bounds: NodeBounds
) -> bool:
    """Tell whether nobody may read a job any more."""
    age_s = (now_ms - head.submitted_ms) / 1000
    if not ended:
        return age_s > max(ABANDONED_S, bounds.status_s + READ_MARGIN_S)
    return age_s > bounds.status_s + READ_MARGIN_S
