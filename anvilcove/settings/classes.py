"""Declarations of the classes of work and their targets."""

from typing import Any

from msgspec import convert, field

from anvilcove.messages.base import Message


class InteractiveClass(Message, tag='interactive', tag_field='kind'):
    """Calls that a person waits for; the target is the on-time share."""

    name: str
    pool: str
    deadline_ms: int
    on_time_share: float = 0.999

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'interactive'


class BackgroundClass(Message, tag='background', tag_field='kind'):
    """Calls that nobody waits for; the target is completion in time."""

    name: str
    pool: str
    complete_within_ms: int

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'background'


class TrainerClass(Message, tag='trainer', tag_field='kind'):
    """Rollout batches; the targets are step time and staleness."""

    name: str
    pool: str
    model: str
    step_within_ms: int
    max_staleness_versions: int

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'trainer'


ClassTarget = InteractiveClass | BackgroundClass | TrainerClass


class ClassDocument(Message):
    """All classes of a site, as operators keep them in version control."""

    classes: list[ClassTarget] = field(default_factory=list)

    @property
    def by_name(self) -> dict[str, ClassTarget]:
        """Return the classes by their name."""
        return {target.name: target for target in self.classes}


def to_document(data: dict[str, Any]) -> ClassDocument:
    """Convert plain data, or raise msgspec.ValidationError."""
    return convert(data, type=ClassDocument)
