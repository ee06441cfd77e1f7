"""Serve reads of batch jobs from a cache and the store."""

import asyncio
from collections import OrderedDict

from loguru import logger
from msgspec import Struct

from anvilcove.control.watch import TableWatch
from anvilcove.jobs.board import JobsView
from anvilcove.jobs.job_memory import item_bytes
from anvilcove.jobs.records import JobRecords
from anvilcove.jobs.submissions import parts_of_item
from anvilcove.jobs.types import Item, ItemPart, ItemResult, JobSpec
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.state.clock import Clock
from anvilcove.state.memory_room import MemoryRoom, NoRoom
from anvilcove.telemetry.logs import DECISION

# Limits of the in-memory caches of results and of submissions.
MAX_CACHED_RESULT_BYTES = 12_000_000
MAX_CACHED_SPEC_BYTES = 6_000_000
# Limit of the results in one answer.
MAX_PAGE_BYTES = 900_000
# Submissions that are read and decoded at the same time.
LOADS_AT_ONCE = 4
# A read of a body waits this long for memory.
READ_WAIT_S = 1.0
# The view of the jobs table counts as current up to this age.
MAX_VIEW_AGE_S = 0.9


class ResultPage(Struct):
    """Consecutive results of a job and its total number of items."""

    total: int
    results: list[ItemResult]


class ReadUnavailable(Exception):
    """Raised when a read needs the store and the store does not answer."""


class JobNotFound(Exception):
    """Raised for a job or item that does not exist in the store."""


