"""Data types of batch jobs: submissions, store rows and results."""

from msgspec import Struct, field

# Daemons of earlier versions read `JobHead.legacy_submitted_ms` as the time of
# the submission on the store's clock. They never give up a job of the far
# future.
LEGACY_SUBMITTED_MS = 1e15


class RewardCall(Struct, array_like=True):
    """HTTP request that fetches the score of an item's generated text."""

    request_id: str
    host: str
    path: str
    # End-to-end headers, including the host and the request id.
    headers: list[tuple[str, str]]
    body: bytes


class Item(Struct, array_like=True):
    """One text generation of a batch job.

    `tokens` bounds the prompt and output tokens; `group` names the items that
    share a prompt.
    """

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str
    reward: RewardCall | None = None
    model: str = ''
    # The caller's estimate of the output length in tokens. Estimates are right
    # at the median only; single ones may be several times too high.
    length_hint: int = 0


class ItemPart(Struct, array_like=True):
    """Part of the items of a large job, which is stored by itself.

    Its encoding is the content of `objects` one after the other. `id_hashes`
    holds the 32-bit hash of the id of each item, in little-endian order.
    """

    objects: list[str]
    id_hashes: bytes
    size: int


class JobSpec(Struct, array_like=True):
    """Batch job as its trainer submitted it.

    Items run only on engines with at least `min_version` of `model`.
    """

    job_id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    target_groups: int
    items: list[Item]
    # Workspace that submitted it, '' for none. The submission never changes,
    # so it decides where the row of the job lacks the workspace.
    workspace: str = ''

    def item_parts(self) -> list[ItemPart]:
        """Return the parts that have the items of a large job."""
        return []


class LargeJobSpec(JobSpec, array_like=True):
    """Batch job with its items in parts; `items` is empty."""

    parts: list[ItemPart] = field(default_factory=list)

    def item_parts(self) -> list[ItemPart]:
        """Return the parts that have the items."""
        return self.parts


class ItemFailures(Struct, array_like=True):
    """Stored row of the answers that reported failures of an item.

    `runs` counts those of the item itself, from `endpoints`.
    """

    item_id: str
    runs: int = 0
    reward_calls: int = 0
    endpoints: set[str] = field(default_factory=set)


class JobHead(Struct, array_like=True):
    """Stored row of a job: its owner, its progress and its totals.

    A write succeeds only if its author knows the current row version. The
    random `commit_id` lets the author recognise its own write after the
    answer was lost. `owner` is a host, '' while the job has none; `nonce` is
    the id of the owner's process start and `beat` its heartbeat count.
    `listed` counts the committed results. `age_ms` is the time since the
    submission, as far as daemons have measured it, at the last write. It is
    never more than the true age: steady clocks of different hosts and of the
    store are not comparable, so a daemon adds only what its own clock shows.
    """

    job_id: str
    owner: str
    nonce: str
    beat: int
    commit_id: str
    listed: int
    total: int
    legacy_submitted_ms: float
    host: str
    path: str
    model: str
    # Upper bound of the prompt and output tokens of all items.
    tokens: int
    age_ms: float = 0.0
    # Time after the submission at which items may be given up, by the route as
    # it was then; 0 if unknown.
    item_lifetime_s: float = 0.0
    # Workspace of the submission. Daemons of earlier versions write the row
    # without it.
    workspace: str = ''
    # Memory that its owner needs, 0 in rows of earlier versions.
    memory_bytes: int = 0

    @property
    def finished(self) -> bool:
        """Tell whether the results of all items are committed."""
        return self.listed >= self.total


class ItemResult(Struct, array_like=True):
    """Result of an item, at a fixed position in the results of its job.

    A long `output` is stored as a separate object named `output_object`.
    """

    item_id: str
    completed: bool
    output: str = ''
    versions: list[int] = field(default_factory=list)
    score: str = ''
    output_object: str = ''


class TextPart(Struct, array_like=True):
    """Checkpoint of an unfinished item: its events from index `after` on.

    `versions` are the weight versions that generated the text up to the end
    of this part, `software` the software version of its engines, None if
    unknown: daemons of earlier versions don't store it.
    """

    item_id: str
    after: int
    texts: list[str]
    versions: list[int]
    software: str | None = None


class Commit(Struct):
    """Changes that the owner of a job writes in one transaction.

    It is sent again unchanged until its outcome is known.
    """

    head: JobHead
    results: list[ItemResult] = field(default_factory=list)
    parts: list[TextPart] = field(default_factory=list)
    failures: list[ItemFailures] = field(default_factory=list)


class VersionedJob(Struct):
    """Row of a job and the version of that row in the store."""

    head: JobHead
    version: int
