"""Choice of an engine for an item of a batch job."""

import random
from math import inf
from statistics import median

from msgspec import Struct

# Bonus of an engine that has already cached the prompt of the item's group. It
# is below the weight of a free slot, so that a group doesn't wait for one
# engine.
GROUP_BONUS = 0.15
# Random part of a score, which only breaks ties between equal engines.
TIE_BREAK_NOISE = 0.02
# An engine whose time per event is at least this multiple of the pool's median
# is slow and would delay a step. Engines at full load are up to a fifth slower
# than idle ones.
SLOW_PACE = 2.0
# Engines count as no faster than this.
MIN_PACE = 0.1
# Relative time per event assumed for an engine that has not been measured.
UNKNOWN_PACE = 1.0
# Long items go to engines whose time per event is at most this multiple of the
# best one's.
FAST_PACE = 1.15
# An item is long if it is expected to take this share of its step's objective.
LONG_ITEM_SHARE = 0.25
# Without an expected time, an item is long if its length hint is this multiple
# of the median hint of its job.
LONG_HINT_FACTOR = 2.0


class EngineSlotView(Struct):
    """Load and speed of one engine.

    `pace` is its time per event relative to the median of the pool. `others`
    is the number of requests that other daemons run there, as its last answer
    reported; `long_items` is the number of long items of this daemon there.
    `slowness` is the time per event now relative to the usual one.
    `slow` tells whether it is slow and not just for a moment, None if only
    `pace` is known.
    """

    endpoint: str
    slots: int
    in_flight: int
    others: int = 0
    pace: float = UNKNOWN_PACE
    holds_group: bool = False
    long_items: int = 0
    slowness: float = 1.0
    slow: bool | None = None


def is_slow(pace: float, slow: bool | None) -> bool:
    """Tell whether an engine would delay a step."""
    return pace >= SLOW_PACE if slow is None else slow


def is_long_item(
    hint: int, expected_s: float, objective_s: float, median_hint: float
) -> bool:
    """Tell whether an item will probably decide when its step ends.

    `expected_s` is 0 while the time per hinted token is unknown.
    """
    if expected_s > 0:
        return expected_s >= objective_s * LONG_ITEM_SHARE
    return 0 < median_hint * LONG_HINT_FACTOR <= hint


def median_hint(hints: list[int]) -> float:
    """Return the median of the positive length hints of a job, 0 if none."""
    positive = [hint for hint in hints if hint > 0]
    return median(positive) if positive else 0.0


def choose_engine(
    engines: list[EngineSlotView], rng: random.Random, long_item: bool = True
) -> EngineSlotView | None:
    """Return the engine where an item should run, or None if it should wait.

    Long items decide when their step ends. They take the fastest engines, and
    wait while all slots of those are taken but some by short items, which end
    soon. Short items leave the fastest engines to them where others are free.
    Slow engines, which tend to have free slots, are used only when there are
    no others, not even fully loaded ones. Short items also avoid engines that
    are slow for the moment; long ones outlast it.
    """
    # Written out here and below, as it runs for each engine of the pool.
    usable = [
        e
        for e in engines
        if not (e.pace >= SLOW_PACE if e.slow is None else e.slow)
    ] or engines
    free = [e for e in usable if e.in_flight < e.slots]
    if not free:
        return None
    limit = min(e.pace for e in usable) * FAST_PACE
    fast = [e for e in usable if e.pace <= limit]
    free_fast = [e for e in free if e.pace <= limit]
    if long_item:
        if not free_fast and any(e.long_items < e.in_flight for e in fast):
            return None
        candidates = free_fast or free
    else:
        candidates = [e for e in free if e.pace > limit] or free
    draw = rng.random
    best, best_score = None, inf
    for engine in candidates:
        utilization = (engine.in_flight + engine.others + 1) / engine.slots
        pace = engine.pace if long_item else engine.pace * engine.slowness
        score = (pace if pace > MIN_PACE else MIN_PACE) * (1.0 + utilization)
        if engine.holds_group:
            score -= GROUP_BONUS
        score += TIE_BREAK_NOISE * draw()
        if score < best_score:
            best, best_score = engine, score
    return best
