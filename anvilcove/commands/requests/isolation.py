"""Run suspected requests alone on an endpoint."""

from anvilcove.decisions.types import Candidate, Route, RouteRequest
from anvilcove.state.endpoints import EndpointState, EndpointView


class Isolation:
    """Endpoints that take no other request for the sake of a suspected one.

    At most one endpoint of a pool is kept free for a waiting request, so that
    suspected requests do not stop the whole pool.
    """

    __slots__ = (
        'endpoints',
        '_view',
        '_reserved_by_pool',
        '_content_by_endpoint',
    )

    def __init__(self, view: EndpointView) -> None:
        """Start with none."""
        self.endpoints: set[str] = set()
        self._view = view
        self._reserved_by_pool: dict[str, EndpointState] = {}
        self._content_by_endpoint: dict[str, str] = {}

    def choose(self, now: float, request: RouteRequest) -> Route | None:
        """Return an idle endpoint.

        The same content runs once at a time: its next run is refused if this
        one crashes the endpoint.
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
        """Let the least busy endpoint run empty for a waiting request."""
        if request.pool in self._reserved_by_pool:
            return
        states = [s for s in self._usable(0.0, request) if not s.isolated]
        if states:
            state = min(states, key=lambda s: s.in_flight)
            self._reserved_by_pool[request.pool] = state
            self._close(state)

    def withdraw(self, request: RouteRequest) -> None:
        """Open the reserved endpoint again if nothing runs alone on it."""
        reserved = self._reserved_by_pool.pop(request.pool, None)
        if reserved is not None:
            self.end(reserved)

    def begin(self, state: EndpointState, content: str) -> None:
        """Keep other requests away while a suspected one runs."""
        if self._reserved_by_pool.get(state.pool) is state:
            del self._reserved_by_pool[state.pool]
        self._content_by_endpoint[state.endpoint] = content
        self._close(state)

    def end(self, state: EndpointState) -> None:
        """Open an endpoint to other requests."""
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
