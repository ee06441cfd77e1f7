"""Whether this host reaches endpoints, and how that is found out."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.decisions.reachability import Reachability
from anvilcove.ports.probes import EndpointProbe
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# While the host is cut off, one endpoint is tried in each period.
PROBE_PERIOD_S = 1.0
# Endpoints that are tried at once to confirm a suspicion; all have to fail.
CONFIRMING_PROBES = 3
# Time from one judgement to the next one, so that crashes and ways that come
# and go do not change it all the time.
CONFIRMATION_PAUSE_S = 1.0
# A host that has heard an endpoint within this time need not try one.
MAX_SILENCE_S = 1.0
# Time after a send until the silence of endpoints is looked at.
SILENCE_CHECK_S = 0.45


class EndpointWays:
    """Judge from connections whether the host is cut from all endpoints."""

    __slots__ = (
        'on_change',
        'on_cut',
        'cut_since_s',
        '_evidence',
        '_registry',
        '_probe',
        '_clock',
        '_rng',
        '_metrics',
        '_wake_event',
        '_silence_timer',
    )

    def __init__(
        self,
        registry: EndpointRegistry,
        probe: EndpointProbe,
        clock: Clock,
        rng: random.Random,
        metrics: NodeMetrics,
    ) -> None:
        """Assume that endpoints are reached."""
        # Called when the judgement changes.
        self.on_change: Callable[[], None] = lambda: None
        # Called when the host finds itself cut off.
        self.on_cut: Callable[[], None] = lambda: None
        # When the host found itself cut off, None if it is not.
        self.cut_since_s: float | None = None
        self._evidence = Reachability()
        self._registry = registry
        self._probe = probe
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._wake_event = asyncio.Event()
        self._silence_timer: asyncio.TimerHandle | None = None

    @property
    def is_cut(self) -> bool:
        """Tell whether this host probably reaches no endpoint."""
        return self.cut_since_s is not None

    @property
    def may_be_cut(self) -> bool:
        """Tell whether this host is cut off or not certain of its ways."""
        return self.is_cut or self._evidence.is_cut()

    def sent(self, address: str) -> None:
        """Note that something was sent on an open connection."""
        self._evidence.sent(address, self._clock.now())
        if self._silence_timer is None:
            self._silence_timer = asyncio.get_running_loop().call_later(
                SILENCE_CHECK_S, self._check_silence
            )

    def heard(self, address: str) -> None:
        """Note that something arrived from an endpoint."""
        self._evidence.heard(address, self._clock.now())
        if self.cut_since_s is not None:
            self._set_cut(False, f'heard {address}')

    def failed(self, address: str, reason: str) -> None:
        """Note that the way to an endpoint failed."""
        self._evidence.failed(address, self._clock.now())
        logger.bind(address=address, reason=reason[:160]).info(
            'way to an endpoint failed'
        )
        if self._evidence.is_cut():
            self.check()

    def others_doubtful(self, address: str, within_s: float) -> bool:
        """Tell whether other endpoints failed lately or are silent now."""
        return self._evidence.others_doubtful(
            address, self._clock.now(), within_s
        )

    def silent_s(self) -> float:
        """Return the time since anything arrived from an endpoint."""
        return self._clock.now() - self._evidence.heard_at_s

    def check(self) -> None:
        """Try some endpoints, as this host may be cut off."""
        self._wake_event.set()

    async def run(self) -> None:
        """Try endpoints while the host is cut off, without end."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            if not self._is_doubtful():
                continue
            reached = await self._try_endpoints(CONFIRMING_PROBES)
            if not reached and self._evidence.is_cut():
                self._set_cut(True, 'no endpoint accepted a probe')
            while self.is_cut:
                await self._clock.sleep(PROBE_PERIOD_S)
                if self.is_cut:
                    await self._try_endpoints(1)
            await self._clock.sleep(CONFIRMATION_PAUSE_S)

    def _is_doubtful(self) -> bool:
        """Tell whether the ways to the endpoints have to be tried."""
        now = self._clock.now()
        return (
            self._evidence.is_cut()
            or self._evidence.is_suspicious(now)
            or self.silent_s() > MAX_SILENCE_S
        )

    def _check_silence(self) -> None:
        self._silence_timer = None
        if self.is_cut or not self._evidence.is_suspicious(self._clock.now()):
            return
        self.check()

    async def _try_endpoints(self, count: int) -> bool:
        """Try some endpoints; return whether one accepts connections."""
        listed = [
            entry.address
            for entry in self._registry.entry_by_endpoint.values()
            if not entry.draining
        ]
        self._evidence.forget(set(listed))
        self._rng.shuffle(listed)
        # Those that have failed already are the last to be tried again.
        listed.sort(key=self._evidence.has_failed)
        chosen = listed[:count]
        tried = (self._try(address) for address in chosen)
        return any(await asyncio.gather(*tried))

    async def _try(self, address: str) -> bool:
        accepted = await self._probe.accepts_connections(address)
        if accepted:
            self.heard(address)
        else:
            self.failed(address, 'not connected by a probe')
        return accepted

    def _set_cut(self, cut: bool, reason: str) -> None:
        self.cut_since_s = self._clock.now() if cut else None
        self._metrics.cut_from_endpoints('cut' if cut else 'reached again')
        logger.bind(
            reason=reason[:160],
            endpoints=len(self._registry.entry_by_endpoint),
            silent_s=round(self.silent_s(), 2) if cut else None,
        ).log(
            DECISION,
            'host is cut from all endpoints'
            if cut
            else 'host reaches endpoints again',
        )
        self.on_change()
        if cut:
            self.on_cut()
