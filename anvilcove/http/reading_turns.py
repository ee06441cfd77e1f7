"""Turns of connections whose bytes take much time to parse."""

import asyncio
from collections import deque
from typing import Protocol

# The event loop is left to others for this many times the time of a read.
IDLE_FACTOR = 2.0
# Bounds of that time. A process that gets no processor takes long for a read.
MIN_PAUSE_S, MAX_PAUSE_S = 0.001, 0.05


class CostlyConnection(Protocol):
    """Connection that reads again when it is told to."""

    def take_turn(self) -> None:
        """Read once more."""


class ReadingTurns:
    """Queue of connections that parse one after another.

    Chunks of one byte take a hundred times the time of large ones, byte by
    byte. Many clients that send them must not hold the event loop.
    """

    __slots__ = ('_waiting', '_timer', '_pause_s')

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._waiting: deque[CostlyConnection] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._pause_s = MIN_PAUSE_S

    def wait(self, connection: CostlyConnection, spent_s: float) -> None:
        """Queue a connection whose last read took a time."""
        self._pause_s = min(
            max(spent_s * IDLE_FACTOR, MIN_PAUSE_S), MAX_PAUSE_S
        )
        self._waiting.append(connection)
        if self._timer is None:
            self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._pause_s, self._next)

    def _next(self) -> None:
        self._timer = None
        if self._waiting:
            self._waiting.popleft().take_turn()
        if self._waiting:
            self._schedule()
