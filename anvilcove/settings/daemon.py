"""Settings of an entry daemon."""

from msgspec import field

from anvilcove.messages.base import Message


class AdapterSettings(Message):
    """Adapter of one outside system and the address that it talks to."""

    address: str
    kind: str = 'http_json'
    timeout_ms: int = 1000
    key: str = ''


class PlatformSettings(Message):
    """Adapters of the platform's shared systems."""

    table: AdapterSettings
    objects: AdapterSettings
    weights: AdapterSettings
    membership: AdapterSettings
    engine_kind: str = 'http_sse'
    service_kind: str = 'http_json'


class KeySettings(Message):
    """Shared keys that authenticate peers and operators."""

    peer: str
    operator: str


class TlsSettings(Message):
    """PEM files of the listener; empty means plain TCP."""

    certificate_file: str = ''
    key_file: str = ''


class LimitSettings(Message):
    """Limits of every listener."""

    body_bytes: int = 1_048_576
    header_bytes: int = 16_384
    body_timeout_ms: int = 5_000
    connections: int = 2_000


class TimingSettings(Message):
    """Periods and time limits of the control loops."""

    gossip_period_ms: int = 1_000
    gossip_fanout: int = 2
    membership_period_ms: int = 500
    config_period_ms: int = 1_000
    confirm_window_ms: int = 3_000
    lease_ms: int = 3_000
    entry_ttl_ms: int = 10_000
    finished_answer_ms: int = 10_000
    claim_window_ms: int = 5
    report_period_ms: int = 500
    drain_limit_ms: int = 60_000


class LogSettings(Message):
    """Format and level of the log; sample is the share of routing lines."""

    level: str = 'INFO'
    format: str = 'json'
    routing_sample: float = 1.0


class PolicySettings(Message):
    """Registered variant of each decision policy."""

    admission: str = 'naive'
    limits: str = 'naive'
    routing: str = 'naive'
    ejection: str = 'naive'
    retry: str = 'naive'
    hedging: str = 'naive'
    quarantine: str = 'naive'
    groups: str = 'longest_first'
    staleness: str = 'bounded'
    rollout: str = 'waves'
    placement: str = 'naive'
    entries: str = 'naive'


class DaemonSettings(Message):
    """All settings of one entry daemon."""

    host: str
    data_centre: str
    listen_address: str
    platform: PlatformSettings
    keys: KeySettings
    advertise_address: str = ''
    outgoing_ip: str = ''
    seed: int = 0
    recorder_file: str = ''
    tls: TlsSettings = field(default_factory=TlsSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    log: LogSettings = field(default_factory=LogSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)
