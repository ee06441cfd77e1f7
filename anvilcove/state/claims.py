"""Claims of not-repeatable requests: rows and nonces of this daemon."""

from collections import OrderedDict
from typing import Any
from urllib.parse import quote

from msgspec import ValidationError, convert, to_builtins
from xxhash import xxh3_128_hexdigest

from anvilcove.messages.base import Message
from anvilcove.messages.callers import Outcome

CLAIMED = 'claimed'
DONE = 'done'
RELEASED = 'released'
UNKNOWN_RESULT = 'unknown'

ACTIVE = 'active'
ABANDONED = 'abandoned'
NO_MEMORY = 'unknown'

# A forgotten nonce only turns `not_run` into `unknown` for its key.
ABANDONED_LIMIT = 50_000


class ClaimRow(Message):
    """Value of the row `claim/<caller>/<key>`; `claimed_at` is wall time."""

    nonce: str
    host: str
    request_id: str
    body_hash: str
    state: str
    claimed_at: float
    outcome: Outcome | None = None


def claim_key(caller: str, key: str) -> str:
    """Return the row key; quoting keeps (a/b, c) apart from (a, b/c)."""
    return f'claim/{quote(caller, safe="")}/{quote(key, safe="")}'


def claim_alias(row_key: str) -> str:
    """Return the identifier under which peers ask for the work on a key.

    Identifiers of callers contain no tilde.
    """
    return f'~{xxh3_128_hexdigest(row_key.encode())}'


def claim_row(value: dict[str, Any]) -> ClaimRow | None:
    """Return the claim in a row, None if the row is malformed."""
    try:
        return convert(value, type=ClaimRow)
    except ValidationError:
        return None


def claim_value(row: ClaimRow) -> dict[str, Any]:
    """Return a claim as the value of a row."""
    value: dict[str, Any] = to_builtins(row)
    return value


class NonceBook:
    """Which nonces of this process may still send."""

    __slots__ = ('_active', '_abandoned')

    def __init__(self) -> None:
        """Start without nonces."""
        self._active: set[str] = set()
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def activate(self, nonce: str) -> None:
        """Note that a nonce may send once its claim is held."""
        self._active.add(nonce)

    def abandon(self, nonce: str) -> None:
        """Note that a nonce has sent nothing and never will."""
        self._active.discard(nonce)
        self._abandoned[nonce] = None
        if len(self._abandoned) > ABANDONED_LIMIT:
            self._abandoned.popitem(last=False)

    def forget(self, nonce: str) -> None:
        """Drop a nonce whose row says how it ended."""
        self._active.discard(nonce)
        self._abandoned.pop(nonce, None)

    def state(self, nonce: str) -> str:
        """Return what this process knows of a nonce."""
        if nonce in self._active:
            return ACTIVE
        if nonce in self._abandoned:
            return ABANDONED
        return NO_MEMORY
