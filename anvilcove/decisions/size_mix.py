"""Cheapest mix of reserved and reclaimable engines over data centres."""

from collections.abc import Iterator
from functools import lru_cache
from heapq import heappop, heappush
from operator import mul

from msgspec import Struct

# Sizes of the largest reclaimable group that are compared.
MAX_GROUP_SIZES_TRIED = 16
# Layouts of groups by price that are kept, one for each set of prices in use.
MAX_LAYOUTS = 64


class EngineGroup(Struct, frozen=True, order=True, cache_hash=True):
    """Engines of one service in one data centre that are of one kind.

    All engines of a reclaimable group may go at once.
    """

    data_centre: str
    reclaimable: bool = False

    @property
    def kind(self) -> str:
        """Return the name of the kind."""
        return 'reclaimable' if self.reclaimable else 'reserved'


class MixLimits(Struct):
    """Bounds on the engines of each data centre and group, and prices.

    `floor_by_group` and `cap_by_group` default to 0 and no limit.
    """

    min_per_data_centre: int
    max_per_data_centre: int
    price_by_group: dict[EngineGroup, float]
    floor_by_group: dict[EngineGroup, int]
    cap_by_group: dict[EngineGroup, int]


def safe_count(counts: dict[EngineGroup, int]) -> int:
    """Return the engines left if the largest reclaimable group goes."""
    largest = max((n for g, n in counts.items() if g.reclaimable), default=0)
    return sum(counts.values()) - largest


def price_of(
    counts: dict[EngineGroup, int], price_by_group: dict[EngineGroup, float]
) -> float:
    """Return the price of a mix per second."""
    return sum(price_by_group[group] * n for group, n in counts.items())


def count_by_centre(counts: dict[EngineGroup, int]) -> dict[str, int]:
    """Return the engines of each data centre, both kinds together."""
    found: dict[str, int] = {}
    for group, count in counts.items():
        centre = group.data_centre
        found[centre] = found.get(centre, 0) + count
    return found


class MixLayout:
    """Groups by ascending price, as lists of positions."""

    __slots__ = (
        'groups',
        'tiers',
        'prices',
        'reclaimable',
        'centres',
        'by_centre',
    )

    def __init__(self, prices: dict[EngineGroup, float]) -> None:
        """Sort the groups; those of one price form a tier."""
        tiers = _price_tiers(prices)
        self.groups = groups = [group for tier in tiers for group in tier]
        position = {group: n for n, group in enumerate(groups)}
        self.tiers = [[position[group] for group in tier] for tier in tiers]
        self.prices = [prices[group] for group in groups]
        self.reclaimable = [n for n, g in enumerate(groups) if g.reclaimable]
        number: dict[str, int] = {}
        self.centres = [
            number.setdefault(group.data_centre, len(number))
            for group in groups
        ]
        # Groups of each data centre.
        self.by_centre: list[list[int]] = [[] for _ in number]
        for group_index, centre in enumerate(self.centres):
            self.by_centre[centre].append(group_index)


@lru_cache(MAX_LAYOUTS)
def _layout(prices: tuple[tuple[EngineGroup, float], ...]) -> MixLayout:
    return MixLayout(dict(prices))


