"""Store and load the submissions of batch jobs.

A submission is one object. A large one has its items in parts, each an object
or several, which are loaded one by one. No other module knows the layout.
"""

import asyncio
from array import array
from collections.abc import Awaitable, Callable, Iterable
from secrets import token_hex
from sys import byteorder

from msgspec import msgpack
from msgspec.structs import astuple
from xxhash import xxh32_intdigest, xxh64_hexdigest

from anvilcove.jobs.job_memory import PART_BYTES, item_bytes
from anvilcove.jobs.types import (
    Item,
    ItemPart,
    JobHead,
    JobSpec,
    LargeJobSpec,
)
from anvilcove.messages.base import DECODE_ERRORS
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import StorePort

# Size of the objects of a part; the store accepts 8 MB.
OBJECT_BYTES = 4 << 20
# Daemons of earlier versions can't decode the submission of a large job with
# this mark and leave the job to others; they would find no items in it.
DIVIDED = 'parts'

# Writes an object that only this call of the daemon writes.
PutObject = Callable[[str, bytes], Awaitable[None]]


class Submissions:
    """Store access for the submissions of batch jobs."""

    __slots__ = ('_store',)

    def __init__(self, store: StorePort) -> None:
        """Use `store` for all reads and writes."""
        self._store = store

    async def put_parts(
        self, job_id: str, items: Iterable[Item], put: PutObject
    ) -> list[ItemPart]:
        """Store items in parts; `load` knows them once the job is stored.

        Each call has objects of its own, so that daemons that store the same
        submission at the same time can discard theirs. What was stored is
        removed again if `put` raises an error.
        """
        prefix = f'items-{job_id}-{token_hex(4)}'
        parts: list[ItemPart] = []
        # One part is stored while the next one is decoded and encoded.
        storing: asyncio.Task[None] | None = None
        try:
            for group in _divided(items):
                data = msgpack.encode(group)
                part = ItemPart([], _id_hashes(group), len(data))
                parts.append(part)
                if storing is not None:
                    await storing
                name = f'{prefix}-{len(parts)}'
                storing = asyncio.create_task(_put_part(name, data, part, put))
                await asyncio.sleep(0)
            if storing is not None:
                await storing
        except (StoreUnavailable, StoreAnswerLost):
            await self.discard(parts)
            raise
        return parts

    async def put(self, spec: JobSpec) -> None:
        """Store a submission, or raise ObjectExists."""
        await self._store.put_object(
            spec_object_name(spec.job_id), encode_record(spec)
        )

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object of a part, or raise ObjectExists."""
        await self._store.put_object(name, data)

    async def load(self, job_id: str) -> JobSpec:
        """Read a submission; raises ObjectNotFound or StoreUnavailable."""
        data = await self._store.get_object(spec_object_name(job_id))
        try:
            return _decode_submission(data)
        except DECODE_ERRORS as error:
            raise StoreUnavailable(
                f'cannot decode the submission of {job_id}'
            ) from error

    def group_count(self, spec: JobSpec) -> int:
        """Return the number of groups in which items are loaded."""
        return len(spec.item_parts()) or 1

    async def item_group(self, spec: JobSpec, number: int) -> list[Item]:
        """Return the items of a group, in the order of the submission."""
        parts = spec.item_parts()
        if not parts:
            return spec.items
        return await self.load_part(parts[number])

    async def part_names(self, job_id: str) -> list[str]:
        """Return the names of the objects of the parts of a job, if any."""
        try:
            spec = await self.load(job_id)
        except ObjectNotFound:
            return []
        return [name for part in spec.item_parts() for name in part.objects]

    async def load_part(self, part: ItemPart) -> list[Item]:
        """Read the items of a part."""
        data = bytearray()
        for name in part.objects:
            piece = await self._store.get_object(name)
            if not name.endswith(xxh64_hexdigest(piece)):
                # The answer of the store was cut or is that of another call.
                raise StoreUnavailable(
                    f'{name}: {len(piece)} B of other content'
                )
            data += piece
        try:
            return msgpack.decode(data, type=list[Item])
        except DECODE_ERRORS as error:
            raise StoreUnavailable(
                f'cannot decode {part.objects[0]}'
            ) from error

    async def discard(self, parts: list[ItemPart]) -> None:
        """Remove parts that no submission names, as far as the store does."""
        for part in parts:
            for name in part.objects:
                try:
                    await self._store.remove_object(name)
                except (StoreUnavailable, StoreAnswerLost):
                    return


async def _put_part(
    prefix: str, data: bytes, part: ItemPart, put: PutObject
) -> None:
    """Store the objects of a part and add their names to it."""
    view = memoryview(data)
    for start in range(0, len(view), OBJECT_BYTES):
        piece = bytes(view[start : start + OBJECT_BYTES])
        name = f'{prefix}-{len(part.objects)}-{xxh64_hexdigest(piece)}'
        part.objects.append(name)
        await put(name, piece)


def spec_object_name(job_id: str) -> str:
    """Return the name of the object that holds a submission."""
    return f'job-{job_id}'


def encode_record(record: JobSpec | JobHead) -> bytes:
    """Encode a record without last fields that are unused.

    Daemons of earlier versions don't write these.
    """
    if isinstance(record, LargeJobSpec):
        return msgpack.encode([DIVIDED, record])
    fields = astuple(record)
    if isinstance(record, JobHead):
        if record.memory_bytes:
            return msgpack.encode(fields)
        fields = fields[:-1]
    return msgpack.encode(fields if record.workspace else fields[:-1])


def _decode_submission(data: bytes) -> JobSpec:
    try:
        return msgpack.decode(data, type=JobSpec)
    except DECODE_ERRORS:
        mark, spec = msgpack.decode(data, type=tuple[str, LargeJobSpec])
        if mark != DIVIDED:
            raise
        return spec


def _divided(items: Iterable[Item]) -> Iterable[list[Item]]:
    """Yield items in parts of about PART_BYTES."""
    group: list[Item] = []
    size = 0
    for item in items:
        added = item_bytes(item)
        if group and size + added > PART_BYTES:
            yield group
            group, size = [], 0
        group.append(item)
        size += added
    if group:
        yield group


def _id_hashes(items: list[Item]) -> bytes:
    found = array('I', [xxh32_intdigest(i.item_id.encode()) for i in items])
    if byteorder == 'big':
        found.byteswap()
    return found.tobytes()


def parts_of_item(spec: JobSpec, item_id: str) -> list[ItemPart]:
    """Return the parts of a large job that may have an item."""
    wanted = xxh32_intdigest(item_id.encode())
    return [part for part in spec.item_parts() if wanted in _hashes(part)]


def _hashes(part: ItemPart) -> 'array[int]':
    found = array('I', part.id_hashes)
    if byteorder == 'big':
        found.byteswap()
    return found
