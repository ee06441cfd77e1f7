"""Admission by deadline: refuse early what cannot finish in time."""

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    INTERACTIVE,
    PRIORITY_BY_KIND,
    Admit,
    PoolLoad,
    Refuse,
)
from anvilcove.settings.classes import ClassTarget
from anvilcove.settings.daemon import HostSettings

# An interactive request may spend this share of its time waiting; the rest
# absorbs the spread of service times, so that admitted work is on time.
WAIT_SHARE = 0.6
# Requests that one daemon lets wait in a pool; bounds its memory.
QUEUE_BOUND = 4_096
# Batch work never fills the queue, so that interactive work finds a place.
BATCH_QUEUE_SHARE = 0.75
# Smallest share of a pool's throughput that is assumed to be left for batch.
MIN_BATCH_SHARE = 0.05
# Up to this share of the pool's limit is admitted whatever the service time
# was: it may be that of an overload that is over, and only finished requests
# tell.
PROBE_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
RATE_WINDOW_S = 1.0


class ArrivalRate:
    """Arrivals per second, averaged over about one window."""

    __slots__ = ('_rate', '_at_s')

    def __init__(self) -> None:
        """Start without arrivals."""
        self._rate = 0.0
        self._at_s = 0.0

    def add(self, now: float) -> None:
        """Count one arrival."""
        self._rate = self.value(now) + 1 / RATE_WINDOW_S
        self._at_s = now

    def value(self, now: float) -> float:
        """Return the rate, which fades while nothing arrives."""
        left = 1 - max(now - self._at_s, 0.0) / (4 * RATE_WINDOW_S)
        fade: float = max(left, 0.0) ** 4
        return self._rate * fade


@policy('admission', 'deadline')
class DeadlineAdmission:
    """Admit what can start early enough, interactive work first."""

    __slots__ = ('_rate_by_pool',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without knowledge of the demand."""
        self._rate_by_pool: dict[str, ArrivalRate] = {}

    def offer(
        self,
        now: float,
        target: ClassTarget,
        load: PoolLoad,
        deadline_at_s: float,
    ) -> Admit | Refuse:
        """Admit the request or refuse it early as not run."""
        left_s = deadline_at_s - now
        if left_s <= 0:
            return Refuse('deadline has passed', MIN_RETRY_AFTER_S)
        if load.endpoints == 0:
            return Refuse('pool has no endpoint', 1.0)
        interactive = target.kind == INTERACTIVE
        priority = PRIORITY_BY_KIND[target.kind]
        rate = self._rate_by_pool.setdefault(target.pool, ArrivalRate())
        if interactive:
            rate.add(now)
        probes = max(load.limit * PROBE_SHARE, 1.0)
        if load.queued == 0 and load.in_flight < probes:
            return Admit(priority)
        wait_s = self._wait_s(load, priority, rate.value(now))
        bound_s = left_s * WAIT_SHARE if interactive else left_s
        needed_s = wait_s + (load.own_service_time_s or load.service_time_s)
        if needed_s > bound_s:
            return _refuse(
                'expected wait exceeds the deadline',
                needed_s - bound_s,
            )
        bound = QUEUE_BOUND * (1.0 if interactive else BATCH_QUEUE_SHARE)
        if load.queued >= bound:
            return _refuse('queue of the pool is full', max(wait_s / 4, 1.0))
        return Admit(priority)

    def _wait_s(
        self, load: PoolLoad, priority: int, interactive_rate: float
    ) -> float:
        ahead: float = sum(
            count
            for other, count in load.queued_by_priority.items()
            if other <= priority
        )
        if not load.queued_by_priority:
            ahead = load.queued
        if ahead == 0 and load.in_flight < load.limit:
            return 0.0
        turn_s = load.service_time_s / max(load.limit, 1.0)
        if priority:
            busy = interactive_rate * turn_s
            turn_s /= max(1 - busy, MIN_BATCH_SHARE)
        return (ahead + 1) * turn_s


def _refuse(reason: str, retry_after_s: float) -> Refuse:
    return Refuse(
        reason, min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    )
