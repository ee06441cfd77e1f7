"""Settings of a daemon that runs on the users' platform."""

from typing import Annotated

from msgspec import Struct, field

from anvilcove.settings.clock import ClockSettings
from anvilcove.settings.memory import (
    DEFAULT_HELD_MB,
    DEFAULT_MEMORY_MB,
    HELD_SHARE,
    JOB_SHARE,
    RESERVED_SHARE,
    held_bound_bytes,
    job_bound_bytes,
    room_bytes,
)
from anvilcove.settings.meta import description, quantity, share

# Duties: reports of the usage of workspaces, and the sizes of services.
USAGE = 'usage'
SIZES = 'sizes'
# Memory that a host may hold for answers that are not whole yet: the share of
# its memory, the size where that is unknown, and the least size, in which two
# of the largest objects of the store fit.
ANSWER_SHARE = 0.125
DEFAULT_ANSWER_MB = 64
MIN_ANSWER_MB = 16
# Descriptors that are not for sockets, and the share of the others that
# connections of callers and peers may take. A listener accepts some at once.
FILE_DESCRIPTORS = 200
CONNECTION_SHARE = 0.75
ACCEPTED_AT_ONCE = 32
DEFAULT_HEAD_KB = 64


class NodeListeners(Struct):
    """Addresses that the daemon listens on, ip:port each."""

    callers: str
    ready: str
    lookup: str
    peers: str


class NodeBounds(Struct):
    """Time limits that the platform guarantees to its users."""

    grace_s: float = 8.0
    lease_s: float = 3.0
    drain_s: float = 2.0
    lookup_ttl_s: float = 5.0
    cancel_s: float = 3.0
    # A batch job can be read for this time after its submission.
    status_s: float = 120.0
    # Length of the windows whose requests are reported, the time after their
    # end at which the report is due, and its tolerance.
    report_window_s: Annotated[
        float, quantity('length of the windows of usage reports', 's', 0)
    ] = 5.0
    usage_late_s: Annotated[
        float, quantity('time for a report after its window', 's', 0)
    ] = 10.0
    usage_tolerance: Annotated[
        float, share('tolerance of the reported counts')
    ] = 0.05
    # Calls of a resumed process are no violation for this time.
    thaw_s: Annotated[
        float, quantity('grace for calls of a resumed process', 's', 0)
    ] = 0.3
    # Whether every receiver checks fencing tokens.
    fencing_required: Annotated[
        bool, description('every receiver checks fencing tokens')
    ] = False


class DutySettings(Struct):
    """Interface of the platform to which one daemon at a time calls.

    An empty `address` turns all duties off. `rate_per_s` and `duty_per_s` are
    the calls that the interface takes, in total and from all daemons.
    """

    address: Annotated[
        str, description('ip:port of the interface, empty: no duties')
    ] = ''
    rate_per_s: Annotated[
        float, quantity('calls that the interface takes', '1/s', 0)
    ] = 50.0
    duty_per_s: Annotated[
        float, quantity('calls that all daemons may make', '1/s', 0)
    ] = 50.0
    # Names of the duties, of USAGE and SIZES.
    duties: list[Annotated[str, description('duty: usage or sizes')]] = field(
        default_factory=list
    )

    def has(self, name: str) -> bool:
        """Tell whether a duty is asked for."""
        return bool(self.address) and name in self.duties


class StoreSettings(Struct):
    """Address and limits of the platform's store."""

    address: str
    row_bytes: int = 65_536
    cross_part: bool = False
    object_bytes: int = 8_388_608
    # Reads that all daemons together may make.
    reads_per_s: float = 1000.0


class HostLimits(Struct, frozen=True):
    """What the platform lets the daemon's host use, 0 for no limit.

    `cpu_fraction` is the share of `cpu_cores` cores.
    """

    cpu_fraction: Annotated[
        float, share('part of the cores that the host may use, 0: all')
    ] = 0.0
    cpu_cores: Annotated[
        float, quantity('cores of the host, 0: not known', 'cores', 0)
    ] = 0.0
    link_mbps: Annotated[
        float, quantity('speed of the link, 0: not known', 'Mbit/s', 0)
    ] = 0.0
    held_mb: Annotated[
        float,
        quantity(
            'memory that may be held for callers and peers: heads, bodies '
            f'and answers, 0: {HELD_SHARE:g} of memory-mb, {DEFAULT_HELD_MB} '
            'where that is not known',
            'MB',
            0,
        ),
    ] = 0.0
    jobs_mb: Annotated[
        float,
        quantity(
            f'memory that batch jobs may take, 0: {JOB_SHARE:g} of memory-mb, '
            f'of {DEFAULT_MEMORY_MB} MB where that is not known',
            'MB',
            0,
        ),
    ] = 0.0
    max_connections: Annotated[
        float,
        quantity(
            f'connections of callers and peers, 0: {CONNECTION_SHARE:g} of '
            'the descriptors for sockets, no limit where these are not known',
            'connections',
            0,
        ),
    ] = 0.0
    max_descriptors: Annotated[
        float, quantity('descriptors of the process, 0: not known', '', 0)
    ] = 0.0
    max_head_kb: Annotated[
        float,
        quantity(f'largest head of a request, 0: {DEFAULT_HEAD_KB}', 'KB', 0),
    ] = 0.0

    @property
    def capacity(self) -> float:
        """Return the cores that the host may use, 0.0 if not limited."""
        if not self.cpu_fraction and not self.cpu_cores:
            return 0.0
        return (self.cpu_fraction or 1.0) * (self.cpu_cores or 1.0)


