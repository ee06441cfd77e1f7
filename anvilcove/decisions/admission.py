"""Admission control that refuses requests which would miss the deadline."""

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    INTERACTIVE,
    PRIORITY_BY_KIND,
    Admit,
    PoolLoad,
    Refuse,
)
from anvilcove.settings.classes import ClassTarget
from anvilcove.settings.host import HostSettings

# Share of its remaining time that an interactive request may spend in the
# queue and in service by the estimate. The rest absorbs the variance of
# service times, so that admitted requests finish on time.
MAX_WAIT_SHARE = 0.6
# Queued requests per pool in one daemon; bounds its memory use.
MAX_QUEUED = 4_096
# Batch requests fill at most this share of the queue, so that interactive
# requests can always be queued.
BATCH_QUEUE_SHARE = 0.75
# Lower bound of the share of a pool's throughput that is assumed to be left
# for batch requests.
MIN_BATCH_SHARE = 0.05
# Up to this share of the pool's limit is admitted regardless of the measured
# service time, which may date from an overload that has ended: only finished
# requests update it.
PROBE_LIMIT_SHARE = 0.1
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
RATE_WINDOW_S = 1.0


class ArrivalRate:
    """Decaying average of the arrivals per second."""

    __slots__ = ('_rate', '_updated_at_s')

    def __init__(self) -> None:
        """Start at a rate of 0."""
        self._rate = 0.0
        self._updated_at_s = 0.0

    def add(self, now: float) -> None:
        """Count one arrival."""
        self._rate = self.value(now) + 1 / RATE_WINDOW_S
        self._updated_at_s = now

    def value(self, now: float) -> float:
        """Return the rate, which decays to 0 while nothing arrives."""
        linear_decay = 1 - max(now - self._updated_at_s, 0.0) / (
            4 * RATE_WINDOW_S
        )
        decay: float = max(linear_decay, 0.0) ** 4
        return self._rate * decay


@policy('admission', 'deadline')
class DeadlineAdmission:
    """Admit requests expected to meet their deadline, by priority."""

    __slots__ = ('_rate_by_pool',)

    def __init__(self, settings: HostSettings) -> None:
        """Start without measured arrival rates."""
        self._rate_by_pool: dict[str, ArrivalRate] = {}

    def offer(
        self,
        now: float,
        target: ClassTarget,
        load: PoolLoad,
        deadline_at_s: float,
    ) -> Admit | Refuse:
        """Admit the request, or refuse it before it has run."""
        remaining_s = deadline_at_s - now
        if remaining_s <= 0:
            return Refuse('deadline has passed', MIN_RETRY_AFTER_S)
        if load.endpoints == 0:
            return Refuse('pool has no endpoint', 1.0)
        interactive = target.kind == INTERACTIVE
        priority = PRIORITY_BY_KIND[target.kind]
        rate = self._rate_by_pool.setdefault(target.pool, ArrivalRate())
        if interactive:
            rate.add(now)
        probe_limit = max(load.limit * PROBE_LIMIT_SHARE, 1.0)
        if load.queued == 0 and load.in_flight < probe_limit:
            return Admit(priority)
        wait_s = self._wait_s(load, priority, rate.value(now))
        time_limit_s = (
            remaining_s * MAX_WAIT_SHARE if interactive else remaining_s
        )
        completion_s = wait_s + (
            load.own_service_time_s or load.service_time_s
        )
        if completion_s > time_limit_s:
            return _refuse(
                'expected wait exceeds the deadline',
                completion_s - time_limit_s,
            )
        max_queued = MAX_QUEUED * (1.0 if interactive else BATCH_QUEUE_SHARE)
        if load.queued >= max_queued:
            return _refuse('queue of the pool is full', max(wait_s / 4, 1.0))
        return Admit(priority)

    def _wait_s(
        self, load: PoolLoad, priority: int, interactive_rate: float
    ) -> float:
        queued_ahead: float = sum(
            count
            for queued_priority, count in load.queued_by_priority.items()
            if queued_priority <= priority
        )
        if not load.queued_by_priority:
            queued_ahead = load.queued
        if queued_ahead == 0 and load.in_flight < load.limit:
            return 0.0
        start_interval_s = load.service_time_s / max(load.limit, 1.0)
        if priority:
            interactive_utilization = interactive_rate * start_interval_s
            start_interval_s /= max(
                1 - interactive_utilization, MIN_BATCH_SHARE
            )
        return (queued_ahead + 1) * start_interval_s


def _refuse(reason: str, retry_after_s: float) -> Refuse:
    return Refuse(
        reason, min(max(retry_after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    )
