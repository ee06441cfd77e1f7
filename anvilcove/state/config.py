"""Configuration (class declarations) that a daemon has applied."""

from typing import Any

from reactivex import Subject

from anvilcove.settings.classes import (
    ClassDocument,
    ClassTarget,
    to_document,
)


class ConfigState:
    """Newest class declarations that this daemon has applied.

    `revision` never decreases. `changes` emits every revision that is
    applied.
    """

    __slots__ = ('revision', 'raw', 'document', 'adopted_at_s', 'changes')

    def __init__(self) -> None:
        """Create an empty configuration with revision 0."""
        self.revision = 0
        self.raw: dict[str, Any] = {}
        self.document = ClassDocument()
        self.adopted_at_s = 0.0
        self.changes: Subject[int] = Subject()

    def apply(self, revision: int, raw: dict[str, Any], now: float) -> bool:
        """Apply a revision; return False if it is not newer."""
        if revision <= self.revision:
            return False
        self.document = to_document(raw)
        self.raw = raw
        self.revision = revision
        self.adopted_at_s = now
        self.changes.on_next(revision)
        return True

    def target(self, class_name: str) -> ClassTarget | None:
        """Return the declaration of a class, None if it is not declared."""
        return self.document.by_name.get(class_name)
