"""Live endpoints of a pool and the sum of their limits."""

from anvilcove.state.endpoints import EndpointView

# Cached, since summing over a large pool costs more than routing a request.
CACHE_TTL_S = 0.1


class Capacity:
    """Cached endpoint counts and concurrency limits by pool."""

    __slots__ = ('_view', '_cache_by_pool')

    def __init__(self, view: EndpointView) -> None:
        """Start empty; any endpoint change invalidates the cache."""
        self._view = view
        self._cache_by_pool: dict[str, tuple[float, int, float]] = {}
        view.changes.subscribe(lambda _: self._cache_by_pool.clear())

    def of(self, now: float, pool: str) -> tuple[int, float]:
        """Return the number of live endpoints and the sum of their limits."""
        cached = self._cache_by_pool.get(pool)
        if cached is None or now - cached[0] > CACHE_TTL_S:
            states = [s for s in self._view.in_pool(pool) if not s.leaving]
            cached = (now, len(states), sum(state.limit for state in states))
            self._cache_by_pool[pool] = cached
        return cached[1:]
