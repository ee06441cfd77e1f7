"""Check what the types of a submitted request do not express."""

import re
from collections.abc import Iterator

from anvilcove.commands.requests.sending import DEFAULT_MAX_TOKENS
from anvilcove.messages.callers import SubmitRequest

# Identifiers appear in paths and log lines.
IDENTIFIER = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:-]{0,127}')
NAME_LENGTH = 200
LONGEST_DEADLINE_MS = 24 * 3600 * 1000
MOST_TOKENS = 1_000_000


def faults(message: SubmitRequest) -> Iterator[str]:
    """Yield what is wrong with a request."""
    if not IDENTIFIER.fullmatch(message.request_id):
        yield f'request_id must match {IDENTIFIER.pattern}'
    for name in ('class_name', 'caller', 'key'):
        value = getattr(message, name)
        if len(value) > NAME_LENGTH:
            yield f'{name} is longer than {NAME_LENGTH} characters'
        if not value and name != 'key':
            yield f'{name} is empty'
    if not message.repeatable and not message.key:
        yield 'key is required when repeatable is false'
    if not 0 <= message.deadline_ms <= LONGEST_DEADLINE_MS:
        yield f'deadline_ms must be from 0 to {LONGEST_DEADLINE_MS}'


def generation_faults(message: SubmitRequest) -> Iterator[str]:
    """Yield what is wrong with the body of a generation."""
    if not isinstance(message.body.get('prompt'), str):
        yield 'body.prompt must be a string'
    tokens = message.body.get('max_tokens', DEFAULT_MAX_TOKENS)
    if type(tokens) is not int or not 1 <= tokens <= MOST_TOKENS:
        yield f'body.max_tokens must be from 1 to {MOST_TOKENS}'
