"""What a daemon learns of the engines by running items there."""

from collections import deque

from loguru import logger

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.ports.engines import EngineLoad
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

# Times between events whose median is an engine's pace.
MEASURED_GAPS = 9
# An engine that has run nothing for this long counts as not measured, so that
# one that was slow is tried again.
PACE_LIFE_S = 3.0
# A longer time between events is a load of weights, which stops all runs.
PAUSE_S = 0.6
# Time after which an engine that was ordered to load is tried again; its
# announcement comes up to two seconds later.
LOAD_S = 0.95
# An engine that refused an item is left out for this long; while it loads a
# version it refuses for about a second.
REFUSED_S = 0.15
FAILED_S = 0.8
LONGEST_OUT_S = 6.0
# Share of failed runs, smoothed by the step, above which an engine is out for
# the longest time. A faulty engine may serve the larger part of its runs.
FAILING_SHARE = 0.3
SHARE_STEP = 0.15


class EngineRecord:
    """What this daemon has learned of one engine."""

    __slots__ = (
        'in_flight',
        'others',
        'gaps_s',
        'gap_at_s',
        'out_until_s',
        'loading_until_s',
        'failures',
        'failing',
        'versions',
    )

    def __init__(self) -> None:
        """Start without knowledge."""
        self.in_flight = 0
        self.others = 0
        # Times between events; their median ignores the pauses of loads.
        self.gaps_s: deque[float] = deque(maxlen=MEASURED_GAPS)
        self.gap_at_s = 0.0
        self.loading_until_s = float('-inf')
        self.out_until_s = 0.0
        # Failed runs since the last whole one.
        self.failures = 0
        # Smoothed share of failed runs.
        self.failing = 0.0
        # Versions that its answers have named, by model.
        self.versions: dict[str, int] = {}

    def event_s(self, now: float) -> float:
        """Return the median time between events, 0 while not measured."""
        if now - self.gap_at_s > PACE_LIFE_S:
            self.gaps_s.clear()
        if len(self.gaps_s) < MEASURED_GAPS // 2:
            return 0.0
        return sorted(self.gaps_s)[len(self.gaps_s) // 2]


class EngineRecords:
    """Records of all engines; those of engines that left are dropped."""

    __slots__ = ('_registry', '_clock', '_by_endpoint')

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        """Start without a record."""
        self._registry = registry
        self._clock = clock
        self._by_endpoint: dict[str, EngineRecord] = {}

    def of(self, endpoint: str) -> EngineRecord:
        """Return the record of an engine, an empty one if it is new."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            record = self._by_endpoint[endpoint] = EngineRecord()
        return record

    def prune(self) -> None:
        """Drop the records of engines that have left and run nothing."""
        known = self._registry.entry_by_endpoint
        for endpoint, record in list(self._by_endpoint.items()):
            if endpoint not in known and not record.in_flight:
                del self._by_endpoint[endpoint]

    def started(
        self, endpoint: str, model: str, version: int, load: EngineLoad | None
    ) -> None:
        """Learn from the start of an answer."""
        record = self.of(endpoint)
        record.versions[model] = version
        if load is not None:
            busy = load.running + load.waiting
            record.others = max(busy - record.in_flight, 0)

    def event_took(self, endpoint: str, seconds: float) -> None:
        """Learn the time between two events; pauses of loads don't count."""
        if seconds < PAUSE_S:
            record = self.of(endpoint)
            record.gaps_s.append(seconds)
            record.gap_at_s = self._clock.now()

    def load_ordered(self, endpoint: str, model: str, version: int) -> None:
        """Use an engine again, with its new weights, when it has loaded."""
        record = self.of(endpoint)
        record.loading_until_s = self._clock.now() + LOAD_S
        record.versions[model] = max(record.versions.get(model, 0), version)

    def succeeded(self, endpoint: str) -> None:
        """Note a whole generation."""
        record = self.of(endpoint)
        record.failures = 0
        record.failing -= SHARE_STEP * record.failing

    def refused(self, endpoint: str) -> None:
        """Leave an engine out that ran nothing of an item."""
        record = self.of(endpoint)
        until_s = self._clock.now() + REFUSED_S
        record.out_until_s = max(record.out_until_s, until_s)

    def item_failed(self, endpoint: str) -> None:
        """Note an answer that says that the item failed.

        The fault may be the item's; the engine is left out only where a
        large share of its runs ends this way.
        """
        record = self.of(endpoint)
        record.failing += SHARE_STEP * (1.0 - record.failing)
        if record.failing > FAILING_SHARE:
            self._leave_out(endpoint, LONGEST_OUT_S)

    def failed(self, endpoint: str) -> None:
        """Leave an engine out that broke off, longer each time."""
        record = self.of(endpoint)
        # The runs that one crash ends count as one failure.
        if record.out_until_s > self._clock.now() + REFUSED_S:
            return
        out_s = min(FAILED_S * 2.0**record.failures, LONGEST_OUT_S)
        record.failures += 1
        record.failing += SHARE_STEP * (1.0 - record.failing)
        if record.failing > FAILING_SHARE:
            out_s = LONGEST_OUT_S
        self._leave_out(endpoint, out_s)

    def _leave_out(self, endpoint: str, out_s: float) -> None:
        record = self.of(endpoint)
        record.out_until_s = self._clock.now() + out_s
        # An engine that fails again soon after its return is soon out.
        if record.failing > FAILING_SHARE:
            record.failing /= 2
        logger.bind(
            endpoint=endpoint, for_s=out_s, failures=record.failures
        ).log(DECISION, 'engine ejected')

    def out_until_s(self, endpoint: str) -> float:
        """Return when an engine may be used again."""
        record = self.of(endpoint)
        return max(record.out_until_s, record.loading_until_s)

    def version(self, entry: EndpointEntry, model: str) -> int:
        """Return the newest version that an engine is known to hold."""
        return max(
            entry.version_by_model.get(model, 0),
            self.of(entry.endpoint).versions.get(model, 0),
        )

    def pace_by_endpoint(self) -> dict[str, float]:
        """Return times per event over the median; unmeasured ones left out."""
        now = self._clock.now()
        known = {
            endpoint: record.event_s(now)
            for endpoint, record in self._by_endpoint.items()
            if endpoint in self._registry.entry_by_endpoint
        }
        measured = sorted(seconds for seconds in known.values() if seconds)
        if not measured:
            return {}
        median_s = measured[(len(measured) - 1) // 2]
        return {e: s / median_s for e, s in known.items() if s}
