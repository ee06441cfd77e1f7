"""Messages between trainers and entry daemons."""

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.messages.callers import VersionRange


class GroupSpec(Message):
    """Samples wanted of one prompt."""

    group: str
    prompt: str
    samples: int
    max_tokens: int


class SubmitStep(Message):
    """One training step: all samples of its groups form one batch."""

    trainer: str
    class_name: str
    step: int
    groups: list[GroupSpec]


class StepAccepted(Message):
    """Confirm that the table holds the step."""

    step: int
    epoch: int


class Sample(Message):
    """One generated sample with the versions of its tokens."""

    sample_id: str
    group: str
    index: int
    tokens: list[str]
    versions: list[VersionRange]
    score: float = 0.0


class Batch(Message):
    """All samples of one step and epoch."""

    trainer: str
    step: int
    epoch: int
    model: str
    samples: list[Sample] = field(default_factory=list)


class AckBatch(Message):
    """Confirm that the trainer consumed a batch."""

    step: int
    epoch: int
    digest: str


class Acked(Message):
    """Last step that the trainer consumed."""

    cursor: int


class PublishWeights(Message):
    """Announce that the weight store holds a new version of a model."""

    model: str
    version: int


class WeightsPublished(Message):
    """Newest version of a model in the table."""

    model: str
    version: int
