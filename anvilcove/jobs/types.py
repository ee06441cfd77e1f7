"""Types of batch jobs."""

from msgspec import Struct, field


class RewardCall(Struct, array_like=True):
    """Request that scores the text of an item."""

    request_id: str
    host: str
    path: str
    # End-to-end headers of the call, its host and id among them.
    headers: list[tuple[str, str]]
    body: bytes


class Item(Struct, array_like=True):
    """One generation of a batch job."""

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int
    group: str
    reward: RewardCall | None = None
    model: str = ''
    # The caller's estimate of its output; right at the median only.
    length_hint: int = 0


class JobSpec(Struct, array_like=True):
    """A batch job as its trainer submitted it."""

    job_id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    target_groups: int
    items: list[Item]


class JobHead(Struct, array_like=True):
    """Row of a job; whoever changes it knows its last version.

    `commit_id` names the write, so that its author knows it again when the
    answer was lost. `listed` counts the results with a position.
    """

    job_id: str
    owner: str
    nonce: str
    beat: int
    commit_id: str
    listed: int
    total: int
    submitted_ms: float
    host: str
    path: str
    model: str
    # Prompt and output tokens of all items at the most.
    tokens: int

    @property
    def finished(self) -> bool:
        """Tell whether every item has its result."""
        return self.listed >= self.total


class ItemResult(Struct, array_like=True):
    """Result of an item, at a fixed position of its job.

    A long `output` is kept as an object, named by `output_object`.
    """

    item_id: str
    completed: bool
    output: str = ''
    versions: list[int] = field(default_factory=list)
    score: str = ''
    output_object: str = ''


class TextPart(Struct, array_like=True):
    """Events of an unfinished item from event `after` on.

    `versions` made the text up to the end of this part.
    """

    item_id: str
    after: int
    texts: list[str]
    versions: list[int]


class Commit(Struct):
    """What the owner of a job writes at once.

    The same one is sent until it is known what came of it.
    """

    head: JobHead
    results: list[ItemResult] = field(default_factory=list)
    parts: list[TextPart] = field(default_factory=list)


class HeldJob(Struct):
    """A job's row and its version in the store."""

    head: JobHead
    version: int
