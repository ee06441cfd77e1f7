"""Priority queue of requests that wait for an endpoint of a pool."""

import asyncio
import heapq
import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

from anvilcove.decisions.types import RouteRequest

S = TypeVar('S')


class Waiter(Generic[S]):
    """A queued request and the future of its slot."""

    __slots__ = ('request', 'priority', 'future')

    def __init__(self, request: RouteRequest, priority: int) -> None:
        """Create the future on the running loop."""
        self.request = request
        self.priority = priority
        self.future: asyncio.Future[S] = (
            asyncio.get_running_loop().create_future()
        )


class PoolQueue(Generic[S]):
    """Requests ordered by priority number, then deadline, then arrival."""

    __slots__ = ('size', 'count_by_priority', '_heap', '_sequence')

    def __init__(self) -> None:
        """Start empty."""
        self.size = 0
        self.count_by_priority: dict[int, int] = {}
        self._heap: list[tuple[int, float, int, Waiter[S]]] = []
        self._sequence = itertools.count()

    def add(self, request: RouteRequest, priority: int) -> Waiter[S]:
        """Queue a request; the caller must `remove` it in every case."""
        waiter: Waiter[S] = Waiter(request, priority)
        entry = (
            priority,
            request.deadline_at_s,
            next(self._sequence),
            waiter,
        )
        heapq.heappush(self._heap, entry)
        self.size += 1
        count = self.count_by_priority.get(priority, 0)
        self.count_by_priority[priority] = count + 1
        return waiter

    def remove(self, waiter: Waiter[S]) -> None:
        """Remove a request; its heap entry is discarded later."""
        waiter.future.cancel()
        self.size -= 1
        self.count_by_priority[waiter.priority] -= 1

    def first(self) -> Waiter[S] | None:
        """Return the next request without removing it, None if empty."""
        while self._heap and self._heap[0][3].future.done():
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def pop(self) -> tuple[int, float, int, Waiter[S]]:
        """Remove and return the first heap entry."""
        return heapq.heappop(self._heap)

    def restore(
        self, entries: list[tuple[int, float, int, Waiter[S]]]
    ) -> None:
        """Put popped entries back at their place in the order."""
        for entry in entries:
            heapq.heappush(self._heap, entry)

    def waiting(self) -> Iterator[Waiter[S]]:
        """Iterate over the requests without a slot."""
        for entry in list(self._heap):
            if not entry[3].future.done():
                yield entry[3]
