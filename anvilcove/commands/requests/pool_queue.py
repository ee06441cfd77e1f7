"""Queue of requests that wait for an endpoint of a pool."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from anvilcove.decisions.share_queue import ShareEntry, ShareQueue
from anvilcove.decisions.shares import (
    ArrivalOrder,
    SharePolicy,
    WeightedShares,
)
from anvilcove.decisions.types import TRAINER, RouteRequest
from anvilcove.decisions.waiting_work import WaitingWork

S = TypeVar('S')


class Waiter(Generic[S]):
    """A queued request and the future of its slot.

    `cost_s` is its expected service time, 0 once it no longer waits. It waits
    until `until_s`. `settled` tells that it is no longer counted as waiting.
    Samples are not refused, as they would only wait again.
    """

    __slots__ = (
        'request',
        'priority',
        'cost_s',
        'until_s',
        'settled',
        'refusable',
        'future',
    )

    def __init__(
        self,
        request: RouteRequest,
        priority: int,
        cost_s: float,
        until_s: float,
    ) -> None:
        """Create the future on the running loop."""
        self.request = request
        self.priority = priority
        self.cost_s = cost_s
        self.until_s = until_s
        self.settled = False
        self.refusable = request.kind != TRAINER
        self.future: asyncio.Future[S] = (
            asyncio.get_running_loop().create_future()
        )


class PoolQueue(Generic[S]):
    """Requests ordered by priority number, then deadline, then arrival.

    With `use_shares`, the shares of workspaces decide between requests of
    different workspaces after the priority and before the deadline.
    """

    __slots__ = (
        'size',
        'waiting_count',
        'count_by_priority',
        'work',
        '_queue',
        '_weight_of',
        'latest_until_s',
    )

    def __init__(self) -> None:
        """Start empty, without shares."""
        self.size = 0
        # Refusable requests that are not settled.
        self.waiting_count = 0
        self.count_by_priority: dict[int, int] = {}
        # Waiting refusable work by workspace, None without shares.
        self.work: WaitingWork | None = None
        self._weight_of: Callable[[str], float] = lambda _: 1.0
        self._queue: ShareQueue[Waiter[S]] = _queue_of(ArrivalOrder())
        # No refusable request waits for longer than until then.
        self.latest_until_s = float('-inf')

    def use_shares(self, weight_of: Callable[[str], float] | None) -> None:
        """Switch shares on or off with None; requests keep waiting."""
        if (weight_of is None) == (self.work is None):
            return
        waiters = sorted(self.waiting(), key=lambda w: w.request.deadline_at_s)
        if weight_of is None:
            self.work = None
            self._queue = _queue_of(ArrivalOrder())
        else:
            self.work = WaitingWork(weight_of)
            self._weight_of = weight_of
            self._queue = _queue_of(WeightedShares())
        for waiter in waiters:
            self._enqueue(waiter)

    def add(
        self,
        request: RouteRequest,
        priority: int,
        cost_s: float = 0.0,
        until_s: float = float('inf'),
    ) -> Waiter[S]:
        """Queue a request; the caller must `remove` it in every case."""
        waiter: Waiter[S] = Waiter(request, priority, cost_s, until_s)
        self._enqueue(waiter)
        if not self.size:
            self.latest_until_s = float('-inf')
        if waiter.refusable:
            self.latest_until_s = max(self.latest_until_s, until_s)
            self.waiting_count += 1
        self.size += 1
        count = self.count_by_priority.get(priority, 0)
        self.count_by_priority[priority] = count + 1
        return waiter

    def remove(self, waiter: Waiter[S]) -> None:
        """Remove a request; its entry is discarded later."""
        waiter.future.cancel()
        self.size -= 1
        self.count_by_priority[waiter.priority] -= 1
        self.settle(waiter)

    def excessive(self, limit_s: float, until_s: float) -> Waiter[S] | None:
        """Return the request to refuse while too much waits.

        That is more than `limit_s` of what waits no longer than `until_s`. It
        is the last one of the workspace most over its share there. None if
        the work is within the limit, or a single request waits.
        """
        work = self.work
        if work is None or work.total_s <= limit_s or self.size < 2:
            return None
        if self.latest_until_s > until_s:
            return self._excessive_until(limit_s, until_s)
        workspace = work.most_over_share()
        if workspace is None:
            return None
        for priority in sorted(self.count_by_priority, reverse=True):
            waiter = self._queue.last_of(workspace, priority)
            if waiter is not None:
                return waiter
        return None

    def _excessive_until(
        self, limit_s: float, until_s: float
    ) -> Waiter[S] | None:
        """Return what `excessive` does where others wait for longer."""
        due = [
            w for w in self.waiting() if w.refusable and w.until_s <= until_s
        ]
        work_s: dict[str, float] = {}
        for waiter in due:
            name = waiter.request.workspace
            work_s[name] = work_s.get(name, 0.0) + waiter.cost_s
        if len(due) < 2 or sum(work_s.values()) <= limit_s:
            return None
        workspace = max(
            work_s, key=lambda name: work_s[name] / self._weight_of(name)
        )
        return max(
            (w for w in due if w.request.workspace == workspace),
            key=lambda w: (w.priority, w.request.deadline_at_s, w.until_s),
        )

    def settle(self, waiter: Waiter[S]) -> None:
        """Count a request as no longer waiting."""
        if not waiter.refusable:
            return
        if not waiter.settled:
            waiter.settled = True
            self.waiting_count -= 1
        if self.work is not None:
            self.work.remove(waiter.request.workspace, waiter.cost_s)
        # Also without shares, which may begin before it is removed.
        waiter.cost_s = 0.0

    def first(self) -> Waiter[S] | None:
        """Return the next request without removing it, None if empty."""
        entry = self._queue.first()
        return entry.item if entry is not None else None

    def pop(self) -> ShareEntry[Waiter[S]]:
        """Remove and return the entry of the request that is next."""
        entry = self._queue.first()
        if entry is None:
            raise IndexError('no request waits')
        self._queue.remove(entry)
        return entry

    def take(self) -> None:
        """Remove the request that is next and charge its workspace."""
        entry = self._queue.first()
        if entry is None:
            raise IndexError('no request waits')
        weight = self._weight_of(entry.flow.workspace)
        self._queue.take(entry, weight, entry.cost)
        self.settle(entry.item)

    def restore(self, entries: list[ShareEntry[Waiter[S]]]) -> None:
        """Put popped entries back at their place in the order."""
        self._queue.restore(entries)

    def waiting(self) -> Iterator[Waiter[S]]:
        """Iterate over the requests without a slot."""
        return self._queue.waiting()

    def _enqueue(self, waiter: Waiter[S]) -> None:
        workspace = ''
        if self.work is not None:
            workspace = waiter.request.workspace
            if waiter.refusable:
                self.work.add(workspace, waiter.cost_s)
        self._queue.add(
            waiter,
            (waiter.request.deadline_at_s,),
            workspace,
            waiter.priority,
            waiter.cost_s,
            waiter.refusable,
        )


def _queue_of(policy: SharePolicy) -> ShareQueue[Waiter[S]]:
    return ShareQueue(policy, lambda waiter: waiter.future.done())
