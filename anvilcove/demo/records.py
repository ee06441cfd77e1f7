"""Records of the calls, batches, revisions and faults of a run."""

from typing import Any

from msgspec import Struct, field

from anvilcove.messages.callers import VersionRange
from anvilcove.messages.trainers import Batch

# Stands for infinity, which JSON cannot hold.
NEVER_S = 1e12


class CallRecord(Struct):
    """One call; its body contains the unique `marker` unless it is poison."""

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
        """Whether the call was answered within its deadline."""
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
    """Version of weights and when its publication was confirmed."""

    model: str
    version: int
    accepted_at_s: float


class LeavingRecord(Struct):
    """An endpoint that the platform listed as leaving."""

    endpoint: str
    listed_at_s: float
    ended_at_s: float = NEVER_S


class RevisionRecord(Struct):
    """Accepted revision of the declarations and its own probe class."""

    revision: int
    probe: str
    sent_at_s: float
    accepted_at_s: float


class StopRecord(Struct):
    """Planned stop of a daemon and the requests in flight there."""

    host: str
    signalled_at_s: float
    calls: list[CallRecord] = field(default_factory=list)
    exit_status: int | None = None


class RunRecord(Struct):
    """Input of the checks of one run.

    `runs`, `generations`, `versions` and `crashes` hold journal lines of
    endpoints: starts of requests at services, starts of generations at
    engines, weight versions within generations, and crashes. Each line has
    the key `endpoint`.
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
