"""Class declarations: kind, pool and service targets of each class."""

from collections import Counter
from typing import Annotated, Any

from msgspec import convert, field

from anvilcove.messages.base import Message
from anvilcove.settings.check import Violation, find_violations, format_value
from anvilcove.settings.meta import (
    milliseconds,
    quantity,
    required_text,
    share,
)

Name = Annotated[str, required_text('Unique name of the class.')]
Pool = Annotated[
    str, required_text('Pool of endpoints that serves the class.')
]


class InteractiveClass(Message, tag='interactive', tag_field='kind'):
    """Calls that a person waits for; the target is the on-time share."""

    name: Name
    pool: Pool
    deadline_ms: Annotated[
        int, milliseconds('Time after which an answer is late.')
    ]
    on_time_share: Annotated[
        float, share('Target share of answers that are on time.')
    ] = 0.999

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'interactive'


class BackgroundClass(Message, tag='background', tag_field='kind'):
    """Calls that nobody waits for; the target is the completion time."""

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
    model: Annotated[str, required_text('Model that the trainer updates.')]
    step_within_ms: Annotated[
        int, milliseconds('Time within which a step completes.')
    ]
    max_staleness_versions: Annotated[
        int,
        quantity(
            'Versions that a sample may lag behind the newest.', 'versions', 0
        ),
    ]

    @property
    def kind(self) -> str:
        """Return the kind of the class."""
        return 'trainer'


ClassTarget = InteractiveClass | BackgroundClass | TrainerClass


class ClassDocument(Message):
    """Class declarations of a site, as written in the YAML file."""

    classes: list[ClassTarget] = field(default_factory=list)

    @property
    def by_name(self) -> dict[str, ClassTarget]:
        """Return the classes by their name."""
        return {target.name: target for target in self.classes}


def to_document(data: dict[str, Any]) -> ClassDocument:
    """Convert plain data, or raise msgspec.ValidationError."""
    return convert(data, type=ClassDocument)


def find_declaration_violations(
    data: Any, path: str = 'document'
) -> list[Violation]:
    """Return all violations in class declarations, given as plain data."""
    violations = find_violations(data, ClassDocument, path)
    classes = data.get('classes') if isinstance(data, dict) else None
    if not isinstance(classes, list):
        return violations
    names = [
        item.get('name')
        for item in classes
        if isinstance(item, dict) and isinstance(item.get('name'), str)
    ]
    for repeated, count in Counter(names).items():
        if count > 1:
            violations.append(
                Violation(
                    f'{path}.classes',
                    format_value(repeated),
                    'each name only once',
                )
            )
    return violations


def declaration_errors(data: Any) -> list[str]:
    """Return one error message per violation in class declarations."""
    return [str(violation) for violation in find_declaration_violations(data)]
