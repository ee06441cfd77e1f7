"""Time of day that hosts with different clocks agree on."""

import time
from collections.abc import Callable, Mapping
from statistics import median

from anvilcove.state.clock import Clock
from anvilcove.state.store_clock import StoreClock

# Fewer clocks have no median that a single wrong one leaves alone.
MIN_HOSTS = 3
# A larger correction is not believed, as after a change of the store's clock
# that the announcements do not know of yet.
MAX_CORRECTION_MS = 10_000.0
# The median is computed from all hosts.
MEDIAN_PERIOD_S = 1.0
# Announcements made before a change of the store's clock are replaced within
# this time.
STALE_S = 30.0


class TrueTime:
    """Time of day, corrected to the median of what the hosts announce.

    Hosts compare their clocks through that of the store: each announces its
    time of day minus the store's clock.
    """

    __slots__ = (
        'other_offsets_ms',
        '_clock',
        '_wall_time',
        '_store_clock',
        '_median_ms',
        '_median_at_s',
        '_restarts',
        '_stale_by_host',
        '_stale_until_s',
        '_difference_s',
    )

    def __init__(
        self, clock: Clock, wall_time: Callable[[], float] = time.time
    ) -> None:
        """Start uncorrected; `clock` must count suspended time."""
        # Returns what the other hosts announce, by host.
        self.other_offsets_ms: Callable[[], Mapping[str, float]] = dict
        self._clock = clock
        self._wall_time = wall_time
        self._store_clock = StoreClock()
        self._median_ms: float | None = None
        self._median_at_s = float('-inf')
        # Changes of the store's clock, and what was announced before them.
        self._restarts = 0
        self._stale_by_host: dict[str, float] = {}
        self._stale_until_s = float('-inf')
        # True time minus that of the clock, before such a change.
        self._difference_s: float | None = None

    def record(self, sent_at_s: float, store_ms: float) -> None:
        """Record an answer of the store that has just arrived."""
        now = self._clock.now()
        difference_s = self.now_s() - now
        self._store_clock.record(sent_at_s, now, store_ms)
        if self._store_clock.restarts != self._restarts:
            self._restarts = self._store_clock.restarts
            self._stale_by_host = dict(self.other_offsets_ms())
            self._stale_until_s = now + STALE_S
            self._difference_s = difference_s
            self._median_at_s = float('-inf')

    def offset_ms(self) -> float | None:
        """Return the time of day minus the store's clock, None if unknown."""
        store_ms = self._store_clock.estimate_ms(self._clock.now())
        if store_ms is None:
            return None
        return self._wall_time() * 1000 - store_ms

    def correction_s(self) -> float:
        """Return what is added to the time of day of this host."""
        own_ms = self.offset_ms()
        if own_ms is None:
            return 0.0
        self._refresh_median(own_ms)
        if self._median_ms is None:
            return 0.0
        correction_ms = self._median_ms - own_ms
        if abs(correction_ms) > MAX_CORRECTION_MS:
            return 0.0
        return correction_ms / 1000

    def now_s(self) -> float:
        """Return the seconds since the start of 1970."""
        correction_s = self.correction_s()
        if self._median_ms is None and self._difference_s is not None:
            # The announcements are of the former clock of the store.
            return self._clock.now() + self._difference_s
        return self._wall_time() + correction_s

    def _refresh_median(self, own_ms: float) -> None:
        now = self._clock.now()
        if now - self._median_at_s < MEDIAN_PERIOD_S:
            return
        self._median_at_s = now
        if now >= self._stale_until_s:
            self._stale_by_host, self._difference_s = {}, None
        others = [
            offset
            for host, offset in self.other_offsets_ms().items()
            if self._stale_by_host.get(host) != offset
        ]
        enough = len(others) + 1 >= MIN_HOSTS
        self._median_ms = median([own_ms, *others]) if enough else None
