"""Statistics of engines, gathered by running items on them."""

from collections import deque
from collections.abc import Iterable
from statistics import fmean

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.ports.engines import EngineLoad
from anvilcove.state.clock import Clock
from anvilcove.state.endpoint_estimates import (
    TURNED_SLOW_FACTOR,
    EngineSpeed,
)

# Number of samples whose median gives the recent pace of an engine.
PACE_SAMPLES = 7
# Measurements expire this long after the last event, so that an engine that
# was slow is tried again.
PACE_TTL_S = 3.0
# The usual interval of an engine is this quantile of its event intervals. It
# is low because prompts of new items lengthen the intervals of all others.
USUAL_QUANTILE = 0.25
# Events whose mean interval is one sample. Single events may be read late,
# together with the next one.
EVENTS_PER_RECENT_SAMPLE = 2
EVENTS_PER_USUAL_SAMPLE = 6
# Relative step of the usual interval per sample.
QUANTILE_STEP = 0.04
# An engine that seems faster than this, relative to the median, sends its
# events in bursts, so that its pace is unknown.
MIN_PLAUSIBLE_PACE = 0.2
# A longer event interval is attributed to a load of weights, which pauses
# all runs of the engine.
MIN_LOAD_PAUSE_S = 0.6
# An engine is tried again this long after a load order; it announces the new
# version up to two seconds later.
LOAD_TIME_S = 0.95
# Time for which an engine is not used for a model after it answered with a
# version that is too old.
STALE_PAUSE_S = 0.15


