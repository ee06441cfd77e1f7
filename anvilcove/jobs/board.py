"""In-memory view of the jobs table."""

import asyncio
from collections.abc import Callable

from anvilcove.jobs.job_memory import job_bytes
from anvilcove.jobs.records import decode_job_row
from anvilcove.jobs.types import JobHead, VersionedJob
from anvilcove.ports.store import StoredRow
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch

# Another daemon takes over a job whose row was not renewed for this long.
LEASE_S = 1.1


class JobsView:
    """Rows of all jobs, as last read from the store.

    `by_id` holds the newest known row of each job, `ended` the ids of jobs
    that were ended.
    """

    __slots__ = (
        'by_id',
        'ended',
        'changed',
        'observed_s',
        'on_wait',
        '_clock',
        '_seen_at_s_by_id',
        '_lease_watch',
        '_listeners',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without jobs."""
        self._clock = clock
        self.by_id: dict[str, VersionedJob] = {}
        # When the newest known row of each job was first seen.
        self._seen_at_s_by_id: dict[str, float] = {}
        self.ended: set[str] = set()
        # Set at each change; whoever waits for it clears it.
        self.changed = asyncio.Event()
        # Returns the time for which changes of the table were seen in time.
        self.observed_s: Callable[[], float] = clock.now
        # Called when somebody starts to wait for a change.
        self.on_wait: Callable[[], None] = lambda: None
        self._lease_watch = LeaseWatch(LEASE_S)
        self._listeners: dict[str, set[asyncio.Event]] = {}

    def on_rows(self, rows: list[StoredRow], full_read: bool) -> None:
        """Apply rows of the table; `full_read` marks a full table read."""
        if full_read:
            present = {row.id.key for row in rows}
            for job_id in [j for j in self.by_id if j not in present]:
                self._forget(job_id)
        for row in rows:
            change = decode_job_row(row)
            if change is None:
                continue
            if change.held is not None:
                self.apply(change.held)
            elif not change.removed:
                self.ended.add(change.job_id)
            else:
                self._forget(change.job_id)
            self._notify(change.job_id)

    def _forget(self, job_id: str) -> None:
        self.by_id.pop(job_id, None)
        self._seen_at_s_by_id.pop(job_id, None)
        self.ended.discard(job_id)
        self._lease_watch.forget(job_id)

    def apply(self, job: VersionedJob) -> None:
        """Store the row of a job if it is newer than the known one."""
        known = self.by_id.get(job.head.job_id)
        if known is None or known.version < job.version:
            self.by_id[job.head.job_id] = job
            self._seen_at_s_by_id[job.head.job_id] = self._clock.now()
            self._notify(job.head.job_id)

    def age_s(self, head: JobHead) -> float:
        """Return the time since the submission of a job, at least.

        It is the age in the row and the time for which this daemon has known
        the row.
        """
        now = self._clock.now()
        seen_at_s = self._seen_at_s_by_id.get(head.job_id, now)
        return head.age_ms / 1000 + now - seen_at_s

    def mark_ended(self, job_id: str) -> None:
        """Record that a job was ended."""
        self.ended.add(job_id)
        self._notify(job_id)

    def on_store_outage(self) -> None:
        """Restart all lease timers: renewals during an outage were unseen."""
        self._lease_watch.reset()

    def abandoned(self) -> list[VersionedJob]:
        """Return unfinished jobs without an owner or with an expired lease."""
        # In an outage of the store the renewals of leases cannot be read.
        now = self.observed_s()
        found = []
        for job_id, job in self.by_id.items():
            if job.head.finished or job_id in self.ended:
                self._lease_watch.forget(job_id)
                continue
            expired = self._lease_watch.expired(job_id, job.version, now)
            if expired or not job.head.owner:
                found.append(job)
        return found

    def memory_of(self, host: str) -> int:
        """Return the memory that the unfinished jobs of a host need."""
        return sum(
            job_bytes(job.head)
            for job_id, job in self.by_id.items()
            if job.head.owner == host
            and not job.head.finished
            and job_id not in self.ended
        )

    def tokens_of_model(self, model: str) -> float:
        """Return the summed token bounds of the known jobs of a model."""
        return float(
            sum(
                job.head.tokens
                for job in self.by_id.values()
                if job.head.model == model
            )
        )

    @property
    def awaited(self) -> bool:
        """Tell whether somebody waits for a change of a job."""
        return bool(self._listeners)

    async def wait_for_change(self, job_id: str, wait_s: float) -> None:
        """Wait until the row of a job changes or `wait_s` is over."""
        event = asyncio.Event()
        listeners = self._listeners.setdefault(job_id, set())
        listeners.add(event)
        self.on_wait()
        try:
            async with asyncio.timeout(wait_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            listeners.discard(event)
            if not listeners:
                self._listeners.pop(job_id, None)

    def _notify(self, job_id: str) -> None:
        self.changed.set()
        for event in self._listeners.get(job_id, ()):
            event.set()
