"""Decode the settings file that the platform writes."""

import os
import tomllib
from math import isfinite
from pathlib import Path
from typing import Any

from loguru import logger

from anvilcove.settings.clock import ClockSettings
from anvilcove.settings.errors import SettingsError
from anvilcove.settings.node import (
    LOOKUP_POLICIES,
    SIZES,
    USAGE,
    DutySettings,
    HostLimits,
    NodeBounds,
    NodeListeners,
    NodeSettings,
    StoreSettings,
)

PATH_VARIABLE = 'ANVILCOVE_BOOT'
# Entry of `contracts` of deployments whose configuration has workspaces.
WORKSPACES_CONTRACT = 'tenants'
DUTY_BY_NAME = {'metering': USAGE, 'scaling': SIZES}


def settings_path() -> Path:
    """Return the path of the settings file of this process."""
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise SettingsError([f'{PATH_VARIABLE} is not set'])
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read the settings file, or raise SettingsError."""
    try:
        data = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError([f'{path}: {error}']) from error
    try:
        return _to_settings(data)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise SettingsError([f'{path}: {error!r}']) from error


def _to_settings(data: dict[str, Any]) -> NodeSettings:
    listen = data['listen']
    # The first internal port is that of the peers, the second that of metrics.
    internal_ports = [int(port) for port in data.get('internal-ports', [])]
    return NodeSettings(
        host=str(data['node-name']),
        data_centre=str(data['zone']),
        region=str(data.get('region', '')),
        ip=str(data['ip']),
        listeners=NodeListeners(
            callers=str(listen['frontend']),
            ready=str(listen['ready']),
            # `registry` is the address at which callers look up daemons.
            lookup=str(listen['registry']),
            peers=f'{data["ip"]}:{internal_ports[0]}',
        ),
        store=_store_settings(data['platform']),
        bounds=_node_bounds(data.get('bounds', {})),
        seed_ips=[
            str(seed).rpartition(':')[0] for seed in data.get('seed-nodes', [])
        ],
        peer_port=internal_ports[0],
        memory_mb=int(data.get('limits', {}).get('memory-mb', 0)),
        metrics_port=internal_ports[1],
        # The platform has neither this table nor `source-ip`, `use-slowness`
        # and `lookups`; operators, the soak and trials write them.
        clock=ClockSettings(float(data.get('clock', {}).get('offset-s', 0))),
        source_ip=str(data.get('source-ip', '')),
        use_slowness=data.get('use-slowness') is True,
        lookups=_lookups_policy(data.get('lookups', 'naive')),
        has_workspaces=WORKSPACES_CONTRACT in data.get('contracts', []),
        duty_calls=_duty_settings(data.get('cloud-api', {})),
        limits=_host_limits(data.get('limits', {})),
    )


def _lookups_policy(name: object) -> str:
    """Return the policy of lookups; an unknown one counts as `naive`."""
    if name in LOOKUP_POLICIES:
        return str(name)
    logger.bind(lookups=str(name)).warning('unknown policy of lookups')
    return 'naive'


def _duty_settings(table: dict[str, Any]) -> DutySettings:
    defaults = DutySettings()
    duties = [
        DUTY_BY_NAME[name]
        for name in table.get('duties', [])
        if name in DUTY_BY_NAME
    ]
    return DutySettings(
        address=str(table.get('address', '')),
        rate_per_s=float(table.get('rate-per-s', defaults.rate_per_s)),
        duty_per_s=float(table.get('duty-per-s', defaults.duty_per_s)),
        duties=list(dict.fromkeys(duties)),
    )


def _host_limits(limits: dict[str, Any]) -> HostLimits:
    """Return the limits of the host; malformed ones count as absent."""
    return HostLimits(
        cpu_fraction=_limit(limits, 'cpu-fraction'),
        cpu_cores=_limit(limits, 'cpu-cores'),
        link_mbps=_limit(limits, 'link-mbps'),
        held_mb=_limit(limits, 'held-mb'),
        jobs_mb=_limit(limits, 'jobs-mb'),
        max_connections=_limit(limits, 'max-connections'),
        max_descriptors=_limit(limits, 'max-fds'),
        max_head_kb=_limit(limits, 'max-head-kb'),
    )


def _limit(limits: dict[str, Any], name: str) -> float:
    value = limits.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if isfinite(value) and value > 0 else 0.0


def _store_settings(platform: dict[str, Any]) -> StoreSettings:
    defaults = StoreSettings('')
    return StoreSettings(
        address=str(platform['address']),
        row_bytes=int(platform.get('row-bytes', defaults.row_bytes)),
        cross_part=bool(platform.get('cross-shard', defaults.cross_part)),
        object_bytes=int(platform.get('blob-bytes', defaults.object_bytes)),
        reads_per_s=float(platform.get('reads-per-s', defaults.reads_per_s)),
    )


def _node_bounds(bounds: dict[str, Any]) -> NodeBounds:
    defaults = NodeBounds()
    return NodeBounds(
        grace_s=float(bounds.get('grace-s', defaults.grace_s)),
        lease_s=float(bounds.get('lease-ms', defaults.lease_s * 1000)) / 1000,
        drain_s=float(bounds.get('drain-ms', defaults.drain_s * 1000)) / 1000,
        lookup_ttl_s=float(bounds.get('ttl_max_s', defaults.lookup_ttl_s)),
        cancel_s=float(bounds.get('cancel-ms', defaults.cancel_s * 1000))
        / 1000,
        status_s=float(bounds.get('status-s', defaults.status_s)),
        report_window_s=float(
            bounds.get('report-window-s', defaults.report_window_s)
        ),
        usage_late_s=float(bounds.get('usage-late-s', defaults.usage_late_s)),
        usage_tolerance=float(
            bounds.get('usage-tolerance', defaults.usage_tolerance)
        ),
        thaw_s=float(bounds.get('thaw-ms', defaults.thaw_s * 1000)) / 1000,
        fencing_required=bool(
            bounds.get('fencing-required', defaults.fencing_required)
        ),
    )
