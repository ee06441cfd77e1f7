"""Class declarations in force at one daemon."""

from typing import Any

from reactivex import Subject

from anvilcove.settings.classes import (
    ClassDocument,
    ClassTarget,
    to_document,
)


class ConfigState:
    """Newest declarations that this daemon has seen; revisions only rise."""

    __slots__ = ('revision', 'raw', 'document', 'adopted_at_s', 'changes')

    def __init__(self) -> None:
        """Start without declarations."""
        self.revision = 0
        self.raw: dict[str, Any] = {}
        self.document = ClassDocument()
        self.adopted_at_s = 0.0
        self.changes: Subject[int] = Subject()

    def adopt(self, revision: int, raw: dict[str, Any], now: float) -> bool:
        """Put a newer revision in force; return False if it is not newer."""
        if revision <= self.revision:
            return False
        self.document = to_document(raw)
        self.raw = raw
        self.revision = revision
        self.adopted_at_s = now
        self.changes.on_next(revision)
        return True

    def target(self, class_name: str) -> ClassTarget | None:
        """Return the declaration of a class."""
        return self.document.by_name.get(class_name)