class JobReader:
    """Read results and submissions of jobs of any owner."""

    __slots__ = (
        '_records',
        '_jobs_view',
        '_watch',
        '_clock',
        '_results',
        '_result_bytes',
        '_specs',
        '_spec_bytes',
        '_room',
        '_loads',
    )

    def __init__(
        self,
        records: JobRecords,
        jobs_view: JobsView,
        watch: TableWatch,
        clock: Clock,
        room: MemoryRoom,
    ) -> None:
        """Start with empty caches; `watch` follows the jobs table.

        Parts of large jobs are read within `room`.
        """
        self._room = room
        self._loads = asyncio.Semaphore(LOADS_AT_ONCE)
        self._records = records
        self._jobs_view = jobs_view
        self._watch = watch
        self._clock = clock
        self._results: OrderedDict[str, list[ItemResult]] = OrderedDict()
        self._result_bytes = 0
        self._specs: OrderedDict[str, JobSpec] = OrderedDict()
        self._spec_bytes = 0

    async def page(
        self,
        job_id: str,
        position: int,
        wait_s: float,
        workspace: str | None = None,
    ) -> ResultPage:
        """Return the results from `position` on that fit into one answer.

        Waits up to `wait_s` for the first of them. Raises JobNotFound, also
        for a job of another workspace, or ReadUnavailable. Without
        `workspace`, jobs of all workspaces are read.
        """
        total = await self._total(job_id)
        await self._check_workspace(job_id, workspace)
        deadline_at_s = self._clock.now() + wait_s
        while True:
            known = await self._cached_results(job_id, position)
            results = _fit_page(known[position:])
            remaining_s = deadline_at_s - self._clock.now()
            if results or remaining_s <= 0 or len(known) >= total:
                outputs = await self._load_outputs(results)
                logger.bind(
                    job=job_id, after=position, results=len(results)
                ).info('results read')
                return ResultPage(total, outputs)
            if job_id in self._jobs_view.ended:
                return ResultPage(total, [])
            await self._jobs_view.wait_for_change(job_id, remaining_s)

    async def body(
        self, job_id: str, item_id: str, workspace: str | None = None
    ) -> bytes:
        """Return the request body of an item.

        Raises JobNotFound or ReadUnavailable.
        """
        await self._total(job_id)
        await self._check_workspace(job_id, workspace)
        spec = await self._spec(job_id)
        item = _find(spec.items, item_id)
        for part in parts_of_item(spec, item_id):
            item = item or _find(await self._load_part(job_id, part), item_id)
        if item is None:
            raise JobNotFound(item_id)
        return item.body

    async def _load_part(self, job_id: str, part: ItemPart) -> list[Item]:
        """Read a part of a large job once there is memory for it."""
        try:
            reserved_bytes = await self._room.reserve(part.size, READ_WAIT_S)
        except NoRoom as error:
            raise ReadUnavailable(str(error)) from error
        try:
            return await self._records.submissions.load_part(part)
        except ObjectNotFound as error:
            raise JobNotFound(job_id) from error
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise ReadUnavailable(str(error)) from error
        finally:
            self._room.release(reserved_bytes)

    async def end(self, job_id: str, workspace: str | None = None) -> None:
        """Mark a job as ended; raises JobNotFound or ReadUnavailable."""
        await self._total(job_id)
        await self._check_workspace(job_id, workspace)
        if job_id in self._jobs_view.ended:
            return
        try:
            await self._records.end(job_id)
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise ReadUnavailable(str(error)) from error
        self._jobs_view.mark_ended(job_id)
        logger.bind(job=job_id).log(DECISION, 'job end stored')

    async def _total(self, job_id: str) -> int:
        job = self._jobs_view.by_id.get(job_id)
        if job is not None:
            return job.head.total
        try:
            found, ended = await self._records.find(job_id)
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise ReadUnavailable(str(error)) from error
        if found is None:
            raise JobNotFound(job_id)
        self._jobs_view.apply(found)
        if ended:
            self._jobs_view.mark_ended(job_id)
        return found.head.total

    async def _check_workspace(
        self, job_id: str, workspace: str | None
    ) -> None:
        """Raise JobNotFound for a job of another workspace.

        A job that was submitted for none, before there were workspaces or to
        a daemon of an earlier build, is open to all.
        """
        if workspace is None:
            return
        job = self._jobs_view.by_id.get(job_id)
        owner = job.head.workspace if job is not None else ''
        if not owner:
            # A daemon of an earlier version may have written the row.
            owner = (await self._spec(job_id)).workspace
        if owner and owner != workspace:
            raise JobNotFound(f'{job_id} of another workspace')

    async def _cached_results(
        self, job_id: str, position: int
    ) -> list[ItemResult]:
        """Return the cached results, completed from the store if needed."""
        known = self._results.get(job_id, [])
        job = self._jobs_view.by_id.get(job_id)
        view_is_current = self._watch.age_s() <= MAX_VIEW_AGE_S
        listed = job.head.listed if job is not None else 0
        if len(known) > position or (view_is_current and listed <= len(known)):
            return known
        # Another read may extend the list while this one awaits the store.
        start = len(known)
        try:
            more = await self._records.results(job_id, start)
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise ReadUnavailable(str(error)) from error
        return self._cache_results(job_id, start, more)

    def _cache_results(
        self, job_id: str, start: int, more: list[ItemResult]
    ) -> list[ItemResult]:
        known = self._results.setdefault(job_id, [])
        self._results.move_to_end(job_id)
        if start > len(known):
            # The list was evicted meanwhile; the next read starts from 0.
            return known
        added = more[len(known) - start :]
        known += added
        self._result_bytes += sum(len(r.output) + 200 for r in added)
        while self._result_bytes > MAX_CACHED_RESULT_BYTES and (
            len(self._results) > 1
        ):
            _, dropped = self._results.popitem(last=False)
            self._result_bytes -= sum(len(r.output) + 200 for r in dropped)
        return known

    async def _spec(self, job_id: str) -> JobSpec:
        if job_id in self._specs:
            return self._specs[job_id]
        async with self._loads:
            # Another read may have loaded it.
            return self._specs.get(job_id) or await self._load(job_id)

    async def _load(self, job_id: str) -> JobSpec:
        try:
            spec = await self._records.load(job_id)
        except ObjectNotFound as error:
            raise JobNotFound(job_id) from error
        except (StoreUnavailable, StoreAnswerLost) as error:
            raise ReadUnavailable(str(error)) from error
        # Another read may have loaded it while this one awaited the store.
        known = self._specs.setdefault(job_id, spec)
        if known is not spec:
            return known
        self._spec_bytes += _spec_size(spec)
        while self._spec_bytes > MAX_CACHED_SPEC_BYTES:
            _, dropped = self._specs.popitem(last=False)
            self._spec_bytes -= _spec_size(dropped)
        return spec

    async def _load_outputs(
        self, results: list[ItemResult]
    ) -> list[ItemResult]:
        try:
            return [await self._records.load_output(r) for r in results]
        except (StoreUnavailable, StoreAnswerLost, ObjectNotFound) as error:
            raise ReadUnavailable(str(error)) from error


def _fit_page(results: list[ItemResult]) -> list[ItemResult]:
    """Return the first results that fit into one answer, at least one."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.output) + 500
        if count and size > MAX_PAGE_BYTES:
            return results[:count]
    return results


def _find(items: list[Item], item_id: str) -> Item | None:
    return next((i for i in items if i.item_id == item_id), None)


def _spec_size(spec: JobSpec) -> int:
    return sum(item_bytes(item) for item in spec.items) + sum(
        len(part.id_hashes) + 200 for part in spec.item_parts()
    )
