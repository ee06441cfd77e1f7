"""Expiry detection for leases that other processes hold."""

from collections.abc import Hashable


class LeaseWatch:
    """Detect leases that were not renewed for `lease_s` seconds.

    The renewal value of a lease is any value that its holder changes at each
    renewal, such as a row version. A lease has expired when this value has not
    changed for `lease_s` on the local clock, so clocks need not be
    synchronized.
    """

    __slots__ = ('lease_s', '_last_change_by_key')

    def __init__(self, lease_s: float) -> None:
        """Watch no leases."""
        self.lease_s = lease_s
        self._last_change_by_key: dict[str, tuple[Hashable, float]] = {}

    def expired(self, key: str, renewal_value: Hashable, now: float) -> bool:
        """Record the current value; return whether the lease has expired."""
        last = self._last_change_by_key.get(key)
        if last is None or last[0] != renewal_value:
            self._last_change_by_key[key] = (renewal_value, now)
            return False
        return now - last[1] >= self.lease_s

    def unrenewed_s(self, key: str, now: float) -> float:
        """Return the seconds since the value last changed, 0 if unknown."""
        last = self._last_change_by_key.get(key)
        return now - last[1] if last is not None else 0.0

    def forget(self, key: str) -> None:
        """Stop watching a lease."""
        self._last_change_by_key.pop(key, None)

    def reset(self) -> None:
        """Restart the lease time of every watched lease.

        Called after the table could not be read: renewals in that time were
        not seen, so it must not count towards expiry.
        """
        self._last_change_by_key.clear()
