"""Order in which the engines of a pool load a new version."""

import math

from msgspec import Struct

from anvilcove.decisions.registry import policy
from anvilcove.settings.daemon import HostSettings

# Share of a pool that may swap at once. Two transfers keep the weight store
# busy while one engine switches, so more would not end sooner.
MAX_SWAPPING_SHARE = 0.34
# Room above the present load that the answering engines keep.
LOAD_MARGIN = 1.2


class ServerView(Struct):
    """What is known of one engine; `load` is the used share of its room."""

    endpoint: str
    data_centre: str
    version: int
    swapping: bool
    load: float
    retry_at_s: float = 0.0


class RolloutState(Struct):
    """Engines of a pool and the version that they should run."""

    target: int
    servers: list[ServerView]


class SwapOrder(Struct, frozen=True):
    """Order an engine to load a version."""

    endpoint: str
    version: int
    reason: str


@policy('rollout', 'waves')
class Waves:
    """Keep enough engines answering; go where a copy is near first."""

    __slots__ = ()

    def __init__(self, settings: HostSettings) -> None:
        """Take no settings."""

    def plan(self, now: float, state: RolloutState) -> list[SwapOrder]:
        """Return the orders that may be given now."""
        servers = state.servers
        swapping = sum(1 for server in servers if server.swapping)
        room = swapping_limit(servers) - swapping
        if room <= 0:
            return []
        near = {s.data_centre for s in servers if s.version == state.target}
        waiting = [
            server
            for server in servers
            if server.version != state.target
            and not server.swapping
            and server.retry_at_s <= now
        ]
        waiting.sort(
            key=lambda s: (s.data_centre not in near, s.load, s.endpoint)
        )
        return [
            SwapOrder(
                server.endpoint,
                state.target,
                'copy in the data centre'
                if server.data_centre in near
                else 'copy in the weight store',
            )
            for server in waiting[:room]
        ]


def swapping_limit(servers: list[ServerView]) -> int:
    """Return how many engines may swap at once, at least one."""
    count = len(servers)
    needed = math.ceil(sum(s.load for s in servers) * LOAD_MARGIN)
    share = math.floor(count * MAX_SWAPPING_SHARE)
    return max(1, min(share, count - needed))
