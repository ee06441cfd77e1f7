"""Requests in flight and their answers for some seconds afterwards."""

import asyncio
from collections import deque

from anvilcove.messages.base import encode
from anvilcove.messages.callers import NOT_RUN, Outcome
from anvilcove.messages.engines import TokenEvent
from anvilcove.state.claims import claim_alias

# Finished answers may take this share of the 64 MB memory budget.
FINISHED_BYTES = 8 * 1024 * 1024


class RequestRecord:
    """One request in flight or finished, with everyone who waits for it."""

    __slots__ = (
        'request_id',
        'aliases',
        'fingerprint',
        'claim_key',
        'repeatable',
        'outcome',
        'status',
        'tokens',
        'watchers',
        'listeners',
        'finished',
        'finished_at_s',
        'task',
        'held',
        'pinned',
        'size',
    )

    def __init__(
        self,
        request_id: str,
        fingerprint: str,
        claim_key: str,
        repeatable: bool,
    ) -> None:
        """Start in flight; `claim_key` is empty for repeatable requests."""
        self.request_id = request_id
        self.aliases = [request_id]
        self.fingerprint = fingerprint
        self.claim_key = claim_key
        self.repeatable = repeatable
        self.outcome: Outcome | None = None
        self.status = 0
        self.tokens: list[TokenEvent] = []
        self.watchers = 0
        self.listeners: set[asyncio.Event] = set()
        self.finished = asyncio.Event()
        self.finished_at_s = 0.0
        self.task: asyncio.Task[None] | None = None
        # Whether this daemon held the claim of the key.
        self.held = False
        # A pinned record stays until the end of its claim is stored.
        self.pinned = False
        self.size = 0

    def add_token(self, event: TokenEvent) -> None:
        """Publish a token to the streams that follow the request."""
        self.tokens.append(event)
        self._notify()

    def finish(self, now: float, outcome: Outcome, status: int) -> None:
        """Publish the outcome."""
        self.outcome = outcome
        self.status = status
        self.finished_at_s = now
        self.size = len(encode(outcome))
        self.finished.set()
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener.set()


class AnswerBook:
    """Request records by identifier and by claim key, bounded in memory."""

    __slots__ = (
        'keep_s',
        'in_flight',
        '_by_id',
        '_by_claim_key',
        '_finished',
        '_bytes',
    )

    def __init__(self, keep_s: float) -> None:
        """Keep finished answers for a number of seconds."""
        self.keep_s = keep_s
        self.in_flight = 0
        self._by_id: dict[str, RequestRecord] = {}
        self._by_claim_key: dict[str, RequestRecord] = {}
        self._finished: deque[RequestRecord] = deque()
        self._bytes = 0

    def start(self, record: RequestRecord) -> None:
        """Add a request in flight."""
        self.in_flight += 1
        self._by_id[record.request_id] = record
        if record.claim_key:
            self._by_claim_key[record.claim_key] = record
            self._by_id[claim_alias(record.claim_key)] = record

    def add_alias(self, record: RequestRecord, request_id: str) -> None:
        """Find a record by a second identifier of the same work."""
        if request_id not in self._by_id:
            record.aliases.append(request_id)
            self._by_id[request_id] = record

    def find(self, now: float, request_id: str) -> RequestRecord | None:
        """Return the record of an identifier."""
        self._prune(now)
        return self._by_id.get(request_id)

    def find_claim(self, now: float, claim_key: str) -> RequestRecord | None:
        """Return the record that runs or has run the key of a caller."""
        self._prune(now)
        return self._by_claim_key.get(claim_key)

    def finish(
        self, now: float, record: RequestRecord, outcome: Outcome, status: int
    ) -> None:
        """Publish an outcome and keep it for a while."""
        record.finish(now, outcome, status)
        self.in_flight -= 1
        if not record.held or outcome.outcome == NOT_RUN:
            self._forget_key(record)
        self._bytes += record.size
        self._finished.append(record)
        self._prune(now)

    def _prune(self, now: float) -> None:
        for _ in range(len(self._finished)):
            record = self._finished[0]
            old = now - record.finished_at_s > self.keep_s
            if not old and self._bytes <= FINISHED_BYTES:
                return
            self._finished.popleft()
            if record.pinned:
                self._finished.append(record)
            else:
                self._remove(record)

    def _remove(self, record: RequestRecord) -> None:
        self._bytes -= record.size
        for request_id in record.aliases:
            self._by_id.pop(request_id, None)
        self._forget_key(record)

    def _forget_key(self, record: RequestRecord) -> None:
        """Let the key be looked up in the table when it comes again."""
        if self._by_claim_key.get(record.claim_key) is record:
            del self._by_claim_key[record.claim_key]
            del self._by_id[claim_alias(record.claim_key)]
