"""Indexes of the endpoints from which routing draws its candidates."""

import random
from bisect import bisect_left, insort

from xxhash import xxh3_64_intdigest

from anvilcove.state.endpoints import EndpointState, EndpointView


def ring_hash(text: str) -> int:
    """Return the position of a text on the hash ring."""
    return xxh3_64_intdigest(text.encode())


class PoolIndex:
    """Hash ring per pool and endpoints per pool and data centre.

    Both are updated incrementally when an endpoint of the view changes, so
    that no routing decision iterates over all endpoints.
    """

    __slots__ = ('_view', '_ring_by_pool', '_ids_by_location', '_state_by_id')

    def __init__(self) -> None:
        """Start empty and without a view."""
        self._view: EndpointView | None = None
        self._ring_by_pool: dict[str, list[tuple[int, str]]] = {}
        self._ids_by_location: dict[tuple[str, str], list[str]] = {}
        self._state_by_id: dict[str, EndpointState] = {}

    def track(self, view: EndpointView) -> None:
        """Index a view and listen to its changes."""
        if view is self._view:
            return
        self._view = view
        self._ring_by_pool.clear()
        self._ids_by_location.clear()
        self._state_by_id.clear()
        for endpoint in view.by_id:
            self._update_endpoint(endpoint)
        view.listen(self._update_endpoint)

    def successors(
        self, pool: str, position: int, count: int
    ) -> list[EndpointState]:
        """Return up to `count` endpoints after a position on the ring."""
        ring = self._ring_by_pool.get(pool, [])
        start = bisect_left(ring, (position, ''))
        return [
            self._state_by_id[ring[(start + step) % len(ring)][1]]
            for step in range(min(count, len(ring)))
        ]

    def sample_data_centre(
        self, pool: str, data_centre: str, count: int, rng: random.Random
    ) -> list[EndpointState]:
        """Return up to `count` random endpoints of a pool and data centre."""
        ids = self._ids_by_location.get((pool, data_centre), [])
        chosen = ids if len(ids) <= count else rng.sample(ids, count)
        return [self._state_by_id[endpoint] for endpoint in chosen]

    def _update_endpoint(self, endpoint: str) -> None:
        assert self._view is not None
        state = self._view.by_id.get(endpoint)
        known = self._state_by_id.get(endpoint)
        if known is state:
            return
        if known is not None:
            self._remove(known)
        if state is not None:
            self._add(state)

    def _add(self, state: EndpointState) -> None:
        self._state_by_id[state.endpoint] = state
        location = (state.pool, state.data_centre)
        self._ids_by_location.setdefault(location, []).append(state.endpoint)
        ring = self._ring_by_pool.setdefault(state.pool, [])
        insort(ring, (ring_hash(state.endpoint), state.endpoint))

    def _remove(self, state: EndpointState) -> None:
        del self._state_by_id[state.endpoint]
        location = (state.pool, state.data_centre)
        self._ids_by_location[location].remove(state.endpoint)
        ring = self._ring_by_pool[state.pool]
        ring.remove((ring_hash(state.endpoint), state.endpoint))
