"""Ejection of endpoints that fail or are much slower than their pool."""

from anvilcove.decisions.failure_attribution import (
    FAILURE_SHARE_LIMIT,
    SOUND_SHARE,
    FailureAttribution,
    Run,
)
from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    AttemptResult,
)
from anvilcove.settings.host import HostSettings

INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 60.0
# Latency relative to the pool that ejects an endpoint. Accelerators of
# different ages in one pool differ by less.
LATENCY_RATIO_LIMIT = 4.0
# Successful attempts since the last ejection before an endpoint can be ejected
# for its latency.
MIN_ATTEMPTS = 8
# If this long has passed since the end of an endpoint's last ejection, the
# next one lasts INITIAL_EJECTION_S again.
BACKOFF_RESET_S = 120.0
# Share of the pool that is never ejected, whatever fails.
MIN_AVAILABLE_SHARE = 0.5
# Relative step of the running median per sample.
MEDIAN_STEP = 0.03
# Reasons of ejections.
BROKEN = 'broken'
FAILING = 'failing'
SLOW = 'slow'
MAX_BROKEN_RUNS = 64


class EndpointHealth:
    """Ejections and relative latency of one endpoint."""

    __slots__ = (
        'ejected_until_s',
        'ejections',
        'reason',
        'broken_runs',
        'attempts',
        'latency_ratio',
    )

    def __init__(self) -> None:
        """Start without failures."""
        self.ejected_until_s = 0.0
        self.ejections = 0
        # Reason of the last ejection until its end was seen, '' afterwards.
        self.reason = ''
        # Runs that broke off since the endpoint last completed one.
        self.broken_runs: list[Run] = []
        self.attempts = 0
        self.latency_ratio = 1.0


