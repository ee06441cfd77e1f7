"""Clock and random source that the daemon injects everywhere."""

import asyncio
import random
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """Clock of the operating system."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class SuspendAwareClock(SystemClock):
    """Clock that also counts the time while the host was suspended.

    Whoever acts on a lease uses it: the monotonic clock of a host that was
    suspended would still show the lease as held.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since the host started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def until_tick_s(now: float, period_s: float, phase: float) -> float:
    """Return the seconds until the next tick of a period.

    Loops of one daemon that share a period wake up together and can share
    a call; `phase` in [0, 1) keeps the daemons apart. A tick that is nearer
    than half a period is left out: it may be the one that just passed.
    """
    left_s = (phase * period_s - now) % period_s
    return left_s if left_s > period_s / 2 else left_s + period_s


def random_source(seed: int) -> random.Random:
    """Return a seeded generator; seed 0 draws a seed from the system."""
    return random.Random(seed or None)
