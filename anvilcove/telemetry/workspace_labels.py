"""Label values of workspaces in metrics."""

# Workspaces with a label value of their own; the others share OTHER, as each
# value is a series of its own.
MAX_WORKSPACE_LABELS = 100
OTHER = 'other'


class WorkspaceLabels:
    """Bounded set of label values, in the order of their first use."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        """Start without label values."""
        self._known: set[str] = set()

    def value(self, workspace: str) -> str:
        """Return the label value of a workspace, OTHER for late ones."""
        if workspace not in self._known:
            # OTHER is one of the values.
            if len(self._known) >= MAX_WORKSPACE_LABELS - 1:
                return OTHER
            self._known.add(workspace)
        return workspace
