"""Transport of store calls: directly or through a peer."""

from typing import Protocol

from msgspec import Struct


class StoreCall(Struct):
    """One call of the store's protocol.

    `write` marks calls whose lost answer leaves their effect unknown;
    `create` asks to refuse an object that exists. `expected_s` is the time
    that the call takes by its nature, as one that waits for changes does.
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    write: bool = False
    create: bool = False
    expected_s: float = 0.0


class StoreReply(Struct):
    """Status and body of an answer."""

    status: int
    body: bytes


class StoreTransport(Protocol):
    """Carry one call; raise StoreUnavailable or StoreAnswerLost."""

    async def send(self, call: StoreCall) -> StoreReply:
        """Return the answer of the store."""
