"""Decode the rows that the operator, the trainers and the endpoints write."""

from ipaddress import AddressValueError, IPv4Address
from typing import Any

from loguru import logger

from anvilcove.control.desired import (
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    JOB,
    SAFE,
    STREAM,
    UNSAFE,
    CallerLimits,
    DesiredState,
    EngineDeclaration,
    JobSettings,
    Route,
    Service,
    Target,
)
from anvilcove.control.endpoints import EndpointEntry
from anvilcove.messages.addresses import parse_address
from anvilcove.platform.bodies import decode_object, malformed_as
from anvilcove.platform.scaling import decode_size_bounds
from anvilcove.ports.store import StoredRow
from anvilcove.state.workspaces import (
    Workspace,
    WorkspaceDirectory,
    WorkspaceKeys,
    key_digest,
)

OPERATOR_TABLE = 'op'
ENDPOINT_TABLE = 'servers'
CONFIG_KEY = 'config'
VERSION_PREFIX = 'version/'

KIND_BY_TYPE = {
    'safe': SAFE,
    'unsafe': UNSAFE,
    'streaming': STREAM,
    'rollout': JOB,
}
# Values of `state`; rows with another value are skipped.
READY_STATE = 'ready'
DRAINING_STATE = 'draining'

# Integers beyond these are malformed.
MAX_INTEGER = 2**53
MAX_SLOTS = 1_000_000
# Longer times until an endpoint leaves, and those that are no numbers, are
# invalid.
MAX_LEAVES_MS = 3_600_000

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_OBJECTIVE_MS = 1_000
DEFAULT_PRIORITY = 5
DEFAULT_RESULT_OBJECTIVE_MS = 7_500
DEFAULT_ITEM_LIFETIME_S = 40


class RowError(Exception):
    """Raised for a row whose value is malformed."""


def decode_desired_state(value: bytes) -> DesiredState:
    """Decode a desired state of the operator, or raise RowError."""
    with malformed_as(RowError, 'desired state'):
        data = decode_object(value)
        return DesiredState(
            version=int(data['version']),
            routes=tuple(
                _decode_route(route) for route in data.get('routes', [])
            ),
            services_by_name={
                str(service['name']): _decode_service(service)
                for service in data.get('services', [])
            },
            limits=_decode_limits(data.get('limits', {})),
            workspaces=_decode_workspaces(data.get('tenants')),
        )


def decode_named_version(value: bytes) -> tuple[str, int]:
    """Decode a model and the version that its trainer selected for use."""
    with malformed_as(RowError, 'named version'):
        data = decode_object(value)
        version = _bounded_integer(data, 'version')
        return _required_string(data, 'model'), version


def decode_endpoint(row: StoredRow) -> EndpointEntry | None:
    """Decode the row of an endpoint; None if it is deleted or invalid."""
    if row.value is None:
        return None
    try:
        with malformed_as(RowError, 'entry'):
            return _decode_entry(row.id.key, decode_object(row.value))
    except RowError as error:
        logger.bind(row=row.id.key, reason=str(error)).warning(
            'endpoint entry skipped'
        )
        return None


def _decode_entry(key: str, data: dict[str, Any]) -> EndpointEntry:
    state = data.get('state')
    if state not in (READY_STATE, DRAINING_STATE):
        raise RowError('state is unknown')
    # `sequence` is not read: here it counts announcements, whereas in reports
    # it counts orders.
    return EndpointEntry(
        instance=key,
        # The start time of the endpoint in milliseconds.
        started_ms=_bounded_integer(data, 'born', 0),
        service=_required_string(data, 'service'),
        address=_checked_address(_required_string(data, 'address')),
        data_centre=_required_string(data, 'zone'),
        draining=state == DRAINING_STATE or data.get('draining') is True,
        slots=max(_bounded_integer(data, 'batch-size', 1, MAX_SLOTS), 1),
        version_by_model=decode_models(data.get('models', [])),
        software=_decode_software(data.get('version')),
        reclaimable=data.get('preemptible') is True,
        leaves_s=_decode_leaves_s(data.get('leaves_ms')),
    )


def _decode_leaves_s(leaves_ms: Any) -> float | None:
    """Return the announced time until an endpoint leaves, None if invalid."""
    if not isinstance(leaves_ms, int | float) or isinstance(leaves_ms, bool):
        return None
    return leaves_ms / 1000 if 0 <= leaves_ms <= MAX_LEAVES_MS else None


def _decode_software(version: Any) -> str:
    """Return the version of a server's software, '' if it is malformed."""
    if isinstance(version, str):
        return version
    return str(version) if _is_integer(version) else ''


def decode_models(models: Any) -> dict[str, int]:
    """Decode the loaded version of each model.

    Raises RowError for malformed values.
    """
    if not isinstance(models, list):
        raise RowError('models is not a list')
    versions: dict[str, int] = {}
    for model in models:
        if not isinstance(model, dict):
            raise RowError('an entry of models is not an object')
        version = _bounded_integer(model, 'version')
        versions[_required_string(model, 'name')] = version
    return versions


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _required_string(data: dict[str, Any], name: str) -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise RowError(f'{name} is not a non-empty string')
    return value


