"""Return of freed memory to the system."""

import ctypes


def return_freed_memory() -> None:
    """Give free parts of the heap back to the system, which takes some ms."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        # Other allocators than that of glibc do not have this function.
        return
