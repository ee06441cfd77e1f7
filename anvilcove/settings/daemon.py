"""Settings of an entry daemon."""

from typing import Annotated, Literal

from msgspec import field

from anvilcove.messages.base import Message
from anvilcove.settings.memory import held_bound_bytes
from anvilcove.settings.meta import (
    description,
    milliseconds,
    quantity,
    required_text,
    share,
)

Level = Literal['TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR']
Variant = Annotated[str, required_text('Registered variant of the policy.')]


class AdapterSettings(Message):
    """Adapter and address of one external system."""

    address: Annotated[str, required_text('Address of the system, ip:port.')]
    kind: Annotated[str, required_text('Name of the registered adapter.')] = (
        'http_json'
    )
    timeout_ms: Annotated[int, milliseconds('Time limit of one call.')] = 1000
    key: Annotated[str, description('Key that the system requires.')] = ''


class PlatformSettings(Message):
    """Adapters of the platform's shared systems."""

    table: Annotated[
        AdapterSettings, description('Transactional table service.')
    ]
    objects: Annotated[AdapterSettings, description('Object store.')]
    weights: Annotated[AdapterSettings, description('Weight store.')]
    membership: Annotated[AdapterSettings, description('Membership list.')]
    engine_kind: Annotated[
        str, required_text('Registered adapter for engines.')
    ] = 'http_sse'
    service_kind: Annotated[
        str, required_text('Registered adapter for services.')
    ] = 'http_json'


class KeySettings(Message):
    """Shared keys that authenticate peers and operators."""

    peer: Annotated[str, required_text('Key of calls between daemons.')]
    operator: Annotated[str, required_text('Key of the operator routes.')]


class TlsSettings(Message):
    """PEM files of the listener; without a certificate, TLS is off."""

    certificate_file: Annotated[
        str, description('Certificate chain, PEM.')
    ] = ''
    key_file: Annotated[str, description('Private key, PEM.')] = ''
    authority_file: Annotated[
        str,
        description('Authority that signed the certificates of peers, PEM.'),
    ] = ''


class LimitSettings(Message):
    """Limits of every listener."""

    body_bytes: Annotated[
        int, quantity('Maximum size of a body.', 'bytes')
    ] = 1_048_576
    header_bytes: Annotated[
        int,
        quantity(
            'Maximum size of header field and request line.', 'bytes', 1_024
        ),
    ] = 16_384
    header_timeout_ms: Annotated[
        int, milliseconds('Time in which the headers must arrive.')
    ] = 5_000
    body_timeout_ms: Annotated[
        int, milliseconds('Time in which the body must arrive.')
    ] = 5_000
    connections: Annotated[
        int, quantity('Maximum number of open connections.', 'count')
    ] = 2_000
    head_bytes: Annotated[
        int,
        quantity('Maximum size of the head of a request.', 'bytes', 1_024),
    ] = 131_072
    memory_mb: Annotated[
        int,
        quantity(
            'Memory of the host; 0 if it is not known. A quarter of it, or '
            '64 MB, may be held for callers and peers.',
            'MB',
            0,
        ),
    ] = 0

    def held_bound_bytes(self) -> int:
        """Return the bytes that may be held for callers and peers."""
        return held_bound_bytes(self.memory_mb)

    def max_client_connections(self) -> int:
        """Return 0, as the listener refuses those above its limit."""
        return 0

    def max_head_bytes(self) -> int:
        """Return the largest size of the head of a request."""
        return self.head_bytes


class TimingSettings(Message):
    """Periods and time limits of the control loops."""

    gossip_period_ms: Annotated[
        int, milliseconds('Time between rounds of gossip.')
    ] = 1_000
    gossip_fanout: Annotated[
        int, quantity('Peers contacted in each round of gossip.', 'count')
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
            'Time after which a daemon whose configuration and membership '
            'list are not confirmed again accepts no new work.'
        ),
    ] = 3_000
    lease_ms: Annotated[int, milliseconds('Duration of a lease.')] = 3_000
    entry_ttl_ms: Annotated[
        int, milliseconds('Time for which callers may use an entry list.')
    ] = 10_000
    finished_answer_ms: Annotated[
        int, milliseconds('Time for which a finished answer is kept.')
    ] = 10_000
    claim_window_ms: Annotated[
        int,
        milliseconds('Time for which claims are batched into a transaction.'),
    ] = 5
    report_period_ms: Annotated[
        int, milliseconds('Time between polls of load reports.')
    ] = 500
    drain_limit_ms: Annotated[
        int,
        milliseconds('Time in which work in flight may finish at shutdown.'),
    ] = 60_000


class LogSettings(Message):
    """Level and format of the log, and the share of routing lines."""

    level: Annotated[Level, description('Lowest level that is logged.')] = (
        'INFO'
    )
    format: Annotated[
        Literal['auto', 'json', 'text'],
        description(
            'Format of a line; auto is text on a terminal, json otherwise.'
        ),
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

    host: Annotated[
        str,
        required_text('Short name of the host, as in the membership list.'),
    ]
    data_centre: Annotated[
        str, required_text('Data centre or zone of the host.')
    ]
    listen_address: Annotated[
        str, required_text('Address of the listener, ip:port.')
    ]
    platform: Annotated[
        PlatformSettings, description('Shared systems of the platform.')
    ]
    keys: Annotated[KeySettings, description('Shared keys.')]
    advertise_address: Annotated[
        str, description('Address that callers and peers use, if it differs.')
    ] = ''
    outgoing_ip: Annotated[
        str, description('Local address of outgoing connections.')
    ] = ''
    seed: Annotated[
        int,
        quantity(
            'Seed of random choices; 0 picks a random seed.', 'number', 0
        ),
    ] = 0
    recorder_file: Annotated[
        str, description('File to which a trace is recorded; empty for none.')
    ] = ''
    tls: TlsSettings = field(default_factory=TlsSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    log: LogSettings = field(default_factory=LogSettings)
    policies: PolicySettings = field(default_factory=PolicySettings)
