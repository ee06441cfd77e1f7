"""Messages between operators and entry daemons."""

from typing import Any

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.settings.daemon import Level


class ApplyClasses(Message):
    """Replace the class declarations if `expected_revision` is current."""

    expected_revision: int
    document: dict[str, Any]


class ClassesApplied(Message):
    """Revision under which the declarations were accepted."""

    revision: int


class ClassesConflict(Message):
    """Current revision, which differs from the expected one."""

    current_revision: int


class ClassesShown(Message):
    """Class declarations that one daemon uses, and their revision."""

    revision: int
    document: dict[str, Any]


class Drain(Message):
    """Ask a daemon to stop gracefully."""

    reason: str = ''


class LogLevel(Message):
    """Change the log level of a daemon."""

    level: Level


class StatusReport(Message):
    """State of one daemon and of the hosts and endpoints that it knows."""

    host: str
    data_centre: str
    state: str
    revision: int
    confirmed: bool
    hosts: dict[str, dict[str, Any]] = field(default_factory=dict)
    endpoints: dict[str, dict[str, Any]] = field(default_factory=dict)
    classes: dict[str, dict[str, Any]] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)


class WorkspaceStatusReport(StatusReport):
    """State of one daemon of a site with workspaces.

    `workspaces` are those whose calls or samples wait at this daemon.
    """

    workspaces: dict[str, dict[str, Any]] = field(default_factory=dict)
