"""Messages between trainers and entry daemons."""

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.messages.callers import VersionRange


class GroupSpec(Message):
    """A prompt and the number of samples to generate from it."""

    group: str
    prompt: str
    samples: int
    max_tokens: int


class SubmitStep(Message):
    """Submit a training step; the samples of all groups form a batch."""

    trainer: str
    class_name: str
    step: int
    groups: list[GroupSpec]


class StepAccepted(Message):
    """Confirm that the step is stored in the table."""

    step: int
    epoch: int


class Sample(Message):
    """A generated sample, with the versions that made its tokens."""

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
    """Acknowledge that the trainer has consumed a batch."""

    step: int
    epoch: int
    digest: str


class Acked(Message):
    """Answer to an acknowledgement: the last step consumed."""

    cursor: int


class PublishWeights(Message):
    """Announce that the weight store holds a new version of a model."""

    model: str
    version: int


class WeightsPublished(Message):
    """Newest published version of a model, 0 for none."""

    model: str
    version: int
