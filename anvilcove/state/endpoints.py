"""Table of the endpoints as one daemon sees them."""

import random
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from anvilcove.messages.engines import LoadReport
from anvilcove.messages.membership import LEAVING, EndpointMember

if TYPE_CHECKING:
    from reactivex import Subject

DEFAULT_LIMIT = 8.0
# A leaving record is kept this long after its endpoint was removed from the
# membership list: the list lags and may show the endpoint as live again.
LEAVING_RECORD_TTL_S = 60.0
MAX_RECENT_REPORTS = 16
# An idle connection is assumed to be closed after this time.
IDLE_CONNECTION_TIMEOUT_S = 8.0
# A permit that is not used within this time is lost.
PERMIT_TTL_S = 1.0


class EndpointState:
    """State of one endpoint as this daemon sees it.

    `isolated` is set while the endpoint is reserved for a request that must
    run alone. `report_at_s` dates the last load report on the local clock.
    """

    __slots__ = (
        'endpoint',
        'address',
        'data_centre',
        'pool',
        'kind',
        'software',
        'leaving',
        'in_flight',
        'limit',
        'latency_s',
        'report',
        'report_at_s',
        'ejected_until_s',
        'isolated',
        'version',
        'idle_connections',
        'idle_since_s',
        'rate_limit_per_s',
        'limit_named_at_s',
        'permits',
        'permits_until_s',
    )

    def __init__(self, member: EndpointMember) -> None:
        """Create a state from an entry of the membership list."""
        self.endpoint = member.endpoint
        self.address = member.address
        self.data_centre = member.data_centre
        self.pool = member.pool
        self.kind = member.kind
        self.software = member.software
        self.leaving = member.state == LEAVING
        self.in_flight = 0
        self.limit = DEFAULT_LIMIT
        self.latency_s = 0.0
        self.report: LoadReport | None = None
        self.report_at_s = 0.0
        self.ejected_until_s = 0.0
        self.isolated = False
        self.version = 0
        # Idle connections, and when the last of them became idle.
        self.idle_connections = 0
        self.idle_since_s = float('-inf')
        # Requests per second that it takes from all hosts together, None if
        # it has named no limit, and when it last named one.
        self.rate_limit_per_s: float | None = None
        self.limit_named_at_s = float('-inf')
        # Requests that may be sent to it while it names a limit.
        self.permits = 0
        self.permits_until_s = float('-inf')

    def has_capacity(self, now: float, ejected_too: bool = False) -> bool:
        """Return whether the endpoint may take one more request."""
        return self.accepts_work(now, ejected_too) and self.has_permit(now)

    def accepts_work(self, now: float, ejected_too: bool = False) -> bool:
        """Return whether it has capacity, apart from the rate it takes."""
        return (
            not self.leaving
            and not self.isolated
            and (ejected_too or self.ejected_until_s <= now)
            and self.in_flight < self.limit
        )

    def has_permit(self, now: float) -> bool:
        """Return whether the rate that the endpoint takes allows a request."""
        if self.rate_limit_per_s is None:
            return True
        return self.permits > 0 and now < self.permits_until_s

    def add_permits(self, now: float, count: int) -> None:
        """Add permits, which expire together."""
        if now >= self.permits_until_s:
            self.permits = 0
        self.permits += count
        self.permits_until_s = now + PERMIT_TTL_S

    def spend_permit(self) -> None:
        """Use a permit for a request, if the endpoint names a limit."""
        if self.rate_limit_per_s is not None:
            self.permits -= 1

    def has_connection(self, now: float) -> bool:
        """Return whether an idle connection is probably still open."""
        fresh = now - self.idle_since_s < IDLE_CONNECTION_TIMEOUT_S
        return fresh and self.idle_connections > 0


