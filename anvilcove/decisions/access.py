"""Decision whether a caller's key admits a request."""

from msgspec import Struct

from anvilcove.state.workspaces import Workspace, WorkspaceDirectory

NO_KEY = 'no key'
UNKNOWN_KEY = 'unknown key'


class Admitted(Struct, frozen=True):
    """The request may be served, for a workspace if `workspace` is set."""

    workspace: Workspace | None = None

    @property
    def name(self) -> str:
        """Return the name of the workspace, '' for none."""
        return self.workspace.name if self.workspace else ''

    @property
    def priority(self) -> int | None:
        """Return the priority of the workspace, None if it has none."""
        return self.workspace.priority if self.workspace else None


class Denied(Struct, frozen=True):
    """The request is not served; `reason` never contains the key."""

    reason: str


def decide_access(
    directory: WorkspaceDirectory | None, public: bool, key: str | None
) -> Admitted | Denied:
    """Decide on a request by its key, None if it carries none.

    Without a directory the configuration has no workspaces, and every request
    is admitted. Public routes need no key, but a known one names the
    workspace.
    """
    if directory is None:
        return Admitted()
    workspace = directory.find(key) if key is not None else None
    if workspace is not None or public:
        return Admitted(workspace)
    return Denied(NO_KEY if key is None else UNKNOWN_KEY)
