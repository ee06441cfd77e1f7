"""Encode job results of trainers, and check identifiers of jobs."""

from typing import Any

from msgspec import json

from anvilcove.jobs.reader import ResultPage

COMPLETED = 'completed'
ERRORED = 'errored'
# Identifiers become parts of row keys and object names in the store.
MAX_ID_LENGTH = 120


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
