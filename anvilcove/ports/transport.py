"""Port that sends store calls, directly or through a peer."""

from typing import Protocol

from msgspec import Struct


class StoreCall(Struct):
    """One HTTP call to the store.

    `write` marks a call that changes data: if its answer is lost, it is
    unknown whether it took effect. `create` makes the store refuse to
    overwrite an object. `expected_s` is the time that the call takes even if
    the store is fast, for example because it waits for changes. A `repeatable`
    call may be sent again before its answer: it only reads, or takes effect at
    most once because of its conditions.
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    write: bool = False
    create: bool = False
    expected_s: float = 0.0
    repeatable: bool = False


class StoreReply(Struct):
    """HTTP status and body of the store's answer."""

    status: int
    body: bytes


class StoreTransport(Protocol):
    """Sender of calls to the store."""

    async def send(self, call: StoreCall) -> StoreReply:
        """Send a call and return the store's answer.

        Raise StoreUnavailable or StoreAnswerLost.
        """
