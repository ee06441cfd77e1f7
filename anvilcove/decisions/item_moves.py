"""Choice of the running items that are moved to another engine."""

from msgspec import Struct

from anvilcove.decisions.item_placement import SLOW_PACE

# Each move costs a new connection.
MAX_MOVES_PER_ITEM = 3
# Share of the running items that are assumed to end before the next check.
# Moved items can use their slots, as they are put at the head of the queue.
# Short items take about a second, and the check runs every 50 ms.
ENDING_SOON_SHARE = 0.05


class EngineUtilization(Struct):
    """Load and speed of one engine.

    `pace` is its time per event relative to the median of the pool.
    """

    endpoint: str
    slots: int
    in_flight: int
    pace: float = 1.0
    usable: bool = True


class RunningItem(Struct):
    """A running item that has emitted at least one event.

    `events` and `moves` count its events and its moves so far.
    """

    item_id: str
    endpoint: str
    events: int
    moves: int = 0


def select_items_to_move(
    engines: list[EngineUtilization], items: list[RunningItem]
) -> list[RunningItem]:
    """Return the items to move away from slow engines.

    At most as many are returned as other engines have slots that are free now
    or will probably become free before the next check.
    """
    available_slots = _available_slots(
        [e for e in engines if e.pace < SLOW_PACE and e.usable]
    )
    slow = {e.endpoint for e in engines if e.pace >= SLOW_PACE}
    movable = [
        i for i in items if i.endpoint in slow and i.moves < MAX_MOVES_PER_ITEM
    ]
    # The items with the most events are the most likely to delay their groups.
    movable.sort(key=lambda item: -item.events)
    return movable[:available_slots]


def _available_slots(engines: list[EngineUtilization]) -> int:
    free = sum(max(e.slots - e.in_flight, 0) for e in engines)
    return free + int(ENDING_SOON_SHARE * sum(e.in_flight for e in engines))
