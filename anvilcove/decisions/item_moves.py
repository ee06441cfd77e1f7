"""Choice of the running items that are moved to another engine."""

from msgspec import Struct

from anvilcove.decisions.item_placement import (
    FAST_PACE,
    is_slow,
)

# Each move costs a new connection.
MAX_MOVES_PER_ITEM = 3
# Share of the running items that are assumed to end before the next check.
# Moved items can use their slots, as they are put at the head of the queue.
# Short items take about a second, and the check runs every 50 ms.
ENDING_SOON_SHARE = 0.05
# Time that a move must save. The other engine reads the prompt and the text
# made so far again, which takes some tens of milliseconds.
MIN_GAIN_S = 0.3
# Items that end before this share of their step's objective don't decide when
# the step ends, so moving them would only cost a connection.
DECISIVE_SHARE = 0.5
# Items without a usable hint are expected to make this share of their events
# once more: the longer an item runs, the longer it will probably go on.
REMAINING_SHARE = 0.7


class EngineUtilization(Struct):
    """Load and speed of one engine.

    `pace` is its time per event relative to the median of the pool,
    `interval_s` that time in seconds, 0 if unknown. `slow` tells whether it is
    slow and not just for a moment, None if only `pace` is known.
    """

    endpoint: str
    slots: int
    in_flight: int
    pace: float = 1.0
    usable: bool = True
    interval_s: float = 0.0
    slow: bool | None = None


class RunningItem(Struct):
    """A running item that has emitted at least one event.

    `events` and `moves` count its events and its moves so far;
    `expected_events` is its length by its hint, 0 if unknown. `age_s` is the
    time since it was started, `objective_s` that in which its step is due.
    """

    item_id: str
    endpoint: str
    events: int
    moves: int = 0
    expected_events: float = 0.0
    age_s: float = 0.0
    objective_s: float = 0.0


def select_items_to_move(
    engines: list[EngineUtilization], items: list[RunningItem]
) -> list[RunningItem]:
    """Return the items to move to engines that would finish them sooner.

    Items leave slow engines even if the others are full, and only as many as
    slots will probably become free before the next check. They stay if the
    lasting speeds are known and a move would not gain. Other moves need a
    free slot, a gain of MIN_GAIN_S, and an item that ends late in its step.
    """
    movable = [item for item in items if item.moves < MAX_MOVES_PER_ITEM]
    slow = {e.endpoint: e for e in engines if is_slow(e.pace, e.slow)}
    others = [e for e in engines if e.endpoint not in slow and e.usable]
    usual_s = _usual_interval_s(others)
    # The items with the most events are the most likely to delay their groups.
    leaving = sorted(
        (
            item
            for item in movable
            if item.endpoint in slow
            and _gains(item, slow[item.endpoint], usual_s)
        ),
        key=lambda item: -item.events,
    )[: _available_slots(others)]
    rest = [item for item in movable if item.endpoint not in slow]
    return leaving + _gaining_moves(others, rest, len(leaving))


def expected_remaining_events(item: RunningItem) -> float:
    """Return how many events an item will probably still make."""
    return max(
        item.expected_events - item.events, item.events * REMAINING_SHARE
    )


def _usual_interval_s(engines: list[EngineUtilization]) -> float:
    """Return the lower median of the known event intervals, 0 if none is."""
    known = sorted(e.interval_s for e in engines if e.interval_s > 0)
    return known[(len(known) - 1) // 2] if known else 0.0


def _gains(
    item: RunningItem, source: EngineUtilization, usual_s: float
) -> bool:
    """Tell whether an item gains on a usual engine what its move costs."""
    if source.slow is None or not usual_s:
        return True
    saved_s = (source.interval_s - usual_s) * expected_remaining_events(item)
    return saved_s >= MIN_GAIN_S


def _gaining_moves(
    engines: list[EngineUtilization],
    items: list[RunningItem],
    reserved_slots: int,
) -> list[RunningItem]:
    """Return the items that another engine with a free slot ends sooner."""
    by_endpoint = {e.endpoint: e for e in engines}
    targets = sorted(
        (e for e in engines if e.interval_s > 0 and e.in_flight < e.slots),
        key=lambda engine: engine.interval_s,
    )
    if not targets:
        return []
    best_s = targets[0].interval_s
    gains = []
    for item in items:
        source = by_endpoint.get(item.endpoint)
        if source is None or source.interval_s < best_s * FAST_PACE:
            continue
        remaining = expected_remaining_events(item)
        end_s = item.age_s + source.interval_s * remaining
        if end_s < item.objective_s * DECISIVE_SHARE:
            continue
        gain_s = (source.interval_s - best_s) * remaining
        if gain_s >= MIN_GAIN_S:
            gains.append((gain_s, item))
    gains.sort(key=lambda pair: -pair[0])
    free = sum(
        e.slots - e.in_flight
        for e in targets
        if e.interval_s < best_s * FAST_PACE
    )
    return [item for _, item in gains[: max(free - reserved_slots, 0)]]


def _available_slots(engines: list[EngineUtilization]) -> int:
    free = sum(max(e.slots - e.in_flight, 0) for e in engines)
    return free + int(ENDING_SOON_SHARE * sum(e.in_flight for e in engines))
