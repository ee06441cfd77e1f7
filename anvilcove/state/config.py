"""Configuration (class declarations) that a daemon has applied."""

from typing import Any

from loguru import logger
from reactivex import Subject

from anvilcove.settings.classes import (
    ClassDocument,
    ClassTarget,
    to_document,
)
from anvilcove.state.workspaces import (
    Workspace,
    WorkspaceDirectory,
    WorkspaceKeys,
    sha256_digest,
)


class ConfigState:
    """Newest class declarations that this daemon has applied.

    `revision` never decreases. `changes` emits every revision that is
    applied.
    """

    __slots__ = (
        'revision',
        'raw',
        'document',
        'workspaces',
        'adopted_at_s',
        'changes',
    )

    def __init__(self) -> None:
        """Create an empty configuration with revision 0."""
        self.revision = 0
        self.raw: dict[str, Any] = {}
        self.document = ClassDocument()
        # None if the declarations have no workspaces.
        self.workspaces: WorkspaceDirectory | None = None
        self.adopted_at_s = 0.0
        self.changes: Subject[int] = Subject()

    def apply(self, revision: int, raw: dict[str, Any], now: float) -> bool:
        """Apply a revision; return False if it is not newer."""
        if revision <= self.revision:
            return False
        self.document = to_document(raw)
        # An empty list admits no key; only its absence means that none is
        # needed.
        self.workspaces = None
        if 'workspaces' in raw:
            self.workspaces = _directory(self.document)
        self.raw = raw
        self.revision = revision
        self.adopted_at_s = now
        self.changes.on_next(revision)
        return True

    def target(self, class_name: str) -> ClassTarget | None:
        """Return the declaration of a class, None if it is not declared."""
        return self.document.by_name.get(class_name)


def _directory(document: ClassDocument) -> WorkspaceDirectory:
    directory = WorkspaceDirectory(
        [
            WorkspaceKeys(
                Workspace(
                    declared.name,
                    declared.priority if declared.priority >= 0 else None,
                    declared.weight,
                ),
                [bytes.fromhex(digest) for digest in declared.key_digests],
            )
            for declared in document.workspaces
        ],
        sha256_digest,
    )
    if directory.shared_keys:
        logger.bind(keys=directory.shared_keys).warning(
            'keys of several workspaces are not accepted'
        )
    return directory
