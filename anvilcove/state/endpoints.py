"""What one daemon knows of the endpoints."""

import random
from collections import deque

from reactivex import Subject

from anvilcove.messages.engines import LoadReport
from anvilcove.messages.membership import LEAVING, EndpointMember

DEFAULT_LIMIT = 8.0
# Marks outlive the listing, because a lagging list may name the endpoint as
# live again.
MARK_KEPT_S = 60.0
REMEMBERED_REPORTS = 16
# Idle connections are kept for about this long.
IDLE_CONNECTION_S = 8.0


class EndpointState:
    """Knowledge of one endpoint; owned by one daemon."""

    __slots__ = (
        'endpoint',
        'address',
        'data_centre',
        'pool',
        'kind',
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
    )

    def __init__(self, member: EndpointMember) -> None:
        """Start with the facts of the membership list."""
        self.endpoint = member.endpoint
        self.address = member.address
        self.data_centre = member.data_centre
        self.pool = member.pool
        self.kind = member.kind
        self.leaving = member.state == LEAVING
        self.in_flight = 0
        self.limit = DEFAULT_LIMIT
        self.latency_s = 0.0
        self.report: LoadReport | None = None
        self.report_at_s = 0.0
        self.ejected_until_s = 0.0
        self.isolated = False
        self.version = 0
        # Connections that were left open, and when the last one was.
        self.idle_connections = 0
        self.idle_since_s = float('-inf')

    def has_room(self, now: float) -> bool:
        """Tell whether the endpoint may take one more request."""
        return (
            not self.leaving
            and not self.isolated
            and self.ejected_until_s <= now
            and self.in_flight < self.limit
        )

    def has_connection(self, now: float) -> bool:
        """Tell whether a connection is probably open and idle."""
        fresh = now - self.idle_since_s < IDLE_CONNECTION_S
        return fresh and self.idle_connections > 0


class EndpointView:
    """All endpoints by identifier and by pool."""

    __slots__ = (
        'by_id',
        'ids_by_pool',
        'changes',
        'reported',
        '_leaving',
        '_mark_until_s',
    )

    def __init__(self) -> None:
        """Start empty."""
        self.by_id: dict[str, EndpointState] = {}
        self.ids_by_pool: dict[str, list[str]] = {}
        self.changes: Subject[str] = Subject()
        # Endpoints in the order of their last reports, for gossip.
        self.reported: deque[str] = deque(maxlen=REMEMBERED_REPORTS)
        self._leaving: set[str] = set()
        self._mark_until_s: dict[str, float] = {}

    def update(
        self, members: list[EndpointMember], now: float = 0.0
    ) -> list[str]:
        """Adopt a membership list and return the new leaving marks.

        A mark is never taken back while the same address is listed.
        """
        before = set(self.leaving_marks())
        listed = {member.endpoint for member in members}
        for gone in [e for e in self.by_id if e not in listed]:
            self._remove(gone)
        for member in members:
            known = self.by_id.get(member.endpoint)
            if known is not None and known.address != member.address:
                self._remove(member.endpoint)
                known = None
            if known is None:
                self._add(member)
            elif member.state == LEAVING:
                self.mark_leaving(member.endpoint)
        self._expire_marks(now)
        return [m for m in self.leaving_marks() if m not in before]

    def leaving_marks(self) -> list[str]:
        """Return the marks of listed endpoints as `endpoint@address`."""
        return [
            f'{state.endpoint}@{state.address}'
            for state in map(self.by_id.__getitem__, self._leaving)
        ]

    def merge_marks(self, marks: list[str], now: float) -> list[str]:
        """Adopt marks of a peer and return those that were news."""
        news = []
        for mark in marks:
            endpoint, _, address = mark.rpartition('@')
            known = self.by_id.get(endpoint)
            if known is not None and known.address == address:
                if self.mark_leaving(endpoint):
                    news.append(mark)
            else:
                self._mark_until_s[mark] = now + MARK_KEPT_S
        return news

    def mark_leaving(self, endpoint: str) -> bool:
        """Stop new work to an endpoint; return whether this was news."""
        known = self.by_id.get(endpoint)
        if known is None or known.leaving:
            return False
        known.leaving = True
        self._leaving.add(endpoint)
        self.changes.on_next(endpoint)
        return True

    def set_report(
        self, state: EndpointState, report: LoadReport, at_s: float
    ) -> None:
        """Keep a report that is newer than the known one."""
        if at_s > state.report_at_s:
            state.report = report
            state.report_at_s = at_s
            self.reported.append(state.endpoint)

    def in_pool(self, pool: str) -> list[EndpointState]:
        """Return the endpoints of a pool."""
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
        if f'{member.endpoint}@{member.address}' in self._mark_until_s:
            state.leaving = True
        if state.leaving:
            self._leaving.add(member.endpoint)
        self.by_id[member.endpoint] = state
        self.ids_by_pool.setdefault(member.pool, []).append(member.endpoint)
        self.changes.on_next(member.endpoint)

    def _remove(self, endpoint: str) -> None:
        state = self.by_id.pop(endpoint)
        if state.leaving:
            mark = f'{state.endpoint}@{state.address}'
            self._mark_until_s[mark] = float('inf')
        state.leaving = True
        self._leaving.discard(endpoint)
        self.ids_by_pool[state.pool].remove(endpoint)
        self.changes.on_next(endpoint)

    def _expire_marks(self, now: float) -> None:
        for mark, until_s in list(self._mark_until_s.items()):
            endpoint, _, address = mark.rpartition('@')
            known = self.by_id.get(endpoint)
            if known is not None and known.address == address:
                self._mark_until_s[mark] = now + MARK_KEPT_S
            elif until_s == float('inf'):
                self._mark_until_s[mark] = now + MARK_KEPT_S
            elif until_s < now:
                del self._mark_until_s[mark]
