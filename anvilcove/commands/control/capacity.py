"""Live endpoints of a pool and the sum of their limits."""

from anvilcove.state.endpoints import EndpointView

# Summing over a large pool for each request would cost more than routing it.
KEPT_S = 0.1


class Capacity:
    """Sums over the endpoints of a pool, kept for a short time."""

    __slots__ = ('_view', '_sums_by_pool')

    def __init__(self, view: EndpointView) -> None:
        """Start without sums; a change of an endpoint drops them."""
        self._view = view
        self._sums_by_pool: dict[str, tuple[float, int, float]] = {}
        view.changes.subscribe(lambda _: self._sums_by_pool.clear())

    def of(self, now: float, pool: str) -> tuple[int, float]:
        """Return the number of endpoints and the sum of their limits."""
        kept = self._sums_by_pool.get(pool)
        if kept is None or now - kept[0] > KEPT_S:
            states = [s for s in self._view.in_pool(pool) if not s.leaving]
            kept = (now, len(states), sum(state.limit for state in states))
            self._sums_by_pool[pool] = kept
        return kept[1:]
