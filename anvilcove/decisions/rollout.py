"""Order in which the engines of a pool load a new weight version."""

import math

from msgspec import Struct

from anvilcove.decisions.registry import policy
from anvilcove.settings.host import HostSettings

# Share of a pool that may load a version at the same time. Two transfers keep
# the weight store busy while one engine switches to its new version, so more
# loads would not end sooner.
MAX_LOADING_SHARE = 0.34
# Minimum capacity of the engines that continue to answer, relative to the
# current load.
LOAD_HEADROOM = 1.2


class ServerView(Struct):
    """Version and load of one engine.

    `load` is the used share of its capacity, and `swapping` tells that it is
    loading a version. No order is given before `retry_at_s`.
    """

    endpoint: str
    data_centre: str
    version: int
    swapping: bool
    load: float
    retry_at_s: float = 0.0


class RolloutState(Struct):
    """Engines of a pool and the version that they should load."""

    target: int
    servers: list[ServerView]


class WeightLoadOrder(Struct, frozen=True):
    """Order to an engine to load a version, with its reason."""

    endpoint: str
    version: int
    reason: str


@policy('rollout', 'waves')
class WaveRollout:
    """Load in waves that keep enough engines answering.

    Engines with a copy of the version in their data centre come first.
    """

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def plan(self, now: float, state: RolloutState) -> list[WeightLoadOrder]:
        """Return the orders that may be given now."""
        servers = state.servers
        loading = sum(1 for server in servers if server.swapping)
        max_orders = max_loading_engines(servers) - loading
        if max_orders <= 0:
            return []
        data_centres_with_copy = {
            s.data_centre for s in servers if s.version == state.target
        }
        waiting = [
            server
            for server in servers
            if server.version != state.target
            and not server.swapping
            and server.retry_at_s <= now
        ]
        waiting.sort(
            key=lambda s: (
                s.data_centre not in data_centres_with_copy,
                s.load,
                s.endpoint,
            )
        )
        return [
            WeightLoadOrder(
                server.endpoint,
                state.target,
                'copy in the data centre'
                if server.data_centre in data_centres_with_copy
                else 'copy in the weight store',
            )
            for server in waiting[:max_orders]
        ]


def max_loading_engines(servers: list[ServerView]) -> int:
    """Return how many engines may load at the same time, at least one."""
    count = len(servers)
    needed = math.ceil(sum(s.load for s in servers) * LOAD_HEADROOM)
    max_share = math.floor(count * MAX_LOADING_SHARE)
    return max(1, min(max_share, count - needed))
