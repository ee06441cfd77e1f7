"""Contents that crash the endpoints at which they begin to run."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, field
from xxhash import xxh32_intdigest

from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.decisions.quarantine import REJECT_AFTER, ContentQuarantine
from anvilcove.decisions.types import Reject
from anvilcove.messages.peers import SuspectDigest
from anvilcove.ports.errors import EndpointCrashed, EndpointError
from anvilcove.ports.probes import EndpointProbe
from anvilcove.settings.node import NodeSettings
from anvilcove.state.background_tasks import spawn_logged
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
# Delay of a call that has to be made although endpoints crashed under it. A
# crash of several endpoints for other reasons must not stop a trainer's step.
OWED_DELAY_S = 0.5
MAX_OWED_DELAY_S = 3.0
MAX_DELAY_DOUBLINGS = 8
MAX_REMEMBERED_ENDPOINTS = 1_000
# Crashes of one endpoint address that count as a second one.
STARTS_AS_EVIDENCE = 3
MESSAGE_BY_EVENT = {
    'crashed': 'endpoint crashed while it began to run a content',
    'refused': 'request refused: its content crashes endpoints',
    'held': 'owed call delayed: endpoints crashed while they ran it',
    'tried': 'owed call sent again after its delay',
    'cleared': 'crashes of a content cleared: a run of it produced something',
}


def _delay_factor(content: str) -> float:
    """Return the factor of the delay of a content, 1 to 1.25.

    Contents that began to run beside each other have the same crashes. If
    they came back in step, sound ones would again run beside the others.
    """
    spread: int = xxh32_intdigest(content.encode())
    return 1.0 + spread / 2**34


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
        'on_change',
        'is_cut',
        '_registry',
        '_probe',
        '_clock',
        '_metrics',
        '_quarantine',
        '_broken_by_endpoint',
        '_probe_by_endpoint',
        '_probed_at_s_by_endpoint',
        '_address_by_crashed_endpoint',
        '_starts_by_content',
        '_crashed_at_s_by_content',
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
        # Called when a crash was counted here, or counts were cleared.
        self.on_change: Callable[[], None] = lambda: None
        # Tells whether this host is cut from all endpoints.
        self.is_cut: Callable[[], bool] = lambda: False
        self._registry = registry
        self._probe = probe
        self._clock = clock
        self._metrics = metrics
        self._quarantine = ContentQuarantine(settings)
        self._broken_by_endpoint: dict[str, BrokenEndpoint] = {}
        self._probe_by_endpoint: dict[str, asyncio.Task[None]] = {}
        self._probed_at_s_by_endpoint: OrderedDict[str, float] = OrderedDict()
        # Address of each endpoint start that has crashed.
        self._address_by_crashed_endpoint: OrderedDict[str, str] = (
            OrderedDict()
        )
        # Starts that crashed with a content in flight, by address.
        self._starts_by_content: OrderedDict[str, dict[str, set[str]]] = (
            OrderedDict()
        )
        # Time of the last crash with a content in flight, counted or not.
        self._crashed_at_s_by_content: OrderedDict[str, float] = OrderedDict()

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

    async def delay_owed_call(self, request_id: str, content: str) -> None:
        """Wait before a call that has to be made is sent again.

        The delay follows the last crash of an endpoint that ran it, and each
        further crash doubles it up to MAX_OWED_DELAY_S. It differs by content
        by up to a quarter.
        """
        if await self.may_run(content):
            return
        crashes = self._quarantine.open_crashes(content)
        exponent = min(crashes - REJECT_AFTER, MAX_DELAY_DOUBLINGS)
        delay_s = min(OWED_DELAY_S * 2**exponent, MAX_OWED_DELAY_S)
        delay_s *= _delay_factor(content)
        crashed_at_s = max(
            self._quarantine.changed_at_s(content),
            self._crashed_at_s_by_content.get(content, float('-inf')),
        )
        remaining_s = crashed_at_s + delay_s - self._clock.now()
        if remaining_s <= 0:
            return
        self._log_decision('held', request_id, content)
        await self._clock.sleep(remaining_s)
        self._log_decision('tried', request_id, content)

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

    def finished(self, content: str, request_id: str, endpoint: str) -> None:
        """Clear the crashes of a content whose run produced something."""
        for broken in self._broken_by_endpoint.values():
            broken.request_by_content.pop(content, None)
        self._starts_by_content.pop(content, None)
        suspected = self._quarantine.open_crashes(content) > 0
        self._quarantine.finished(self._clock.now(), content)
        if suspected:
            self._log_decision('cleared', request_id, content, endpoint)
            self.on_change()

    def on_failure(
        self,
        request_id: str,
        content: str,
        endpoint: str,
        error: EndpointError,
    ) -> None:
        """Consider a run that failed before it produced anything."""
        if not isinstance(error, EndpointCrashed) or self.is_cut():
            return
        if endpoint in self._address_by_crashed_endpoint:
            address = self._address_by_crashed_endpoint[endpoint]
            self._count(endpoint, address, {content: request_id})
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
        self._probe_by_endpoint[endpoint] = spawn_logged(
            self._probe_endpoint(entry), 'probe of an endpoint'
        )

    async def _probe_endpoint(self, entry: EndpointEntry) -> None:
        try:
            if await self._probe.refuses_connections(entry.address):
                self._confirm_crash(entry.endpoint)
        finally:
            self._probe_by_endpoint.pop(entry.endpoint, None)

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
        broken = self._broken_by_endpoint.pop(endpoint, None)
        # A host that reaches no endpoint can't tell which one has crashed.
        if broken is None or self.is_cut():
            return
        address = broken.entry.address
        self._address_by_crashed_endpoint[endpoint] = address
        if len(self._address_by_crashed_endpoint) > MAX_REMEMBERED_ENDPOINTS:
            self._address_by_crashed_endpoint.popitem(last=False)
        self._count(endpoint, address, broken.request_by_content)

    def _count(
        self, endpoint: str, address: str, request_by_content: dict[str, str]
    ) -> None:
        """Count the crash of an endpoint start for each content."""
        crash = [
            SuspectDigest(content=content, endpoint=key, crashes=1)
            for content in request_by_content
            if (key := self._crash_key(content, address, endpoint))
        ]
        now = self._clock.now()
        self._quarantine.merge(now, crash)
        for content, request_id in request_by_content.items():
            self._record_crash_time(content, now)
            self._log_decision('crashed', request_id, content, endpoint)
        self.on_change()

    def _record_crash_time(self, content: str, now: float) -> None:
        self._crashed_at_s_by_content.pop(content, None)
        self._crashed_at_s_by_content[content] = now
        if len(self._crashed_at_s_by_content) > MAX_REMEMBERED_ENDPOINTS:
            self._crashed_at_s_by_content.popitem(last=False)

    def _crash_key(self, content: str, address: str, endpoint: str) -> str:
        """Return under which name a crash counts, '' if it does not count.

        An endpoint that crashes again and again for a reason of its own is
        not evidence against a content, unless it has crashed several times.
        """
        starts_by_address = self._starts_by_content.pop(content, {})
        starts = starts_by_address.setdefault(address, set())
        starts.add(endpoint)
        self._starts_by_content[content] = starts_by_address
        if len(self._starts_by_content) > MAX_REMEMBERED_ENDPOINTS:
            self._starts_by_content.popitem(last=False)
        if len(starts) == 1:
            return address
        if len(starts) == STARTS_AS_EVIDENCE:
            return f'{address} again'
        return ''

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
