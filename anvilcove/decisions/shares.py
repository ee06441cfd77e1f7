"""Order of waiting work of workspaces: priorities and weighted fair shares.

The shares are those of start-time fair queueing. A workspace is charged for
work when it starts, not when it arrives: refused work costs nothing, and the
order of deadlines or ranks within a workspace is kept.
"""

import heapq
import random
from collections.abc import Sequence
from typing import Protocol

from anvilcove.decisions.registry import policy

# Share of the work that lower priorities get while higher ones wait, so that
# a flood of the highest priority starves nobody.
LOWER_PRIORITY_SHARE = 0.05
MIN_WEIGHT = 1e-6
# A refused caller retries within this time, even if the share of its
# workspace has no capacity earlier.
MAX_RETRY_AFTER_S = 2.0
# Each retry is spread over this part of its time, so that callers that were
# refused together do not return together.
RETRY_JITTER = 0.5
MAX_RETRY_ENTRIES = 1_000


class SharePolicy(Protocol):
    """Order between workspaces whose work waits."""

    weighted: bool

    def priority(self, waiting: Sequence[int]) -> int:
        """Return which of the waiting priorities is next."""

    def start_tag(self, workspace: str, priority: int) -> float:
        """Return the virtual start of work that begins to wait now."""

    def finish_tag(self, workspace: str, priority: int) -> float:
        """Return the virtual end of the charged work, 0 without charges."""

    def started(
        self,
        workspace: str,
        weight: float,
        cost: float,
        tag: float,
        priority: int,
        waiting: Sequence[int],
    ) -> None:
        """Charge work that starts; `waiting` are the priorities before."""


@policy('shares', 'arrival')
class ArrivalOrder:
    """Ignore workspaces: strict priorities, then the order of the queue."""

    __slots__ = ()

    weighted = False

    def priority(self, waiting: Sequence[int]) -> int:
        """Return the highest waiting priority, which is the lowest number."""
        return min(waiting)

    def start_tag(self, workspace: str, priority: int) -> float:
        """Return the same start for all workspaces."""
        return 0.0

    def finish_tag(self, workspace: str, priority: int) -> float:
        """Return that there are no charges."""
        return 0.0

    def started(
        self,
        workspace: str,
        weight: float,
        cost: float,
        tag: float,
        priority: int,
        waiting: Sequence[int],
    ) -> None:
        """Charge nothing."""


@policy('shares', 'weighted')
class WeightedShares:
    """Start-time fair queueing between the workspaces of one queue.

    Each priority has its own virtual time. With one for all of them, a flood
    of the highest priority moves it past the tags of lower ones, whose
    charges then no longer count.
    """

    __slots__ = ('_times', '_lower')

    weighted = True

    def __init__(self) -> None:
        """Start at virtual time 0 without charges."""
        self._times: dict[int, VirtualTime] = {}
        self._lower = LowerPriorities()

    def priority(self, waiting: Sequence[int]) -> int:
        """Return the highest priority, sometimes a lower one."""
        return self._lower.choose(waiting)

    def start_tag(self, workspace: str, priority: int) -> float:
        """Return the finish tag of its last work, at least the virtual time.

        A workspace that was idle thus has neither credit nor debt.
        """
        time = self._times.get(priority)
        return max(time.now, time.finish(workspace)) if time else 0.0

    def finish_tag(self, workspace: str, priority: int) -> float:
        """Return the virtual end of the charged work, 0 without charges."""
        time = self._times.get(priority)
        return time.finish(workspace) if time else 0.0

    def started(
        self,
        workspace: str,
        weight: float,
        cost: float,
        tag: float,
        priority: int,
        waiting: Sequence[int],
    ) -> None:
        """Advance the virtual time to `tag` and the workspace by its cost."""
        time = self._times.get(priority)
        if time is None:
            time = self._times[priority] = VirtualTime()
        time.charge(workspace, tag, cost / max(weight, MIN_WEIGHT))
        self._lower.charge(cost, priority, waiting)


