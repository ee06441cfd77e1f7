"""Memory that batch jobs take at the daemon that runs them."""

from msgspec import Struct

from anvilcove.jobs.types import Item, JobHead

# Objects of an item besides its texts, and of each of its headers.
ITEM_BYTES = 1_200
HEADER_BYTES = 200
# Task, buffers and log context of an item that runs or waits for a slot.
RUN_BYTES = 6_144
# What is kept of each item until its job ends.
KNOWN_BYTES = 200
# Items of a job that run or wait at a time, and their memory. The others stay
# in the submission, or in the store.
MAX_ACTIVE_ITEMS = 1_024
MAX_ACTIVE_BYTES = 6 << 20
# Memory of the items that are stored, and loaded, together. The items of a job
# of less stay in one piece.
PART_BYTES = 4 << 20
# An item is read from the store whole, decoded, and sent.
ITEM_COPIES = 3


class JobSize(Struct):
    """Items of a job and their memory, in bytes."""

    total: int = 0
    tokens: int = 0
    item_bytes: int = 0
    largest_item_bytes: int = 0

    def add(self, item: Item) -> None:
        """Count an item."""
        size = item_bytes(item)
        self.total += 1
        self.tokens += item.tokens
        self.item_bytes += size
        self.largest_item_bytes = max(self.largest_item_bytes, size)

    def run_bytes(self) -> int:
        """Return the memory that the owner of the job needs."""
        active_bytes = min(
            self.item_bytes,
            PART_BYTES
            + max(MAX_ACTIVE_BYTES, ITEM_COPIES * self.largest_item_bytes),
        )
        return (
            active_bytes
            + min(self.total, MAX_ACTIVE_ITEMS) * RUN_BYTES
            + self.total * KNOWN_BYTES
        )


def item_bytes(item: Item) -> int:
    """Return the memory of an item that does not run."""
    size = ITEM_BYTES + len(item.body) + len(item.path)
    for name, value in item.headers.items():
        size += HEADER_BYTES + len(name) + len(value)
    if item.reward is not None:
        size += len(item.reward.body) + len(item.reward.path)
    return size


def job_bytes(head: JobHead) -> int:
    """Return the memory that the owner of a job needs."""
    if head.memory_bytes:
        return head.memory_bytes
    items = min(head.total, MAX_ACTIVE_ITEMS)
    return items * (RUN_BYTES + ITEM_BYTES) + head.total * KNOWN_BYTES
