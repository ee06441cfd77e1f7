"""Choice of an engine for an item of a batch job."""

import random

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
# Relative time per event assumed for an engine that has not been measured.
UNKNOWN_PACE = 1.0


class EngineSlotView(Struct):
    """Load and speed of one engine.

    `pace` is its time per event relative to the median of the pool. `others`
    is the number of requests that other daemons run there, as its last answer
    reported.
    """

    endpoint: str
    slots: int
    in_flight: int
    others: int = 0
    pace: float = UNKNOWN_PACE
    holds_group: bool = False
    same_data_centre: bool = False


def choose_engine(
    engines: list[EngineSlotView], rng: random.Random
) -> EngineSlotView | None:
    """Return the engine where an item is expected to end first.

    Return None if the item should wait. Slow engines, which tend to have free
    slots and would delay the steps of their items, are used only when there
    are no others, not even fully loaded ones.
    """
    fast = [e for e in engines if e.pace < SLOW_PACE]
    free = [e for e in fast or engines if e.in_flight < e.slots]
    if not free:
        return None
    return min(free, key=lambda engine: _score(engine, rng))


def _score(engine: EngineSlotView, rng: random.Random) -> float:
    utilization = (engine.in_flight + engine.others + 1) / engine.slots
    score = max(engine.pace, 0.1) * (1.0 + utilization)
    if engine.holds_group:
        score -= GROUP_BONUS
    return score + TIE_BREAK_NOISE * rng.random()
