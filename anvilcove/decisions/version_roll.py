"""Order in which engines are moved to a newly named version."""

from msgspec import Struct


class EngineVersion(Struct):
    """What is known of one engine and the version of one model.

    `retry_at_s` is when an order may be given again.
    """

    endpoint: str
    data_centre: str
    version: int
    busy: bool
    in_flight: int
    retry_at_s: float = 0.0


class RollSettings(Struct):
    """How many engines may load at once."""

    # The weight store serves this share of the engines at full speed.
    loading_share: float = 0.34


def engines_to_order(
    now: float,
    target: int,
    engines: list[EngineVersion],
    settings: RollSettings,
) -> list[EngineVersion]:
    """Return the engines that may be ordered now, idle ones first."""
    behind = [e for e in engines if e.version < target]
    loading = sum(1 for e in behind if e.busy)
    room = max(1, int(len(engines) * settings.loading_share)) - loading
    if room <= 0:
        return []
    ready = [e for e in behind if not e.busy and e.retry_at_s <= now]
    ready.sort(key=lambda e: (e.in_flight, e.version, e.endpoint))
    return ready[:room]
