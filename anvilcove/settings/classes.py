"""Declarations of the classes of work and their targets."""

from collections import Counter
from typing import Annotated, Any

from msgspec import Meta, convert, field

from anvilcove.messages.base import Message
from anvilcove.settings.check import Fault, find_faults, show

Name = Annotated[
    str, Meta(min_length=1, description='Unique name of the class.')
]
Pool = Annotated[
    str, Meta(min_length=1, description='Pool of endpoints that serves it.')
]


class InteractiveClass(Message, tag='interactive', tag_field='kind'):
    """Calls that a person waits for; the target is the on-time share."""

    name: Name
    pool: Pool
    deadline_ms: Annotated[
        int,
        Meta(
            gt=0,
            description='Time until the answer is late.',
            extra={'unit': 'ms'},
        ),
    ]
    on_time_share: Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description='Target share of answers before the deadline.',
            extra={'unit': 'share'},
        ),
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
        int,
        Meta(
            gt=0,
            description='Time within which a call completes.',
            extra={'unit': 'ms'},
        ),
    ]

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'background'


class TrainerClass(Message, tag='trainer', tag_field='kind'):
    """Rollout batches; the targets are step time and staleness."""

    name: Name
    pool: Pool
    model: Annotated[
        str, Meta(min_length=1, description='Model that the trainer updates.')
    ]
    step_within_ms: Annotated[
        int,
        Meta(
            gt=0,
            description='Time within which a step completes.',
            extra={'unit': 'ms'},
        ),
    ]
    max_staleness_versions: Annotated[
        int,
        Meta(
            ge=0,
            description='Newest version minus the oldest one of a sample.',
            extra={'unit': 'versions'},
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
    for name, count in Counter(names).items():
        if count > 1:
            faults.append(
                Fault(f'{path}.classes', show(name), 'each name only once')
            )
    return faults


def declaration_errors(data: Any) -> list[str]:
    """Return every error of class declarations as lines of text."""
    return [str(fault) for fault in declaration_faults(data)]
