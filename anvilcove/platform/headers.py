"""The one filter of headers between callers and servers.

Requests, streams and items to servers, and answers of servers to callers and
through peers, all pass it.
"""

import re
from collections.abc import Iterable, Mapping
from typing import Any

from anvilcove.platform.names import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    RESUMES,
    URGENCY,
)
from anvilcove.ports.servers import Headers

# Names with which a request would lose what it is and for whom, if a caller
# declared them to concern its connection.
ALWAYS_END_TO_END = frozenset({'host', ATTEMPT_ID.lower()})
# Headers of an item that this service sets, or that concern the connection on
# which it reads the answer. Letters do not matter.
SET_FOR_ITEMS = frozenset(
    {
        'host',
        'accept-encoding',
        ATTEMPT_ID.lower(),
        DEADLINE_MS.lower(),
        EXPECT_INSTANCE.lower(),
        LAST_EVENT_ID.lower(),
        RESUMES.lower(),
        URGENCY.lower(),
    }
)
# RFC 9110, 5.1 and 5.5.
NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
CONTROL_CHARACTER = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


class HeaderError(ValueError):
    """Raised for a header that no request can carry."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that do not concern one connection only.

    Those that frame a body are among the ones left out: the next connection
    frames the body by its bytes.
    """
    pairs = list(headers)
    declared = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    left_out = HOP_BY_HOP | (declared - ALWAYS_END_TO_END)
    return [pair for pair in pairs if pair[0].lower() not in left_out]


def item_headers(listed: Mapping[str, str]) -> Headers:
    """Return the headers of an item that are sent to servers as listed.

    An item has come on no connection of its own, so that what its `Connection`
    names stays.
    """
    return [
        (name, value)
        for name, value in listed.items()
        if name.lower() not in HOP_BY_HOP | SET_FOR_ITEMS
    ]


def checked_headers(listed: Mapping[Any, Any]) -> dict[str, str]:
    """Return the headers that an item lists, or raise HeaderError."""
    found: dict[str, str] = {}
    known = set()
    for name, value in listed.items():
        if not NAME.fullmatch(str(name)):
            raise HeaderError(
                f'{str(name)[:40]!r} is not the name of a header'
            )
        if str(name).lower() in known:
            raise HeaderError(f'header {str(name)[:40]} is listed twice')
        known.add(str(name).lower())
        found[str(name)] = checked_value(str(value))
    return found


def checked_value(text: str) -> str:
    """Return the value of a header, or raise HeaderError."""
    if CONTROL_CHARACTER.search(text):
        raise HeaderError(f'{text[:40]!r} is not the value of a header')
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise HeaderError('the value of a header is not UTF-8') from error
    return text
