"""Registry of the components that every daemon runs."""

from anvilcove.daemon.context import Component

COMPONENTS: list[type[Component]] = []


def register_component(cls: type[Component]) -> type[Component]:
    """Register a component; `COMPONENT_MODULES` lists its module."""
    COMPONENTS.append(cls)
    return cls
