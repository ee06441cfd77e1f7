"""What is known of the prompt-prefix caches of the endpoints."""

from anvilcove.messages.engines import CacheEvent

# An entry that neither an event nor an own request has confirmed for this
# long is dropped: the event that would have removed it may be missing.
ENTRY_LIFE_S = 600.0
REMEMBERED_PREFIXES = 65_536
# Holders that one decision compares, and that are remembered per prefix.
MAX_HOLDERS = 2
REMEMBERED_HOLDERS = 8


class PrefixAffinity:
    """Endpoints that probably hold a prefix, by prefix."""

    __slots__ = ('_holders',)

    def __init__(self) -> None:
        """Start without knowledge."""
        self._holders: dict[str, dict[str, float]] = {}

    def sent(self, now: float, endpoint: str, prefixes: list[str]) -> None:
        """Expect the prefixes of an own request in the cache."""
        for prefix in prefixes:
            self._stored(now, endpoint, prefix)

    def observe(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Apply the events that arrived; some may be missing."""
        for event in events:
            if event.stored:
                self._stored(now, endpoint, event.prefix)
            else:
                self._holders.get(event.prefix, {}).pop(endpoint, None)

    def holders(self, now: float, prefixes: list[str]) -> dict[str, float]:
        """Return the share of the prefixes that endpoints hold.

        `prefixes` goes from the shortest to the longest.
        """
        found: dict[str, float] = {}
        for position in range(len(prefixes) - 1, -1, -1):
            holders = self._holders.get(prefixes[position], {})
            share = (position + 1) / len(prefixes)
            for endpoint in reversed(list(holders)):
                if len(found) >= MAX_HOLDERS:
                    return found
                if now - holders[endpoint] <= ENTRY_LIFE_S:
                    found.setdefault(endpoint, share)
        return found

    def _stored(self, now: float, endpoint: str, prefix: str) -> None:
        holders = self._holders.pop(prefix, None) or {}
        holders.pop(endpoint, None)
        holders[endpoint] = now
        if len(holders) > REMEMBERED_HOLDERS:
            del holders[next(iter(holders))]
        self._holders[prefix] = holders
        if len(self._holders) > REMEMBERED_PREFIXES:
            del self._holders[next(iter(self._holders))]


def cache_prefixes(prompts: list[str]) -> list[str]:
    """Return the parts of prompts that the engines' caches name.

    Engines cache the part of a prompt before the marker `|`.
    """
    return [prompt.partition('|')[0] for prompt in prompts]
