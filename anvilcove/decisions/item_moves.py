"""Which running items go on at another engine."""

from msgspec import Struct

from anvilcove.decisions.item_placement import SLOW_PACE

# A move costs a connection.
MOST_MOVES = 3
# Share of the running items that end before the next look: a moved item is
# first in line, so it need not find a free slot. Short items last about a
# second, and moves are looked for every 50 ms.
ENDING_SHARE = 0.05


class RunningEngine(Struct):
    """Load and pace of one engine, `pace` over the median of the pool."""

    endpoint: str
    slots: int
    in_flight: int
    pace: float = 1.0
    usable: bool = True


class RunningItem(Struct):
    """An item that runs at an engine and has made some events.

    `moves` counts how often it was moved before.
    """

    item_id: str
    endpoint: str
    events: int
    moves: int = 0


def slow_moves(
    engines: list[RunningEngine], items: list[RunningItem]
) -> list[RunningItem]:
    """Return the items to move away from slow engines.

    No more are moved than find a slot soon, free ones and those whose items
    are about to end.
    """
    room = _room([e for e in engines if e.pace < SLOW_PACE and e.usable])
    slow = {e.endpoint for e in engines if e.pace >= SLOW_PACE}
    waiting = [i for i in items if i.endpoint in slow and i.moves < MOST_MOVES]
    # What has run longest is the most likely to hold its group up.
    waiting.sort(key=lambda item: -item.events)
    return waiting[:room]


def _room(engines: list[RunningEngine]) -> int:
    free = sum(max(e.slots - e.in_flight, 0) for e in engines)
    return free + int(ENDING_SHARE * sum(e.in_flight for e in engines))
