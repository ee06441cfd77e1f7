"""Decode job submissions of trainers and encode job results."""

from base64 import b64decode
from typing import Any

from msgspec import json

from anvilcove.jobs.reader import ResultPage
from anvilcove.jobs.types import Item, JobSpec, RewardCall
from anvilcove.messages.numbers import parse_decimal
from anvilcove.platform.access import without_access_headers
from anvilcove.platform.bodies import decode_object, malformed_as
from anvilcove.platform.names import ATTEMPT_ID

COMPLETED = 'completed'
ERRORED = 'errored'
LENGTH_HINT = 'Length-Hint'
MODEL = 'Model'
MAX_HINT_DIGITS = 8
# Identifiers become parts of row keys and object names in the store.
MAX_ID_LENGTH = 120


class JobFormatError(Exception):
    """Raised for a job submission that is malformed."""


def decode_job(
    job_id: str,
    host: str,
    path: str,
    body: bytes,
    workspace: str | None = None,
) -> JobSpec:
    """Decode a job submission, or raise JobFormatError.

    `workspace` is '' for a submission on a public route without a key, and
    None where there are no workspaces, so that headers of items stay as they
    are.
    """
    with malformed_as(JobFormatError, 'submission'):
        data = decode_object(body)
        items = [
            _decode_item(item, workspace is not None)
            for item in data['requests']
        ]
        spec = JobSpec(
            job_id=checked_id(job_id),
            host=host,
            path=path,
            step=int(data.get('step', 0)),
            model=str(data.get('model', '')),
            min_version=int(data.get('min-version', 0)),
            target_groups=int(data.get('target-groups', 0)),
            items=items,
            workspace=workspace or '',
        )
    if len({item.item_id for item in items}) != len(items):
        raise JobFormatError('an item is listed twice')
    return spec


def encode_page(page: ResultPage, after: int) -> bytes:
    """Encode a page with the results of a job from position `after` on."""
    return json.encode(
        {
            'total': page.total,
            'next': after + len(page.results),
            'results': [
                {
                    'id': result.item_id,
                    'state': COMPLETED,
                    'output': result.output,
                    'versions': result.versions,
                    'score': result.score,
                }
                if result.completed
                else {'id': result.item_id, 'state': ERRORED}
                for result in page.results
            ],
        }
    )


def checked_id(text: Any) -> str:
    """Return `text` if it may be part of a row key, or raise ValueError."""
    if (
        not isinstance(text, str)
        or not 0 < len(text) <= MAX_ID_LENGTH
        or not all(c.isascii() and (c.isalnum() or c in '-_') for c in text)
    ):
        raise ValueError(f'identifier {str(text)[:40]!r}')
    return text


def _decode_item(data: dict[str, Any], has_workspaces: bool) -> Item:
    headers = {str(k): str(v) for k, v in data.get('headers', {}).items()}
    if has_workspaces:
        headers = dict(without_access_headers(list(headers.items())))
    # Despite its name, `scorer-url` holds the whole request of the reward
    # call.
    reward = data.get('scorer-url')
    return Item(
        item_id=checked_id(data['id']),
        path=_checked_path(data['path']),
        headers=headers,
        body=_decode_body(data),
        tokens=int(data.get('token-count', 0)),
        group=str(data.get('group-id', '')),
        reward=_decode_reward_call(reward) if reward else None,
        model=headers.get(MODEL, ''),
        length_hint=_length_hint(headers),
    )


def _decode_reward_call(data: dict[str, Any]) -> RewardCall:
    request_id, host = checked_id(data['id']), str(data['host']).lower()
    return RewardCall(
        request_id=request_id,
        host=host,
        path=_checked_path(data['path']),
        headers=[('Host', host), (ATTEMPT_ID, request_id)],
        body=_decode_body(data),
    )


def _decode_body(data: dict[str, Any]) -> bytes:
    return b64decode(data.get('body') or '', validate=True)


def _checked_path(path: Any) -> str:
    if not isinstance(path, str) or not path.startswith('/'):
        raise ValueError('a path is missing')
    if any(c <= ' ' or c > '~' for c in path):
        raise ValueError('a path has characters that need an escape')
    return path


def _length_hint(headers: dict[str, str]) -> int:
    return parse_decimal(headers.get(LENGTH_HINT, ''), MAX_HINT_DIGITS) or 0
