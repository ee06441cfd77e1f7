"""Read and write the rows and objects of batch jobs in the store.

No other module knows the layout of this data but `submissions`, which has that
of the submission.
"""

from loguru import logger
from msgspec import Struct, msgpack
from msgspec.structs import replace
from xxhash import xxh32_intdigest

from anvilcove.control.row_values import decode_value
from anvilcove.jobs.submissions import (
    Submissions,
    encode_record,
    spec_object_name,
)
from anvilcove.jobs.types import (
    Commit,
    ItemFailures,
    ItemResult,
    JobHead,
    JobSpec,
    LargeJobSpec,
    TextPart,
    VersionedJob,
)
from anvilcove.messages.numbers import parse_decimal
from anvilcove.ports.errors import ObjectNotFound, StoreUnavailable
from anvilcove.ports.store import (
    ObjectExists,
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
    StorePort,
)

JOBS_TABLE = 'jobs'
# Keys in these tables start with the id of the job and '/'. A range that ends
# at the id and '0', the character after '/', thus covers the whole job.
RESULTS_TABLE = 'results'
TEXTS_TABLE = 'texts'
FAILURES_TABLE = 'failures'
# All rows of a job are in one partition, so that a commit is one transaction.
# Jobs are spread over partitions, since the store limits the rate of each.
PARTITIONS = [f'p{number}' for number in range(4)]
END_MARK_SUFFIX = '.end'
# Limit of a row of results; the store accepts 64 KiB.
MAX_SEGMENT_BYTES = 40_000
# A longer output is stored as a separate object.
MAX_INLINE_OUTPUT_BYTES = 30_000
# Rows of results in one transaction; the store accepts 1 MB in base64.
MAX_SEGMENTS_PER_COMMIT = 10
# Results whose items a new owner reads at a time; each has up to 30 kB here.
RESULTS_PER_READ = 256
# Rows that one transaction removes; the store accepts 100 entries.
MAX_ROWS_PER_REMOVAL = 90


class CommitConflict(Exception):
    """Raised when another daemon has changed the row of the job."""

    def __init__(self, current: VersionedJob | None) -> None:
        """Store the current row, None if it cannot be read."""
        super().__init__('the row of the job has changed')
        self.current = current


class OtherWorkspace(Exception):
    """Raised for a submission whose id another workspace has used."""


class JobRowChange(Struct):
    """Decoded change of the jobs table.

    `held` is the row of the job; it is None for a removed row and for the
    row that marks the job as ended.
    """

    job_id: str
    held: VersionedJob | None
    removed: bool = False


