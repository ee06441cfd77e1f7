"""Rows that each daemon writes about itself."""

from msgspec import UNSET, Struct, UnsetType, field
from xxhash import xxh32_intdigest

from anvilcove.messages.peers import SuspectDigest
from anvilcove.ports.store import RowId

NODES_TABLE = 'nodes'
HEARTBEATS_TABLE = 'heartbeats'
# The store limits the rate of writes to each partition.
HEARTBEAT_PARTITIONS = [f'h{number}' for number in range(8)]
# Heartbeats for which a daemon counts as recently restarted.
RECENT_HEARTBEATS = 300


class NodeRow(Struct):
    """Announcement of a daemon, written at changes.

    `nonce` identifies the process, `beat` counts its heartbeats up to the
    write; `callers` and `peers` are addresses that it listens on.
    """

    host: str
    nonce: str
    data_centre: str
    region: str
    callers: str
    peers: str
    beat: int
    leaving: bool
    # Whether the daemon holds the lease for orders to engines.
    orders: bool
    # Version of its desired state, and how long ago it last read the table.
    desired_state: int = 0
    desired_state_age_s: float = 0.0
    # Whether the process before this one on the host had left as planned.
    planned_restart: bool = False
    # Crashes of endpoints by content, of all daemons as far as known here.
    suspects: list[SuspectDigest] = field(default_factory=list)
    # Nonces of the daemons whose heartbeats have stopped, by host. The holder
    # of the orders lease keeps it up to date.
    lost_by_host: dict[str, str] = field(default_factory=dict)
    # Whether the daemon is cut from all endpoints.
    cut: bool = False
    # Time of day minus the store's clock, in ms. This field and the next are
    # left out of the row in deployments without duties.
    wall_offset_ms: float | UnsetType = UNSET
    # Duties whose calls fail at the daemon.
    unable: list[str] | UnsetType = UNSET
    # Cores that the host may use. Rows of hosts without limits have no such
    # field, as those of older builds.
    capacity: float | UnsetType = UNSET
    # Bytes that the batch jobs of the daemon may take.
    job_memory: int | UnsetType = UNSET

    @property
    def knows_duties(self) -> bool:
        """Tell whether the daemon has a build and settings for duties."""
        return not isinstance(self.unable, UnsetType)

    def unable_duties(self) -> list[str]:
        """Return the names of the duties whose calls fail there."""
        return [] if isinstance(self.unable, UnsetType) else self.unable

    @property
    def recently_restarted(self) -> bool:
        """Tell whether the daemon was stopped and started a while ago."""
        return self.planned_restart and self.beat <= RECENT_HEARTBEATS


class Heartbeat(Struct, array_like=True, frozen=True):
    """Sign of life of the process `nonce`."""

    nonce: str
    number: int


def node_row_id(host: str) -> RowId:
    """Return the id of the announcement of a daemon."""
    return RowId(NODES_TABLE, '', host)


def heartbeat_row_id(host: str) -> RowId:
    """Return the id of the heartbeat row of a daemon."""
    number = xxh32_intdigest(host.encode()) % len(HEARTBEAT_PARTITIONS)
    return RowId(HEARTBEATS_TABLE, HEARTBEAT_PARTITIONS[number], host)
