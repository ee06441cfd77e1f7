"""Shares of workspaces in the queues of a daemon of the own interface."""

from collections.abc import Iterator, Mapping
from math import ceil
from typing import Any

from msgspec.structs import replace

from anvilcove.commands.requests.pool_queue import PoolQueue, Waiter
from anvilcove.daemon.context import Context
from anvilcove.decisions.admission import MAX_QUEUED
from anvilcove.decisions.shares import MIN_WEIGHT, RetryTimes
from anvilcove.decisions.types import PoolLoad, RouteRequest
from anvilcove.state.workspaces import Workspace

# Expected service time of a pool before its first answer.
DEFAULT_CALL_S = 0.025
# Largest weight that counts. With larger ones, sums become infinite and the
# shares of other workspaces 0.
MAX_WEIGHT = 1e6


class WorkspaceShares:
    """Declared shares, and what they mean for a request that arrives."""

    __slots__ = ('_context', '_retry_times')

    def __init__(self, context: Context) -> None:
        """Read the workspaces from the class declarations in force."""
        self._context = context
        self._retry_times = RetryTimes()

    def enabled(self) -> bool:
        """Tell whether the class declarations have workspaces."""
        return self._context.config.workspaces is not None

    def weight(self, workspace: str) -> float:
        """Return the declared weight of a workspace, 1 by default.

        It is between MIN_WEIGHT and MAX_WEIGHT.
        """
        known = self._find(workspace)
        if known is None:
            return 1.0
        return min(max(known.weight, MIN_WEIGHT), MAX_WEIGHT)

    def priority(self, workspace: str, of_class: int) -> int:
        """Return the priority of a workspace, `of_class` if it has none."""
        known = self._find(workspace)
        if known is None or known.priority is None:
            return of_class
        return known.priority

    def update(self, queue: PoolQueue[Any]) -> None:
        """Make a queue follow the class declarations in force."""
        queue.use_shares(self.weight if self.enabled() else None)

    def load_ahead(
        self,
        load: PoolLoad,
        queue: PoolQueue[Any],
        request: RouteRequest,
        of_class: int,
    ) -> PoolLoad:
        """Return the load of a pool as it delays one request.

        Of its priority, no more waits ahead of it than its workspace has
        waiting relative to its share. The result counts what is ahead under
        the priority `of_class`.
        """
        priority = self.priority(request.workspace, of_class)
        by_priority = load.queued_by_priority
        higher = sum(n for p, n in by_priority.items() if p < priority)
        ahead = by_priority.get(priority, 0)
        if queue.work is not None:
            own_s = queue.work.waiting_s(request.workspace)
            call_s = load.service_time_s or DEFAULT_CALL_S
            share = queue.work.share(request.workspace)
            ahead = min(ahead, ceil(own_s / share / call_s))
        ahead += higher
        return replace(
            load, queued=ahead, queued_by_priority={of_class: ahead}
        )

    def excessive(
        self, queue: PoolQueue[Any], slots: float
    ) -> Iterator[Waiter[Any]]:
        """Iterate over the requests that can't all start in time.

        The slots start at most their number times the time until the latest
        deadline, and one more request each. At most MAX_QUEUED wait in any
        case. What waits beyond that is of the workspace most over its share.
        """
        if queue.work is None or not queue.waiting_count:
            return
        mean_s = queue.work.total_s / queue.waiting_count
        until_s = queue.latest_until_s
        limit_s = slots * (until_s - self._context.clock.now() + mean_s)
        while True:
            # Admission bounds what waits of each workspace, not their sum.
            full = queue.waiting_count > MAX_QUEUED
            waiter = queue.excessive(0.0 if full else limit_s, until_s)
            if waiter is None:
                return
            queue.settle(waiter)
            yield waiter

    def retry_after_s(
        self, load: PoolLoad, queue: PoolQueue[Any], request: RouteRequest
    ) -> float:
        """Return, with jitter, when the share has capacity for a request."""
        call_s = load.own_service_time_s or load.service_time_s
        rate, waiting_s = max(load.limit, 1.0), 0.0
        if queue.work is not None:
            rate *= queue.work.share(request.workspace)
            waiting_s = queue.work.waiting_s(request.workspace)
        return self._retry_times.retry_after_s(
            self._context.clock.now(),
            f'{request.pool}/{request.workspace}',
            waiting_s / rate,
            (call_s or DEFAULT_CALL_S) / rate,
            self._context.rng,
        )

    def waiting_s_by_workspace(
        self, queue_by_pool: Mapping[str, PoolQueue[Any]]
    ) -> dict[str, float]:
        """Return the work in seconds that waits, by workspace."""
        found: dict[str, float] = {}
        for queue in queue_by_pool.values():
            if queue.work is not None:
                for name, waiting_s in queue.work.by_workspace().items():
                    found[name] = found.get(name, 0.0) + waiting_s
        return found

    def _find(self, workspace: str) -> Workspace | None:
        directory = self._context.config.workspaces
        return directory.by_name.get(workspace) if directory else None
