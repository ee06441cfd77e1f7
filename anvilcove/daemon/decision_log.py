"""Log policy decisions as structured records."""

from collections import deque

from loguru import logger
from msgspec import to_builtins
from xxhash import xxh64_intdigest

from anvilcove.decisions.types import DecisionRecord
from anvilcove.settings.daemon import DaemonSettings

MAX_RECENT_DECISIONS = 2_000
# Only decisions of this kind are sampled; refusals, ejections and placements
# are always logged.
SAMPLED_DECISION = 'route'
HASH_RANGE = 2**64


class DecisionLog:
    """Log decisions and keep the most recent ones for `explain`."""

    __slots__ = ('settings', 'recent')

    def __init__(self, settings: DaemonSettings) -> None:
        """Start without decisions."""
        self.settings = settings
        self.recent: deque[DecisionRecord] = deque(maxlen=MAX_RECENT_DECISIONS)

    def record(self, record: DecisionRecord) -> None:
        """Store a decision and log it unless sampling omits it."""
        self.recent.append(record)
        if record.decision == SAMPLED_DECISION and not self.is_sampled(
            record.subject
        ):
            return
        logger.bind(host=self.settings.host, **to_builtins(record)).info(
            'decision'
        )

    def is_sampled(self, subject: str) -> bool:
        """Return whether routing decisions about a subject are logged.

        The choice depends on the hash of the subject. All hosts make the same
        choice, so that `explain` finds either every line of a request or
        none.
        """
        share = self.settings.log.routing_sample
        return xxh64_intdigest(subject.encode()) < share * HASH_RANGE
