"""Runs on engines that announce when they leave."""

from math import inf

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.state.clock import Clock

# Time before an engine leaves in which no run on it goes on. It covers the
# delay of the row that announces it.
LEAVING_MARGIN_S = 0.6


class LeavingEngines:
    """Times at which engines leave, by the rows of those that announce it."""

    __slots__ = ('_registry', '_clock', '_leaves_at_s')

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        """Start without announcements."""
        self._registry = registry
        self._clock = clock
        self._leaves_at_s: dict[str, float] = {}

    def update(self, endpoints: set[str]) -> bool:
        """Read the announcements of engines; return whether one leaves."""
        now = self._clock.now()
        entries = self._registry.entry_by_endpoint
        found = {}
        for endpoint in endpoints:
            entry = entries.get(endpoint)
            if entry is None:
                # Its row may be removed before the engine is gone.
                if endpoint in self._leaves_at_s:
                    found[endpoint] = self._leaves_at_s[endpoint]
            elif entry.leaves_s is not None:
                # The row may repeat an earlier time left.
                known_s = self._leaves_at_s.get(endpoint, now + entry.leaves_s)
                found[endpoint] = min(known_s, now + entry.leaves_s)
        self._leaves_at_s = found
        return bool(found)

    def ends_now(self, endpoint: str) -> bool:
        """Tell whether an engine is about to leave.

        Until then a run goes on: its text is kept, so that a later move costs
        as much as an earlier one, and it may end.
        """
        leaves_at_s = self._leaves_at_s.get(endpoint, inf)
        return self._clock.now() > leaves_at_s - LEAVING_MARGIN_S
