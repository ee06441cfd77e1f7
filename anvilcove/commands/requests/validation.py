"""Validate fields of a submitted request beyond their types."""

import re
from collections.abc import Iterator, Mapping

from anvilcove.commands.requests.sending import DEFAULT_MAX_TOKENS
from anvilcove.messages.callers import SubmitRequest

# Identifiers appear in paths and log lines.
REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
MAX_NAME_LENGTH = 200
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_TOKENS_LIMIT = 1_000_000


def validation_errors(message: SubmitRequest) -> Iterator[str]:
    """Yield an error text for each invalid field of a request."""
    if not REQUEST_ID_PATTERN.fullmatch(message.request_id):
        yield f'request_id must match {REQUEST_ID_PATTERN.pattern}'
    for name in ('class_name', 'caller', 'key'):
        value = getattr(message, name)
        if len(value) > MAX_NAME_LENGTH:
            yield f'{name} is longer than {MAX_NAME_LENGTH} characters'
        if not value and name != 'key':
            yield f'{name} is empty'
    if not message.repeatable and not message.key:
        yield 'key is required when repeatable is false'
    if not 0 <= message.deadline_ms <= MAX_DEADLINE_MS:
        yield f'deadline_ms must be from 0 to {MAX_DEADLINE_MS}'


def generation_errors(body: Mapping[str, object]) -> Iterator[str]:
    """Yield an error text for each invalid field of a generation body."""
    if not isinstance(body.get('prompt'), str):
        yield 'body.prompt must be a string'
    tokens = body.get('max_tokens', DEFAULT_MAX_TOKENS)
    if type(tokens) is not int or not 1 <= tokens <= MAX_TOKENS_LIMIT:
        yield f'body.max_tokens must be from 1 to {MAX_TOKENS_LIMIT}'
