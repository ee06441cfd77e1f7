"""What callers, trainers and the operator of a run recorded."""

from typing import Any

from msgspec import Struct, field

from anvilcove.messages.callers import VersionRange
from anvilcove.messages.trainers import Batch

# JSON has no infinity.
NEVER_S = 1e12


class CallRecord(Struct):
    """One call of a caller; `marker` is unique in its body."""

    marker: str
    class_name: str
    repeatable: bool
    body: dict[str, Any]
    sent_at_s: float
    deadline_s: float
    outcome: str = ''
    reason: str = ''
    answer: Any = None
    versions: list[VersionRange] = field(default_factory=list)
    ended_at_s: float = 0.0
    host: str = ''
    connection_lost: bool = False

    @property
    def on_time(self) -> bool:
        """Tell whether the answer came within the deadline."""
        took_s = self.ended_at_s - self.sent_at_s
        return self.outcome == 'answered' and took_s <= self.deadline_s


class BatchRecord(Struct):
    """One batch that a trainer accepted."""

    trainer: str
    batch: Batch
    requested_at_s: float
    received_at_s: float
    waited_s: float
    expected_samples: int
    bound_versions: int
    acknowledged: bool = False


class PublishRecord(Struct):
    """Weights that a trainer published, from the table's confirmation."""

    model: str
    version: int
    accepted_at_s: float


class LeavingRecord(Struct):
    """An endpoint that the platform listed as leaving."""

    endpoint: str
    listed_at_s: float
    ended_at_s: float = NEVER_S


class RevisionRecord(Struct):
    """Declarations that the service accepted; `probe` is their class."""

    revision: int
    probe: str
    sent_at_s: float
    accepted_at_s: float


class StopRecord(Struct):
    """A planned stop of a daemon and the requests in flight at it."""

    host: str
    signalled_at_s: float
    calls: list[CallRecord] = field(default_factory=list)
    exit_status: int | None = None


class RunRecord(Struct):
    """Everything that the checks of one run look at.

    `runs` are the starts of calls at services, `generations` those at
    engines, `versions` the changes of version within generations, and
    `crashes` the crashes; each line names the endpoint that wrote it.
    """

    calls: list[CallRecord] = field(default_factory=list)
    batches: list[BatchRecord] = field(default_factory=list)
    publishes: list[PublishRecord] = field(default_factory=list)
    leavings: list[LeavingRecord] = field(default_factory=list)
    revisions: list[RevisionRecord] = field(default_factory=list)
    rejected_probes: list[str] = field(default_factory=list)
    stops: list[StopRecord] = field(default_factory=list)
    faults: list[dict[str, Any]] = field(default_factory=list)
    runs: list[dict[str, Any]] = field(default_factory=list)
    generations: list[dict[str, Any]] = field(default_factory=list)
    versions: list[dict[str, Any]] = field(default_factory=list)
    crashes: list[dict[str, Any]] = field(default_factory=list)
