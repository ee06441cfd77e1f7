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


def random_source(seed: int) -> random.Random:
    """Return a seeded generator; seed 0 draws a seed from the system."""
    return random.Random(seed or None)
