"""Timeout of an answer that may have arrived while the event loop was late."""

import asyncio
from types import TracebackType

# Last part of a timeout, in which the event loop reads what has arrived. It is
# short next to the timeouts, and long enough for a backlog of messages, whose
# decoding may take 20 ms each.
READING_S = 0.2
# That part passes in this number of timers, one after the other. A delay of
# the event loop makes one of them late and leaves the time of the others.
READING_PARTS = 4


class AnswerTimeout:
    """Context manager that raises TimeoutError, as `asyncio.timeout` does.

    If the event loop is late, up to READING_S are added after the delay, so
    that a delay of this process does not count as silence of another one.
    """

    __slots__ = (
        '_seconds',
        '_part_s',
        '_limit',
        '_loop',
        '_due_at_s',
        '_timer',
    )

    def __init__(self, seconds: float) -> None:
        """Set the time, which begins when the context is entered."""
        self._seconds = seconds
        self._part_s = min(READING_S, max(seconds, 0.0)) / READING_PARTS
        self._limit = asyncio.timeout(None)

    async def __aenter__(self) -> asyncio.Timeout:
        """Start the time; return the timeout, which may only be shortened."""
        await self._limit.__aenter__()
        self._loop = asyncio.get_running_loop()
        self._due_at_s = self._loop.time() + self._seconds
        self._wait_until_left(READING_PARTS)
        return self._limit

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the time; raise TimeoutError if it has passed."""
        self._timer.cancel()
        await self._limit.__aexit__(kind, error, trace)

    def _wait_until_left(self, parts: int) -> None:
        """Wait until a number of parts is left."""
        self._timer = self._loop.call_at(
            self._due_at_s - parts * self._part_s, self._read, parts
        )

    def _read(self, parts: int) -> None:
        """Continue with the next part, or end the wait after the last one."""
        now = self._loop.time()
        if parts:
            late_s = now - (self._due_at_s - parts * self._part_s)
            if late_s > self._part_s / 2:
                self._due_at_s += late_s
            self._wait_until_left(parts - 1)
        elif not self._limit.expired():
            self._limit.reschedule(now)
