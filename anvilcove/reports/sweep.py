"""Figures of one load at several sizes of a deployment."""

from msgspec import Struct, field

# Quantities that have a limit.
PROCESSOR_PERCENT = 'processor_percent'
MEMORY_MB = 'memory_mb'
CONNECTIONS = 'connections'


class SweepError(Exception):
    """Raised for a report of a sweep that cannot be read."""


class Series(Struct):
    """Values of one figure by size, of the middle and the busiest daemon.

    The busiest grows with the number of daemons to the power `power`;
    `at_target` extends it to the target size. `quantity` is empty for a figure
    that has no limit.
    """

    name: str
    middle: list[float]
    busiest: list[float]
    power: float
    at_target: float
    quantity: str = ''


class Sweep(Struct):
    """All figures, and the share of the work that was served, by size."""

    sizes: list[int] = field(default_factory=list)
    target: int = 0
    series: list[Series] = field(default_factory=list)
    served_by_hosts: dict[int, float] = field(default_factory=dict)
    servers_by_hosts: dict[int, int] = field(default_factory=dict)
