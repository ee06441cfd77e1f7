"""Choice of an engine for an item of a batch job."""

import random

from msgspec import Struct

# Weight of an engine that already holds the prompt of the item's group. It
# stays below that of a free slot, so that a group doesn't wait for one engine.
GROUP_BONUS = 0.15
# Random part of a score; decides between equal engines only.
NOISE = 0.02
# An engine whose time per event is this many times the pool's median holds a
# step up. Full engines are up to a fifth slower than idle ones.
SLOW_PACE = 2.0
# Pace of an engine that has not been measured, relative to the others.
UNKNOWN_PACE = 1.0


class EngineSlotView(Struct):
    """What is known of one engine.

    `pace` is its time per event over the mean of the pool; `others` is the
    work that other daemons have there, by its last answer.
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

    A slow engine always has free slots and would hold up the step of each
    item; while there are others, even full ones, an item waits for these.
    """
    fast = [e for e in engines if e.pace < SLOW_PACE]
    free = [e for e in fast or engines if e.in_flight < e.slots]
    if not free:
        return None
    return min(free, key=lambda engine: _score(engine, rng))


def _score(engine: EngineSlotView, rng: random.Random) -> float:
    busy = (engine.in_flight + engine.others + 1) / engine.slots
    score = max(engine.pace, 0.1) * (1.0 + busy)
    if engine.holds_group:
        score -= GROUP_BONUS
    return score + NOISE * rng.random()