class EndpointView:
    """Listed endpoints, by identifier and by pool.

    Listeners get the identifier of each endpoint that is added, removed or
    marked as leaving.
    """

    __slots__ = (
        'by_id',
        'ids_by_pool',
        '_listeners',
        '_changes',
        'recently_reported',
        'limited_ids',
        '_leaving_ids',
        '_record_expires_at_s',
    )

    def __init__(self) -> None:
        """Create an empty view."""
        self.by_id: dict[str, EndpointState] = {}
        self.ids_by_pool: dict[str, list[str]] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._changes: Subject[str] | None = None
        # Endpoints of the newest reports, oldest first, for gossip.
        self.recently_reported: deque[str] = deque(maxlen=MAX_RECENT_REPORTS)
        # Endpoints that name a limit of requests a second, oldest first.
        self.limited_ids: dict[str, None] = {}
        self._leaving_ids: set[str] = set()
        self._record_expires_at_s: dict[str, float] = {}

    @property
    def changes(self) -> 'Subject[str]':
        """Return the changes as an observable, made at the first use."""
        if self._changes is None:
            # Node daemons do without it.
            from reactivex import Subject

            self._changes = Subject()
            self.listen(self._changes.on_next)
        return self._changes

    def listen(self, listener: Callable[[str], None]) -> None:
        """Call a function with each change, in the order of these calls."""
        self._listeners.append(listener)

    def update(
        self, members: list[EndpointMember], now: float = 0.0
    ) -> list[str]:
        """Apply a membership list and return the new leaving records.

        An endpoint remains leaving while it is listed with the same address.
        """
        before = set(self.leaving_records())
        listed = {member.endpoint for member in members}
        for unlisted in [e for e in self.by_id if e not in listed]:
            self._remove(unlisted)
        for member in members:
            known = self.by_id.get(member.endpoint)
            if known is not None and known.address != member.address:
                self._remove(member.endpoint)
                known = None
            if known is None:
                self._add(member)
            elif member.state == LEAVING:
                self.mark_leaving(member.endpoint)
        self._expire_records(now)
        return [r for r in self.leaving_records() if r not in before]

    def leaving_records(self) -> list[str]:
        """Return `endpoint@address` for each listed leaving endpoint."""
        return [
            f'{state.endpoint}@{state.address}'
            for state in map(self.by_id.__getitem__, self._leaving_ids)
        ]

    def merge_leaving(self, records: list[str], now: float) -> list[str]:
        """Merge leaving records of a peer; return those that changed a state.

        Records of endpoints not listed with that address are kept for
        LEAVING_RECORD_TTL_S, so that those that are listed later are leaving.
        """
        new_records = []
        for record in records:
            endpoint, _, address = record.rpartition('@')
            known = self.by_id.get(endpoint)
            if known is None or known.address != address:
                self._record_expires_at_s[record] = now + LEAVING_RECORD_TTL_S
            elif self.mark_leaving(endpoint):
                new_records.append(record)
        return new_records

    def mark_leaving(self, endpoint: str) -> bool:
        """Stop sending new work to an endpoint.

        Return False if it is not listed or was already leaving.
        """
        known = self.by_id.get(endpoint)
        if known is None or known.leaving:
            return False
        known.leaving = True
        self._leaving_ids.add(endpoint)
        self._notify(endpoint)
        return True

    def set_report(
        self, state: EndpointState, report: LoadReport, at_s: float
    ) -> None:
        """Store a load report if it is newer than the last one.

        `at_s` dates the report on the local clock.
        """
        if at_s > state.report_at_s:
            state.report = report
            state.report_at_s = at_s
            self.recently_reported.append(state.endpoint)

    def set_rate_limit(
        self, state: EndpointState, limit_per_s: float | None, at_s: float
    ) -> None:
        """Store the rate that an endpoint names, None if it names none."""
        state.rate_limit_per_s = limit_per_s
        if limit_per_s is None:
            self.limited_ids.pop(state.endpoint, None)
        else:
            state.limit_named_at_s = at_s
            self.limited_ids[state.endpoint] = None

    def limited_in_pool(self, pool: str) -> list[EndpointState]:
        """Return the endpoints of a pool that name a limit."""
        limited = (self.by_id[endpoint] for endpoint in self.limited_ids)
        return [state for state in limited if state.pool == pool]

    def in_pool(self, pool: str) -> list[EndpointState]:
        """Return all endpoints of a pool."""
        return [self.by_id[e] for e in self.ids_by_pool.get(pool, [])]

    def sample(
        self, pool: str, count: int, rng: random.Random
    ) -> list[EndpointState]:
        """Return up to `count` random endpoints of a pool in O(count)."""
        ids = self.ids_by_pool.get(pool, [])
        chosen = ids if len(ids) <= count else rng.sample(ids, count)
        return [self.by_id[endpoint] for endpoint in chosen]

    def _add(self, member: EndpointMember) -> None:
        state = EndpointState(member)
        record = f'{member.endpoint}@{member.address}'
        state.leaving |= record in self._record_expires_at_s
        if state.leaving:
            self._leaving_ids.add(member.endpoint)
        self.by_id[member.endpoint] = state
        self.ids_by_pool.setdefault(member.pool, []).append(member.endpoint)
        self._notify(member.endpoint)

    def _remove(self, endpoint: str) -> None:
        state = self.by_id.pop(endpoint)
        if state.leaving:
            record = f'{state.endpoint}@{state.address}'
            self._record_expires_at_s[record] = float('inf')
        state.leaving = True
        self._leaving_ids.discard(endpoint)
        self.limited_ids.pop(endpoint, None)
        self.ids_by_pool[state.pool].remove(endpoint)
        self._notify(endpoint)

    def _notify(self, endpoint: str) -> None:
        for listener in self._listeners.copy():
            listener(endpoint)

    def _expire_records(self, now: float) -> None:
        for record, until_s in list(self._record_expires_at_s.items()):
            endpoint, _, address = record.rpartition('@')
            known = self.by_id.get(endpoint)
            listed = known is not None and known.address == address
            if listed or until_s == float('inf'):
                self._record_expires_at_s[record] = now + LEAVING_RECORD_TTL_S
            elif until_s < now:
                del self._record_expires_at_s[record]