class EngineRecord:
    """Statistics of one engine, as seen by this daemon.

    `other_daemons_load` is the work that other daemons have on the engine, as
    of its last answer.
    """

    __slots__ = (
        'in_flight',
        'in_flight_by_model',
        'long_items',
        'other_daemons_load',
        'event_intervals_s',
        'last_interval_at_s',
        'usual_interval_s',
        'loading_until_s_by_model',
        'versions',
        'speed',
    )

    def __init__(self) -> None:
        """Start without observations."""
        self.in_flight = 0
        self.in_flight_by_model: dict[str, int] = {}
        # Items in flight that were placed as long ones.
        self.long_items = 0
        self.other_daemons_load = 0
        # Event intervals; their median ignores the pauses during loads.
        self.event_intervals_s: deque[float] = deque(maxlen=PACE_SAMPLES)
        self.last_interval_at_s = 0.0
        # Running low quantile of the event intervals, 0 before any; unlike
        # the median it doesn't expire.
        self.usual_interval_s = 0.0
        self.loading_until_s_by_model: dict[str, float] = {}
        # Versions that its answers have named, by model.
        self.versions: dict[str, int] = {}
        # Speed of an engine that names its slowness, None for others.
        self.speed: EngineSpeed | None = None

    def median_interval_s(self, now: float) -> float:
        """Return the median event interval, 0 without enough data."""
        if now - self.last_interval_at_s > PACE_TTL_S:
            self.event_intervals_s.clear()
        if len(self.event_intervals_s) < PACE_SAMPLES // 2:
            return 0.0
        return sorted(self.event_intervals_s)[len(self.event_intervals_s) // 2]

    def interval_s(self, now: float) -> float:
        """Return the usual event interval, or the recent one if it is slow.

        An engine that names its slowness, which changes many times per second,
        is slow only if it has been so for longer than its bouts take.
        """
        if self.speed is not None:
            return self.speed.interval_s(now)
        recent_s = self.median_interval_s(now)
        if recent_s > TURNED_SLOW_FACTOR * self.usual_interval_s:
            return recent_s
        return self.usual_interval_s

    def add_recent_interval(self, seconds: float, now: float) -> None:
        """Record the mean interval of a few events."""
        if self.speed is not None:
            self.speed.add_recent(now, seconds, EVENTS_PER_RECENT_SAMPLE)
            return
        self.event_intervals_s.append(seconds)
        self.last_interval_at_s = now

    def add_usual_interval(self, seconds: float, now: float) -> None:
        """Update the usual interval with the mean interval of events."""
        if self.speed is not None:
            self.speed.usual.add(now, seconds)
            return
        usual_s = self.usual_interval_s or seconds
        if seconds > usual_s:
            self.usual_interval_s = usual_s * (
                1 + QUANTILE_STEP * USUAL_QUANTILE
            )
        else:
            self.usual_interval_s = usual_s * (
                1 - QUANTILE_STEP * (1 - USUAL_QUANTILE)
            )

    def add_item(self, model: str, long_item: bool) -> None:
        """Count an item that takes a slot."""
        self._count_item(model, long_item, 1)

    def remove_item(self, model: str, long_item: bool) -> None:
        """Stop counting an item that has left its slot."""
        self._count_item(model, long_item, -1)

    def _count_item(self, model: str, long_item: bool, change: int) -> None:
        self.in_flight += change
        self.in_flight_by_model[model] = (
            self.in_flight_by_model.get(model, 0) + change
        )
        if long_item:
            self.long_items += change


class IntervalMeter:
    """Mean event intervals of one run, over a few events each."""

    __slots__ = ('_recent_s', '_usual_s')

    def __init__(self) -> None:
        """Start without events."""
        self._recent_s: list[float] = []
        self._usual_s: list[float] = []

    def reset(self) -> None:
        """Discard the events since the last means."""
        self._recent_s.clear()
        self._usual_s.clear()

    def add(self, seconds: float, record: EngineRecord, now: float) -> None:
        """Add an interval, and the means that it completes to `record`."""
        self._recent_s.append(seconds)
        self._usual_s.append(seconds)
        if len(self._recent_s) == EVENTS_PER_RECENT_SAMPLE:
            record.add_recent_interval(fmean(self._recent_s), now)
            self._recent_s.clear()
        if len(self._usual_s) == EVENTS_PER_USUAL_SAMPLE:
            record.add_usual_interval(fmean(self._usual_s), now)
            self._usual_s.clear()


class EngineRecords:
    """Statistics of all registered engines."""

    __slots__ = ('_registry', '_clock', '_by_endpoint')

    def __init__(self, registry: EndpointRegistry, clock: Clock) -> None:
        """Start without statistics."""
        self._registry = registry
        self._clock = clock
        self._by_endpoint: dict[str, EngineRecord] = {}

    def get_or_create(self, endpoint: str) -> EngineRecord:
        """Return the statistics of an engine, empty if it is new."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            record = self._by_endpoint[endpoint] = EngineRecord()
        return record

    def values(self) -> Iterable[EngineRecord]:
        """Return the statistics of each known engine."""
        return self._by_endpoint.values()

    def prune(self) -> None:
        """Drop engines that have left the registry and run no items."""
        known = self._registry.entry_by_endpoint
        for endpoint, record in list(self._by_endpoint.items()):
            if endpoint not in known and not record.in_flight:
                del self._by_endpoint[endpoint]

    def on_start(
        self, endpoint: str, model: str, version: int, load: EngineLoad | None
    ) -> None:
        """Record the version and load that an answer started with."""
        record = self.get_or_create(endpoint)
        record.versions[model] = version
        if load is None:
            return
        if load.slots:
            busy = load.running + load.waiting
            record.other_daemons_load = max(busy - record.in_flight, 0)
        if load.names_slowness:
            record.speed = record.speed or EngineSpeed()
            record.speed.slowness.observe(self._clock.now(), load.slowness)

    def on_event_interval(
        self, endpoint: str, seconds: float, meter: 'IntervalMeter'
    ) -> None:
        """Record an event interval unless weights were loaded meanwhile.

        `meter` belongs to the run of the item.
        """
        if seconds >= MIN_LOAD_PAUSE_S:
            meter.reset()
            return
        meter.add(seconds, self.get_or_create(endpoint), self._clock.now())

    def mark_loading(self, endpoint: str, model: str, version: int) -> None:
        """Skip an engine for a model until its version is probably loaded."""
        record = self.get_or_create(endpoint)
        record.loading_until_s_by_model[model] = (
            self._clock.now() + LOAD_TIME_S
        )
        record.versions[model] = max(record.versions.get(model, 0), version)

    def mark_stale(self, endpoint: str, model: str) -> None:
        """Briefly skip an engine for a model whose version was too old."""
        until_s_by_model = self.get_or_create(
            endpoint
        ).loading_until_s_by_model
        until_s_by_model[model] = max(
            until_s_by_model.get(model, 0.0), self._clock.now() + STALE_PAUSE_S
        )

    def loading_until_s(self, endpoint: str, model: str) -> float:
        """Return when an engine has probably loaded a version of a model."""
        record = self.get_or_create(endpoint)
        return record.loading_until_s_by_model.get(model, float('-inf'))

    def version(self, entry: EndpointEntry, model: str) -> int:
        """Return the newest known version of a model on an engine.

        It is 0 for an engine without the model.
        """
        return max(
            entry.version_by_model.get(model, 0),
            self.get_or_create(entry.endpoint).versions.get(model, 0),
        )

    def is_slow(self, endpoint: str, pace: float) -> bool | None:
        """Tell whether an engine is slow, and not just for a moment.

        None for engines that do not name their slowness.
        """
        speed = self.get_or_create(endpoint).speed
        return (
            None if speed is None else speed.is_slow(self._clock.now(), pace)
        )

    def slowness(self, endpoint: str) -> float:
        """Return how much longer work takes on an engine now, 1.0 as usual."""
        speed = self.get_or_create(endpoint).speed
        return (
            1.0 if speed is None else speed.slowness.value(self._clock.now())
        )

    def interval_by_endpoint(self) -> dict[str, float]:
        """Return the event intervals of the registered engines in seconds.

        Engines without data, or with implausible ones, are omitted.
        """
        now = self._clock.now()
        known = {
            endpoint: record.interval_s(now)
            for endpoint, record in self._by_endpoint.items()
            if endpoint in self._registry.entry_by_endpoint
        }
        paces = relative_paces({e: s for e, s in known.items() if s > 0})
        return {
            endpoint: known[endpoint]
            for endpoint, pace in paces.items()
            if pace >= MIN_PLAUSIBLE_PACE
        }


def relative_paces(interval_by_endpoint: dict[str, float]) -> dict[str, float]:
    """Return event intervals relative to their median."""
    if not interval_by_endpoint:
        return {}
    measured = sorted(interval_by_endpoint.values())
    median_s = measured[(len(measured) - 1) // 2]
    return {e: s / median_s for e, s in interval_by_endpoint.items()}