class NodeSettings(Struct):
    """All settings of one daemon on the users' platform."""

    host: str
    data_centre: str
    region: str
    ip: str
    listeners: NodeListeners
    store: StoreSettings
    bounds: NodeBounds
    # Addresses of other daemons to contact first; some may be out of date.
    seed_ips: list[str] = field(default_factory=list)
    peer_port: int = 0
    memory_mb: int = 0
    # Port of the metrics; the second of the internal ports.
    metrics_port: int = 0
    clock: ClockSettings = ClockSettings()
    # Address that connections to endpoints come from, '' if the system chooses
    # it.
    source_ip: str = ''
    # Whether the configuration of the deployment has workspaces, so that no
    # call can be judged before it is known.
    has_workspaces: bool = False
    duty_calls: DutySettings = field(default_factory=DutySettings)
    limits: HostLimits = HostLimits()
    # Whether decisions use loads that name a slowness. Off, as steps were lost
    # with them on engines of three speeds (KNOWN-RED.txt).
    use_slowness: bool = False
    # One of LOOKUP_POLICIES.
    lookups: str = 'naive'

    def answer_bound_bytes(self) -> int:
        """Return the bytes that may be held for answers that arrive."""
        answer_mb = self.memory_mb * ANSWER_SHARE or DEFAULT_ANSWER_MB
        return int(max(answer_mb, MIN_ANSWER_MB) * (1 << 20))

    def max_client_connections(self) -> int:
        """Return the connections of callers and peers, 0 for no limit."""
        if self.limits.max_connections:
            return int(self.limits.max_connections)
        descriptors = int(self.limits.max_descriptors)
        if not descriptors:
            return 0
        sockets = max(descriptors - FILE_DESCRIPTORS, descriptors // 2)
        return max(int(sockets * CONNECTION_SHARE) - ACCEPTED_AT_ONCE, 1)

    def max_head_bytes(self) -> int:
        """Return the largest size of the head of a request."""
        return int((self.limits.max_head_kb or DEFAULT_HEAD_KB) * 1024)

    def held_bound_bytes(self) -> int:
        """Return the bytes that may be held for callers and peers."""
        return held_bound_bytes(self.memory_mb, self.limits.held_mb)

    def body_bound_bytes(self) -> int:
        """Return the bytes of them that large bodies may take."""
        return int(self.held_bound_bytes() * RESERVED_SHARE)

    def job_bound_bytes(self) -> int:
        """Return the bytes that the batch jobs of the host may take."""
        return job_bound_bytes(self.memory_mb, self.limits.jobs_mb)

    def room_bytes(self) -> int:
        """Return the bytes that large bodies and jobs take together."""
        return room_bytes(
            self.memory_mb,
            self.job_bound_bytes(),
            self.body_bound_bytes(),
            self.answer_bound_bytes(),
        )


# Policies of the answers to lookups: all hosts, or weak ones less often.
LOOKUP_POLICIES = ('naive', 'capacity')
# Settings that a reload changes without a restart of the process.
RELOADABLE = ('bounds', 'seed_ips', 'memory_mb', 'limits')


def adopt_changes(
    current: NodeSettings, new: NodeSettings
) -> tuple[list[str], list[str]]:
    """Apply the changed settings that need no restart to `current`.

    Return the names of the settings that were applied and of those that need
    a restart.
    """
    applied, after_restart = [], []
    for name in NodeSettings.__struct_fields__:
        if getattr(current, name) == getattr(new, name):
            continue
        if name not in RELOADABLE:
            after_restart.append(name)
            continue
        applied.append(name)
        if name != 'bounds':
            setattr(current, name, getattr(new, name))
            continue
        # Updated in place, because other objects of the daemon hold a
        # reference to it.
        for bound in NodeBounds.__struct_fields__:
            setattr(current.bounds, bound, getattr(new.bounds, bound))
    return applied, after_restart
