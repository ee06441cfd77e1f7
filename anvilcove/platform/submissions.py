"""Decode job submissions of trainers.

The cost of a document is that of its shape, not of its length: a body of 32 MB
can hold millions of values. So items are decoded one by one, and room is
reserved before anything is decoded.
"""

import asyncio
from base64 import b64decode
from collections.abc import Iterator, Mapping
from typing import Any

from msgspec import Raw, Struct, field, json
from multidict import CIMultiDict

from anvilcove.jobs.job_memory import PART_BYTES, JobSize
from anvilcove.jobs.types import Item, JobSpec, LargeJobSpec, RewardCall
from anvilcove.messages.numbers import parse_decimal
from anvilcove.platform.access import without_access_headers
from anvilcove.platform.bodies import decode_object, malformed_as
from anvilcove.platform.headers import checked_headers, checked_value
from anvilcove.platform.jobs import checked_id
from anvilcove.platform.names import ATTEMPT_ID
from anvilcove.state.memory_room import SMALL_BODY_BYTES, MemoryRoom

LENGTH_HINT = 'Length-Hint'
MODEL = 'Model'
MAX_HINT_DIGITS = 8
# Largest size of a field of a submission besides its items.
MAX_FIELD_BYTES = 4_096
# Memory of an object that was found in a document but not decoded.
OBJECT_BYTES = 32
# Memory of a value whose bytes stay in the document, and of its reference.
RAW_VALUE_BYTES = 64
# Memory of the id of an item, by which it is listed once.
ID_BYTES = 112
# An item is decoded and encoded beside its document.
ITEM_COPIES = 2
# Encoded part that is stored while the next one is decoded.
PARTS_AT_ONCE = 2
# Items that are decoded before others get their turn.
ITEMS_PER_TURN = 200


class JobFormatError(Exception):
    """Raised for a job submission that is malformed."""


class DocumentRoom:
    """Room for a document while it is decoded and its job is stored."""

    __slots__ = ('_room', '_reserved_bytes')

    def __init__(self, room: MemoryRoom, reserved_bytes: int) -> None:
        """Take over what is reserved for the body."""
        self._room = room
        self._reserved_bytes = reserved_bytes

    def extend(self, extra_bytes: int) -> None:
        """Reserve more at once, or raise NoRoom."""
        self._reserved_bytes += self._room.extend(extra_bytes)

    def keep(self, needed_bytes: int) -> None:
        """Release what exceeds what is needed."""
        self._reserved_bytes = self._room.shrink_to(
            self._reserved_bytes, needed_bytes
        )

    def release(self) -> None:
        """Release all; it may be called again."""
        self.keep(0)


class ItemDecoder:
    """Items of a submission, decoded one by one each time they are read."""

    __slots__ = ('size', '_items', '_has_workspaces', '_max_head_bytes')

    def __init__(
        self, items: list[Raw], has_workspaces: bool, max_head_bytes: int
    ) -> None:
        """Start with the bytes of the items in their document."""
        self.size = JobSize()
        self._items = items
        self._has_workspaces = has_workspaces
        self._max_head_bytes = max_head_bytes

    def __iter__(self) -> Iterator[Item]:
        """Decode the items, or raise an error for a malformed one."""
        for raw in self._items:
            yield _decode_item(raw, self._has_workspaces, self._max_head_bytes)

    async def check(self) -> list[Item] | None:
        """Decode all items once; return them unless they are many.

        Raises an error for malformed ones. Afterwards `size` is known.
        """
        items: list[Item] | None = []
        known_ids = set()
        for number, item in enumerate(self):
            if number % ITEMS_PER_TURN == ITEMS_PER_TURN - 1:
                await asyncio.sleep(0)
            known_ids.add(item.item_id)
            self.size.add(item)
            if self.size.item_bytes > PART_BYTES:
                items = None
            if items is not None:
                items.append(item)
        if len(known_ids) != self.size.total:
            raise JobFormatError('an item is listed twice')
        return items


class SubmittedJob(Struct):
    """Decoded submission; `large` has the items of one with many."""

    spec: JobSpec
    large: ItemDecoder | None


class _AnyObject(Struct, gc=False):
    """Object whose fields are skipped."""


class _Document(Struct):
    """Submission whose values are not decoded yet."""

    requests: Raw
    step: Raw = Raw(b'0')
    model: Raw = Raw(b'""')
    min_version: Raw = field(default=Raw(b'0'), name='min-version')
    target_groups: Raw = field(default=Raw(b'0'), name='target-groups')


class _ListedItem(Struct):
    """Item whose values are not decoded yet."""

    id: Raw
    path: Raw
    headers: Raw = Raw(b'{}')
    body: Raw = Raw(b'null')
    token_count: Raw = field(default=Raw(b'0'), name='token-count')
    group_id: Raw = field(default=Raw(b'""'), name='group-id')
    # Despite its name, it holds the whole request of the reward call.
    scorer_url: Raw = field(default=Raw(b'null'), name='scorer-url')


class _ListedCall(Struct):
    """Reward call whose values are not decoded yet."""

    id: Raw
    host: Raw
    path: Raw
    body: Raw = Raw(b'null')


async def decode_job(
    job_id: str,
    host: str,
    path: str,
    body: bytes,
    room: DocumentRoom,
    max_head_bytes: int,
    workspace: str | None = None,
) -> SubmittedJob:
    """Decode a job submission, or raise JobFormatError or NoRoom.

    What an item has besides bodies is at most `max_head_bytes`, the largest
    head of a request. `room` is released after an error. `workspace` is '' for
    a submission on a public route without a key, and None where there are no
    workspaces, so that headers of items stay as they are.
    """
    try:
        return await _decode(
            job_id, host, path, body, room, max_head_bytes, workspace
        )
    except BaseException:
        room.release()
        raise


