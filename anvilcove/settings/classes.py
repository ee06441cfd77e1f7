"""Declarations of the classes of work and their targets."""

from collections import Counter
from typing import Annotated, Any

from msgspec import convert, field

from anvilcove.messages.base import Message
from anvilcove.settings.check import Fault, find_faults, show
from anvilcove.settings.meta import amount, milliseconds, name, share

Name = Annotated[str, name('Unique name of the class.')]
Pool = Annotated[str, name('Pool of endpoints that serves the class.')]


class InteractiveClass(Message, tag='interactive', tag_field='kind'):
    """Calls that a person waits for; the target is the on-time share."""

    name: Name
    pool: Pool
    deadline_ms: Annotated[int, milliseconds('Time until an answer is late.')]
    on_time_share: Annotated[
        float, share('Target share of timely answers.')
    ] = 0.999

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'interactive'


class BackgroundClass(Message, tag='background', tag_field='kind'):
    """Calls that nobody waits for; the target is completion in time."""

    name: Name
    pool: Pool
    complete_within_ms: Annotated[
        int, milliseconds('Time within which a call completes.')
    ]

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'background'


class TrainerClass(Message, tag='trainer', tag_field='kind'):
    """Rollout batches; the targets are step time and staleness."""

    name: Name
    pool: Pool
    model: Annotated[str, name('Model that the trainer updates.')]
    step_within_ms: Annotated[
        int, milliseconds('Time within which a step completes.')
    ]
    max_staleness_versions: Annotated[
        int,
        amount(
            'Versions that a sample may be behind the newest.', 'versions', 0
        ),
    ]

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


def declaration_faults(data: Any, path: str = 'document') -> list[Fault]:
    """Return every error of class declarations."""
    faults = find_faults(data, ClassDocument, path)
    classes = data.get('classes') if isinstance(data, dict) else None
    if not isinstance(classes, list):
        return faults
    names = [
        item.get('name')
        for item in classes
        if isinstance(item, dict) and isinstance(item.get('name'), str)
    ]
    for repeated, count in Counter(names).items():
        if count > 1:
            faults.append(
                Fault(f'{path}.classes', show(repeated), 'each name only once')
            )
    return faults


def declaration_errors(data: Any) -> list[str]:
    """Return every error of class declarations as lines of text."""
    return [str(fault) for fault in declaration_faults(data)]