def _bounded_integer(
    data: dict[str, Any],
    name: str,
    default: int | None = None,
    most: int = MAX_INTEGER,
) -> int:
    """Return an integer from -`most` to `most`, or raise RowError.

    Larger ones do not fit the messages and the rows of the daemons.
    """
    value = data.get(name, default)
    if not isinstance(value, int) or isinstance(value, bool):
        raise RowError(f'{name} is not an integer')
    if not -most <= value <= most:
        raise RowError(f'{name} is out of range')
    return value


def _checked_address(address: str) -> str:
    """Return an address that a connection can be opened to."""
    parsed = parse_address(address)
    if parsed is None:
        raise RowError(f'address {address[:60]!r} has no valid port')
    try:
        IPv4Address(parsed[0])
    except AddressValueError as error:
        raise RowError(f'address {address[:60]!r} is not ip:port') from error
    return address


def _decode_route(data: dict[str, Any]) -> Route:
    kind = KIND_BY_TYPE.get(str(data['type']), UNSAFE)
    objective_ms = data.get('latency-goal-ms', DEFAULT_OBJECTIVE_MS)
    return Route(
        name=str(data['name']),
        host=str(data['host']).lower(),
        prefix=str(data['prefix']),
        kind=kind,
        timeout_s=float(data.get('timeout-ms', DEFAULT_TIMEOUT_MS)) / 1000,
        objective_s=float(objective_ms) / 1000,
        priority=int(data.get('priority', DEFAULT_PRIORITY)),
        targets=_decode_targets(data),
        max_attempts=max(int(data.get('max-attempts', 1)), 1),
        resumable=bool(data.get('resumable', False)),
        job=_decode_job_settings(data) if kind == JOB else None,
        public=data.get('public') is True,
    )


def _decode_workspaces(tenants: Any) -> WorkspaceDirectory | None:
    """Decode the workspaces, None if the deployment has none."""
    if tenants is None:
        return None
    if not isinstance(tenants, list):
        # Without any workspace no key is accepted; routes may be public.
        logger.warning('workspaces are not a list')
        tenants = []
    entries = []
    for tenant in tenants:
        name = tenant.get('name') if isinstance(tenant, dict) else None
        if not isinstance(name, str) or not _is_header_value(name):
            logger.warning('workspace without a usable name skipped')
            continue
        priority = tenant.get('priority')
        if priority is not None and not (
            _is_integer(priority) and priority >= 0
        ):
            logger.bind(workspace=name).warning(
                'unknown priority of a workspace ignored'
            )
            priority = None
        entries.append(
            WorkspaceKeys(
                Workspace(name, priority),
                _decode_keys(name, tenant.get('api-keys', [])),
            )
        )
    directory = WorkspaceDirectory(entries)
    if directory.shared_keys:
        logger.bind(keys=directory.shared_keys).warning(
            'keys of several workspaces are not accepted'
        )
    return directory


def _decode_keys(workspace: str, keys: Any) -> list[bytes]:
    """Return the digests of the usable keys; log how many are not.

    HTTP drops spaces around the value of a header, so they are no part of a
    key here either.
    """
    found = keys if isinstance(keys, list) else []
    usable = [key for key in found if isinstance(key, str) and key.strip()]
    if len(usable) < len(found) or found is not keys:
        logger.bind(
            workspace=workspace, ignored=len(found) - len(usable)
        ).warning('unusable keys of a workspace ignored')
    return [key_digest(key.strip()) for key in usable]


def _is_header_value(text: str) -> bool:
    """Tell whether a header can carry a text unchanged."""
    return text.isprintable() and text == text.strip() != ''


def _decode_targets(data: dict[str, Any]) -> tuple[Target, ...]:
    if data.get('backends'):
        return tuple(
            Target(str(target['service']), float(target.get('weight', 1)))
            for target in data['backends']
        )
    return (Target(str(data['service'])),)


def _decode_job_settings(data: dict[str, Any]) -> JobSettings:
    objective_ms = data.get('result-goal-ms', DEFAULT_RESULT_OBJECTIVE_MS)
    return JobSettings(
        result_objective_s=float(objective_ms) / 1000,
        item_lifetime_s=float(data.get('item-ttl-s', DEFAULT_ITEM_LIFETIME_S)),
        single_version=bool(data.get('single-version', False)),
    )


def _decode_service(data: dict[str, Any]) -> Service:
    engine = data.get('engine')
    declaration = None
    if isinstance(engine, dict):
        declaration = EngineDeclaration(
            slots=int(engine.get('batch-size', 1)),
            models=tuple(str(m['name']) for m in engine.get('models', [])),
        )
    name = str(data['name'])
    return Service(
        name=name,
        max_connections=int(data.get('max-conns', 100)),
        engine=declaration,
        size_bounds=decode_size_bounds(name, data.get('scaling')),
    )


def _decode_limits(data: dict[str, Any]) -> CallerLimits:
    idle_ms = data.get('idle-timeout-ms', DEFAULT_IDLE_TIMEOUT_S * 1000)
    return CallerLimits(
        max_header_bytes=int(
            data.get('max-header-bytes', DEFAULT_MAX_HEADER_BYTES)
        ),
        max_body_bytes=int(data.get('max-body-bytes', DEFAULT_MAX_BODY_BYTES)),
        idle_timeout_s=float(idle_ms) / 1000,
    )
