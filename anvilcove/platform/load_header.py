"""Decode the load that servers send with their answers."""

from functools import lru_cache

from anvilcove.messages.numbers import parse_decimal
from anvilcove.ports.engines import UNKNOWN_LOAD, EngineLoad

# Figures of the header: running, waiting, slots, and in deployments whose
# endpoints vary in speed the time that work takes now, 100 as usual.
COUNT_FIGURES = 3
MAX_FIGURES = 4
MAX_FIGURE_CHARACTERS = 6
MAX_COUNT = 100_000
# Times of work outside of this range are taken for faults of the server.
MIN_PERCENT, MAX_PERCENT = 10, 10_000


@lru_cache(maxsize=64)
def decode_load(values: tuple[str, ...]) -> tuple[EngineLoad | None, bool]:
    """Return the load in the values of the header, and whether all is sound.

    The first of several values is used. The counts mean something only
    together; the slowness is used without them. None if nothing is sound.
    """
    if not values:
        return None, True
    texts = values[0].split(',')
    figures = [_figure(text) for text in texts[:MAX_FIGURES]]
    sound = len(values) == 1 and len(texts) in (COUNT_FIGURES, MAX_FIGURES)
    load = _decode_counts(figures[:COUNT_FIGURES])
    sound = sound and load is not None
    if len(figures) < MAX_FIGURES:
        return load, sound
    percent = figures[COUNT_FIGURES]
    if percent is None or not MIN_PERCENT <= percent <= MAX_PERCENT:
        return load, False
    counts = load or UNKNOWN_LOAD
    return (
        EngineLoad(
            counts.running, counts.waiting, counts.slots, percent / 100, True
        ),
        sound,
    )


def _decode_counts(figures: list[int | None]) -> EngineLoad | None:
    if len(figures) < COUNT_FIGURES:
        return None
    running, waiting, slots = figures
    if running is None or waiting is None or not slots:
        return None
    if max(running, waiting, slots) > MAX_COUNT:
        return None
    return EngineLoad(running, waiting, slots)


def _figure(text: str) -> int | None:
    """Return a decimal number, None for anything else."""
    return parse_decimal(text.strip(), MAX_FIGURE_CHARACTERS)
