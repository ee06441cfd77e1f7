"""Queue of the items that wait for a slot of an engine."""

import asyncio
import heapq
import itertools
from collections import Counter, deque
from collections.abc import Collection

from msgspec import Struct

from anvilcove.control.endpoints import EndpointEntry
from anvilcove.decisions.share_queue import ShareEntry, ShareQueue
from anvilcove.decisions.shares import WeightedShares

# Texts whose making takes times within this step have the same needs.
REMAKE_STEP_S = 0.5
# Work by which workspaces may differ before their shares decide, in items of
# the mean length. It is two engines of 8 slots: less would break up steps that
# are still in time, more would delay the others of an overload longer.
QUANTUM_ITEMS = 16.0
# An overload ends when no item has been late for this time, so that shares do
# not begin anew at each late item.
OVERLOAD_END_S = 1.0
MEAN_COST_STEP = 0.05
# An overload is looked for this often; the time grows with the waiting items.
CHECK_PERIOD_S = 0.25
# The rate of starts is that of this time. It is unknown in the first part of
# a backlog, when all items have begun at about the same time.
RATE_WINDOW_S = 3.0
MIN_RATE_S = 1.0
# Part of the expected wait that has to be too long, since the rate is measured
# over a short time.
EXPECTED_PART = 0.8

NeedKey = tuple[
    tuple[str, ...], str, int, bool, frozenset[str], str | None, int
]


class EngineRequirements(Struct):
    """Requirements of an item for its engine.

    `excluded` holds the endpoints at which the item has failed. `group` names
    the items that share a prompt, which one engine may have cached. A
    `long_item` will probably decide when its step ends. A `failing` item has
    brought nothing in its last run, so that others go first. It started at
    `started_at_s` and is due within `objective_s`. Its text goes on only at
    engines of the version `software`; elsewhere it begins anew, which takes
    `remake_s` and is not done before `remade_from_s`. None stands for no text.
    It is charged to `workspace`; its `cost` is its expected tokens. Where
    engines of `service` are full or can't run it, it runs at those of
    `others`, the other services of its route.
    """

    service: str
    model: str
    min_version: int
    group: str
    excluded: set[str]
    long_item: bool = True
    failing: bool = False
    expected_events: float = 0.0
    started_at_s: float = 0.0
    objective_s: float = 0.0
    software: str | None = None
    remake_s: float = 0.0
    remade_from_s: float = 0.0
    # Workspace of the job, '' for none, and its weight.
    workspace: str = ''
    workspace_weight: float = 1.0
    # Expected work of the item in tokens.
    cost: float = 1.0
    others: tuple[str, ...] = ()

    def services(self) -> tuple[str, ...]:
        """Return the services whose engines may run the item."""
        return (self.service, *self.others)

    def key(self) -> NeedKey:
        """Return what decides whether an engine is usable."""
        return (
            self.services(),
            self.model,
            self.min_version,
            self.long_item,
            frozenset(self.excluded),
            self.software,
            # Those with short texts don't wait behind one with a long text.
            round(self.remake_s / REMAKE_STEP_S),
        )


class Waiter:
    """Item that waits for a slot; lower ranks go first, failing ones last."""

    __slots__ = ('rank', 'number', 'requirements', 'future', 'entry')

    def __init__(
        self,
        rank: tuple[float, ...],
        number: int,
        requirements: EngineRequirements,
        future: 'asyncio.Future[EndpointEntry | None]',
    ) -> None:
        """Store the rank; `number` orders items of the same rank."""
        self.rank = rank
        self.number = number
        self.requirements = requirements
        self.future = future
        # Its place among the shares of workspaces, None without overload.
        self.entry: ShareEntry[Waiter] | None = None

    def __lt__(self, other: 'Waiter') -> bool:
        """Compare by order, then by arrival."""
        return (self.order(), self.number) < (other.order(), other.number)

    def order(self) -> tuple[float, ...]:
        """Return the rank behind whether the item fails."""
        return (float(self.requirements.failing), *self.rank)


