"""Registry of the parts that every daemon runs."""

from anvilcove.daemon.context import Part

PARTS: list[type[Part]] = []


def part(cls: type[Part]) -> type[Part]:
    """Register a part; `PART_MODULES` in daemon/app.py lists its module."""
    PARTS.append(cls)
    return cls
