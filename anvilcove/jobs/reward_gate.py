"""Limit of concurrent reward calls."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anvilcove.control.endpoints import EndpointRegistry

# Share of a service's slots that reward calls may use. Interactive callers use
# the same slots, while a trainer only waits for the last of many calls.
MAX_SLOT_SHARE = 0.5
MIN_CALL_LIMIT = 4


class RewardGate:
    """Semaphore per service whose limit follows the service's slots."""

    __slots__ = ('_registry', '_running', '_waiting')

    def __init__(self, registry: EndpointRegistry) -> None:
        """Start without running calls."""
        self._registry = registry
        self._running: dict[str, int] = {}
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}

    @asynccontextmanager
    async def enter(self, service: str) -> AsyncIterator[None]:
        """Hold one permit of a service while the context is open."""
        waiting = self._waiting.setdefault(service, deque())
        if self._running.get(service, 0) >= self._limit(service) or waiting:
            future: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            waiting.append(future)
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

    def _release(self, service: str) -> None:
        self._running[service] -= 1
        waiting = self._waiting[service]
        while waiting and self._running[service] < self._limit(service):
            future = waiting.popleft()
            if not future.done():
                self._running[service] += 1
                future.set_result(None)

    def _limit(self, service: str) -> int:
        slots = sum(
            entry.slots
            for entry in self._registry.entry_by_endpoint.values()
            if entry.service == service and not entry.draining
        )
        return max(int(slots * MAX_SLOT_SHARE), MIN_CALL_LIMIT)