class VirtualTime:
    """Virtual time of one priority, and the charges ahead of it.

    A workspace without charges ahead of the virtual time has no state, so that
    cost and memory do not depend on the number of idle ones.
    """

    __slots__ = ('now', '_finish_by_workspace', '_finishes')

    def __init__(self) -> None:
        """Start at 0 without charges."""
        self.now = 0.0
        self._finish_by_workspace: dict[str, float] = {}
        # Heap of finish tags; entries of older tags are skipped.
        self._finishes: list[tuple[float, str]] = []

    def finish(self, workspace: str) -> float:
        """Return the virtual end of the charged work, 0 without charges."""
        return self._finish_by_workspace.get(workspace, 0.0)

    def charge(self, workspace: str, tag: float, amount: float) -> None:
        """Advance the time to `tag` and the workspace by `amount`."""
        self.now = max(self.now, tag)
        finish = max(tag, self.finish(workspace)) + amount
        self._finish_by_workspace[workspace] = finish
        heapq.heappush(self._finishes, (finish, workspace))
        while self._finishes and self._finishes[0][0] <= self.now:
            passed, name = heapq.heappop(self._finishes)
            if self._finish_by_workspace.get(name) == passed:
                del self._finish_by_workspace[name]


class LowerPriorities:
    """Grant of LOWER_PRIORITY_SHARE of the work to lower priorities."""

    __slots__ = ('_owed', '_last_cost', '_served_by_priority', '_count')

    def __init__(self) -> None:
        """Owe nothing."""
        # Cost that lower priorities may use before higher ones.
        self._owed = 0.0
        self._last_cost = 0.0
        # Number of the last grant of each priority.
        self._served_by_priority: dict[int, int] = {}
        self._count = 0

    def choose(self, waiting: Sequence[int]) -> int:
        """Return the highest priority, or a lower one that is owed work."""
        highest = min(waiting)
        if len(waiting) == 1 or self._owed < max(self._last_cost, 1e-9):
            return highest
        served = self._served_by_priority
        lower = (number for number in waiting if number != highest)
        return min(lower, key=lambda number: (served.get(number, 0), number))

    def charge(
        self, cost: float, priority: int, waiting: Sequence[int]
    ) -> None:
        """Count work of a priority that starts while others wait."""
        if len(waiting) < 2:
            self._owed = 0.0
            return
        if priority == min(waiting):
            owed = self._owed + cost * LOWER_PRIORITY_SHARE
            self._owed = min(owed, 2 * cost)
            self._last_cost = cost
        else:
            self._owed -= cost * (1 - LOWER_PRIORITY_SHARE)
            self._count += 1
            self._served_by_priority[priority] = self._count


class RetryTimes:
    """Times at which the refused calls of a workspace may come back.

    Each refusal takes the next time at which the share of the workspace has
    capacity, so that callers that are refused together return at the rate at
    which they can be served.
    """

    __slots__ = ('_next_at_s_by_workspace',)

    def __init__(self) -> None:
        """Start without refusals."""
        self._next_at_s_by_workspace: dict[str, float] = {}

    def retry_after_s(
        self,
        now: float,
        workspace: str,
        waiting_s: float,
        call_s: float,
        rng: random.Random,
    ) -> float:
        """Return the seconds, with jitter, until a refused call may return.

        The share of the workspace runs the work that waits in `waiting_s` and
        one call in `call_s`.
        """
        times = self._next_at_s_by_workspace
        if len(times) >= MAX_RETRY_ENTRIES:
            for name in [n for n, at_s in times.items() if at_s <= now]:
                del times[name]
        next_at_s = max(now + waiting_s, times.get(workspace, 0.0)) + call_s
        next_at_s = min(next_at_s, now + MAX_RETRY_AFTER_S)
        if workspace in times or len(times) < MAX_RETRY_ENTRIES:
            times[workspace] = next_at_s
        return (next_at_s - now) * rng.uniform(
            1 - RETRY_JITTER, 1 + RETRY_JITTER
        )
