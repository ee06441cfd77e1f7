"""Poll load reports and cache events at a bounded rate."""

from typing import Any

from loguru import logger

from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.messages.engines import LoadReport
from anvilcove.messages.membership import ENGINE
from anvilcove.messages.peers import ReportDigest
from anvilcove.ports.errors import EndpointError
from anvilcove.state.background_tasks import Work
from anvilcove.state.endpoints import EndpointState, EndpointView
from anvilcove.state.peers import NEVER

# Endpoints polled per period, whatever their number. Peers poll the others and
# share the reports by gossip.
POLLS_PER_PERIOD = 1
# Of this many random endpoints, the one with the oldest report is polled.
SAMPLE_SIZE = 8
# An engine is polled for cache events for this long after its last work.
CACHE_POLL_S = 10.0
# Number of reports in one gossip message, and their maximum age.
MAX_GOSSIPED_REPORTS = 5
MAX_GOSSIPED_AGE_S = 2.0


@register_component
class ReportsComponent(Component):
    """Poll endpoints, a fixed number per period."""

    control = True

    def __init__(self, context: Context) -> None:
        """Start without cache events."""
        super().__init__(context)
        self._sequence_by_address: dict[str, int] = {}
        self._active_until_s_by_address: dict[str, float] = {}

    def tasks(self) -> list[Work]:
        """Return the polling loop."""
        return [self._loop]

    async def _loop(self) -> None:
        period_s = self.context.settings.timing.report_period_ms / 1000
        while True:
            for _ in range(POLLS_PER_PERIOD):
                state = self.next_endpoint()
                if state is not None:
                    self.context.control_task(self.poll(state))
            await self.context.clock.sleep(period_s)

    def next_endpoint(self) -> EndpointState | None:
        """Return the endpoint with the oldest report in a random sample."""
        pools = [
            p for p, ids in self.context.endpoints.ids_by_pool.items() if ids
        ]
        if not pools:
            return None
        view = self.context.endpoints
        counts = [len(view.ids_by_pool[pool]) for pool in pools]
        pool = self.context.rng.choices(pools, counts)[0]
        states = view.sample(pool, SAMPLE_SIZE, self.context.rng)
        return min(states, key=lambda state: state.report_at_s)

    async def poll(self, state: EndpointState) -> None:
        """Read the load report of an endpoint and its cache events."""
        context = self.context
        asked_at_s = context.clock.now()
        port = context.endpoint_port(state, control=True)
        try:
            report = await port.load()
            if report.endpoint == state.endpoint:
                context.endpoints.set_report(state, report, asked_at_s)
            if state.kind == ENGINE and self._may_have_events(state, report):
                await self._poll_cache(state, port)
        except EndpointError as error:
            logger.debug(
                'load report of endpoint {} could not be read: {}',
                state.endpoint,
                error,
            )

    def _may_have_events(
        self, state: EndpointState, report: LoadReport
    ) -> bool:
        """Return whether an engine may have new cache events."""
        now = self.context.clock.now()
        if report.running or report.queued or state.in_flight:
            self._active_until_s_by_address[state.address] = now + CACHE_POLL_S
        return self._active_until_s_by_address.get(state.address, NEVER) >= now

    async def _poll_cache(self, state: EndpointState, port: Any) -> None:
        after = self._sequence_by_address.get(state.address, 0)
        events = (await port.cache_events(after)).events
        if not events:
            return
        self._sequence_by_address[state.address] = events[-1].sequence
        self.context.policy('routing').observe_cache(
            self.context.clock.now(), state.endpoint, events
        )


def report_digests(view: EndpointView, now: float) -> dict[str, ReportDigest]:
    """Return the newest reports to send in a gossip message."""
    digests: dict[str, ReportDigest] = {}
    for endpoint in reversed(view.recently_reported):
        state = view.by_id.get(endpoint)
        if state is None or state.report is None or endpoint in digests:
            continue
        age_s = now - state.report_at_s
        if age_s <= MAX_GOSSIPED_AGE_S:
            digests[endpoint] = ReportDigest(
                running=state.report.running,
                queued=state.report.queued,
                capacity=state.report.capacity,
                age_ms=int(age_s * 1000),
            )
        if len(digests) == MAX_GOSSIPED_REPORTS:
            break
    return digests


def merge_reports(
    view: EndpointView, reports: dict[str, ReportDigest], now: float
) -> None:
    """Apply the reports of a peer that are newer than the known ones."""
    for endpoint, digest in reports.items():
        state = view.by_id.get(endpoint)
        if state is not None:
            report = LoadReport(
                endpoint=endpoint,
                running=digest.running,
                queued=digest.queued,
                capacity=digest.capacity,
            )
            view.set_report(state, report, now - digest.age_ms / 1000)
