"""Items of a job that run or wait for a slot at a time."""

import asyncio

from anvilcove.jobs.job_memory import MAX_ACTIVE_BYTES, MAX_ACTIVE_ITEMS


class ItemWindow:
    """Bound of the active items of a job; a larger item is active alone."""

    __slots__ = ('_count', '_bytes', '_left')

    def __init__(self) -> None:
        """Start without items."""
        self._count = 0
        self._bytes = 0
        self._left = asyncio.Event()

    async def enter(self, size: int) -> None:
        """Wait until an item of a size may be active."""
        while self._count and not self._fits(size):
            self._left.clear()
            await self._left.wait()
        self._count += 1
        self._bytes += size

    def leave(self, size: int) -> None:
        """Let another item become active."""
        self._count -= 1
        self._bytes -= size
        self._left.set()

    def _fits(self, size: int) -> bool:
        return (
            self._count < MAX_ACTIVE_ITEMS
            and self._bytes + size <= MAX_ACTIVE_BYTES
        )
