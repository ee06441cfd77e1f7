"""Bounds on the work of workspaces that waits in one queue."""

import heapq
from collections.abc import Callable

from anvilcove.decisions.shares import MIN_WEIGHT


class WaitingWork:
    """Waiting work by workspace, in seconds of service.

    `weight_of` returns the current weight of a workspace.
    """

    __slots__ = (
        'total_s',
        '_work_s',
        '_weight_of',
        '_weights',
        '_weight_sum',
        '_largest',
    )

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Start without waiting work."""
        self.total_s = 0.0
        self._work_s: dict[str, float] = {}
        self._weight_of = weight_of
        # Weights of the workspaces with waiting work, and their sum.
        self._weights: dict[str, float] = {}
        self._weight_sum = 0.0
        # Heap by work per weight, largest first. Entries are corrected when
        # they come first, since work per weight may have become less.
        self._largest: list[tuple[float, str]] = []

    def add(self, workspace: str, cost_s: float) -> None:
        """Count work that begins to wait."""
        if workspace not in self._work_s:
            weight = max(self._weight_of(workspace), MIN_WEIGHT)
            self._weights[workspace] = weight
            self._weight_sum += weight
        self.total_s += cost_s
        self._set(workspace, self._work_s.get(workspace, 0.0) + cost_s)

    def remove(self, workspace: str, cost_s: float) -> None:
        """Count work that no longer waits."""
        left_s = self._work_s.get(workspace, 0.0) - cost_s
        self.total_s = max(self.total_s - cost_s, 0.0)
        if left_s > 1e-9:
            self._work_s[workspace] = left_s
        else:
            self._work_s.pop(workspace, None)
            self._weight_sum -= self._weights.pop(workspace, 0.0)

    def most_over_share(self) -> str | None:
        """Return the workspace with the most waiting work for its weight."""
        while self._largest:
            listed, workspace = self._largest[0]
            current = -self._per_weight(workspace)
            if listed == current:
                return workspace
            if current:
                heapq.heapreplace(self._largest, (current, workspace))
            else:
                heapq.heappop(self._largest)
        return None

    def waiting_s(self, workspace: str) -> float:
        """Return the waiting work of a workspace."""
        return self._work_s.get(workspace, 0.0)

    def by_workspace(self) -> dict[str, float]:
        """Return the waiting work of each workspace that has any."""
        return dict(self._work_s)

    def share(self, workspace: str) -> float:
        """Return the workspace's part of the room among those that wait."""
        weight = max(self._weight_of(workspace), MIN_WEIGHT)
        others = self._weight_sum - self._weights.get(workspace, 0.0)
        return weight / (weight + max(others, 0.0))

    def excess(self, workspace: str) -> float:
        """Return the part of the waiting work relative to the share."""
        if not self.total_s:
            return 0.0
        part = self.waiting_s(workspace) / self.total_s
        return part / self.share(workspace)

    def _per_weight(self, workspace: str) -> float:
        waiting_s = self._work_s.get(workspace, 0.0)
        return waiting_s / self._weights.get(workspace, 1.0)

    def _set(self, workspace: str, work_s: float) -> None:
        self._work_s[workspace] = work_s
        entry = (-self._per_weight(workspace), workspace)
        heapq.heappush(self._largest, entry)
        if len(self._largest) > 8 * len(self._work_s) + 64:
            self._largest = [
                (-self._per_weight(name), name) for name in self._work_s
            ]
            heapq.heapify(self._largest)
