"""Class declarations: kind, pool and service targets of each class."""

import re
from collections import Counter
from typing import Annotated, Any

from msgspec import Meta, convert, field

from anvilcove.messages.base import Message
from anvilcove.settings.check import Violation, find_violations, format_value
from anvilcove.settings.meta import (
    description,
    milliseconds,
    quantity,
    required_text,
    share,
)
from anvilcove.settings.services import (
    ServiceDeclaration,
    find_service_violations,
)

DIGESTS_FIELD = '.key_digests'
DIGEST = re.compile('[0-9a-f]{64}')

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


class WorkspaceDeclaration(Message):
    """Customer of the site, with the digests of its API keys."""

    name: Annotated[str, required_text('Unique name of the workspace.')]
    key_digests: Annotated[
        list[str], description('SHA-256 of each API key, in hexadecimal.')
    ] = field(default_factory=list)
    priority: Annotated[
        int,
        quantity(
            'Priority of its requests, 0 is highest; -1: that of their class.',
            'rank',
            -1,
        ),
    ] = -1
    weight: Annotated[
        float, Meta(gt=0, description='Share relative to other workspaces.')
    ] = 1.0


class ClassDocument(Message):
    """Class declarations of a site, as written in the YAML file.

    Without `workspaces`, calls need no key; an empty list admits none.
    """

    classes: list[ClassTarget] = field(default_factory=list)
    workspaces: list[WorkspaceDeclaration] = field(default_factory=list)
    services: list[ServiceDeclaration] = field(default_factory=list)

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
    if not isinstance(data, dict):
        return violations
    # Their own check below does not show what was found.
    violations = [v for v in violations if DIGESTS_FIELD not in v.path]
    for part in ('classes', 'workspaces', 'services'):
        violations += _find_repeated_names(data.get(part), f'{path}.{part}')
    if isinstance(data.get('workspaces'), list):
        violations += _find_digest_violations(
            data['workspaces'], f'{path}.workspaces'
        )
    violations += find_service_violations(data, path)
    return violations


def _find_repeated_names(items: Any, path: str) -> list[Violation]:
    names = [
        item.get('name')
        for item in (items if isinstance(items, list) else [])
        if isinstance(item, dict) and isinstance(item.get('name'), str)
    ]
    return [
        Violation(path, format_value(name), 'each name only once')
        for name, count in Counter(names).items()
        if count > 1
    ]


def _find_digest_violations(items: list[Any], path: str) -> list[Violation]:
    """Return a violation for each text that is no digest.

    It does not show the text, which may be a key.
    """
    violations = []
    for index, item in enumerate(items):
        digests = item.get('key_digests', []) if isinstance(item, dict) else []
        place = f'{path}[{index}]{DIGESTS_FIELD}'
        if not isinstance(digests, list):
            violations.append(Violation(place, 'no list', 'a list'))
            continue
        for position, digest in enumerate(digests):
            if not isinstance(digest, str) or not DIGEST.fullmatch(digest):
                violations.append(
                    Violation(
                        f'{place}[{position}]',
                        'another value',
                        '64 characters 0-9, a-f',
                    )
                )
    return violations


def declaration_errors(data: Any) -> list[str]:
    """Return one error message per violation in class declarations."""
    return [str(violation) for violation in find_declaration_violations(data)]
