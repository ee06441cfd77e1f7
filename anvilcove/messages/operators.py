"""Messages between operators and entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.settings.daemon import Level


class ApplyClasses(Message):
    """Replace the class declarations if the revision is still current."""

    expected_revision: int
    document: dict[str, Any]


class ClassesApplied(Message):
    """Revision under which the declarations were accepted."""

    revision: int


class ClassesConflict(Message):
    """Revision that another operator applied first."""

    current_revision: int


class ClassesShown(Message):
    """Declarations in force at one daemon."""

    revision: int
    document: dict[str, Any]


class Drain(Message):
    """Ask a daemon to stop gracefully."""

    reason: str = ''


class LogLevel(Message):
    """Change the level of the log."""

    level: Level


class StatusReport(Message):
    """Snapshot of one daemon."""

    host: str
    data_centre: str
    state: str
    revision: int
    confirmed: bool
    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    endpoints: dict[str, dict[str, Any]] = field(default_factory=dict)
    classes: dict[str, dict[str, Any]] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
