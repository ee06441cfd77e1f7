"""Accept batch jobs and assign each to a daemon that runs it."""

import random
import secrets
from collections.abc import Awaitable, Callable, Iterator
from contextlib import suppress
from functools import partial
from math import inf
from typing import Protocol, TypeVar

from loguru import logger
from msgspec.structs import replace

from anvilcove.control.node_rows import NodeRow
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.watch import TableWatch
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.job_memory import JobSize
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.owner_choice import NoOwner, OwnerChoice
from anvilcove.jobs.records import CommitConflict, JobRecords
from anvilcove.jobs.types import (
    LEGACY_SUBMITTED_MS,
    Commit,
    Item,
    JobHead,
    JobSpec,
    LargeJobSpec,
    VersionedJob,
)
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import ObjectExists
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

T = TypeVar('T')

# A job that its owner has not started after this time is assigned to another
# daemon.
START_TIMEOUT_S = 0.8


class LargeItems(Protocol):
    """Items of a job that are decoded one by one, as often as needed."""

    size: JobSize

    def __iter__(self) -> Iterator[Item]:
        """Decode the items."""


class JobNotAccepted(Exception):
    """Raised when a job could not be stored.

    `uncertain` tells that a write may still be applied.
    """

    def __init__(self, reason: str, uncertain: bool) -> None:
        """Store the reason and whether a write may still be applied."""
        super().__init__(reason)
        self.uncertain = uncertain


