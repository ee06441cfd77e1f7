"""Structured log of the node daemon: JSON lines on standard output."""

import os
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

from anvilcove.daemon.logs import json_line
from anvilcove.state.clock import Clock

if TYPE_CHECKING:
    from loguru import Message

# Log rate of a daemon in lines per second, and how many unused lines it may
# save up for a burst (a token bucket).
LINES_PER_S = 120.0
BURST_LINES = 600.0
# Upper bound on the bytes that are queued while standard output is blocked.
MAX_QUEUED_BYTES = 262_144
STDOUT_FD = 1
# Log level of refusals, ejections, placements and changes of ownership. Lines
# of this level or higher are written even when the rate limit is reached.
DECISION = 'DECISION'
UNLIMITED_LEVEL = 25
logger.level(DECISION, no=UNLIMITED_LEVEL)


class LogWriter:
    """Log sink that never blocks on its output.

    `dropped_lines` counts the lines that were dropped because of the rate
    limit or a full queue.
    """

    __slots__ = (
        '_host',
        '_clock',
        '_descriptor',
        '_queue',
        '_queued_bytes',
        '_line_budget',
        '_line_budget_at_s',
        'dropped_lines',
    )

    def __init__(
        self, host: str, clock: Clock, descriptor: int = STDOUT_FD
    ) -> None:
        """Set the file descriptor to non-blocking mode."""
        self._host = host
        self._clock = clock
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._line_budget = BURST_LINES
        self._line_budget_at_s = clock.now()
        self.dropped_lines = 0
        os.set_blocking(descriptor, False)

    def install(self, level: str = 'INFO') -> None:
        """Make this the only sink of the logger."""
        logger.remove()
        logger.configure(extra={'host': self._host})
        logger.add(self.write, level=level, format='{message}', diagnose=False)

    def write(self, message: 'Message') -> None:
        """Write or queue one line, or drop and count it."""
        record: Any = message.record
        if not self._within_rate(record['level'].no):
            self.dropped_lines += 1
            return
        line = json_line(record)
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self.dropped_lines += 1
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the output accepts now."""
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other output
                # to report it to.
                self._queue.clear()
                self._queued_bytes = 0
                return
            self._queued_bytes -= written
            if written < len(line):
                self._queue[0] = line[written:]
                return
            self._queue.popleft()

    def _within_rate(self, level: int) -> bool:
        now = self._clock.now()
        refill = (now - self._line_budget_at_s) * LINES_PER_S
        self._line_budget = min(self._line_budget + refill, BURST_LINES)
        self._line_budget_at_s = now
        if self._line_budget < 1.0 and level < UNLIMITED_LEVEL:
            return False
        self._line_budget = max(self._line_budget - 1.0, 0.0)
        return True
