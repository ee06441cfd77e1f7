"""Ejection of endpoints that fail or are far slower than their pool."""

from anvilcove.decisions.registry import policy
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    AttemptResult,
)
from anvilcove.settings.daemon import HostSettings

FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 60.0
# Errors in a row that eject; one error alone may be the request's fault.
ERRORS_IN_ROW = 3
# Share of failed attempts that ejects, smoothed by this step. An endpoint may
# fail a part of its requests while its health check is good; two failures in
# a row stay below the share.
FAILING_SHARE = 0.3
SHARE_STEP = 0.15
# Accelerators of different ages in one pool differ by less than this.
SLOW_RATIO = 4.0
# Attempts before the latency of an endpoint counts.
MIN_ATTEMPTS = 8
# An endpoint without a failure for this long starts again at the first time.
FORGIVE_AFTER_S = 120.0
# At least this share of the pool stays in, whatever fails.
FLOOR_SHARE = 0.5
# Step of the running median, relative to its value.
MEDIAN_STEP = 0.03


class EndpointRecord:
    """Failures and relative latency of one endpoint."""

    __slots__ = (
        'until_s',
        'ejections',
        'errors',
        'failing',
        'attempts',
        'ratio',
    )

    def __init__(self) -> None:
        """Start without failures."""
        self.until_s = 0.0
        self.ejections = 0
        self.errors = 0
        # Smoothed share of failed attempts.
        self.failing = 0.0
        self.attempts = 0
        self.ratio = 1.0


@policy('ejection', 'outlier')
class OutlierEjection:
    """Eject outliers for times that double, down to a floor."""

    __slots__ = ('_by_endpoint', '_ejected', '_median_by_class')

    def __init__(self, settings: HostSettings) -> None:
        """Start with every endpoint in."""
        self._by_endpoint: dict[str, EndpointRecord] = {}
        self._ejected: dict[str, float] = {}
        self._median_by_class: dict[str, float] = {}

    def finished(
        self, now: float, result: AttemptResult, pool: list[str]
    ) -> float:
        """Return until when the endpoint is ejected, 0 for not ejected."""
        record = self._by_endpoint.get(result.endpoint)
        if record is None:
            record = self._by_endpoint[result.endpoint] = EndpointRecord()
        if record.until_s > now:
            return record.until_s
        if not self._failing(record, result):
            return 0.0
        if not self._may_eject(now, pool):
            return 0.0
        return self._eject(now, result.endpoint, record)

    def _failing(self, record: EndpointRecord, result: AttemptResult) -> bool:
        if result.outcome in (OVERLOADED, CANCELLED):
            return False
        if result.outcome == CRASH:
            return True
        if result.outcome == ERROR:
            record.errors += 1
            record.failing += SHARE_STEP * (1.0 - record.failing)
            return (
                record.errors >= ERRORS_IN_ROW
                or record.failing > FAILING_SHARE
            )
        if result.outcome == OK:
            record.errors = 0
            record.failing -= SHARE_STEP * record.failing
            return self._is_slow(record, result)
        return False

    def _is_slow(self, record: EndpointRecord, result: AttemptResult) -> bool:
        name = result.class_name
        median = self._median_by_class.get(name, result.latency_s)
        up = result.latency_s > median
        median *= 1 + MEDIAN_STEP if up else 1 - MEDIAN_STEP
        self._median_by_class[name] = median
        record.attempts += 1
        # The cap keeps one extreme request from ejecting an endpoint.
        ratio = min(result.latency_s / max(median, 1e-6), 4 * SLOW_RATIO)
        record.ratio += 0.2 * (ratio - record.ratio)
        return record.attempts >= MIN_ATTEMPTS and record.ratio > SLOW_RATIO

    def _may_eject(self, now: float, pool: list[str]) -> bool:
        for endpoint in [e for e, u in self._ejected.items() if u <= now]:
            del self._ejected[endpoint]
        allowed = int(len(pool) * (1 - FLOOR_SHARE))
        if len(self._ejected) < allowed:
            return True
        members = set(pool)
        out = sum(1 for endpoint in self._ejected if endpoint in members)
        return out < allowed

    def _eject(
        self, now: float, endpoint: str, record: EndpointRecord
    ) -> float:
        if now - record.until_s > FORGIVE_AFTER_S:
            record.ejections = 0
        time_s = FIRST_EJECTION_S * 2.0 ** min(record.ejections, 10)
        record.ejections += 1
        record.errors = 0
        # An endpoint that fails again soon after its return is soon out.
        record.failing /= 2
        record.attempts = 0
        record.ratio = 1.0
        record.until_s = now + min(time_s, LONGEST_EJECTION_S)
        self._ejected[endpoint] = record.until_s
        return record.until_s
