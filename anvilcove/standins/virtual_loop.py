"""Event loop whose time passes only while it waits."""

import asyncio
import selectors
from typing import Any


class _SkippingSelector(selectors.SelectSelector):
    """Selector that moves the loop's time instead of waiting."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready, or skip the time."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop that skips idle time; for code without real sockets."""

    def __init__(self) -> None:
        """Start at time 0."""
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._skipping.now_s


class LoopClock:
    """Clock of a loop; `ahead_s` is time lost in a pause."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start with the loop's time."""
        self._loop = loop
        self.ahead_s = 0.0

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time() + self.ahead_s

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)