async def _decode(
    job_id: str,
    host: str,
    path: str,
    body: bytes,
    room: DocumentRoom,
    max_head_bytes: int,
    workspace: str | None,
) -> SubmittedJob:
    with malformed_as(JobFormatError, 'submission'):
        document = json.decode(body, type=_Document)
    _reserve_list(room, document.requests)
    with malformed_as(JobFormatError, 'submission'):
        count = len(json.decode(document.requests, type=list[_AnyObject]))
    _reserve_items(room, body, count)
    with malformed_as(JobFormatError, 'submission'):
        listed = json.decode(document.requests, type=list[Raw])
    _reserve_largest(room, listed, max_head_bytes)
    with malformed_as(JobFormatError, 'submission'):
        decoder = ItemDecoder(listed, workspace is not None, max_head_bytes)
        items = await decoder.check()
        kind = JobSpec if items is not None else LargeJobSpec
        spec = kind(
            job_id=checked_id(job_id),
            host=host,
            path=path,
            step=int(_value(document.step)),
            model=str(_value(document.model)),
            min_version=int(_value(document.min_version)),
            target_groups=int(_value(document.target_groups)),
            items=items or [],
            workspace=workspace or '',
        )
    return SubmittedJob(spec, decoder if items is None else None)


def _reserve_list(room: DocumentRoom, requests: Raw) -> None:
    """Reserve memory for as many items as there can be objects."""
    if len(memoryview(requests)) <= SMALL_BODY_BYTES:
        return
    # The copy is that for which the room of a body counts twice.
    room.extend(bytes(requests).count(b'{') * OBJECT_BYTES)


def _reserve_items(room: DocumentRoom, body: bytes, count: int) -> None:
    """Reserve memory for the bytes and ids of the items."""
    if len(body) <= SMALL_BODY_BYTES:
        return
    room.keep(len(body))
    room.extend(count * (RAW_VALUE_BYTES + ID_BYTES))


def _reserve_largest(
    room: DocumentRoom, listed: list[Raw], max_head_bytes: int
) -> None:
    """Reserve memory for the largest item, and the parts that are stored."""
    total = sum(len(memoryview(raw)) for raw in listed)
    if total <= SMALL_BODY_BYTES:
        return
    largest = max(listed, key=lambda raw: len(memoryview(raw)))
    if len(memoryview(largest)) > SMALL_BODY_BYTES:
        # One that can never be served is refused for that.
        with malformed_as(JobFormatError, 'submission'):
            _listed_item(largest, max_head_bytes)
        room.extend(ITEM_COPIES * len(memoryview(largest)))
    room.extend(min(total, PARTS_AT_ONCE * PART_BYTES))


def _decode_item(raw: Raw, has_workspaces: bool, max_head_bytes: int) -> Item:
    listed, reward = _listed_item(raw, max_head_bytes)
    headers = checked_headers(decode_object(bytes(listed.headers)))
    if has_workspaces:
        headers = dict(without_access_headers(list(headers.items())))
    return Item(
        item_id=checked_id(json.decode(listed.id)),
        path=_checked_path(json.decode(listed.path)),
        headers=headers,
        body=_decode_body(listed.body),
        tokens=int(json.decode(listed.token_count)),
        group=str(json.decode(listed.group_id)),
        reward=_decode_reward_call(reward) if reward else None,
        model=CIMultiDict(headers).get(MODEL, ''),
        length_hint=_length_hint(CIMultiDict(headers)),
    )


def _listed_item(
    raw: Raw, max_head_bytes: int
) -> tuple[_ListedItem, _ListedCall | None]:
    """Return an item and its reward call, or raise JobFormatError.

    What it has besides bodies is not larger than the head of a request.
    """
    item = json.decode(raw, type=_ListedItem)
    reward = None
    head_bytes = len(memoryview(raw)) - len(memoryview(item.body))
    if bytes(memoryview(item.scorer_url)[:5]) not in (b'null', b'{}'):
        reward = json.decode(item.scorer_url, type=_ListedCall)
        head_bytes -= len(memoryview(reward.body))
    if head_bytes > max_head_bytes:
        raise JobFormatError(
            f'an item has {head_bytes} B besides its body, '
            f'{max_head_bytes} are allowed'
        )
    return item, reward


def _decode_reward_call(call: _ListedCall) -> RewardCall:
    request_id = checked_id(json.decode(call.id))
    host = checked_value(str(json.decode(call.host))).lower()
    return RewardCall(
        request_id=request_id,
        host=host,
        path=_checked_path(json.decode(call.path)),
        headers=[('Host', host), (ATTEMPT_ID, request_id)],
        body=_decode_body(call.body),
    )


def _decode_body(raw: Raw) -> bytes:
    """Return the bytes of a text in base64; nothing stands for none."""
    text = memoryview(raw)
    if len(text) <= MAX_FIELD_BYTES:
        return b64decode(json.decode(raw) or '', validate=True)
    # Without the text as an object of its own.
    return json.decode(raw, type=bytes)


def _value(raw: Raw) -> Any:
    if len(memoryview(raw)) > MAX_FIELD_BYTES:
        raise JobFormatError('a field of the submission is too large')
    return json.decode(raw)


def _checked_path(path: Any) -> str:
    if not isinstance(path, str) or not path.startswith('/'):
        raise ValueError('a path is missing')
    if any(c <= ' ' or c > '~' for c in path):
        raise ValueError('a path has characters that need an escape')
    return path


def _length_hint(headers: Mapping[str, str]) -> int:
    return parse_decimal(headers.get(LENGTH_HINT, ''), MAX_HINT_DIGITS) or 0
