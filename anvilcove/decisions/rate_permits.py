"""Permits for requests to endpoints that name a limit of requests a second."""

from collections import OrderedDict
from math import floor

from anvilcove.messages.permits import PermitGrant, PermitRequest

# Time whose requests may be sent at once after a pause.
BURST_S = 0.5
MIN_BURST = 1.0
MIN_RETRY_S = 0.005
MAX_BUCKETS = 1_000
# Tolerance of the sum of many small refills.
EPSILON = 1e-9


class PermitBucket:
    """Token bucket of one endpoint."""

    __slots__ = ('tokens', 'filled_at_s')

    def __init__(self, now: float, tokens: float) -> None:
        """Start with some tokens."""
        self.tokens = tokens
        self.filled_at_s = now

    def take(self, now: float, limit_per_s: float, count: int) -> PermitGrant:
        """Take up to `count` tokens."""
        burst = max(limit_per_s * BURST_S, MIN_BURST)
        elapsed_s = max(now - self.filled_at_s, 0.0)
        self.tokens = min(self.tokens + elapsed_s * limit_per_s, burst)
        self.filled_at_s = now
        granted = min(floor(self.tokens + EPSILON), count)
        self.tokens -= granted
        if granted == count:
            return PermitGrant(granted)
        retry_s = max((1.0 - self.tokens) / limit_per_s, MIN_RETRY_S)
        return PermitGrant(granted, retry_s)


class PermitBuckets:
    """Token buckets by endpoint, the least recently used ones forgotten."""

    __slots__ = ('_by_endpoint', '_first_tokens')

    def __init__(self, first_tokens: float) -> None:
        """Start without buckets; a new one holds `first_tokens`."""
        self._first_tokens = first_tokens
        self._by_endpoint: OrderedDict[str, PermitBucket] = OrderedDict()

    def take(self, now: float, request: PermitRequest) -> PermitGrant:
        """Grant as many of the permits asked for as the limit allows."""
        if request.limit_per_s <= 0 or request.count <= 0:
            return PermitGrant(0)
        bucket = self._by_endpoint.pop(request.endpoint, None)
        if bucket is None:
            bucket = PermitBucket(now, self._first_tokens)
        self._by_endpoint[request.endpoint] = bucket
        if len(self._by_endpoint) > MAX_BUCKETS:
            self._by_endpoint.popitem(last=False)
        return bucket.take(now, request.limit_per_s, request.count)
