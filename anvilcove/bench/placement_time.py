"""CPU time of the placement of an item by the number of engines."""

import random
import time

from anvilcove.decisions.item_placement import EngineSlotView, choose_engine

SLOTS = 12
# Every third engine is slower by this factor.
SLOWER_PACE = 1.3
REPEATS = 5
CALLS_PER_ENGINE = 50_000


def measure_placement_s(engines: int) -> float:
    """Return the CPU seconds of one decision, the best of REPEATS."""
    rng = random.Random(1)
    views = [
        EngineSlotView(
            f'e{number}',
            SLOTS,
            number % SLOTS,
            pace=1.0 if number % 3 else SLOWER_PACE,
        )
        for number in range(engines)
    ]
    calls = max(CALLS_PER_ENGINE // engines, 1)
    best_s = float('inf')
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(calls):
            choose_engine(views, rng)
        best_s = min(best_s, (time.process_time() - started_s) / calls)
    return best_s
