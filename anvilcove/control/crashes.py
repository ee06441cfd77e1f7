"""Contents that crash the endpoints at which they begin to run."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, field

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.quarantine import REJECT_AFTER, ContentQuarantine
from anvilcove.decisions.types import Reject
from anvilcove.messages.peers import SuspectDigest
from anvilcove.ports.errors import EndpointCrashed, EndpointError
from anvilcove.ports.probes import EndpointProbe
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# An endpoint whose entry vanishes this soon after its connections broke has
# crashed, even if its address still accepts connections.
CONFIRMATION_S = 6.0
CHECK_PERIOD_S = 0.2
# Least time between two connections to one endpoint that only check it.
PROBE_PERIOD_S = 3.0
# Time within which the other daemons learn of a crash.
SHARING_TIME_S = 0.5
HOLD_PERIOD_S = 0.5
MAX_REMEMBERED_ENDPOINTS = 1_000


class BrokenEndpoint(Struct):
    """Endpoint whose connections broke, and the requests that ran there."""

    entry: EndpointEntry
    broken_at_s: float
    request_by_content: dict[str, str] = field(default_factory=dict)


class ContentCrashes:
    """Count the endpoint starts that each content has crashed.

    A broken connection counts as a crash only if the endpoint is confirmed to
    be gone. A run that produced something shows that its content does not
    crash endpoints. The counts are shared through the rows of the daemons.
    """

    __slots__ = (
        'on_crash',
        '_registry',
        '_probe',
        '_clock',
        '_metrics',
        '_quarantine',
        '_broken_by_endpoint',
        '_probe_by_endpoint',
        '_probed_at_s_by_endpoint',
        '_crashed_endpoints',
    )

    def __init__(
        self,
        settings: NodeSettings,
        registry: EndpointRegistry,
        probe: EndpointProbe,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        """Start without counts."""
        # Called when a crash was counted.
        self.on_crash: Callable[[], None] = lambda: None
        self._registry = registry
        self._probe = probe
        self._clock = clock
        self._metrics = metrics
        self._quarantine = ContentQuarantine(settings)
        self._broken_by_endpoint: dict[str, BrokenEndpoint] = {}
        self._probe_by_endpoint: dict[str, asyncio.Task[None]] = {}
        self._probed_at_s_by_endpoint: OrderedDict[str, float] = OrderedDict()
        self._crashed_endpoints: OrderedDict[str, None] = OrderedDict()

    async def run(self) -> None:
        """Compare broken endpoints with their entries until cancelled."""
        while True:
            await self._clock.sleep(CHECK_PERIOD_S)
            for endpoint in list(self._broken_by_endpoint):
                self._compare_entry(endpoint)

    def is_rejected(self, content: str) -> bool:
        """Tell whether a content must not be sent to any endpoint."""
        verdict = self._quarantine.verdict(self._clock.now(), content)
        return isinstance(verdict, Reject)

    async def may_run(self, content: str) -> bool:
        """Tell whether a content may be sent to an endpoint.

        Checks of endpoints that it may have crashed are awaited if they
        decide the answer.
        """
        while probes := self._deciding_probes(content):
            await asyncio.wait(probes)
        return not self.is_rejected(content)

    async def wait_until_allowed(self, request_id: str, content: str) -> None:
        """Wait while a content must not be sent."""
        held = False
        while not await self.may_run(content):
            if not held:
                held = True
                self._log_decision('held', request_id, content)
            await self._clock.sleep(HOLD_PERIOD_S)

    async def may_send(
        self,
        request_id: str,
        content: str,
        has_run: bool,
        deadline_at_s: float,
    ) -> bool:
        """Tell whether a request may be sent to an endpoint.

        If a request that has run may not be sent again, this is returned only
        after the other daemons have learned of the crashes: its caller may
        repeat it at any of them.
        """
        if not await self.may_run(content) and has_run:
            remaining_s = deadline_at_s - self._clock.now()
            await self._clock.sleep(max(min(SHARING_TIME_S, remaining_s), 0.0))
        if not self.is_rejected(content):
            return True
        self._log_decision('refused', request_id, content)
        return False

    def finished(self, content: str) -> None:
        """Clear the crashes of a content whose run produced something."""
        for broken in self._broken_by_endpoint.values():
            broken.request_by_content.pop(content, None)
        self._quarantine.finished(self._clock.now(), content)

    def on_failure(
        self,
        request_id: str,
        content: str,
        endpoint: str,
        error: EndpointError,
    ) -> None:
        """Consider a run that failed before it produced anything."""
        if not isinstance(error, EndpointCrashed):
            return
        if endpoint in self._crashed_endpoints:
            self._count(endpoint, {content: request_id})
            return
        entry = self._registry.entry_by_endpoint.get(endpoint)
        if entry is None or entry.draining:
            return
        broken = self._broken_by_endpoint.setdefault(
            endpoint, BrokenEndpoint(entry, 0.0)
        )
        broken.broken_at_s = self._clock.now()
        broken.request_by_content[content] = request_id
        self._start_probe(entry)

    def digests(self) -> list[SuspectDigest]:
        """Return the counts to share with the other daemons."""
        return self._quarantine.digests(self._clock.now())

    def merge(self, digests: list[SuspectDigest]) -> None:
        """Merge the counts of another daemon or of an earlier process."""
        self._quarantine.merge(self._clock.now(), digests)

    def _deciding_probes(self, content: str) -> list[asyncio.Task[None]]:
        """Return the checks in progress if they can get a content rejected."""
        if not self._probe_by_endpoint:
            return []
        probes = [
            probe
            for endpoint, probe in self._probe_by_endpoint.items()
            if (broken := self._broken_by_endpoint.get(endpoint))
            and content in broken.request_by_content
        ]
        known = self._quarantine.open_crashes(content)
        return probes if known + len(probes) >= REJECT_AFTER else []

    def _start_probe(self, entry: EndpointEntry) -> None:
        endpoint, now = entry.endpoint, self._clock.now()
        probed_at_s = self._probed_at_s_by_endpoint.get(endpoint)
        if probed_at_s is not None and now - probed_at_s < PROBE_PERIOD_S:
            return
        self._probed_at_s_by_endpoint[endpoint] = now
        if len(self._probed_at_s_by_endpoint) > MAX_REMEMBERED_ENDPOINTS:
            self._probed_at_s_by_endpoint.popitem(last=False)
        self._probe_by_endpoint[endpoint] = asyncio.create_task(
            self._probe_endpoint(entry)
        )

    async def _probe_endpoint(self, entry: EndpointEntry) -> None:
        try:
            if await self._probe.refuses_connections(entry.address):
                self._confirm_crash(entry.endpoint)
        finally:
            del self._probe_by_endpoint[entry.endpoint]

    def _compare_entry(self, endpoint: str) -> None:
        broken = self._broken_by_endpoint[endpoint]
        entry = self._registry.entry_by_endpoint.get(endpoint)
        if entry is None:
            self._confirm_crash(endpoint)
        elif (
            entry.draining
            or self._clock.now() - broken.broken_at_s > CONFIRMATION_S
        ):
            del self._broken_by_endpoint[endpoint]

    def _confirm_crash(self, endpoint: str) -> None:
        self._crashed_endpoints[endpoint] = None
        if len(self._crashed_endpoints) > MAX_REMEMBERED_ENDPOINTS:
            self._crashed_endpoints.popitem(last=False)
        broken = self._broken_by_endpoint.pop(endpoint, None)
        if broken is not None:
            self._count(endpoint, broken.request_by_content)

    def _count(
        self, endpoint: str, request_by_content: dict[str, str]
    ) -> None:
        """Count the crash of an endpoint start once for each content."""
        crash = [
            SuspectDigest(content=content, endpoint=endpoint, crashes=1)
            for content in request_by_content
        ]
        self._quarantine.merge(self._clock.now(), crash)
        for content, request_id in request_by_content.items():
            self._log_decision('crashed', request_id, content, endpoint)
        self.on_crash()

    def _log_decision(
        self, event: str, request_id: str, content: str, endpoint: str = ''
    ) -> None:
        self._metrics.crashing_content(event)
        logger.bind(
            request=request_id,
            content=content,
            endpoint=endpoint,
            crashes=self._quarantine.open_crashes(content),
            rejected=self.is_rejected(content),
        ).log(DECISION, MESSAGE_BY_EVENT[event])


MESSAGE_BY_EVENT = {
    'crashed': 'endpoint crashed while it began to run a content',
    'refused': 'request refused: its content crashes endpoints',
    'held': 'call held back: its content crashes endpoints',
}
