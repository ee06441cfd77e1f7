"""Structured log of a daemon: one JSON object a line on standard output."""

import os
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

from anvilcove.daemon.logs import json_line
from anvilcove.state.clock import Clock

if TYPE_CHECKING:
    from loguru import Message

# Lines a second that a daemon writes; bursts may use what was saved up.
LINES_PER_S = 120.0
SAVED_LINES = 600.0
# Bytes that wait for a reader of standard output.
WAITING_BYTES = 262_144
STDOUT = 1
# Level of refusals, ejections, placements and changes of ownership. Lines of
# at least this level are written whatever the budget says.
DECISION = 'DECISION'
ALWAYS_LEVEL = 25
logger.level(DECISION, no=ALWAYS_LEVEL)


class LogWriter:
    """Write lines without ever waiting for their reader."""

    __slots__ = (
        '_host',
        '_clock',
        '_file',
        '_waiting',
        '_waiting_bytes',
        '_budget',
        '_budget_at_s',
        'left_out',
    )

    def __init__(self, host: str, clock: Clock, file: int = STDOUT) -> None:
        """Take over the log; `file` is a descriptor."""
        self._host = host
        self._clock = clock
        self._file = file
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._budget = SAVED_LINES
        self._budget_at_s = clock.now()
        self.left_out = 0
        os.set_blocking(file, False)

    def install(self, level: str = 'INFO') -> None:
        """Make this the only sink of the log."""
        logger.remove()
        logger.configure(extra={'host': self._host})
        logger.add(self.write, level=level, format='{message}', diagnose=False)

    def write(self, message: 'Message') -> None:
        """Write or queue one line, or count it as left out."""
        record: Any = message.record
        if not self._allowed(record['level'].no):
            self.left_out += 1
            return
        line = json_line(record)
        if self._waiting_bytes + len(line) > WAITING_BYTES:
            self.left_out += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._file, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody can be told.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _allowed(self, level: int) -> bool:
        now = self._clock.now()
        earned = (now - self._budget_at_s) * LINES_PER_S
        self._budget = min(self._budget + earned, SAVED_LINES)
        self._budget_at_s = now
        if self._budget < 1.0 and level < ALWAYS_LEVEL:
            return False
        self._budget = max(self._budget - 1.0, 0.0)
        return True
