"""Settings of a daemon that runs on the users' platform."""

from msgspec import Struct, field


class NodeListeners(Struct):
    """Addresses that the daemon listens on, ip:port each."""

    callers: str
    ready: str
    lookup: str
    peers: str


class NodeBounds(Struct):
    """Bounds that the platform's operators promise to their users."""

    grace_s: float = 8.0
    lease_s: float = 3.0
    drain_s: float = 2.0
    lookup_ttl_s: float = 5.0
    cancel_s: float = 3.0
    # Time after the submission of a batch job for which it can be read.
    status_s: float = 120.0


class StoreSettings(Struct):
    """The platform's store and its limits."""

    address: str
    row_bytes: int = 65_536
    cross_part: bool = False
    object_bytes: int = 8_388_608


class NodeSettings(Struct):
    """All settings of one daemon on the users' platform."""

    host: str
    data_centre: str
    region: str
    ip: str
    listeners: NodeListeners
    store: StoreSettings
    bounds: NodeBounds
    # Addresses at which other daemons may answer; stale ones included.
    seed_ips: list[str] = field(default_factory=list)
    peer_port: int = 0
    memory_mb: int = 0
    # Port of the metrics, next to that of the peers.
    metrics_port: int = 0


# Settings whose new values hold without a restart of the process.
RELOADED = ('bounds', 'seed_ips', 'memory_mb')


def adopt_changes(
    current: NodeSettings, new: NodeSettings
) -> tuple[list[str], list[str]]:
    """Take over new values; return the names that hold and that can't."""
    adopted, left = [], []
    for name in NodeSettings.__struct_fields__:
        if getattr(current, name) == getattr(new, name):
            continue
        if name not in RELOADED:
            left.append(name)
            continue
        adopted.append(name)
        if name != 'bounds':
            setattr(current, name, getattr(new, name))
            continue
        # The parts of the daemon share this object.
        for bound in NodeBounds.__struct_fields__:
            setattr(current.bounds, bound, getattr(new.bounds, bound))
    return adopted, left