class JobRecords:
    """Store access for batch jobs."""

    __slots__ = ('_store', 'submissions')

    def __init__(self, store: StorePort) -> None:
        """Use `store` for all reads and writes."""
        self._store = store
        self.submissions = Submissions(store)

    async def create(
        self, spec: JobSpec, head: JobHead, has_workspaces: bool = False
    ) -> VersionedJob:
        """Store a job durably and return its row.

        If the job was already submitted, its existing row is returned
        unchanged. Raises OtherWorkspace if another workspace submitted it.
        """
        try:
            await self.submissions.put(spec)
        except ObjectExists:
            # The same submission is already stored, maybe by another host.
            if has_workspaces:
                head.workspace = await self._stored_workspace(spec)
            if isinstance(spec, LargeJobSpec):
                await self._adopt_stored_parts(spec)
        row_id = head_row_id(spec.job_id)
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(row_id, 0)],
                writes=[RowWrite(row_id, encode_record(head))],
            )
        )
        if outcome.applied:
            return VersionedJob(head, outcome.version)
        current = _first_job(outcome.conflicts)
        if current is None:
            raise StoreUnavailable('cannot decode the row of the job')
        known = current.head.workspace
        if has_workspaces and known and known != spec.workspace:
            # The submission of a job that is being removed is gone first.
            raise OtherWorkspace(spec.job_id)
        return current

    async def _adopt_stored_parts(self, spec: LargeJobSpec) -> None:
        """Use the parts that are stored, and discard others."""
        try:
            stored = await self.load(spec.job_id)
        except ObjectNotFound as error:
            raise StoreUnavailable('the job is being removed') from error
        if stored.item_parts() != spec.parts:
            await self.submissions.discard(spec.parts)
            spec.parts = stored.item_parts()

    async def _stored_workspace(self, spec: JobSpec) -> str:
        """Return the workspace of a stored submission, '' for none.

        Raises OtherWorkspace if it is another one.
        """
        try:
            stored = await self.load(spec.job_id)
        except ObjectNotFound as error:
            raise StoreUnavailable('the job is being removed') from error
        if stored.workspace and stored.workspace != spec.workspace:
            raise OtherWorkspace(spec.job_id)
        return stored.workspace

    async def find(self, job_id: str) -> tuple[VersionedJob | None, bool]:
        """Return the row of a job, if any, and whether the job was ended."""
        page = await self._store.read_range(
            JOBS_TABLE,
            partition_of(job_id),
            job_id,
            job_id + END_MARK_SUFFIX + '\0',
        )
        ended = any(
            row.id.key == job_id + END_MARK_SUFFIX for row in page.rows
        )
        rows = [row for row in page.rows if row.id.key == job_id]
        return _first_job(rows), ended

    async def load(self, job_id: str) -> JobSpec:
        """Read the submission of a job; a large one has no items."""
        return await self.submissions.load(job_id)

    async def commit(self, job: VersionedJob, commit: Commit) -> VersionedJob:
        """Apply a commit to the known row version; return the new row.

        Raises CommitConflict if the row has changed. After StoreAnswerLost
        the same commit may be sent again.
        """
        head = commit.head
        writes = [RowWrite(head_row_id(head.job_id), encode_record(head))]
        position = job.head.listed
        for segment in split_segments(commit.results):
            row_id = result_row_id(head.job_id, position)
            writes.append(RowWrite(row_id, msgpack.encode(segment)))
            position += len(segment)
        writes += [
            RowWrite(
                checkpoint_row_id(head.job_id, part), msgpack.encode(part)
            )
            for part in commit.parts
        ]
        writes += [
            RowWrite(
                failures_row_id(head.job_id, failures),
                msgpack.encode(failures),
            )
            for failures in commit.failures
        ]
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(head_row_id(head.job_id), job.version)],
                writes=writes,
            )
        )
        if outcome.applied:
            return VersionedJob(head, outcome.version)
        current = _first_job(outcome.conflicts)
        if current is not None and current.head.commit_id == head.commit_id:
            return current
        raise CommitConflict(current)

    async def checkpoints(self, job_id: str) -> dict[str, TextPart]:
        """Return the checkpointed text of each unfinished item as one part."""
        page = await self._store.read_range(
            TEXTS_TABLE, partition_of(job_id), f'{job_id}/', f'{job_id}0'
        )
        found: dict[str, TextPart] = {}
        for row in page.rows:
            part = decode_value(row, TextPart)
            if part is None:
                continue
            known = found.setdefault(
                part.item_id, TextPart(part.item_id, 0, [], [])
            )
            if part.after == len(known.texts):
                known.texts += part.texts
                known.versions = part.versions
                known.software = part.software
        return found

    async def failures(self, job_id: str) -> dict[str, ItemFailures]:
        """Return the stored failures of each item that has failed."""
        page = await self._store.read_range(
            FAILURES_TABLE, partition_of(job_id), f'{job_id}/', f'{job_id}0'
        )
        rows = [decode_value(row, ItemFailures) for row in page.rows]
        return {row.item_id: row for row in rows if row is not None}

    async def end(self, job_id: str) -> None:
        """Mark a job as ended; idempotent."""
        row_id = RowId(
            JOBS_TABLE, partition_of(job_id), job_id + END_MARK_SUFFIX
        )
        await self._store.transact(
            RowTransaction(writes=[RowWrite(row_id, b'\xc0')])
        )

    async def remove(self, job_id: str) -> None:
        """Remove all rows and objects of a job, the row of the job last.

        A removal that failed midway can thus be repeated.
        """
        partition = partition_of(job_id)
        names = await self.submissions.part_names(job_id)
        # It names the parts, so that it is removed behind them.
        names.append(spec_object_name(job_id))
        rows: list[RowId] = []
        for table in (RESULTS_TABLE, TEXTS_TABLE, FAILURES_TABLE):
            page = await self._store.read_range(
                table, partition, f'{job_id}/', f'{job_id}0'
            )
            rows += [row.id for row in page.rows]
            if table == RESULTS_TABLE:
                names += _output_objects(page.rows)
        for start in range(0, len(rows), MAX_ROWS_PER_REMOVAL):
            await self._store.transact(
                RowTransaction(
                    removals=rows[start : start + MAX_ROWS_PER_REMOVAL]
                )
            )
        for name in names:
            await self._store.remove_object(name)
        end_row = RowId(JOBS_TABLE, partition, job_id + END_MARK_SUFFIX)
        await self._store.transact(
            RowTransaction(removals=[head_row_id(job_id), end_row])
        )

    async def listed_ids(self, head: JobHead) -> list[str]:
        """Return the items that have a result, in the order of these.

        The texts of a job can take more memory than a host has, so that they
        are read in parts.
        """
        found: list[str] = []
        while len(found) < head.listed:
            results = await self.results(
                head.job_id, len(found), RESULTS_PER_READ
            )
            if not results:
                break
            found += [result.item_id for result in results]
        return found

    async def results(
        self, job_id: str, position: int, count: int | None = None
    ) -> list[ItemResult]:
        """Return the results from `position`, where a segment starts, on.

        With `count`, only segments that start within so many are read.
        """
        partition = partition_of(job_id)
        end = f'{job_id}0'
        if count is not None:
            end = result_row_id(job_id, position + count).key
        page = await self._store.read_range(
            RESULTS_TABLE, partition, result_row_id(job_id, position).key, end
        )
        found: list[ItemResult] = []
        for row in page.rows:
            start = parse_decimal(row.id.key.rpartition('/')[2])
            if start is None:
                logger.bind(row=row.id.key).warning('unknown row skipped')
                continue
            segment = decode_value(row, list[ItemResult])
            if segment is None or start != position + len(found):
                break
            found += segment
        return found

    async def load_output(self, result: ItemResult) -> ItemResult:
        """Return a result with its output, read from its object if any."""
        if not result.output_object:
            return result
        data = await self._store.get_object(result.output_object)
        if not result.output_object.endswith(_digest(data)):
            # The answer of the store was cut or is that of another call.
            raise StoreUnavailable(
                f'{result.output_object}: {len(data)} B of other content'
            )
        return replace(result, output=data.decode(), output_object='')

    async def offload_output(
        self, job_id: str, result: ItemResult
    ) -> ItemResult:
        """Store a long output as an object; return the changed result."""
        data = result.output.encode()
        if len(data) <= MAX_INLINE_OUTPUT_BYTES:
            return result
        name = f'output-{job_id}-{result.item_id}-{_digest(data)}'
        try:
            await self._store.put_object(name, data)
        except ObjectExists:
            # The name contains the digest, so the object has this content.
            pass
        return replace(result, output='', output_object=name)


