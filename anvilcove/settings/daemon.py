"""Settings of an entry daemon."""

from typing import Annotated, Literal, Protocol

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.settings.meta import amount, milliseconds, name, share, text

Level = Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR']
Variant = Annotated[str, name('Registered variant of the policy.')]


class HostSettings(Protocol):
    """What decision policies need of the settings of a daemon."""

    @property
    def host(self) -> str:
        """Return the name of the host."""

    @property
    def data_centre(self) -> str:
        """Return the data centre of the host."""


class AdapterSettings(Message):
    """Adapter of one outside system and the address that it talks to."""

    address: Annotated[str, name('Address of the system, ip:port.')]
    kind: Annotated[str, name('Registered adapter.')] = 'http_json'
    timeout_ms: Annotated[int, milliseconds('Time limit of one call.')] = 1000
    key: Annotated[str, text('Key that the system asks for.')] = ''


class PlatformSettings(Message):
    """Adapters of the platform's shared systems."""

    table: Annotated[AdapterSettings, text('Transactional table service.')]
    objects: Annotated[AdapterSettings, text('Object store.')]
    weights: Annotated[AdapterSettings, text('Weight store.')]
    membership: Annotated[AdapterSettings, text('Membership list.')]
    engine_kind: Annotated[str, name('Adapter of the engines.')] = 'http_sse'
    service_kind: Annotated[str, name('Adapter of the services.')] = (
        'http_json'
    )


class KeySettings(Message):
    """Shared keys that authenticate peers and operators."""

    peer: Annotated[str, name('Key of calls between daemons.')]
    operator: Annotated[str, name('Key of the operator routes.')]


class TlsSettings(Message):
    """PEM files of the listener; empty means plain TCP."""

    certificate_file: Annotated[str, text('Certificate chain, PEM.')] = ''
    key_file: Annotated[str, text('Private key, PEM.')] = ''
    authority_file: Annotated[
        str, text('Authority that signed the certificates of peers, PEM.')
    ] = ''


class LimitSettings(Message):
    """Limits of every listener."""

    body_bytes: Annotated[int, amount('Largest body.', 'bytes')] = 1_048_576
    header_bytes: Annotated[
        int, amount('Longest header field and request line.', 'bytes', 1_024)
    ] = 16_384
    header_timeout_ms: Annotated[
        int, milliseconds('Time in which the headers must arrive.')
    ] = 5_000
    body_timeout_ms: Annotated[
        int, milliseconds('Time in which the body must arrive.')
    ] = 5_000
    connections: Annotated[int, amount('Open connections.', 'count')] = 2_000


class TimingSettings(Message):
    """Periods and time limits of the control loops."""

    gossip_period_ms: Annotated[
        int, milliseconds('Time between rounds of gossip.')
    ] = 1_000
    gossip_fanout: Annotated[
        int, amount('Peers that a round exchanges digests with.', 'count')
    ] = 2
    membership_period_ms: Annotated[
        int, milliseconds('Time between reads of the membership list.')
    ] = 1_000
    config_period_ms: Annotated[
        int, milliseconds('Time between reads of the configuration row.')
    ] = 1_000
    confirm_window_ms: Annotated[
        int,
        milliseconds(
            'Time after which a daemon without contact takes no new work.'
        ),
    ] = 3_000
    lease_ms: Annotated[int, milliseconds('Duration of a lease.')] = 3_000
    entry_ttl_ms: Annotated[
        int, milliseconds('Time that callers may use an entry list.')
    ] = 10_000
    finished_answer_ms: Annotated[
        int, milliseconds('Time that a finished answer is kept.')
    ] = 10_000
    claim_window_ms: Annotated[
        int, milliseconds('Time that claims wait for a common transaction.')
    ] = 5
    report_period_ms: Annotated[
        int, milliseconds('Time between polls of load reports.')
    ] = 500
    drain_limit_ms: Annotated[
        int, milliseconds('Time for work in flight at shutdown.')
    ] = 60_000


class LogSettings(Message):
    """Format and level of the log; sample is the share of routing lines."""

    level: Annotated[Level, text('Lowest level that is logged.')] = 'INFO'
    format: Annotated[
        Literal['auto', 'json', 'text'],
        text('Form of a line; auto is text on a terminal, json otherwise.'),
    ] = 'auto'
    routing_sample: Annotated[
        float, share('Share of requests whose routing is logged.')
    ] = 1.0


class PolicySettings(Message):
    """Registered variant of each decision policy."""

    admission: Variant = 'deadline'
    limits: Variant = 'gradient'
    routing: Variant = 'least_expected_wait'
    ejection: Variant = 'outlier'
    retry: Variant = 'budget'
    hedging: Variant = 'percentile'
    quarantine: Variant = 'content'
    groups: Variant = 'longest_first'
    staleness: Variant = 'bounded'
    rollout: Variant = 'waves'
    placement: Variant = 'demand'
    entries: Variant = 'rendezvous'


class DaemonSettings(Message):
    """All settings of one entry daemon."""

    host: Annotated[str, name('Short name of the host, as it is listed.')]
    data_centre: Annotated[str, name('Data centre or zone of the host.')]
    listen_address: Annotated[str, name('Address of the listener, ip:port.')]
    platform: Annotated[PlatformSettings, text('Outside systems.')]
    keys: Annotated[KeySettings, text('Shared keys.')]
    advertise_address: Annotated[
        str, text('Address that others connect to, if it differs.')
    ] = ''
    outgoing_ip: Annotated[
        str, text('Local address of outgoing connections.')
    ] = ''
    seed: Annotated[
        int, amount('Seed of random choices; 0 draws one.', 'number', 0)
    ] = 0
    recorder_file: Annotated[
        str, text('File that records a trace for replay; empty for none.')
    ] = ''
    tls: TlsSettings = field(default_factory=TlsSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    log: LogSettings = field(default_factory=LogSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)
