"""Reports of endpoints about themselves, as read from their answers."""

from collections import OrderedDict

from loguru import logger

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.ports.reports import UNSOUND_LIMIT, EndpointReport
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

MAX_REMEMBERED_ENDPOINTS = 1_000


class EndpointReports:
    """Apply reports to the starts of endpoints that sent them.

    An endpoint is named by an identifier that changes with each restart, so
    that a late answer says nothing about the next start.
    """

    __slots__ = ('_registry', '_clock', '_metrics', '_logged_as_unsound')

    def __init__(
        self, registry: EndpointRegistry, clock: Clock, metrics: NodeMetrics
    ) -> None:
        """Start without reports."""
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._logged_as_unsound: OrderedDict[str, None] = OrderedDict()

    def record(
        self, endpoint: str, report: EndpointReport | None, request_id: str
    ) -> None:
        """Apply what an endpoint said; None stands for no answer."""
        if report is None:
            return
        if report.unsound:
            self._log_unsound(endpoint, report, request_id)
        if report.leaving and self._registry.mark_leaving(endpoint):
            self._metrics.endpoint_reported('leaving')
            logger.bind(request=request_id, endpoint=endpoint).log(
                DECISION, 'endpoint said that it is leaving'
            )
        if UNSOUND_LIMIT not in report.unsound:
            self._record_limit(endpoint, report.limit_per_s, request_id)

    def _record_limit(
        self, endpoint: str, limit_per_s: float | None, request_id: str
    ) -> None:
        state = self._registry.view.by_id.get(endpoint)
        if state is None:
            return
        before = state.rate_limit_per_s
        if before is None and limit_per_s is None:
            return
        self._registry.view.set_rate_limit(
            state, limit_per_s, self._clock.now()
        )
        if before == limit_per_s:
            return
        kind = 'limit' if limit_per_s is not None else 'limit ended'
        self._metrics.endpoint_reported(kind)
        logger.bind(
            request=request_id,
            endpoint=endpoint,
            limit_per_s=limit_per_s,
            before=before,
        ).log(DECISION, 'endpoint named the rate of requests that it takes')

    def _log_unsound(
        self, endpoint: str, report: EndpointReport, request_id: str
    ) -> None:
        self._metrics.endpoint_reported('unsound')
        if endpoint in self._logged_as_unsound:
            return
        self._logged_as_unsound[endpoint] = None
        if len(self._logged_as_unsound) > MAX_REMEMBERED_ENDPOINTS:
            self._logged_as_unsound.popitem(last=False)
        logger.bind(
            request=request_id, endpoint=endpoint, values=report.unsound
        ).warning('endpoint sent a report that is malformed')
