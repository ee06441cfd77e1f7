"""Judgement of a host whether it is cut from all endpoints."""

from collections import OrderedDict

# Endpoints that have to fail, with nothing heard from any endpoint since,
# until the host takes itself to be cut off. One that fails may have crashed.
MIN_FAILED = 2
# An endpoint that answers nothing for this long counts as silent. It may be
# busy, so that silence only raises a suspicion.
SILENT_AFTER_S = 0.4
MAX_REMEMBERED = 1_000


class Reachability:
    """Evidence whether this host reaches endpoints at all.

    Only failures of the way count: a connection that can't be opened, or one
    that is lost as nothing arrives on it.
    """

    __slots__ = ('heard_at_s', '_failed_at_s', '_unanswered_since_s')

    def __init__(self) -> None:
        """Start without evidence."""
        # When anything last arrived from any endpoint.
        self.heard_at_s = float('-inf')
        # When each address last failed, and since when each one has answered
        # nothing that was sent; the latest ones last.
        self._failed_at_s: OrderedDict[str, float] = OrderedDict()
        self._unanswered_since_s: OrderedDict[str, float] = OrderedDict()

    def sent(self, address: str, now: float) -> None:
        """Record that something was sent on an open connection."""
        self._unanswered_since_s.setdefault(address, now)
        _limit(self._unanswered_since_s)

    def heard(self, address: str, now: float) -> None:
        """Record that something arrived from an endpoint."""
        self.heard_at_s = now
        self._failed_at_s.pop(address, None)
        self._unanswered_since_s.pop(address, None)

    def failed(self, address: str, now: float) -> None:
        """Record that the way to an endpoint failed."""
        self._failed_at_s.pop(address, None)
        self._failed_at_s[address] = now
        _limit(self._failed_at_s)

    def forget(self, addresses: set[str]) -> None:
        """Drop the evidence about all endpoints but these."""
        for known in (self._failed_at_s, self._unanswered_since_s):
            for address in [a for a in known if a not in addresses]:
                del known[address]

    def has_failed(self, address: str) -> bool:
        """Tell whether an endpoint has failed since anything was heard."""
        at_s = self._failed_at_s.get(address)
        return at_s is not None and at_s > self.heard_at_s

    def is_cut(self) -> bool:
        """Tell whether the host probably reaches no endpoint."""
        failed = sum(
            at_s > self.heard_at_s for at_s in self._failed_at_s.values()
        )
        return failed >= MIN_FAILED

    def is_suspicious(self, now: float) -> bool:
        """Tell whether several endpoints fail or are silent, none heard since.

        Then it is worth to try the way to others.
        """
        silent = {
            address
            for address, since_s in self._unanswered_since_s.items()
            if now - since_s >= SILENT_AFTER_S and since_s > self.heard_at_s
        }
        failed = {
            address
            for address, at_s in self._failed_at_s.items()
            if at_s > self.heard_at_s
        }
        return len(silent | failed) >= MIN_FAILED

    def others_doubtful(
        self, address: str, now: float, within_s: float
    ) -> bool:
        """Tell whether other endpoints failed lately or are silent now."""
        return any(
            other != address and now - at_s <= within_s
            for other, at_s in self._failed_at_s.items()
        ) or any(
            other != address and now - since_s >= SILENT_AFTER_S
            for other, since_s in self._unanswered_since_s.items()
        )


def _limit(known: OrderedDict[str, float]) -> None:
    if len(known) > MAX_REMEMBERED:
        known.popitem(last=False)
