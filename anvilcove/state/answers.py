"""Registry of requests in flight and recently finished requests."""

import asyncio
from collections import deque

from anvilcove.messages.base import encode
from anvilcove.messages.callers import NOT_RUN, Outcome
from anvilcove.messages.engines import TokenEvent
from anvilcove.state.claims import claim_alias
from anvilcove.state.workspaces import Workspace

# Upper bound on the encoded outcomes of finished requests, as a part of the
# 64 MB memory budget of a daemon.
MAX_FINISHED_BYTES = 8 * 1024 * 1024


class RequestRecord:
    """State of one request and the tasks that wait for its outcome.

    `watchers` counts the callers that wait for the outcome. `listeners` are
    set whenever a token or the outcome is added. `size` is the length of the
    encoded outcome in bytes.
    """

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
        'claim_held',
        'pinned',
        'size',
        'workspace',
    )

    def __init__(
        self,
        request_id: str,
        fingerprint: str,
        claim_key: str,
        repeatable: bool,
        workspace: Workspace | None = None,
    ) -> None:
        """Create a request in flight.

        `claim_key` is empty for repeatable requests.
        """
        self.workspace = workspace
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
        # Whether this daemon has held the claim on `claim_key`.
        self.claim_held = False
        # A pinned record is not evicted: the final state of its claim is
        # not yet stored in the table.
        self.pinned = False
        self.size = 0

    def belongs_to(self, name: str | None) -> bool:
        """Tell whether a workspace may know of it; None: any may."""
        owner = self.workspace.name if self.workspace else ''
        return name is None or name == owner

    def add_token(self, event: TokenEvent) -> None:
        """Append a token and notify the listeners."""
        self.tokens.append(event)
        self._notify()

    def finish(self, now: float, outcome: Outcome, status: int) -> None:
        """Set the outcome and notify everyone who waits for it."""
        self.outcome = outcome
        self.status = status
        self.finished_at_s = now
        self.size = len(encode(outcome))
        self.finished.set()
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener.set()


class RequestRegistry:
    """Request records by identifier and by claim key.

    Finished records are evicted, oldest first, once they are older than
    `retention_s` or their outcomes exceed MAX_FINISHED_BYTES.
    """

    __slots__ = (
        'retention_s',
        'in_flight',
        '_record_by_id',
        '_record_by_claim_key',
        '_finished',
        '_finished_bytes',
    )

    def __init__(self, retention_s: float) -> None:
        """Create an empty registry."""
        self.retention_s = retention_s
        self.in_flight = 0
        self._record_by_id: dict[str, RequestRecord] = {}
        self._record_by_claim_key: dict[str, RequestRecord] = {}
        self._finished: deque[RequestRecord] = deque()
        self._finished_bytes = 0

    def start(self, record: RequestRecord) -> None:
        """Register a request in flight."""
        self.in_flight += 1
        self._record_by_id[record.request_id] = record
        if record.claim_key:
            self._record_by_claim_key[record.claim_key] = record
            self._record_by_id[claim_alias(record.claim_key)] = record

    def add_alias(self, record: RequestRecord, request_id: str) -> None:
        """Register a further identifier of a record, unless it is in use."""
        if request_id not in self._record_by_id:
            record.aliases.append(request_id)
            self._record_by_id[request_id] = record

    def find(self, now: float, request_id: str) -> RequestRecord | None:
        """Return the record with this identifier, None if there is none."""
        self._evict(now)
        return self._record_by_id.get(request_id)

    def find_claim(self, now: float, claim_key: str) -> RequestRecord | None:
        """Return the record that runs or ran a claim key, None if unknown."""
        self._evict(now)
        return self._record_by_claim_key.get(claim_key)

    def finish(
        self, now: float, record: RequestRecord, outcome: Outcome, status: int
    ) -> None:
        """Set the outcome of a request in flight and start its retention."""
        record.finish(now, outcome, status)
        self.in_flight -= 1
        if not record.claim_held or outcome.outcome == NOT_RUN:
            self._remove_claim_key(record)
        self._finished_bytes += record.size
        self._finished.append(record)
        self._evict(now)

    def _evict(self, now: float) -> None:
        for _ in range(len(self._finished)):
            record = self._finished[0]
            expired = now - record.finished_at_s > self.retention_s
            if not expired and self._finished_bytes <= MAX_FINISHED_BYTES:
                return
            self._finished.popleft()
            if record.pinned:
                self._finished.append(record)
            else:
                self._remove(record)

    def _remove(self, record: RequestRecord) -> None:
        self._finished_bytes -= record.size
        for request_id in record.aliases:
            self._record_by_id.pop(request_id, None)
        self._remove_claim_key(record)

    def _remove_claim_key(self, record: RequestRecord) -> None:
        """Unregister a claim key; its next request reads the table."""
        if self._record_by_claim_key.get(record.claim_key) is record:
            del self._record_by_claim_key[record.claim_key]
            del self._record_by_id[claim_alias(record.claim_key)]
