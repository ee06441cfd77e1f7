"""Index of the prompt prefixes that the endpoints have cached."""

from anvilcove.messages.engines import CacheEvent

# An entry is ignored when no cache event and no request of this daemon has
# confirmed it for this long: the event that removed it may have been lost.
ENTRY_TTL_S = 600.0
MAX_PREFIXES = 65_536
# Endpoints returned for one request, and endpoints stored per prefix.
MAX_MATCHES = 2
MAX_HOLDERS_PER_PREFIX = 8


class PrefixCacheIndex:
    """Endpoints that probably have each prefix in their cache."""

    __slots__ = ('_holders',)

    def __init__(self) -> None:
        """Start with an empty index."""
        self._holders: dict[str, dict[str, float]] = {}

    def record_request(
        self, now: float, endpoint: str, prefixes: list[str]
    ) -> None:
        """Assume that the endpoint caches the prefixes of a sent request."""
        for prefix in prefixes:
            self._add_holder(now, endpoint, prefix)

    def apply_events(
        self, now: float, endpoint: str, events: list[CacheEvent]
    ) -> None:
        """Apply cache events of an endpoint; earlier ones may be lost."""
        for event in events:
            if event.stored:
                self._add_holder(now, endpoint, event.prefix)
            else:
                self._holders.get(event.prefix, {}).pop(endpoint, None)

    def matched_shares(
        self, now: float, prefixes: list[str]
    ) -> dict[str, float]:
        """Return the share of the prefixes that the best endpoints cache.

        `prefixes` is ordered from the shortest to the longest.
        """
        share_by_endpoint: dict[str, float] = {}
        for position in range(len(prefixes) - 1, -1, -1):
            holders = self._holders.get(prefixes[position], {})
            share = (position + 1) / len(prefixes)
            for endpoint in reversed(list(holders)):
                if len(share_by_endpoint) >= MAX_MATCHES:
                    return share_by_endpoint
                if now - holders[endpoint] <= ENTRY_TTL_S:
                    share_by_endpoint.setdefault(endpoint, share)
        return share_by_endpoint

    def _add_holder(self, now: float, endpoint: str, prefix: str) -> None:
        holders = self._holders.pop(prefix, None) or {}
        holders.pop(endpoint, None)
        holders[endpoint] = now
        if len(holders) > MAX_HOLDERS_PER_PREFIX:
            del holders[next(iter(holders))]
        self._holders[prefix] = holders
        if len(self._holders) > MAX_PREFIXES:
            del self._holders[next(iter(self._holders))]


def cache_prefixes(prompts: list[str]) -> list[str]:
    """Return the cache key of each prompt.

    Engines cache the part of a prompt before the separator `|`.
    """
    return [prompt.partition('|')[0] for prompt in prompts]