class StartRate:
    """Rate at which items start while others wait."""

    __slots__ = ('_since_s', '_times')

    def __init__(self) -> None:
        """Start without a backlog."""
        self._since_s: float | None = None
        self._times: deque[float] = deque()

    def backlogged(self, now: float) -> None:
        """Note that items wait."""
        if self._since_s is None:
            self._since_s = now

    def empty(self) -> None:
        """Note that no items wait."""
        self._since_s = None
        self._times.clear()

    def started(self, now: float) -> None:
        """Note that a waiting item starts."""
        self._times.append(now)
        self._drop_old(now)

    def per_s(self, now: float) -> float:
        """Return the starts per second, 0 if unknown."""
        self._drop_old(now)
        if self._since_s is None or now - self._since_s < MIN_RATE_S:
            return 0.0
        return len(self._times) / min(now - self._since_s, RATE_WINDOW_S)

    def _drop_old(self, now: float) -> None:
        while self._times and self._times[0] < now - RATE_WINDOW_S:
            self._times.popleft()


class SlotQueue:
    """Waiting items in the order of their rank, by what they need.

    If no engine is usable for one item, none is for the others with the same
    needs, so that a search looks at one item for each of the few needs instead
    of at all items.

    The rank begins with the latest start at which an item's step is in time,
    so that nothing is late while all work fits. Shares of workspaces therefore
    only count in an overload, while an item is late or will be by the rate of
    the last starts: then a workspace that has started at least QUANTUM_ITEMS
    more items for its weight than another is over its share and goes after it;
    the others go by rank. Charges begin with the overload, so that nobody pays
    for idle room used earlier. Items that no engine can run, whatever their
    number, are late for another reason and do not count.
    """

    __slots__ = (
        'shares',
        'unserved',
        '_heap_by_key',
        '_sequence',
        '_shares_by_key',
        '_policy',
        '_late_at_s',
        '_start_rate',
        '_checked_at_s',
        '_mean_cost',
    )

    def __init__(self) -> None:
        """Start empty."""
        # Whether workspaces have shares.
        self.shares = False
        # Needs that no engine meets, as of the last search.
        self.unserved: set[NeedKey] = set()
        self._heap_by_key: dict[NeedKey, list[Waiter]] = {}
        self._sequence = itertools.count()
        # The waiting items by workspace, None without overload.
        self._shares_by_key: dict[NeedKey, ShareQueue[Waiter]] | None = None
        self._policy = WeightedShares()
        # When an item was, or was expected to be, late for the last time.
        self._late_at_s = float('-inf')
        self._start_rate = StartRate()
        self._checked_at_s = float('-inf')
        # Moving average of the cost of an item.
        self._mean_cost = 0.0

    def __bool__(self) -> bool:
        """Tell whether an item may be waiting."""
        return bool(self._heap_by_key)

    @property
    def overloaded(self) -> bool:
        """Tell whether shares decide between workspaces."""
        return self._shares_by_key is not None

    def take_all(self) -> 'list[asyncio.Future[EndpointEntry | None]]':
        """Remove all waiting items; return what they wait for."""
        futures = [
            waiter.future
            for heap in self._heap_by_key.values()
            for waiter in heap
            if not waiter.future.done()
        ]
        self._heap_by_key.clear()
        self._shares_by_key = None
        self.unserved.clear()
        return futures

    def waiting_by_workspace(self) -> dict[str, int]:
        """Return the number of waiting items of each workspace."""
        return Counter(
            waiter.requirements.workspace
            for heap in self._heap_by_key.values()
            for waiter in heap
            if not waiter.future.done()
        )

    def awaits(self, requirements: EngineRequirements) -> bool:
        """Tell whether an item with the same needs may be waiting."""
        return requirements.key() in self._heap_by_key

    def add(
        self,
        rank: tuple[float, ...],
        requirements: EngineRequirements,
        future: 'asyncio.Future[EndpointEntry | None]',
    ) -> None:
        """Add an item; it counts as gone once its future is done."""
        waiter = Waiter(rank, next(self._sequence), requirements, future)
        heap = self._heap_by_key.setdefault(requirements.key(), [])
        heapq.heappush(heap, waiter)
        known = self._mean_cost or requirements.cost
        self._mean_cost = known + MEAN_COST_STEP * (requirements.cost - known)
        if self._shares_by_key is not None:
            self._add_to_shares(self._shares_by_key, waiter)

    def first(
        self, skipped: Collection[NeedKey], now: float = float('-inf')
    ) -> Waiter | None:
        """Return the next waiting item whose needs are not skipped."""
        heads, served = [], []
        for key in list(self._heap_by_key):
            heap = self._heap_by_key[key]
            while heap and heap[0].future.done():
                heapq.heappop(heap)
            if not heap:
                del self._heap_by_key[key]
                self.unserved.discard(key)
            elif key not in skipped:
                heads.append(heap[0])
                if key not in self.unserved:
                    served.append(heap[0])
        first = min(heads, default=None)
        if not self.shares or first is None:
            if not self.shares or not skipped:
                self._shares_by_key = None
                self._start_rate.empty()
            return first
        self._start_rate.backlogged(now)
        if served and self._is_overloaded(min(served), now):
            self._late_at_s = now
        if now - self._late_at_s <= OVERLOAD_END_S:
            return self._first_by_share(skipped)
        self._shares_by_key = None
        return first

    def _is_overloaded(self, first: Waiter, now: float) -> bool:
        if first.rank[0] < now:
            return True
        rate = self._start_rate.per_s(now)
        if not rate or now - self._checked_at_s < CHECK_PERIOD_S:
            return False
        self._checked_at_s = now
        latest_starts = sorted(
            waiter.rank[0]
            for key, heap in self._heap_by_key.items()
            if key not in self.unserved
            for waiter in heap
            if not waiter.future.done()
        )
        return any(
            now + place / rate * EXPECTED_PART > latest_start_s
            for place, latest_start_s in enumerate(latest_starts)
        )

    def started(self, waiter: Waiter, now: float, excess: float = 1.0) -> None:
        """Charge the workspace of an item that has got a slot.

        `excess` is the factor by which the workspace exceeds its share over
        all hosts; its weight is divided by it.
        """
        self.unserved.discard(waiter.requirements.key())
        if not self.shares:
            return
        self._start_rate.started(now)
        by_key = self._shares_by_key
        requirements = waiter.requirements
        queue = by_key.get(requirements.key()) if by_key else None
        if queue is None or waiter.entry is None:
            return
        queue.started(
            waiter.entry,
            requirements.workspace_weight / excess,
            requirements.cost / (self._mean_cost or 1.0),
        )

    def _first_by_share(self, skipped: Collection[NeedKey]) -> Waiter | None:
        by_key = self._shares_by_key
        if by_key is None:
            self._policy = WeightedShares()
            by_key = self._shares_by_key = {}
            for heap in self._heap_by_key.values():
                for waiter in heap:
                    if not waiter.future.done():
                        self._add_to_shares(by_key, waiter)
        entries = []
        for key in list(by_key):
            entry = by_key[key].first()
            if entry is None:
                del by_key[key]
            elif key not in skipped:
                entries.append(entry)
        if not entries:
            return None
        return min(entries, key=lambda e: (e.flow.listed, e.number)).item

    def _add_to_shares(
        self, by_key: dict[NeedKey, ShareQueue[Waiter]], waiter: Waiter
    ) -> None:
        queue = by_key.get(waiter.requirements.key())
        if queue is None:
            queue = ShareQueue(
                self._policy, lambda w: w.future.done(), QUANTUM_ITEMS
            )
            by_key[waiter.requirements.key()] = queue
        waiter.entry = queue.add(
            waiter,
            (*waiter.order(), float(waiter.number)),
            waiter.requirements.workspace,
        )