class MixFiller:
    """Mixes of several sizes within the same limits.

    The numbers of the groups are in lists, in the order of `groups`.
    Dictionaries by group take ten times as long.
    """

    __slots__ = (
        'groups',
        '_layout',
        '_floors',
        '_caps',
        '_room',
        '_max',
        '_min',
    )

    def __init__(self, limits: MixLimits) -> None:
        """Read the limits once for all sizes."""
        self._layout = _layout(tuple(limits.price_by_group.items()))
        self.groups = groups = self._layout.groups
        self._min = limits.min_per_data_centre
        self._max = most = limits.max_per_data_centre
        floors, caps = limits.floor_by_group, limits.cap_by_group
        self._floors = [floors.get(group, 0) for group in groups]
        self._caps = (
            [caps.get(group, most) for group in groups]
            if caps
            else [most] * len(groups)
        )
        # Engines that each data centre can have beyond the floors.
        self._room = room = [most] * len(self._layout.by_centre)
        for centre, floor in zip(
            self._layout.centres, self._floors, strict=True
        ):
            room[centre] -= floor

    def safe_count(self, counts: list[int]) -> int:
        """Return the engines left if the largest reclaimable group goes."""
        largest = max([counts[n] for n in self._layout.reclaimable], default=0)
        return sum(counts) - largest

    def price(self, counts: list[int]) -> float:
        """Return the price of a mix per second."""
        return sum(map(mul, self._layout.prices, counts), 0.0)

    def fill(self, total: int, size: int) -> list[int]:
        """Fill up to a total, cheapest groups first and equal ones evenly.

        No reclaimable group gets more than `size` engines.
        """
        counts, room = self._floors.copy(), self._room.copy()
        caps, centres = self._caps.copy(), self._layout.centres
        for index in self._layout.reclaimable:
            if caps[index] > size:
                caps[index] = size
        if max(room, default=0) > self._max - self._min:
            self._fill_minimum(counts, room, caps)
        missing = total - sum(counts)
        for tier in self._layout.tiers:
            if missing <= 0:
                break
            if len(tier) > 1:
                missing -= self._fill_evenly(tier, missing, counts, room, caps)
                continue
            index = tier[0]
            centre = centres[index]
            count = caps[index] - counts[index]
            if count > room[centre]:
                count = room[centre]
            if count > missing:
                count = missing
            if count > 0:
                counts[index] += count
                room[centre] -= count
                missing -= count
        return counts

    def _fill_minimum(
        self, counts: list[int], room: list[int], caps: list[int]
    ) -> None:
        """Give each data centre its minimum, cheapest groups first."""
        for index, centre in enumerate(self._layout.centres):
            lacking = max(self._min - (self._max - room[centre]), 0)
            free = max(min(caps[index] - counts[index], room[centre]), 0)
            counts[index] += min(lacking, free)
            room[centre] -= min(lacking, free)

    def _fill_evenly(
        self,
        tier: list[int],
        missing: int,
        counts: list[int],
        room: list[int],
        caps: list[int],
    ) -> int:
        """Add up to `missing` engines to groups of one price."""
        centres, added = self._layout.centres, 0
        usable = {
            index
            for index in tier
            if counts[index] < caps[index] and room[centres[index]] > 0
        }
        # The smallest groups first, so that equal prices spread out.
        heap = sorted((counts[index], index) for index in usable)
        while added < missing and usable:
            _, index = heappop(heap)
            if index not in usable:
                continue
            centre, left = centres[index], missing - added
            share = max(left // (2 * len(usable)), 1)
            free = min(caps[index] - counts[index], room[centre])
            count = min(share, free, left)
            counts[index] += count
            room[centre] -= count
            added += count
            if count < free:
                heappush(heap, (counts[index], index))
            else:
                usable.discard(index)
            if not room[centre]:
                usable.difference_update(self._layout.by_centre[centre])
        return added


def cheapest_mix(needed: int, limits: MixLimits) -> dict[EngineGroup, int]:
    """Return the cheapest mix of which `needed` engines survive.

    It holds when the largest reclaimable group goes. If the limits allow no
    such mix, it is the one of which the most engines survive.
    """
    best: list[int] = []
    best_key: tuple[int, float] | None = None
    filler = MixFiller(limits)
    for size in _group_sizes(needed, limits):
        counts = filler.fill(needed + size, size)
        key = (-min(filler.safe_count(counts), needed), filler.price(counts))
        if best_key is None or key < best_key:
            best, best_key = counts, key
    return dict(zip(filler.groups, best, strict=True))


def _price_tiers(
    prices: dict[EngineGroup, float],
) -> list[list[EngineGroup]]:
    """Return the groups by ascending price, equal prices together."""
    by_price: dict[float, list[EngineGroup]] = {}
    for group, price in prices.items():
        by_price.setdefault(price, []).append(group)
    return [sorted(by_price[price]) for price in sorted(by_price)]


def _group_sizes(needed: int, limits: MixLimits) -> Iterator[int]:
    """Yield sizes of the largest reclaimable group to compare."""
    floors = limits.floor_by_group
    smallest = max(
        (n for group, n in floors.items() if group.reclaimable), default=0
    )
    largest = max(min(limits.max_per_data_centre, needed), smallest)
    step = max((largest - smallest) // MAX_GROUP_SIZES_TRIED, 1)
    return iter(range(smallest, largest + 1, step))
