"""Queue of waiting work, ordered by priorities, shares and its own order."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from anvilcove.decisions.shares import SharePolicy

T = TypeVar('T')

Order = tuple[float, ...]
Head = tuple[float, Order, int]


class ShareEntry(Generic[T]):
    """Work that waits, with its place within its workspace."""

    __slots__ = ('item', 'order', 'number', 'cost', 'flow', 'refusable')

    def __init__(
        self,
        item: T,
        order: Order,
        number: int,
        cost: float,
        flow: 'Flow[T]',
        refusable: bool,
    ) -> None:
        """Store the work; `number` orders work of the same order."""
        self.refusable = refusable
        self.item = item
        self.order = order
        self.number = number
        self.cost = cost
        self.flow = flow

    def __lt__(self, other: 'ShareEntry[T]') -> bool:
        """Compare by order, then by arrival."""
        return (self.order, self.number) < (other.order, other.number)


Latest = tuple[Order, int, ShareEntry[T]]


class Flow(Generic[T]):
    """Waiting work of one workspace and priority."""

    __slots__ = (
        'workspace',
        'priority',
        'tag',
        'entries',
        'listed',
        'latest',
    )

    def __init__(self, workspace: str, priority: int, tag: float) -> None:
        """Start empty with the virtual start `tag` of its first work."""
        self.workspace = workspace
        self.priority = priority
        self.tag = tag
        self.entries: list[ShareEntry[T]] = []
        # Key of its valid entry among the flows of its priority.
        self.listed: Head | None = None
        # Heap of the refusable `entries` with the last one first, None until
        # it is needed. It may also have entries that no longer wait.
        self.latest: list[Latest[T]] | None = None

    def add(self, entry: ShareEntry[T]) -> None:
        """Queue work."""
        heapq.heappush(self.entries, entry)
        if self.latest is not None and entry.refusable:
            heapq.heappush(self.latest, _latest(entry))

    def last(self, is_gone: Callable[[T], bool]) -> T | None:
        """Return the last refusable work that waits, None if none does."""
        latest = self.latest
        if latest is None or len(latest) > 2 * len(self.entries) + 64:
            latest = self.latest = [
                _latest(entry) for entry in self.entries if entry.refusable
            ]
            heapq.heapify(latest)
        while latest and is_gone(latest[0][2].item):
            heapq.heappop(latest)
        return latest[0][2].item if latest else None


def _latest(entry: ShareEntry[T]) -> Latest[T]:
    order = tuple(-value for value in entry.order)
    return order, -entry.number, entry


class ShareQueue(Generic[T]):
    """Waiting work; a decision costs the logarithm of the workspaces.

    Workspaces whose virtual starts lie within one `quantum` compete by the
    order of their work. With a quantum of 0 the virtual start always decides.
    """

    __slots__ = (
        'policy',
        '_is_gone',
        '_quantum',
        '_flows',
        '_listed_by_priority',
        '_sequence',
    )

    def __init__(
        self,
        policy: SharePolicy,
        is_gone: Callable[[T], bool],
        quantum: float = 0.0,
    ) -> None:
        """Start empty; `is_gone` tells which work no longer waits."""
        self.policy = policy
        self._is_gone = is_gone
        self._quantum = quantum
        self._flows: dict[tuple[int, str], Flow[T]] = {}
        self._listed_by_priority: dict[
            int, list[tuple[Head, int, Flow[T]]]
        ] = {}
        self._sequence = itertools.count()

    def add(
        self,
        item: T,
        order: Order,
        workspace: str = '',
        priority: int = 0,
        cost: float = 0.0,
        refusable: bool = True,
    ) -> ShareEntry[T]:
        """Queue work of a workspace; lower orders go first within it.

        Work that is not `refusable` is never the `last_of` its workspace.
        """
        key = (priority, workspace)
        flow = self._flows.get(key)
        if flow is None:
            tag = self.policy.start_tag(workspace, priority)
            flow = self._flows[key] = Flow(workspace, priority, tag)
        number = next(self._sequence)
        entry = ShareEntry(item, order, number, cost, flow, refusable)
        flow.add(entry)
        self._list(flow)
        return entry

    def first(self) -> ShareEntry[T] | None:
        """Return the next work without removing it, None if empty."""
        while self._listed_by_priority:
            priority = self.policy.priority(tuple(self._listed_by_priority))
            entry = self._first_of(priority)
            if entry is not None:
                return entry
            del self._listed_by_priority[priority]
        return None

    def head(self) -> Head | None:
        """Return the key by which the next work compares, None if empty."""
        entry = self.first()
        return entry.flow.listed if entry is not None else None

    def take(self, entry: ShareEntry[T], weight: float, cost: float) -> None:
        """Remove the work that `first` has just returned, and charge it."""
        heapq.heappop(entry.flow.entries)
        self.started(entry, weight, cost)

    def remove(self, entry: ShareEntry[T]) -> None:
        """Remove the work that `first` has just returned, to `restore` it."""
        heapq.heappop(entry.flow.entries)
        self._list(entry.flow)

    def restore(self, entries: list[ShareEntry[T]]) -> None:
        """Put removed work back at its place in the order."""
        for entry in entries:
            flow = entry.flow
            self._flows.setdefault((flow.priority, flow.workspace), flow)
            heapq.heappush(flow.entries, entry)
            self._list(flow)

    def started(
        self, entry: ShareEntry[T], weight: float, cost: float
    ) -> None:
        """Charge the workspace of work that starts."""
        flow = entry.flow
        self.policy.started(
            flow.workspace,
            weight,
            cost,
            flow.tag,
            flow.priority,
            tuple(self._listed_by_priority),
        )
        flow.tag = self._current_tag(flow)
        self._list(flow)

    def waiting(self) -> Iterator[T]:
        """Iterate over the work that still waits."""
        for entry in self.waiting_entries():
            yield entry.item

    def waiting_entries(self) -> Iterator[ShareEntry[T]]:
        """Iterate over the entries of the work that still waits."""
        for flow in list(self._flows.values()):
            for entry in list(flow.entries):
                if not self._is_gone(entry.item):
                    yield entry

    def last_of(self, workspace: str, priority: int) -> T | None:
        """Return the last work of a workspace that may be refused, if any."""
        flow = self._flows.get((priority, workspace))
        return flow.last(self._is_gone) if flow is not None else None

    def _first_of(self, priority: int) -> ShareEntry[T] | None:
        listed = self._listed_by_priority[priority]
        while listed:
            key, _, flow = listed[0]
            if flow.listed is not key:
                heapq.heappop(listed)
                continue
            # Work that started meanwhile in another queue of the same policy
            # has moved the workspace back.
            tag = self._current_tag(flow)
            charged = self._level(tag) > key[0]
            if not charged and not self._is_gone(flow.entries[0].item):
                return flow.entries[0]
            flow.tag = tag
            self._list(flow)
        return None

    def _current_tag(self, flow: Flow[T]) -> float:
        finish = self.policy.finish_tag(flow.workspace, flow.priority)
        return max(flow.tag, finish)

    def _level(self, tag: float) -> float:
        return tag // self._quantum if self._quantum else tag

    def _list(self, flow: Flow[T]) -> None:
        """Put a flow at the place of its first work, or drop it if empty."""
        entries = flow.entries
        while entries and self._is_gone(entries[0].item):
            heapq.heappop(entries)
        if not entries:
            flow.listed = None
            key = (flow.priority, flow.workspace)
            if self._flows.get(key) is flow:
                del self._flows[key]
            return
        head = (self._level(flow.tag), entries[0].order, entries[0].number)
        if flow.listed == head:
            return
        flow.listed = head
        listed = self._listed_by_priority.setdefault(flow.priority, [])
        heapq.heappush(listed, (head, next(self._sequence), flow))
