"""Interface of the platform in memory, with faults by host."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from msgspec import Struct

from anvilcove.ports.duties import (
    DutyThrottled,
    DutyUnanswered,
    NoneAvailable,
    SizeOrder,
)

RESPONSE_TIME_S = 0.004


class RecordedCall(Struct):
    """Call that arrived; `at_s` is a time of the loop."""

    at_s: float
    holder: str
    fence: int
    subject: str
    content: object


class MemoryInterface:
    """Calls that arrived, and the faults that tests switch on.

    Calls of `cut_hosts` are refused at once, those of `silent_hosts` never
    arrive, those of `lost_hosts` arrive and are not answered; '*' stands for
    all hosts.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without calls and faults."""
        self.loop = loop
        self.calls: list[RecordedCall] = []
        self.cut_hosts: set[str] = set()
        self.silent_hosts: set[str] = set()
        self.lost_hosts: set[str] = set()
        self.throttled = False
        self.none_available = False
        self.slow = 1.0
        # Number of calls that were tried, arrived or not.
        self.tries = 0
        # Waits while the process of a host is frozen.
        self.gate: Callable[[str], Awaitable[None]] = _pass


class MemoryDuties:
    """Client of the interface for one host."""

    def __init__(self, interface: MemoryInterface, host: str) -> None:
        """Call as `host`."""
        self.interface = interface
        self._host = host

    async def report_usage(
        self, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Record a report."""
        await self._call(fence, 'usage', (window, dict(counts)))

    async def order_size(self, fence: int, order: SizeOrder) -> None:
        """Record an order."""
        await self._call(fence, f'{order.service}/{order.data_centre}', order)
        if self.interface.none_available:
            raise NoneAvailable('none')

    async def _call(self, fence: int, subject: str, content: object) -> None:
        interface = self.interface
        interface.tries += 1
        names = {self._host, '*'}
        await interface.gate(self._host)
        if names & interface.cut_hosts:
            raise DutyUnanswered('cut by the test', sent=False)
        if names & interface.silent_hosts:
            await asyncio.Event().wait()
        await asyncio.sleep(RESPONSE_TIME_S * interface.slow / 2)
        if interface.throttled:
            raise DutyThrottled('throttled by the test')
        interface.calls.append(
            RecordedCall(
                interface.loop.time(), self._host, fence, subject, content
            )
        )
        if names & interface.lost_hosts:
            raise DutyUnanswered('lost by the test')
        await asyncio.sleep(RESPONSE_TIME_S * interface.slow / 2)


async def _pass(host: str) -> None:
    """Let a call pass at once."""