class JobIntake:
    """Store submissions durably and choose the daemons that run them."""

    __slots__ = (
        '_settings',
        '_nonce',
        '_records',
        '_jobs_view',
        '_watch',
        '_nodes',
        '_owner',
        '_metrics',
        '_clock',
        '_rng',
        '_choice',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        records: JobRecords,
        jobs_view: JobsView,
        watch: TableWatch,
        nodes: NodeDirectory,
        owner: JobOwner,
        metrics: NodeMetrics,
        clock: Clock,
        rng: random.Random,
        holds_orders_lease: Callable[[], bool],
    ) -> None:
        """Set up; `owner` runs the jobs of this daemon."""
        self._settings = settings
        self._nonce = nonce
        self._records = records
        self._jobs_view = jobs_view
        self._watch = watch
        self._nodes = nodes
        self._owner = owner
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._choice = OwnerChoice(
            settings.host, nonce, jobs_view, nodes, owner, holds_orders_lease
        )

    async def accept(
        self,
        spec: JobSpec,
        deadline_at_s: float,
        has_workspaces: bool = False,
        large: LargeItems | None = None,
    ) -> None:
        """Store a job durably and have it run.

        `large` has the items of a job that is too large to be stored in one
        piece, a LargeJobSpec. Store errors are retried until
        `deadline_at_s`; then JobNotAccepted is raised, and at once if no host
        has memory for the job. With `has_workspaces`, OtherWorkspace is raised
        if a job of another workspace has the id.
        """
        size = large.size if large is not None else _size(spec)
        head = await self._new_head(spec, size)
        # The watch may deliver the row before the store's answer arrives; this
        # entry keeps JobOwner from starting the job a second time.
        newly_added = spec.job_id not in self._owner.being_taken_over
        self._owner.being_taken_over.add(spec.job_id)
        try:
            if isinstance(spec, LargeJobSpec) and large is not None:
                await self._store_parts(spec, large, deadline_at_s)
            job = await self._create_with_retries(
                spec, head, deadline_at_s, has_workspaces
            )
        except BaseException:
            self._owner.release_memory(spec.job_id)
            raise
        finally:
            self._choice.decided(spec.job_id)
            if newly_added:
                self._owner.being_taken_over.discard(spec.job_id)
        self._jobs_view.apply(job)
        created = job.head.commit_id == head.commit_id
        logger.bind(
            job=spec.job_id,
            workspace=spec.workspace,
            step=spec.step,
            model=spec.model,
            min_version=spec.min_version,
            items=size.total,
            memory=head.memory_bytes,
            target_groups=spec.target_groups,
            first=created,
            owner=job.head.owner,
            view_age_ms=_age_ms(self._watch),
        ).log(DECISION, 'job accepted')
        self._metrics.job_event('accepted' if created else 'repeated')
        if (
            created
            and head.nonce == self._nonce
            and spec.job_id not in self._owner.runs
        ):
            self._owner.start_run(spec, job, [], {}, {})
            return
        self._owner.release_memory(spec.job_id)
        if created:
            self._owner.spawn(self._reassign_if_not_started(job))

    async def may_exist(self, job_id: str) -> bool:
        """Tell whether a job was accepted before, or may have been."""
        if job_id in self._jobs_view.by_id:
            return True
        try:
            found, _ = await self._records.find(job_id)
        except (StoreUnavailable, StoreAnswerLost):
            return True
        return found is not None

    async def _new_head(self, spec: JobSpec, size: JobSize) -> JobHead:
        """Return the first row of a job, with the owner that has room for it.

        Raises JobNotAccepted if none has, unless the job was accepted before.
        """
        owner = nonce = ''
        try:
            owner, nonce = self._choice.choose(spec.job_id, size.run_bytes())
        except NoOwner as error:
            if not await self.may_exist(spec.job_id):
                raise JobNotAccepted(str(error), uncertain=False) from error
        return JobHead(
            job_id=spec.job_id,
            owner=owner,
            nonce=nonce,
            beat=0,
            commit_id=secrets.token_hex(8),
            listed=0,
            total=size.total,
            legacy_submitted_ms=LEGACY_SUBMITTED_MS,
            host=spec.host,
            path=spec.path,
            model=spec.model,
            tokens=size.tokens,
            item_lifetime_s=self._owner.item_lifetime_s(spec.host, spec.path),
            workspace=spec.workspace,
            memory_bytes=size.run_bytes(),
        )

    async def _store_parts(
        self, spec: LargeJobSpec, large: LargeItems, deadline_at_s: float
    ) -> None:
        """Store the items of a large job, unless they are stored already."""

        async def load() -> JobSpec | None:
            try:
                return await self._records.load(spec.job_id)
            except ObjectNotFound:
                return None

        async def put(name: str, data: bytes) -> None:
            # No other call uses the name: the object is this one.
            with suppress(ObjectExists):
                await self._records.submissions.put_object(name, data)

        stored = await self._retried(load, deadline_at_s)
        if stored is not None:
            spec.parts = stored.item_parts()
            return
        try:
            spec.parts = await self._records.submissions.put_parts(
                spec.job_id,
                large,
                lambda name, data: self._retried(
                    partial(put, name, data), deadline_at_s
                ),
            )
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise JobNotAccepted(str(error), uncertain=False) from error

    async def _reassign_if_not_started(self, job: VersionedJob) -> None:
        """Assign a job to another daemon if its owner does not start it."""
        job_id = job.head.job_id
        deadline_at_s = self._clock.now() + START_TIMEOUT_S
        while self._clock.now() < deadline_at_s:
            await self._jobs_view.wait_for_change(
                job_id, deadline_at_s - self._clock.now()
            )
            current = self._jobs_view.by_id.get(job_id)
            if current is None or current.version != job.version:
                return
        if self._owner.closing or job_id in self._jobs_view.ended:
            return
        substitute = self._choice.substitute(job.head)
        if substitute is None:
            await self._owner.take_over(job, 'its home did not begin')
        else:
            await self._reassign(job, substitute)

    async def _reassign(self, job: VersionedJob, substitute: NodeRow) -> None:
        """Make another daemon the owner of a job that was not started."""
        head = replace(
            job.head,
            owner=substitute.host,
            nonce=substitute.nonce,
            commit_id=secrets.token_hex(8),
            age_ms=self._jobs_view.age_s(job.head) * 1000,
        )
        try:
            self._jobs_view.apply(
                await self._records.commit(job, Commit(head))
            )
        except CommitConflict as conflict:
            if conflict.current is not None:
                self._jobs_view.apply(conflict.current)
            return
        except (StoreUnavailable, StoreAnswerLost) as error:
            # The row is not renewed, so another daemon takes the job over.
            logger.bind(job=head.job_id, reason=str(error)).info(
                'job not reassigned to another daemon'
            )
            return
        logger.bind(
            job=head.job_id, owner=substitute.host, former=job.head.owner
        ).log(DECISION, 'job given to another daemon: its home did not begin')

    async def _create_with_retries(
        self,
        spec: JobSpec,
        head: JobHead,
        deadline_at_s: float,
        has_workspaces: bool,
    ) -> VersionedJob:
        uncertain = False

        async def create() -> VersionedJob:
            nonlocal uncertain
            try:
                return await self._records.create(spec, head, has_workspaces)
            except StoreAnswerLost:
                uncertain = True
                raise

        try:
            return await self._retried(create, deadline_at_s)
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise JobNotAccepted(str(error), uncertain) from error

    async def _retried(
        self, call: Callable[[], Awaitable[T]], deadline_at_s: float
    ) -> T:
        """Repeat a call after errors of the store until the deadline."""
        while True:
            try:
                return await call()
            except (StoreUnavailable, StoreAnswerLost):
                if self._clock.now() >= deadline_at_s:
                    raise
            await self._clock.sleep(self._rng.uniform(0.05, 0.15))


def _size(spec: JobSpec) -> JobSize:
    size = JobSize()
    for item in spec.items:
        size.add(item)
    return size


def _age_ms(watch: TableWatch) -> int | None:
    """Return the age of a watch's data in ms, None before its first answer."""
    age_s = watch.age_s()
    return None if age_s == inf else round(age_s * 1000)
