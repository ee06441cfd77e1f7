"""Limit of concurrent reward calls."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.share_hints import WorkspaceWeights
from anvilcove.decisions.service_choice import (
    WeightedService,
    service_order,
)
from anvilcove.decisions.share_queue import ShareQueue
from anvilcove.decisions.shares import (
    ArrivalOrder,
    SharePolicy,
    WeightedShares,
)

# Share of a service's slots that reward calls may use. Interactive callers use
# the same slots, while a trainer only waits for the last of many calls.
MAX_SLOT_SHARE = 0.5
MIN_CALL_LIMIT = 4
# Second attempts of calls, as a share of the limit of calls.
HEDGE_SHARE = 0.25

RewardQueue = ShareQueue['asyncio.Future[None]']


class RewardGate:
    """Semaphore per service whose limit follows the service's slots.

    Calls wait in the order of arrival. In a deployment with workspaces the
    next call is that of the workspace furthest below its share; all calls of a
    service count alike, since they take about the same time. Weights are
    divided by the excess of the workspaces over all hosts.
    """

    __slots__ = ('_registry', '_shares', '_running', '_hedges', '_waiting')

    def __init__(
        self,
        registry: EndpointRegistry,
        shares: WorkspaceWeights | None = None,
    ) -> None:
        """Start without running calls."""
        self._registry = registry
        self._shares = shares
        self._running: dict[str, int] = {}
        self._hedges: dict[str, int] = {}
        self._waiting: dict[str, RewardQueue] = {}

    def choose(
        self, targets: Sequence[WeightedService], key: str, preferred: str
    ) -> str:
        """Return the service of a route for a call.

        It is the preferred one unless calls wait there and fewer do, for its
        size, at another one that has servers.
        """
        if len(targets) == 1 or self._pressure(preferred) < 1:
            return preferred
        served = [s for s in service_order(targets, key) if self._slots(s)]
        return min(served, key=self._pressure, default=preferred)

    def _pressure(self, service: str) -> float:
        """Return the calls that run and wait, relative to their limit."""
        waiting = self._waiting.get(service)
        calls = self._running.get(service, 0)
        if waiting is not None:
            calls += sum(1 for _ in waiting.waiting_entries())
        return calls / self._limit(service)

    @asynccontextmanager
    async def enter(
        self, service: str, workspace: str = '', failing: bool = False
    ) -> AsyncIterator[None]:
        """Hold one permit of a service while the context is open.

        A `failing` call waits behind those that were not sent yet.
        """
        waiting = self._queue(service)
        busy = waiting.first() is not None
        if busy or self._running.get(service, 0) >= self._limit(service):
            future: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            waiting.add(future, (float(failing),), workspace)
            try:
                await future
            except asyncio.CancelledError:
                if future.done() and not future.cancelled():
                    self._release(service)
                raise
        else:
            self._running[service] = self._running.get(service, 0) + 1
        try:
            yield
        finally:
            self._release(service)

    def try_hedge(self, service: str) -> bool:
        """Take a permit for a second attempt of a call, if there is one.

        The caller must call `end_hedges` afterwards.
        """
        limit = max(int(self._limit(service) * HEDGE_SHARE), 1)
        if self._hedges.get(service, 0) >= limit:
            return False
        self._hedges[service] = self._hedges.get(service, 0) + 1
        return True

    def end_hedges(self, service: str, count: int) -> None:
        """Give back permits of second attempts."""
        self._hedges[service] = self._hedges.get(service, 0) - count

    def _queue(self, service: str) -> RewardQueue:
        """Return the queue of a service.

        If the deployment has got or lost workspaces, the calls that wait move
        to a queue with the other policy, in the order of their arrival.
        """
        weighted = self._shares is not None and self._shares.enabled()
        known = self._waiting.get(service)
        if known is not None and known.policy.weighted == weighted:
            return known
        policy: SharePolicy = WeightedShares() if weighted else ArrivalOrder()
        queue: RewardQueue = ShareQueue(policy, lambda future: future.done())
        if known is not None:
            entries = sorted(known.waiting_entries(), key=lambda e: e.number)
            for entry in entries:
                queue.add(entry.item, entry.order, entry.flow.workspace)
        self._waiting[service] = queue
        return queue

    def _release(self, service: str) -> None:
        self._running[service] -= 1
        waiting = self._queue(service)
        while self._running[service] < self._limit(service):
            entry = waiting.first()
            if entry is None:
                return
            self._running[service] += 1
            weight = 1.0
            if self._shares is not None:
                weight = self._shares.effective(entry.flow.workspace)
            waiting.take(entry, weight, 1.0)
            entry.item.set_result(None)

    def _slots(self, service: str) -> int:
        return sum(
            entry.slots
            for entry in self._registry.entry_by_endpoint.values()
            if entry.service == service and not entry.draining
        )

    def _limit(self, service: str) -> int:
        slots = self._slots(service)
        return max(int(slots * MAX_SLOT_SHARE), MIN_CALL_LIMIT)
