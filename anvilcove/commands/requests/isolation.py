"""Run requests with suspected contents alone on an endpoint."""

from anvilcove.decisions.types import Candidate, Route, RouteRequest
from anvilcove.state.endpoints import EndpointState, EndpointView


class Isolation:
    """Endpoints closed to other requests while a suspected one runs or waits.

    At most one endpoint of a pool is reserved for waiting requests, so that
    suspected requests do not block the whole pool.
    """

    __slots__ = (
        'endpoints',
        '_view',
        '_reserved_by_pool',
        '_content_by_endpoint',
    )

    def __init__(self, view: EndpointView) -> None:
        """Start without isolated endpoints."""
        self.endpoints: set[str] = set()
        self._view = view
        self._reserved_by_pool: dict[str, EndpointState] = {}
        self._content_by_endpoint: dict[str, str] = {}

    def choose(self, now: float, request: RouteRequest) -> Route | None:
        """Return a route to an idle endpoint, or None.

        A content runs only once at a time, so that its next run can be
        refused if this one crashes the endpoint.
        """
        if request.content in self._content_by_endpoint.values():
            return None
        reserved = self._reserved_by_pool.get(request.pool)
        for state in self._usable(now, request):
            if state.in_flight == 0 and (
                state is reserved or not state.isolated
            ):
                candidate = Candidate(
                    endpoint=state.endpoint,
                    in_flight=0,
                    limit=state.limit,
                    report_age_s=now - state.report_at_s,
                    score=0.0,
                )
                return Route(state.endpoint, [candidate], 'isolated')
        return None

    def reserve(self, request: RouteRequest) -> None:
        """Drain the least busy endpoint of a pool for a waiting request."""
        if request.pool in self._reserved_by_pool:
            return
        states = [s for s in self._usable(0.0, request) if not s.isolated]
        if states:
            state = min(states, key=lambda s: s.in_flight)
            self._reserved_by_pool[request.pool] = state
            self._close(state)

    def withdraw(self, request: RouteRequest) -> None:
        """Reopen the reserved endpoint unless a request runs alone on it."""
        reserved = self._reserved_by_pool.pop(request.pool, None)
        if reserved is not None:
            self.end(reserved)

    def begin(self, state: EndpointState, content: str) -> None:
        """Close an endpoint to other requests while a suspected one runs."""
        if self._reserved_by_pool.get(state.pool) is state:
            del self._reserved_by_pool[state.pool]
        self._content_by_endpoint[state.endpoint] = content
        self._close(state)

    def end(self, state: EndpointState) -> None:
        """Reopen an endpoint to other requests."""
        state.isolated = False
        self.endpoints.discard(state.endpoint)
        self._content_by_endpoint.pop(state.endpoint, None)

    def _close(self, state: EndpointState) -> None:
        state.isolated = True
        self.endpoints.add(state.endpoint)

    def _usable(
        self, now: float, request: RouteRequest
    ) -> list[EndpointState]:
        return [
            state
            for state in self._view.in_pool(request.pool)
            if not state.leaving
            and (not now or state.ejected_until_s <= now)
            and state.endpoint not in request.excluded
        ]
