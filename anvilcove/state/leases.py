"""What this daemon has seen of leases that others hold."""

from collections.abc import Hashable


class LeaseWatch:
    """Times since when the marks of watched leases have not moved.

    A mark is whatever the holder changes when it renews. Times are of the
    watching daemon's own clock; nothing is assumed about other clocks.
    """

    __slots__ = ('lease_s', '_seen_by_key')

    def __init__(self, lease_s: float) -> None:
        """Watch nothing yet."""
        self.lease_s = lease_s
        self._seen_by_key: dict[str, tuple[Hashable, float]] = {}

    def expired(self, key: str, mark: Hashable, now: float) -> bool:
        """Note the mark and tell whether it has stood for the lease time."""
        seen = self._seen_by_key.get(key)
        if seen is None or seen[0] != mark:
            self._seen_by_key[key] = (mark, now)
            return False
        return now - seen[1] >= self.lease_s

    def stood_s(self, key: str, now: float) -> float:
        """Return how long the mark of a lease has not moved."""
        seen = self._seen_by_key.get(key)
        return now - seen[1] if seen is not None else 0.0

    def forget(self, key: str) -> None:
        """Stop watching a lease."""
        self._seen_by_key.pop(key, None)

    def restart(self) -> None:
        """Start every watch again.

        While the table could not be read no renewal could be seen, so that
        time must not count against the holders.
        """
        self._seen_by_key.clear()
