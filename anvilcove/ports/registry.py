"""Registry of the adapter classes that settings can select."""

from collections.abc import Callable
from typing import Any, TypeVar

ADAPTERS: dict[tuple[str, str], type[Any]] = {}

T = TypeVar('T', bound=type[Any])


def adapter(port: str, kind: str) -> Callable[[T], T]:
    """Return a decorator that registers a class as a port's adapter."""

    def register(cls: T) -> T:
        ADAPTERS[port, kind] = cls
        return cls

    return register


def adapter_class(port: str, kind: str) -> type[Any]:
    """Return the adapter class, or raise KeyError with the known kinds."""
    try:
        return ADAPTERS[port, kind]
    except KeyError:
        known = sorted(k for p, k in ADAPTERS if p == port)
        raise KeyError(
            f'{port} has no adapter {kind!r}; known: {known}'
        ) from None