@policy('ejection', 'outlier')
class OutlierEjection:
    """Eject outliers for exponentially growing times.

    An endpoint whose connection broke is ejected at once, until it shows that
    it still works. One that fails is ejected if it fails much more than its
    pool, not counting the failures of contents that fail at several endpoints.
    """

    __slots__ = (
        '_health_by_endpoint',
        '_ejected_until_s',
        '_median_latency_by_class',
        '_failures',
        '_refusals',
        '_changes',
    )

    def __init__(self, settings: HostSettings) -> None:
        """Start without ejected endpoints."""
        self._health_by_endpoint: dict[str, EndpointHealth] = {}
        self._ejected_until_s: dict[str, float] = {}
        self._median_latency_by_class: dict[str, float] = {}
        self._failures = FailureAttribution()
        self._refusals = FailureAttribution()
        self._changes: dict[str, float] = {}

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Return the end of the endpoint's ejection, 0 if not ejected."""
        endpoint, outcome = result.endpoint, result.outcome
        health = self._health(now, endpoint)
        run = Run(endpoint, result.content)
        if outcome == OVERLOADED:
            self._refusals.failed(now, run, counted=False)
        elif outcome == OK:
            self._succeeded(now, run, health, pool)
            if not self._is_ejected(now, health) and self._is_slow(
                health, result
            ):
                self._eject(now, endpoint, SLOW, pool)
        elif outcome in (ERROR, CRASH):
            self._failed(now, run, health, outcome, pool)
        self._changes.pop(endpoint, None)
        return health.ejected_until_s if health.ejected_until_s > now else 0.0

    def heard(self, now: float, endpoint: str) -> float:
        """Record that a run at an endpoint goes on; return as `finished`."""
        health = self._health(now, endpoint)
        health.broken_runs.clear()
        if health.reason == BROKEN:
            self._end_ejection(now, endpoint)
            self._changes.pop(endpoint, None)
        return health.ejected_until_s if health.ejected_until_s > now else 0.0

    def limits_endpoint(self, result: AttemptResult) -> bool:
        """Tell whether an endpoint takes less work after a failed attempt.

        It does not if contents may be the cause: one that several endpoints
        refuse, or some of them while the endpoint completes most others.
        """
        if not result.content:
            return True
        if result.outcome == OVERLOADED:
            return not self._refusals.is_at_fault(result.content)
        share = self._failures.failure_share(result.endpoint)
        return share > FAILURE_SHARE_LIMIT

    def is_sound(self, now: float, endpoint: str) -> bool | None:
        """Tell whether an endpoint completes most of its runs.

        None if no run has shown it.
        """
        if self._is_ejected(now, self._health(now, endpoint)):
            return False
        return self._failures.is_sound(endpoint)

    def take_changes(self) -> dict[str, float]:
        """Return the ejections of other endpoints that have changed since.

        The values are as those of `finished`.
        """
        changes, self._changes = self._changes, {}
        return changes

    def _health(self, now: float, endpoint: str) -> EndpointHealth:
        health = self._health_by_endpoint.get(endpoint)
        if health is None:
            health = self._health_by_endpoint[endpoint] = EndpointHealth()
        if health.reason and health.ejected_until_s <= now:
            if health.reason == FAILING:
                self._failures.halve(endpoint)
            health.reason = ''
        return health

    def _is_ejected(self, now: float, health: EndpointHealth) -> bool:
        return health.ejected_until_s > now

    def _succeeded(
        self, now: float, run: Run, health: EndpointHealth, pool: list[str]
    ) -> None:
        health.broken_runs.clear()
        if health.reason == BROKEN:
            self._end_ejection(now, run.endpoint)
        self._refusals.clear(run.content)
        for endpoint in self._failures.succeeded(run):
            self._eject_outlier(now, endpoint, pool)
        if health.reason == FAILING:
            self._judge_again(now, pool)

    def _failed(
        self,
        now: float,
        run: Run,
        health: EndpointHealth,
        outcome: str,
        pool: list[str],
    ) -> None:
        # All runs that one crash breaks count as one failure.
        counted = not self._is_ejected(now, health)
        relieved = self._failures.failed(now, run, counted)
        if outcome == CRASH:
            health.broken_runs.append(run)
            del health.broken_runs[:-MAX_BROKEN_RUNS]
        for endpoint in relieved:
            self._relieve(now, endpoint)
        self._judge_again(now, pool)
        if not counted or not self._failures.blames(run):
            return
        self._eject_outlier(now, run.endpoint, pool)
        if outcome == CRASH and not self._is_ejected(now, health):
            self._eject(now, run.endpoint, BROKEN, pool)

    def _relieve(self, now: float, endpoint: str) -> None:
        """End an ejection whose broken runs were all those of contents."""
        health = self._health(now, endpoint)
        if health.reason == BROKEN and not any(
            run.charged for run in health.broken_runs
        ):
            health.broken_runs.clear()
            self._end_ejection(now, endpoint)

    def _eject_outlier(
        self, now: float, endpoint: str, pool: list[str]
    ) -> None:
        health = self._health(now, endpoint)
        if not self._is_ejected(now, health) and self._failures.is_outlier(
            endpoint, pool
        ):
            self._eject(now, endpoint, FAILING, pool)

    def _judge_again(self, now: float, pool: list[str]) -> None:
        """End ejections of endpoints that no longer fail more than others."""
        for endpoint in list(self._ejected_until_s):
            health = self._health_by_endpoint[endpoint]
            if (
                health.reason == FAILING
                and health.ejected_until_s > now
                and endpoint in pool
                and not self._failures.is_outlier(endpoint, pool, SOUND_SHARE)
            ):
                self._end_ejection(now, endpoint)

    def _end_ejection(self, now: float, endpoint: str) -> None:
        health = self._health_by_endpoint[endpoint]
        health.ejected_until_s = now
        health.ejections = max(health.ejections - 1, 0)
        health.reason = ''
        self._ejected_until_s.pop(endpoint, None)
        self._changes[endpoint] = 0.0

    def _is_slow(self, health: EndpointHealth, result: AttemptResult) -> bool:
        class_name = result.class_name
        median = self._median_latency_by_class.get(
            class_name, result.latency_s
        )
        above = result.latency_s > median
        median *= 1 + MEDIAN_STEP if above else 1 - MEDIAN_STEP
        self._median_latency_by_class[class_name] = median
        health.attempts += 1
        # Capped so that one extremely slow request cannot eject an endpoint.
        latency_ratio = min(
            result.latency_s / max(median, 1e-6), 4 * LATENCY_RATIO_LIMIT
        )
        health.latency_ratio += 0.2 * (latency_ratio - health.latency_ratio)
        return (
            health.attempts >= MIN_ATTEMPTS
            and health.latency_ratio > LATENCY_RATIO_LIMIT
        )

    def _may_eject(self, now: float, pool: list[str]) -> bool:
        for endpoint in [
            e for e, until_s in self._ejected_until_s.items() if until_s <= now
        ]:
            del self._ejected_until_s[endpoint]
        max_ejected = int(len(pool) * (1 - MIN_AVAILABLE_SHARE))
        if len(self._ejected_until_s) < max_ejected:
            return True
        members = set(pool)
        ejected = sum(
            1 for endpoint in self._ejected_until_s if endpoint in members
        )
        return ejected < max_ejected

    def _eject(
        self, now: float, endpoint: str, reason: str, pool: list[str]
    ) -> None:
        """Eject an endpoint if enough others of its pool remain."""
        if not self._may_eject(now, pool):
            return
        health = self._health_by_endpoint[endpoint]
        if now - health.ejected_until_s > BACKOFF_RESET_S:
            health.ejections = 0
        duration_s = INITIAL_EJECTION_S * 2.0 ** min(health.ejections, 10)
        health.ejections += 1
        health.reason = reason
        health.attempts = 0
        health.latency_ratio = 1.0
        health.ejected_until_s = now + min(duration_s, MAX_EJECTION_S)
        self._ejected_until_s[endpoint] = health.ejected_until_s
        self._changes[endpoint] = health.ejected_until_s
