"""Decrease of a mix of reserved and reclaimable engines."""

from anvilcove.decisions.size_mix import (
    EngineGroup,
    MixLimits,
    count_by_centre,
    safe_count,
)


def reduced_mix(
    needed: int, step: int, limits: MixLimits
) -> dict[EngineGroup, int]:
    """Return the mix of the floors with at most `step` fewer engines.

    The dearest ones go first, as long as `needed` engines survive the loss of
    the largest reclaimable group and each data centre keeps its minimum. Those
    beyond the maximum of a data centre go in any case.
    """
    counts = dict(limits.floor_by_group)
    prices, by_centre = limits.price_by_group, count_by_centre(counts)
    spare = safe_count(counts) - needed
    order = sorted(counts, key=lambda g: (-prices[g], -counts[g], g))
    reclaimable = [group for group in order if group.reclaimable]
    largest = _only_largest(counts, reclaimable)
    for _ in range(step):
        group = _dearest(order, counts, by_centre, limits, spare, largest)
        if group is None:
            break
        # Fewer engines in the only largest group are as many to lose.
        if not group.reclaimable or counts[group] != largest:
            spare -= 1
        counts[group] -= 1
        by_centre[group.data_centre] -= 1
        if group.reclaimable:
            largest = _only_largest(counts, reclaimable)
    return counts


def _dearest(
    order: list[EngineGroup],
    counts: dict[EngineGroup, int],
    by_centre: dict[str, int],
    limits: MixLimits,
    spare: int,
    largest: int,
) -> EngineGroup | None:
    """Return the dearest group that may decrease, the largest of equal ones.

    `order` is by descending price.
    """
    prices = limits.price_by_group
    found: EngineGroup | None = None
    for group in order:
        count, in_centre = counts[group], by_centre[group.data_centre]
        if found is not None:
            if prices[group] < prices[found]:
                break
            if count <= counts[found]:
                continue
        if not count or in_centre <= limits.min_per_data_centre:
            continue
        free = group.reclaimable and count == largest
        if free or spare > 0 or in_centre > limits.max_per_data_centre:
            found = group
    return found


def _only_largest(
    counts: dict[EngineGroup, int], groups: list[EngineGroup]
) -> int:
    """Return the size of the largest group, 0 if several have it."""
    sizes = [counts[group] for group in groups]
    largest = max(sizes, default=0)
    return largest if sizes.count(largest) == 1 else 0
