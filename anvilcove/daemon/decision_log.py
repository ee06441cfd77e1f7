"""One structured log line per decision."""

from collections import deque

from loguru import logger
from msgspec import to_builtins

from anvilcove.decisions.types import DecisionRecord
from anvilcove.settings.daemon import DaemonSettings

REMEMBERED_DECISIONS = 2_000


class DecisionLog:
    """Log decisions and keep the last ones for `explain`."""

    __slots__ = ('settings', 'recent')

    def __init__(self, settings: DaemonSettings) -> None:
        """Start with no decisions."""
        self.settings = settings
        self.recent: deque[DecisionRecord] = deque(maxlen=REMEMBERED_DECISIONS)

    def record(self, record: DecisionRecord) -> None:
        """Log one decision."""
        self.recent.append(record)
        logger.bind(**to_builtins(record)).info('decision')
