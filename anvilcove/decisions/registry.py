"""Registry of decision policies and their variants."""

from collections.abc import Callable
from typing import Any, TypeVar

POLICIES: dict[str, dict[str, type[Any]]] = {}

T = TypeVar('T', bound=type[Any])


def policy(topic: str, name: str) -> Callable[[T], T]:
    """Register the decorated class as variant `name` of a policy topic."""

    def register(cls: T) -> T:
        POLICIES.setdefault(topic, {})[name] = cls
        return cls

    return register


def policy_class(topic: str, name: str) -> type[Any]:
    """Return the class of a variant, or raise KeyError."""
    by_name = POLICIES.get(topic, {})
    if name not in by_name:
        known = sorted(by_name)
        raise KeyError(f'{topic} has no policy {name!r}; known: {known}')
    return by_name[name]
