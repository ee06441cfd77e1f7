"""One structured log line per decision."""

from collections import deque

from loguru import logger
from msgspec import to_builtins
from xxhash import xxh64_intdigest

from anvilcove.decisions.types import DecisionRecord
from anvilcove.settings.daemon import DaemonSettings

REMEMBERED_DECISIONS = 2_000
# Only lines of this kind are sampled; refusals, ejections and placements are
# always logged.
SAMPLED = 'route'
HASH_RANGE = 2**64


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
        if record.decision == SAMPLED and not self.is_sampled(record.subject):
            return
        logger.bind(host=self.settings.host, **to_builtins(record)).info(
            'decision'
        )

    def is_sampled(self, subject: str) -> bool:
        """Tell whether the routing of a subject is logged.

        All hosts choose the same subjects, so that `explain` finds either
        every line of a request or none.
        """
        share = self.settings.log.routing_sample
        return xxh64_intdigest(subject.encode()) < share * HASH_RANGE