def decode_job_row(row: StoredRow) -> JobRowChange | None:
    """Decode a row of the jobs table; return None if it is invalid."""
    key = row.id.key
    if key.endswith(END_MARK_SUFFIX):
        return JobRowChange(
            key.removesuffix(END_MARK_SUFFIX), None, row.value is None
        )
    if row.value is None:
        return JobRowChange(key, None, True)
    job = _first_job([row])
    return JobRowChange(key, job) if job else None


def _digest(data: bytes) -> str:
    """Return the digest with which the name of a stored output ends."""
    return f'{xxh32_intdigest(data):08x}'


def partition_of(job_id: str) -> str:
    """Return the partition that holds the rows of a job."""
    return PARTITIONS[xxh32_intdigest(job_id.encode()) % len(PARTITIONS)]


def head_row_id(job_id: str) -> RowId:
    """Return the id of the row of a job."""
    return RowId(JOBS_TABLE, partition_of(job_id), job_id)


def result_row_id(job_id: str, position: int) -> RowId:
    """Return the id of the row whose first result is at `position`."""
    return RowId(
        RESULTS_TABLE, partition_of(job_id), f'{job_id}/{position:08d}'
    )


def checkpoint_row_id(job_id: str, part: TextPart) -> RowId:
    """Return the id of the row of a checkpoint."""
    key = f'{job_id}/{part.item_id}/{part.after:06d}'
    return RowId(TEXTS_TABLE, partition_of(job_id), key)


def failures_row_id(job_id: str, failures: ItemFailures) -> RowId:
    """Return the id of the row of an item's failures."""
    key = f'{job_id}/{failures.item_id}'
    return RowId(FAILURES_TABLE, partition_of(job_id), key)


def split_segments(results: list[ItemResult]) -> list[list[ItemResult]]:
    """Split results, in order, into segments that fit into a row."""
    found: list[list[ItemResult]] = []
    size = 0
    for result in results:
        length = len(msgpack.encode(result))
        if not found or size + length > MAX_SEGMENT_BYTES:
            found.append([])
            size = 0
        found[-1].append(result)
        size += length
    return found


def fit_one_commit(results: list[ItemResult]) -> list[ItemResult]:
    """Return the first results, as many as fit into one transaction."""
    return [
        result
        for segment in split_segments(results)[:MAX_SEGMENTS_PER_COMMIT]
        for result in segment
    ]


def _output_objects(rows: list[StoredRow]) -> list[str]:
    """Return the names of the output objects in rows of results."""
    found = []
    for row in rows:
        segment = decode_value(row, list[ItemResult]) or []
        found += [r.output_object for r in segment if r.output_object]
    return found


def _first_job(rows: list[StoredRow]) -> VersionedJob | None:
    """Return the first row of a job that can be decoded."""
    for row in rows:
        if row.id.table != JOBS_TABLE:
            continue
        head = decode_value(row, JobHead)
        if head is not None:
            return VersionedJob(head, row.version)
    return None
