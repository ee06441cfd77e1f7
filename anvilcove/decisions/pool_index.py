"""Indexes of the known endpoints that routing draws from."""

import random
from bisect import bisect_left, insort

from xxhash import xxh3_64_intdigest

from anvilcove.state.endpoints import EndpointState, EndpointView


def hash_of(text: str) -> int:
    """Return the position of a text on the ring."""
    return xxh3_64_intdigest(text.encode())


class PoolIndex:
    """Hash ring per pool and endpoints per pool and data centre.

    Both follow the changes of a view one endpoint at a time, so that no
    decision looks at all endpoints.
    """

    __slots__ = ('_view', '_ring_by_pool', '_ids_by_place', '_state_by_id')

    def __init__(self) -> None:
        """Follow no view yet."""
        self._view: EndpointView | None = None
        self._ring_by_pool: dict[str, list[tuple[int, str]]] = {}
        self._ids_by_place: dict[tuple[str, str], list[str]] = {}
        self._state_by_id: dict[str, EndpointState] = {}

    def follow(self, view: EndpointView) -> None:
        """Index a view and its later changes."""
        if view is self._view:
            return
        self._view = view
        self._ring_by_pool.clear()
        self._ids_by_place.clear()
        self._state_by_id.clear()
        for endpoint in view.by_id:
            self._changed(endpoint)
        view.changes.subscribe(self._changed)

    def near(
        self, pool: str, position: int, count: int
    ) -> list[EndpointState]:
        """Return the endpoints that follow a position on the ring."""
        ring = self._ring_by_pool.get(pool, [])
        start = bisect_left(ring, (position, ''))
        return [
            self._state_by_id[ring[(start + step) % len(ring)][1]]
            for step in range(min(count, len(ring)))
        ]

    def sample_in(
        self, pool: str, data_centre: str, count: int, rng: random.Random
    ) -> list[EndpointState]:
        """Return random endpoints of a pool in one data centre."""
        ids = self._ids_by_place.get((pool, data_centre), [])
        chosen = ids if len(ids) <= count else rng.sample(ids, count)
        return [self._state_by_id[endpoint] for endpoint in chosen]

    def _changed(self, endpoint: str) -> None:
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
        place = (state.pool, state.data_centre)
        self._ids_by_place.setdefault(place, []).append(state.endpoint)
        ring = self._ring_by_pool.setdefault(state.pool, [])
        insort(ring, (hash_of(state.endpoint), state.endpoint))

    def _remove(self, state: EndpointState) -> None:
        del self._state_by_id[state.endpoint]
        place = (state.pool, state.data_centre)
        self._ids_by_place[place].remove(state.endpoint)
        ring = self._ring_by_pool[state.pool]
        ring.remove((hash_of(state.endpoint), state.endpoint))
