"""The one writer and reader of what the store keeps of batch jobs."""

from msgspec import DecodeError, Struct, ValidationError, msgpack
from msgspec.structs import replace
from xxhash import xxh32_intdigest

from anvilcove.control.row_values import decode_value
from anvilcove.jobs.types import (
    Commit,
    HeldJob,
    ItemResult,
    JobHead,
    JobSpec,
    TextPart,
)
from anvilcove.ports.errors import StoreUnavailable
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
RESULTS_TABLE = 'results'
TEXTS_TABLE = 'texts'
# Rows of one job share a part, so that a commit is one transaction; jobs are
# spread over parts, since a part has a rate of its own.
PARTS = [f'p{number}' for number in range(4)]
END_SUFFIX = '.end'
# A row of results stays below this, of the 64 KiB that the store takes.
SEGMENT_BYTES = 40_000
# A longer output becomes an object of its own.
INLINE_OUTPUT_BYTES = 30_000
# Rows of results in one transaction; the store takes 1 MB in base64.
SEGMENTS_PER_COMMIT = 10
# Rows that one transaction removes; the store takes 100 entries.
ROWS_PER_REMOVAL = 90


class CommitConflict(Exception):
    """Raised when another daemon has written the job's row."""

    def __init__(self, current: HeldJob | None) -> None:
        """Keep the row that stands there now."""
        super().__init__('the row of the job has changed')
        self.current = current


class JobRow(Struct):
    """A decoded row of the jobs table.

    `held` is None for the row that marks the end of the job.
    """

    job_id: str
    held: HeldJob | None
    removed: bool = False


