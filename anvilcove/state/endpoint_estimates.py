"""Estimates of what an endpoint can do: usual speed, and slowness now."""

from collections import deque
from math import exp

# The usual time of an endpoint is this quantile of the measured ones. It is
# low because bouts of slowness and prompts of others only add time.
USUAL_QUANTILE = 0.25
# Samples whose quantile is computed exactly. Later ones change it by a step,
# relative to it, so that a few samples neither learn nor lose it.
FIRST_SAMPLES = 8
QUANTILE_STEP = 0.04
# The usual time is learned anew after this time without a sample.
USUAL_TTL_S = 60.0
# A slowness loses its weight in this time; bouts of it take 0.6 s, of which
# half is over on average when it is seen.
SLOWNESS_DECAY_S = 0.3
# Share of the newest slowness in the estimate; one event may be read late.
SLOWNESS_SMOOTHING = 0.4
# An endpoint is slow for good only if most samples of this time say so. Bouts
# of slowness take 0.6 s and may follow each other.
LASTING_S = 1.8
LASTING_QUANTILE = 0.25
# They have to cover this share of the time, from the begin of the first one.
# 1.35 s is more than two bouts take, and events of a lone run may be 0.4 s
# apart.
MIN_LASTING_SAMPLES = 2
MIN_COVERED_SHARE = 0.75
# An endpoint has turned slow if it takes this multiple of its usual time.
TURNED_SLOW_FACTOR = 1.6
# An engine is slow for good at this multiple of the time of the median engine.
# Engines of one service differ by up to 2.7 times.
SLOW_FOR_GOOD_PACE = 4.0


class UsualTime:
    """Time that a unit of work usually takes, in seconds; 0 if unknown."""

    __slots__ = (
        'seconds',
        '_first_samples',
        '_first_sampled_at_s',
        '_sampled_at_s',
    )

    def __init__(self) -> None:
        """Start without samples."""
        self.seconds = 0.0
        self._first_samples: list[float] = []
        self._first_sampled_at_s = 0.0
        self._sampled_at_s = 0.0

    def is_settled(self) -> bool:
        """Tell whether the samples span more time than a bout takes."""
        span_s = self._sampled_at_s - self._first_sampled_at_s
        return len(self._first_samples) > 1 and span_s >= LASTING_S

    def add(self, now: float, seconds: float) -> None:
        """Add a measured time."""
        if now - self._sampled_at_s > USUAL_TTL_S:
            self._first_samples.clear()
        if not self._first_samples:
            self._first_sampled_at_s = now
        self._sampled_at_s = now
        if len(self._first_samples) < FIRST_SAMPLES:
            self._first_samples.append(seconds)
            ordered = sorted(self._first_samples)
            self.seconds = ordered[int(len(ordered) * USUAL_QUANTILE)]
        elif seconds > self.seconds:
            self.seconds *= 1 + QUANTILE_STEP * USUAL_QUANTILE
        else:
            self.seconds *= 1 - QUANTILE_STEP * (1 - USUAL_QUANTILE)


class Slowness:
    """Time that work takes now, relative to the usual time; 1.0 if unknown."""

    __slots__ = ('_excess', '_seen_at_s')

    def __init__(self) -> None:
        """Start without a measurement."""
        self._excess = 0.0
        self._seen_at_s = float('-inf')

    def observe(self, now: float, slowness: float) -> None:
        """Add a slowness that was measured or reported now."""
        known = self.value(now) - 1.0
        excess = slowness - 1.0
        age_s = now - self._seen_at_s
        # The older the estimate, the more the new value counts.
        share = 1 - (1 - SLOWNESS_SMOOTHING) * exp(-age_s / SLOWNESS_DECAY_S)
        self._excess = known + share * (excess - known)
        self._seen_at_s = now

    def value(self, now: float) -> float:
        """Return the slowness, which fades to 1.0 within a second."""
        age_s = max(now - self._seen_at_s, 0.0)
        return 1.0 + self._excess * exp(-age_s / SLOWNESS_DECAY_S)


