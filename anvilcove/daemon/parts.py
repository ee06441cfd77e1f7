"""Registry of the parts that every daemon runs."""

from anvilcove.daemon.context import Part

PARTS: list[type[Part]] = []


def part(cls: type[Part]) -> type[Part]:
    """Register a part; its module is imported by daemon/app.py."""
    PARTS.append(cls)
    return cls