class JobRecords:
    """Batch jobs in the store."""

    __slots__ = ('_store',)

    def __init__(self, store: StorePort) -> None:
        """Keep the store."""
        self._store = store

    async def create(self, spec: JobSpec, head: JobHead) -> HeldJob:
        """Keep a job for good; return the row that stands afterwards.

        It is the row of an earlier submission if there was one.
        """
        name = spec_object(spec.job_id)
        try:
            await self._store.put_object(name, msgpack.encode(spec))
        except ObjectExists:
            # The same submission was written before, maybe by another host.
            pass
        row_id = head_row(spec.job_id)
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(row_id, 0)],
                writes=[RowWrite(row_id, msgpack.encode(head))],
            )
        )
        if outcome.applied:
            return HeldJob(head, outcome.version)
        current = _held(outcome.conflicts)
        if current is None:
            raise StoreUnavailable('the row of the job cannot be read')
        return current

    async def find(self, job_id: str) -> tuple[HeldJob | None, bool]:
        """Return the row of a job and whether the job was ended."""
        page = await self._store.read_range(
            JOBS_TABLE, part_of(job_id), job_id, job_id + END_SUFFIX + '\0'
        )
        ended = any(row.id.key == job_id + END_SUFFIX for row in page.rows)
        rows = [row for row in page.rows if row.id.key == job_id]
        return _held(rows), ended

    async def load(self, job_id: str) -> JobSpec:
        """Read a submission."""
        data = await self._store.get_object(spec_object(job_id))
        try:
            return msgpack.decode(data, type=JobSpec)
        except (DecodeError, ValidationError) as error:
            raise StoreUnavailable(f'submission of {job_id}') from error

    async def commit(self, held: HeldJob, commit: Commit) -> HeldJob:
        """Write the row and what belongs to it, or raise CommitConflict.

        After StoreAnswerLost the same commit may be sent again.
        """
        head = commit.head
        writes = [RowWrite(head_row(head.job_id), msgpack.encode(head))]
        position = held.head.listed
        for segment in segments(commit.results):
            row_id = result_row(head.job_id, position)
            writes.append(RowWrite(row_id, msgpack.encode(segment)))
            position += len(segment)
        writes += [
            RowWrite(part_row(head.job_id, part), msgpack.encode(part))
            for part in commit.parts
        ]
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(head_row(head.job_id), held.version)],
                writes=writes,
            )
        )
        if outcome.applied:
            return HeldJob(head, outcome.version)
        current = _held(outcome.conflicts)
        if current is not None and current.head.commit_id == head.commit_id:
            return current
        raise CommitConflict(current)

    async def texts(self, job_id: str) -> dict[str, TextPart]:
        """Return the kept texts of unfinished items, each as one part."""
        page = await self._store.read_range(
            TEXTS_TABLE, part_of(job_id), f'{job_id}/', f'{job_id}0'
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
        return found

    async def end(self, job_id: str) -> None:
        """Mark a job as ended; doing it again changes nothing."""
        row_id = RowId(JOBS_TABLE, part_of(job_id), job_id + END_SUFFIX)
        await self._store.transact(
            RowTransaction(writes=[RowWrite(row_id, b'\xc0')])
        )

    async def remove(self, job_id: str) -> None:
        """Remove everything of a job, its row last."""
        part = part_of(job_id)
        names = [spec_object(job_id)]
        rows: list[RowId] = []
        for table in (RESULTS_TABLE, TEXTS_TABLE):
            page = await self._store.read_range(
                table, part, f'{job_id}/', f'{job_id}0'
            )
            rows += [row.id for row in page.rows]
            if table == RESULTS_TABLE:
                names += _output_objects(page.rows)
        for start in range(0, len(rows), ROWS_PER_REMOVAL):
            await self._store.transact(
                RowTransaction(removals=rows[start : start + ROWS_PER_REMOVAL])
            )
        for name in names:
            await self._store.remove_object(name)
        end_row = RowId(JOBS_TABLE, part, job_id + END_SUFFIX)
        await self._store.transact(
            RowTransaction(removals=[head_row(job_id), end_row])
        )

    async def results(self, job_id: str, position: int) -> list[ItemResult]:
        """Return the results from a position that starts a segment on."""
        part = part_of(job_id)
        page = await self._store.read_range(
            RESULTS_TABLE,
            part,
            result_row(job_id, position).key,
            f'{job_id}0',
        )
        found: list[ItemResult] = []
        for row in page.rows:
            segment = decode_value(row, list[ItemResult])
            start = int(row.id.key.rpartition('/')[2])
            if segment is None or start != position + len(found):
                break
            found += segment
        return found

    async def with_output(self, result: ItemResult) -> ItemResult:
        """Return a result with its output, wherever that is kept."""
        if not result.output_object:
            return result
        data = await self._store.get_object(result.output_object)
        return replace(result, output=data.decode(), output_object='')

    async def keep_output(self, job_id: str, result: ItemResult) -> ItemResult:
        """Move a long output into an object, named by what made it."""
        data = result.output.encode()
        if len(data) <= INLINE_OUTPUT_BYTES:
            return result
        digest = xxh32_intdigest(data)
        name = f'output-{job_id}-{result.item_id}-{digest:08x}'
        try:
            await self._store.put_object(name, data)
        except ObjectExists:
            # The name holds the digest, so the object has this content.
            pass
        return replace(result, output='', output_object=name)


def decode_job_row(row: StoredRow) -> JobRow | None:
    """Decode a row of the jobs table; None for one that cannot be read."""
    key = row.id.key
    if key.endswith(END_SUFFIX):
        return JobRow(key.removesuffix(END_SUFFIX), None, row.value is None)
    if row.value is None:
        return JobRow(key, None, True)
    held = _held([row])
    return JobRow(key, held) if held else None


def part_of(job_id: str) -> str:
    """Return the part that the rows of a job share."""
    return PARTS[xxh32_intdigest(job_id.encode()) % len(PARTS)]


def head_row(job_id: str) -> RowId:
    """Return the name of a job's row."""
    return RowId(JOBS_TABLE, part_of(job_id), job_id)


def result_row(job_id: str, position: int) -> RowId:
    """Return the name of the row whose first result has a position."""
    return RowId(RESULTS_TABLE, part_of(job_id), f'{job_id}/{position:08d}')


def part_row(job_id: str, part: TextPart) -> RowId:
    """Return the name of the row of a part of a text."""
    key = f'{job_id}/{part.item_id}/{part.after:06d}'
    return RowId(TEXTS_TABLE, part_of(job_id), key)


def spec_object(job_id: str) -> str:
    """Return the name of the object that keeps a submission."""
    return f'job-{job_id}'


def segments(results: list[ItemResult]) -> list[list[ItemResult]]:
    """Split results into rows that the store takes, in order."""
    found: list[list[ItemResult]] = []
    size = 0
    for result in results:
        length = len(msgpack.encode(result))
        if not found or size + length > SEGMENT_BYTES:
            found.append([])
            size = 0
        found[-1].append(result)
        size += length
    return found


def first_commit(results: list[ItemResult]) -> list[ItemResult]:
    """Return the results that fit into one transaction."""
    return [
        result
        for segment in segments(results)[:SEGMENTS_PER_COMMIT]
        for result in segment
    ]


def _output_objects(rows: list[StoredRow]) -> list[str]:
    """Return the objects that rows of results name."""
    found = []
    for row in rows:
        segment = decode_value(row, list[ItemResult]) or []
        found += [r.output_object for r in segment if r.output_object]
    return found


def _held(rows: list[StoredRow]) -> HeldJob | None:
    """Return the first row of a job that can be read."""
    for row in rows:
        if row.id.table != JOBS_TABLE:
            continue
        head = decode_value(row, JobHead)
        if head is not None:
            return HeldJob(head, row.version)
    return None
