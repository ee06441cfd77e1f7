"""Batch jobs as the store shows them."""

import asyncio

from anvilcove.jobs.records import decode_job_row
from anvilcove.jobs.types import HeldJob
from anvilcove.ports.store import StoredRow
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch

# A job whose row has stood still for this long is taken over.
LEASE_S = 1.5


class JobBoard:
    """Rows of all jobs and which of them need a new owner."""

    __slots__ = ('by_id', 'ended', '_clock', '_watch', '_waiting')

    def __init__(self, clock: Clock) -> None:
        """Know no job."""
        self.by_id: dict[str, HeldJob] = {}
        self.ended: set[str] = set()
        self._clock = clock
        self._watch = LeaseWatch(LEASE_S)
        self._waiting: dict[str, set[asyncio.Event]] = {}

    def on_rows(self, rows: list[StoredRow], whole: bool) -> None:
        """Adopt rows of the jobs table."""
        if whole:
            present = {row.id.key for row in rows}
            for job_id in [j for j in self.by_id if j not in present]:
                self._forget(job_id)
        for row in rows:
            change = decode_job_row(row)
            if change is None:
                continue
            if change.held is not None:
                self.adopt(change.held)
            elif not change.removed:
                self.ended.add(change.job_id)
            else:
                self._forget(change.job_id)
            self._wake(change.job_id)

    def _forget(self, job_id: str) -> None:
        self.by_id.pop(job_id, None)
        self.ended.discard(job_id)
        self._watch.forget(job_id)

    def adopt(self, held: HeldJob) -> None:
        """Keep the newest known row of a job."""
        known = self.by_id.get(held.head.job_id)
        if known is None or known.version < held.version:
            self.by_id[held.head.job_id] = held
            self._wake(held.head.job_id)

    def end(self, job_id: str) -> None:
        """Note the end of a job."""
        self.ended.add(job_id)
        self._wake(job_id)

    def store_was_away(self) -> None:
        """Start every watch again: no renewal could be seen meanwhile."""
        self._watch.restart()

    def abandoned(self) -> list[HeldJob]:
        """Return the open jobs whose owner gave up or stood still."""
        now = self._clock.now()
        found = []
        for job_id, held in self.by_id.items():
            if held.head.finished or job_id in self.ended:
                self._watch.forget(job_id)
                continue
            expired = self._watch.expired(job_id, held.version, now)
            if expired or not held.head.owner:
                found.append(held)
        return found

    def work_of(self, model: str) -> float:
        """Return the tokens of the known jobs of a model."""
        return float(
            sum(
                held.head.tokens
                for held in self.by_id.values()
                if held.head.model == model
            )
        )

    async def changed(self, job_id: str, wait_s: float) -> None:
        """Wait until the row of a job changes, at most for a time."""
        event = asyncio.Event()
        waiting = self._waiting.setdefault(job_id, set())
        waiting.add(event)
        try:
            async with asyncio.timeout(wait_s):
                await event.wait()
        except TimeoutError:
            return
        finally:
            waiting.discard(event)
            if not waiting:
                self._waiting.pop(job_id, None)

    def _wake(self, job_id: str) -> None:
        for event in self._waiting.get(job_id, ()):
            event.set()
