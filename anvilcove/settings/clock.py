"""Settings of the clock that a daemon reads."""

from msgspec import Struct


class ClockSettings(Struct, frozen=True):
    """Offset added to the monotonic clock, so that its origin differs."""

    offset_s: float = 0.0
