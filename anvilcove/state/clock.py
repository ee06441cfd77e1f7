"""Clocks and the random generator that are passed to other code."""

import asyncio
import random
import time
from typing import Protocol

from anvilcove.settings.clock import ClockSettings


class Clock(Protocol):
    """Interface of a monotonic clock."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """Monotonic clock of the operating system, moved by an offset."""

    __slots__ = ('_offset_s',)

    def __init__(self, settings: ClockSettings = ClockSettings()) -> None:
        """Read the clock that the settings select."""
        self._offset_s = settings.offset_s

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic() + self._offset_s

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """Monotonic clock that also advances while the host is suspended.

    Lease holders need it: the ordinary monotonic clock stops during a
    suspension, so an expired lease would still look held.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since the host booted, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) + self._offset_s


def seconds_until_tick(now: float, period_s: float, phase: float) -> float:
    """Return the seconds until the next tick of a periodic loop.

    Ticks are at `(k + phase) * period_s` on the clock of `now`, so the loops
    of one daemon with the same period wake up together and can share a call.
    `phase` in [0, 1) differs between daemons and spreads their calls. A tick
    less than half a period away is skipped: it may be the one that has just
    fired.
    """
    wait_s = (phase * period_s - now) % period_s
    return wait_s if wait_s > period_s / 2 else wait_s + period_s


def new_random_generator(seed: int) -> random.Random:
    """Return a random generator; seed 0 takes a seed from the system."""
    return random.Random(seed or None)
