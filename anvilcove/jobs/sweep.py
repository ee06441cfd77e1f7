"""Remove batch jobs from the store after their retention time."""

from collections.abc import Callable

from loguru import logger

from anvilcove.jobs.board import JobsView
from anvilcove.jobs.records import JobRecords
from anvilcove.jobs.types import JobHead
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.settings.node import NodeBounds
from anvilcove.state.clock import Clock
from anvilcove.telemetry.metrics import NodeMetrics

SWEEP_PERIOD_S = 5.0
# Jobs removed in one sweep; each takes about five store calls. 16 trainers
# with a step each 4 s submit 4 jobs per second; at a lower rate their jobs
# would pile up in the store and in all hosts.
MAX_JOBS_PER_SWEEP = 20
# Added to the time for which results stay readable, for late readers.
READ_MARGIN_S = 30.0
# A job that its trainer never ends is kept this long after its submission.
UNENDED_RETENTION_S = 3600.0


class JobSweeper:
    """Remove expired jobs, on the daemon that holds the orders lease."""

    __slots__ = (
        '_bounds',
        '_records',
        '_jobs_view',
        '_metrics',
        '_clock',
        '_holds_orders_lease',
    )

    def __init__(
        self,
        bounds: NodeBounds,
        records: JobRecords,
        jobs_view: JobsView,
        metrics: NodeMetrics,
        clock: Clock,
        holds_orders_lease: Callable[[], bool],
    ) -> None:
        """Remove nothing before `run`."""
        self._bounds = bounds
        self._records = records
        self._jobs_view = jobs_view
        self._metrics = metrics
        self._clock = clock
        self._holds_orders_lease = holds_orders_lease

    async def run(self) -> None:
        """Remove expired jobs until cancelled."""
        while True:
            await self._clock.sleep(SWEEP_PERIOD_S)
            if self._holds_orders_lease():
                for head in self._removable()[:MAX_JOBS_PER_SWEEP]:
                    await self._remove(head)

    def _removable(self) -> list[JobHead]:
        return [
            job.head
            for job_id, job in self._jobs_view.by_id.items()
            if is_removable(
                self._jobs_view.age_s(job.head),
                job_id in self._jobs_view.ended,
                self._bounds,
            )
        ]

    async def _remove(self, head: JobHead) -> None:
        try:
            await self._records.remove(head.job_id)
        except (StoreUnavailable, StoreAnswerLost) as error:
            # The row of the job is removed last, so the next sweep retries.
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not removed'
            )
            return
        logger.bind(
            job=head.job_id, listed=head.listed, total=head.total
        ).info('job removed')
        self._metrics.job_event('removed')


def is_removable(age_s: float, ended: bool, bounds: NodeBounds) -> bool:
    """Tell whether the retention time of a job of this age is over."""
    if not ended:
        return age_s > max(
            UNENDED_RETENTION_S, bounds.status_s + READ_MARGIN_S
        )
    return age_s > bounds.status_s + READ_MARGIN_S
