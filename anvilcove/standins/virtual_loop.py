"""Event loop with virtual time that advances only while it is idle."""

import asyncio
import selectors
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready keys, or advance the time by `timeout` seconds."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that skips idle time, for code without real sockets."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.now_s

    def block(self, seconds: float) -> None:
        """Let time pass in which nothing runs, as in a suspended process."""
        self._skipping.now_s += seconds


class LoopClock:
    """Clock `ahead_s` seconds ahead of its loop.

    Tests increase `ahead_s` to simulate a paused process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a clock that shows the time of a loop."""
        self._loop = loop
        self.ahead_s = 0.0

    def now(self) -> float:
        """Return the time of the clock in seconds."""
        return self._loop.time() + self.ahead_s

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)