class EngineSpeed:
    """Speed of an engine whose answers name its slowness."""

    __slots__ = ('usual', 'slowness', '_recent')

    def __init__(self) -> None:
        """Start without measurements."""
        self.usual = UsualTime()
        self.slowness = Slowness()
        # End, duration and mean interval of the measurements of LASTING_S.
        self._recent: deque[tuple[float, float, float]] = deque()

    def add_recent(self, now: float, seconds: float, events: int) -> None:
        """Add the mean interval of a few events."""
        self._recent.append((now, seconds * events, seconds))
        self._drop_old(now)
        if self.usual.seconds:
            ratio = seconds / self.usual.seconds
            self.slowness.observe(now, max(ratio, 1.0))

    def interval_s(self, now: float) -> float:
        """Return the event interval to expect for long, 0 if unknown."""
        return self._slow_interval_s(now) or self.usual.seconds

    def is_slow(self, now: float, pace: float) -> bool:
        """Tell whether it is slow, and not just for a moment.

        `pace` is its interval relative to that of the median engine.
        """
        if self.usual.is_settled() and pace >= SLOW_FOR_GOOD_PACE:
            return True
        return self._slow_interval_s(now) > 0

    def _slow_interval_s(self, now: float) -> float:
        """Return the interval of an engine that turned slow, 0 if it has not.

        The engine is slow if all but a small part of the samples are.
        """
        self._drop_old(now)
        recent = self._recent
        if len(recent) < MIN_LASTING_SAMPLES or not self.usual.seconds:
            return 0.0
        began_at_s = recent[0][0] - recent[0][1]
        if recent[-1][0] - began_at_s < LASTING_S * MIN_COVERED_SHARE:
            return 0.0
        ordered = sorted(seconds for _, _, seconds in recent)
        low_s = ordered[int(len(ordered) * LASTING_QUANTILE)]
        if low_s <= TURNED_SLOW_FACTOR * self.usual.seconds:
            return 0.0
        return ordered[len(ordered) // 2]

    def _drop_old(self, now: float) -> None:
        recent = self._recent
        while recent and now - recent[0][0] > LASTING_S:
            recent.popleft()


# Share of the latest latency in the usual one, after the first few.
LATENCY_SMOOTHING = 0.1
# Latencies are learned anew after this time, so that an endpoint that was slow
# for long is tried again.
LATENCY_TTL_S = 30.0
# An endpoint whose last latencies, this many, all differ from the usual one by
# this factor has changed for good, and is learned anew.
CHANGED_SAMPLES = 3
CHANGED_FACTOR = 2.0
# An endpoint with this share of its slots in use is nearly full: 5 of 6.
NEARLY_FULL_SHARE = 0.8
KNEE_SMOOTHING = 0.2
MAX_KNEE = 4.0


class CallSpeed:
    """Latency of an endpoint whose answers name its slowness."""

    __slots__ = (
        'slowness',
        'knee',
        '_usual_s',
        '_samples',
        '_changed_samples',
        '_sampled_at_s',
        '_nearly_full_at_s',
        '_full_at_s',
    )

    def __init__(self) -> None:
        """Start without measurements."""
        self.slowness = Slowness()
        # Latency while nearly full, relative to the usual one.
        self.knee = 1.0
        self._usual_s = 0.0
        self._samples = 0
        self._changed_samples = 0
        self._sampled_at_s = float('-inf')
        self._nearly_full_at_s = float('-inf')
        self._full_at_s = float('-inf')

    def add(
        self, now: float, latency_s: float, slowness: float, load_share: float
    ) -> None:
        """Add an answer, with the slowness and share of slots it named."""
        if now - self._sampled_at_s > LATENCY_TTL_S:
            self._samples = 0
        self._sampled_at_s = now
        self.slowness.observe(now, slowness)
        own_s = latency_s / slowness
        nearly_full = load_share >= NEARLY_FULL_SHARE
        if nearly_full:
            self._nearly_full_at_s = now
        self._full_at_s = now if load_share >= 1.0 else float('-inf')
        if nearly_full and self._samples:
            knee = min(max(own_s / self._usual_s, 1.0), MAX_KNEE)
            self.knee += KNEE_SMOOTHING * (knee - self.knee)
            return
        self._relearn_if_changed(own_s)
        self._samples += 1
        share = max(1 / self._samples, LATENCY_SMOOTHING)
        self._usual_s += share * (own_s - self._usual_s)

    def _relearn_if_changed(self, own_s: float) -> None:
        ratio = own_s / self._usual_s if self._usual_s else 1.0
        if 1 / CHANGED_FACTOR < ratio < CHANGED_FACTOR:
            self._changed_samples = 0
            return
        self._changed_samples += 1
        if self._changed_samples >= CHANGED_SAMPLES:
            self._samples = self._changed_samples = 0

    def usual_s(self, now: float) -> float:
        """Return the usual latency, 0 if it is unknown or too old."""
        return 0.0 if self._is_old(now) else self._usual_s

    def factor(self, now: float) -> float:
        """Return the expected latency now, relative to the usual one."""
        age_s = max(now - self._nearly_full_at_s, 0.0)
        knee = 1.0 + (self.knee - 1.0) * exp(-age_s / SLOWNESS_DECAY_S)
        return self.slowness.value(now) * knee

    def is_full(self, now: float) -> bool:
        """Tell whether its last answer, just now, named no free slot."""
        return now - self._full_at_s < SLOWNESS_DECAY_S

    def _is_old(self, now: float) -> bool:
        return now - self._sampled_at_s > LATENCY_TTL_S
