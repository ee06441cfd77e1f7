"""Choice of the clients that are ended as they hold too much memory."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from anvilcove.decisions.registry import policy

# Callers are ended until this share of the bound is held, so that not every
# further byte ends another one.
TARGET_SHARE = 0.9
# A client that has held bytes for this time, and has sent or taken fewer per
# second meanwhile, is slow. 8 MB, the largest
# answer, take 4 minutes at this pace.
MIN_AGE_S = 1.0
NORMAL_BYTES_PER_S = 32_768.0


class HeldClient(Struct, frozen=True):
    """Memory held for one client.

    `since_s` is the time from which its connection waits for it to send or to
    take bytes, `progress_bytes` what it has sent and taken since then. A
    client that `is_served` waits for this host.
    """

    key: int
    held_bytes: int
    since_s: float
    progress_bytes: int
    is_served: bool = False

    def is_slow(self, now: float) -> bool:
        """Tell whether the client sends or reads below the normal pace."""
        if self.is_served:
            return False
        age_s = now - self.since_s
        if age_s < MIN_AGE_S:
            return False
        return self.progress_bytes < age_s * NORMAL_BYTES_PER_S


def _until_below(
    held: Sequence[HeldClient],
    bound_bytes: int,
    rank: Callable[[HeldClient], tuple[float, ...]],
) -> list[HeldClient]:
    """Return the clients to end, lowest ranks first, none up to the bound."""
    left_bytes, ended = sum(client.held_bytes for client in held), []
    if left_bytes <= bound_bytes:
        return []
    for client in sorted(held, key=rank):
        if left_bytes <= bound_bytes * TARGET_SHARE:
            break
        left_bytes -= client.held_bytes
        ended.append(client)
    return ended


def _rank(client: HeldClient, now: float) -> tuple[int, float, float]:
    """Return the rank of a client; the lowest is ended first."""
    if client.is_served:
        return 3, -client.held_bytes, client.since_s
    if client.is_slow(now):
        return 0, -client.held_bytes, client.since_s
    age_s = now - client.since_s
    if age_s < MIN_AGE_S:
        # The pace is not known yet. A client that reads well holds its bytes
        # only for some milliseconds.
        return 1, -client.held_bytes * age_s, -client.held_bytes
    return 2, -client.held_bytes, client.since_s


@policy('slow_readers', 'largest')
class LargestReaders:
    """End slow clients first, the one that holds the most before others.

    After them come those whose pace is not known yet, those that send or read
    at the normal pace, and at last those that wait for this host.
    """

    __slots__ = ()

    def choose(
        self, held: Sequence[HeldClient], bound_bytes: int, now: float
    ) -> list[HeldClient]:
        """Return the clients to end, none up to the bound."""
        return _until_below(
            held, bound_bytes, lambda client: _rank(client, now)
        )


@policy('slow_readers', 'arrival')
class OldestReaders:
    """End clients in the order in which they began to hold memory."""

    __slots__ = ()

    def choose(
        self, held: Sequence[HeldClient], bound_bytes: int, now: float
    ) -> list[HeldClient]:
        """Return the clients to end, none up to the bound."""
        return _until_below(
            held, bound_bytes, lambda client: (client.since_s,)
        )
