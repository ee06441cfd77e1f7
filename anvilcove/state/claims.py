"""Claims on non-repeatable requests: table rows and local nonces.

A claim makes one daemon the only one that may send a request. Every attempt
to claim a key uses a new nonce.
"""

from collections import OrderedDict
from typing import Any
from urllib.parse import quote

from msgspec import ValidationError, convert
from xxhash import xxh3_128_hexdigest

from anvilcove.messages.base import Message, decode, encode
from anvilcove.messages.callers import Outcome

CLAIMED = 'claimed'
DONE = 'done'
RELEASED = 'released'
UNKNOWN_RESULT = 'unknown'

ACTIVE = 'active'
ABANDONED = 'abandoned'
UNKNOWN_NONCE = 'unknown'

# An evicted nonce is reported as `unknown` instead of `abandoned`, so its key
# gets the outcome `unknown` where `not_run` would be correct.
MAX_ABANDONED_NONCES = 50_000


class ClaimRow(Message):
    """Value of the row `claim/<caller>/<key>`.

    `claimed_at` is Unix time in seconds.
    """

    nonce: str
    host: str
    request_id: str
    body_hash: str
    state: str
    claimed_at: float
    outcome: Outcome | None = None


def claim_key(caller: str, key: str) -> str:
    """Return the row key of a claim.

    Quoting keeps the pairs (a/b, c) and (a, b/c) distinct.
    """
    return f'claim/{quote(caller, safe="")}/{quote(key, safe="")}'


def claim_alias(row_key: str) -> str:
    """Return the request identifier by which peers look up a claim key.

    It starts with a tilde, which identifiers chosen by callers never contain.
    """
    return f'~{xxh3_128_hexdigest(row_key.encode())}'


def decode_claim(value: dict[str, Any]) -> ClaimRow | None:
    """Decode the value of a claim row; return None if it is malformed."""
    try:
        return convert(value, type=ClaimRow)
    except ValidationError:
        return None


def encode_claim(row: ClaimRow) -> dict[str, Any]:
    """Encode a claim as the value of a row."""
    # The answer in an outcome may be encoded already.
    return decode(encode(row), dict[str, Any])


class NonceRegistry:
    """Claim nonces of this process and whether they may still send."""

    __slots__ = ('_active', '_abandoned')

    def __init__(self) -> None:
        """Create an empty registry."""
        self._active: set[str] = set()
        self._abandoned: OrderedDict[str, None] = OrderedDict()

    def activate(self, nonce: str) -> None:
        """Mark a nonce as allowed to send once its claim is held."""
        self._active.add(nonce)

    def abandon(self, nonce: str) -> None:
        """Mark a nonce under which nothing was sent and never will be."""
        self._active.discard(nonce)
        self._abandoned[nonce] = None
        if len(self._abandoned) > MAX_ABANDONED_NONCES:
            self._abandoned.popitem(last=False)

    def forget(self, nonce: str) -> None:
        """Remove a nonce whose state is decided by its table row."""
        self._active.discard(nonce)
        self._abandoned.pop(nonce, None)

    def state(self, nonce: str) -> str:
        """Return ACTIVE, ABANDONED or, if not registered, UNKNOWN_NONCE."""
        if nonce in self._active:
            return ACTIVE
        if nonce in self._abandoned:
            return ABANDONED
        return UNKNOWN_NONCE
