"""Encode and decode the platform's protocol for stand-ins and soak callers."""

from base64 import b64encode
from collections.abc import Mapping
from typing import Any

from msgspec import DecodeError, Struct, field, json

from anvilcove.control.desired import JOB
from anvilcove.platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    LAST_EVENT_ID,
    RESUMES,
    SERVER_LEAVING,
    SERVER_LIMIT,
    SERVER_STAMP,
    WAIT_MS,
)
from anvilcove.platform.rows import (
    CONFIG_KEY,
    ENDPOINT_TABLE,
    KIND_BY_TYPE,
    OPERATOR_TABLE,
    VERSION_PREFIX,
)
from anvilcove.platform.settings import PATH_VARIABLE
from anvilcove.platform.standin import SOFTWARE_FIELD
from anvilcove.ports.store import RowId

TIMEOUT_MS = 4000
TYPE_BY_KIND = {kind: name for name, kind in KIND_BY_TYPE.items()}


DUTIES_TEXT = """
[cloud-api]
address = "{}"
rate-per-s = 50.0
duty-per-s = 50.0
duties = ["metering", "scaling"]
"""


class HostAddresses(Struct):
    """Settings of one daemon of a stand-in site."""

    name: str
    ip: str
    store: str
    seeds: list[str]
    callers_port: int
    ready_port: int
    lookup_port: int
    peers_port: int
    grace_s: float
    clock_offset_s: float = 0.0
    source_ip: str = ''
    has_workspaces: bool = False
    # Address of the interface for duties, '' without one.
    duties: str = ''
    # Memory of the host and descriptors of the daemon, 0 if not known.
    memory_mb: int = 0
    max_descriptors: int = 0
    # Memory that may be held for slow readers, 0 for the default.
    held_mb: float = 0.0


class WorkspaceSpec(Struct):
    """A workspace in the desired state of a stand-in site."""

    name: str
    keys: list[str]
    priority: int | None = None


class RouteSpec(Struct):
    """A route in the desired state of a stand-in site."""

    name: str
    prefix: str
    kind: str
    service: str
    objective_ms: int
    max_attempts: int
    resumable: bool = False
    public: bool = False
    timeout_ms: int = TIMEOUT_MS
    # Services and their weights; if there are any, they replace the service.
    weight_by_service: dict[str, int] = field(default_factory=dict)


class ItemSpec(Struct):
    """An item of a job submission, with the path of its reward call.

    Its body is its id unless there is another; `headers` are added.
    """

    item_id: str
    path: str
    group: str
    reward_path: str
    body: bytes = b''
    headers: dict[str, str] = field(default_factory=dict)


class JobResult(Struct, frozen=True):
    """A result of a job, decoded from a results page."""

    item_id: str
    completed: bool
    output: str = ''
    versions: tuple[int, ...] = ()
    score: str = ''


class StreamEvent(Struct):
    """An event of a stream, with the software version that made it."""

    number: int
    data: str
    software: str


class JobResultsPage(Struct):
    """A results page of a job, decoded from a response."""

    total: int
    results: list[JobResult]


def settings_text(host: HostAddresses) -> str:
    """Return the text of the settings file of a daemon."""
    seeds = ', '.join(f'"{seed}"' for seed in host.seeds)
    amounts = {
        'memory-mb': host.memory_mb,
        'held-mb': host.held_mb,
        'max-fds': host.max_descriptors,
    }
    known = [f'{name} = {n}\n' for name, n in amounts.items() if n]
    limits = ''.join(['[limits]\n', *known]) if known else ''
    return f"""
node-name = "{host.name}"
zone = "z"
region = "r"
ip = "{host.ip}"
source-ip = "{host.source_ip}"
contracts = {'["tenants"]' if host.has_workspaces else '[]'}
internal-ports = [{host.peers_port}, {host.peers_port + 1}]
seed-nodes = [{seeds}]
[listen]
frontend = "{host.ip}:{host.callers_port}"
ready = "{host.ip}:{host.ready_port}"
registry = "{host.ip}:{host.lookup_port}"
[bounds]
grace-s = {host.grace_s}
lease-ms = 3000
drain-ms = 2000
[platform]
address = "{host.store}"
row-bytes = 65536
cross-shard = true
[clock]
offset-s = {host.clock_offset_s}
{limits}""" + (DUTIES_TEXT.format(host.duties) if host.duties else '')


def settings_environment(path: str) -> dict[str, str]:
    """Return the environment variables that name the settings file."""
    return {PATH_VARIABLE: path}


def config_row() -> RowId:
    """Return the id of the row that holds the desired state."""
    return RowId(OPERATOR_TABLE, '', CONFIG_KEY)


def version_row(model: str) -> RowId:
    """Return the id of the row in which a trainer names a version."""
    return RowId(OPERATOR_TABLE, '', f'{VERSION_PREFIX}{model}')


def endpoint_row(instance: str) -> RowId:
    """Return the id of the row in which a server announces itself."""
    return RowId(ENDPOINT_TABLE, '', instance)


def desired_state(
    version: int,
    host: str,
    routes: list[RouteSpec],
    model: str,
    slots: int,
    workspaces: list[WorkspaceSpec] | None = None,
    scaling: dict[str, Any] | None = None,
    max_body_bytes: int = 0,
) -> bytes:
    """Return a desired state with plain service `app` and engines `llm`.

    Each has a second service of its kind, `app-b` and `llm-b`. It has no
    workspaces if `workspaces` is None.
    """
    tenants = {}
    if workspaces is not None:
        tenants['tenants'] = [_encode_workspace(w) for w in workspaces]
    limits = {'max-body-bytes': max_body_bytes} if max_body_bytes else {}
    bounds = {'scaling': scaling} if scaling is not None else {}
    engine = {'batch-size': slots, 'models': [{'name': model}]}
    return json.encode(
        {
            **tenants,
            'version': version,
            'routes': [_encode_route(host, route) for route in routes],
            'services': [
                {'name': 'app', 'max-conns': 100},
                {'name': 'app-b', 'max-conns': 100},
                {'name': 'llm', 'max-conns': 100, 'engine': engine, **bounds},
                {'name': 'llm-b', 'max-conns': 100, 'engine': engine},
            ],
            'limits': limits,
        }
    )


def _encode_workspace(workspace: WorkspaceSpec) -> dict[str, Any]:
    data: dict[str, Any] = {
        'name': workspace.name,
        'api-keys': workspace.keys,
    }
    if workspace.priority is not None:
        data['priority'] = workspace.priority
    return data


def key_headers(key: str) -> dict[str, str]:
    """Return the headers with which a caller presents a key, '' for none."""
    return {AUTHORIZATION: f'Bearer {key}'} if key else {}


def named_version(model: str, version: int) -> bytes:
    """Return the row value with which a trainer names a version."""
    return json.encode({'model': model, 'version': version})


def draining_row_value(entry: bytes) -> bytes:
    """Return the row value of a server with its state set to draining."""
    return entry.replace(b'"ready"', b'"draining"')


def reclaimable_row_value(entry: bytes, left_s: float | None) -> bytes:
    """Return the row value of a server that may be reclaimed.

    It leaves in `left_s` seconds, None if it stays.
    """
    data = json.decode(entry) | {'preemptible': True}
    if left_s is not None:
        data |= {'state': 'draining', 'leaves_ms': max(int(left_s * 1000), 0)}
    return json.encode(data)


def read_held_bytes(metrics: str) -> tuple[float, float]:
    """Return the bytes held for slow readers, and the bound, of a daemon."""
    values = {
        kind: float(line.rpartition(' ')[2])
        for line in metrics.splitlines()
        for kind in ('answers', 'bound')
        if line.startswith(f'anvilcove_held_bytes{{kind="{kind}"}}')
    }
    return values.get('answers', 0.0), values.get('bound', 0.0)


def lookup_path(host: str) -> str:
    """Return the path of a lookup of the daemons' addresses."""
    return f'/-/lookup?name={host}&region=r&zone=z'


def read_addresses(body: bytes) -> list[str]:
    """Return the addresses in a lookup response, none if it is malformed."""
    try:
        found = json.decode(body).get('addresses', [])
    except (DecodeError, AttributeError):
        return []
    return [str(address) for address in found]


def request_headers(
    host: str, request_id: str, deadline_s: float | None = None
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    headers = {'Host': host, ATTEMPT_ID: request_id}
    if deadline_s is not None:
        headers[DEADLINE_MS] = str(int(deadline_s * 1000))
    return headers


def resumption_headers(first_request: str, last: int) -> dict[str, str]:
    """Return the headers with which a caller resumes a stream."""
    return {RESUMES: first_request, LAST_EVENT_ID: str(last)}


def read_stream_event(lines: list[bytes]) -> StreamEvent | None:
    """Return an event, None for a comment."""
    fields = dict(
        line.decode().strip().split(': ', 1) for line in lines if b': ' in line
    )
    if 'id' not in fields:
        return None
    return StreamEvent(
        int(fields['id']),
        fields.get('data', ''),
        fields.get(SOFTWARE_FIELD, ''),
    )


def reporting_server(headers: Mapping[str, str]) -> tuple[str, str]:
    """Return the start of a server that leaves, and of one with a limit.

    Each is empty if the answer does not say so.
    """
    instance = headers.get(SERVER_STAMP, '').rpartition('.')[0]
    return (
        instance if SERVER_LEAVING in headers else '',
        instance if SERVER_LIMIT in headers else '',
    )


def submission(
    host: str, model: str, min_version: int, groups: int, items: list[ItemSpec]
) -> bytes:
    """Return the body of a job submission."""
    return json.encode(
        {
            'step': 0,
            'model': model,
            'min-version': min_version,
            'target-groups': groups,
            'requests': [_encode_item(host, model, item) for item in items],
        }
    )


def results_path(job_id: str, position: int) -> str:
    """Return the path for reading results from a position on."""
    return f'/-/lots/{job_id}?after={position}'


def job_path(job_id: str) -> str:
    """Return the path for ending a job."""
    return f'/-/lots/{job_id}'


def results_headers(host: str, wait_s: float) -> dict[str, str]:
    """Return the headers of a read that waits up to `wait_s` for results."""
    return {'Host': host, WAIT_MS: str(int(wait_s * 1000))}


def read_page(body: bytes) -> JobResultsPage | None:
    """Decode a results page, None if it is malformed."""
    try:
        data = json.decode(body)
        results = [_decode_result(result) for result in data['results']]
        return JobResultsPage(data['total'], results)
    except (DecodeError, KeyError, TypeError):
        return None


def _decode_result(data: dict[str, Any]) -> JobResult:
    return JobResult(
        item_id=data['id'],
        completed=data['state'] == 'completed',
        output=data.get('output', ''),
        versions=tuple(data.get('versions', ())),
        score=data.get('score', ''),
    )


def reward_id(item_id: str) -> str:
    """Return the id of the reward call of an item."""
    return f'r-{item_id}'


def _encode_route(host: str, route: RouteSpec) -> dict[str, Any]:
    data: dict[str, Any] = {
        'name': route.name,
        'host': host,
        'prefix': route.prefix,
        'type': TYPE_BY_KIND[route.kind],
        'timeout-ms': route.timeout_ms,
        'latency-goal-ms': route.objective_ms,
        'priority': 1,
        'service': route.service,
        'max-attempts': route.max_attempts,
    }
    if route.weight_by_service:
        del data['service']
        data['backends'] = [
            {'service': service, 'weight': weight}
            for service, weight in route.weight_by_service.items()
        ]
    if route.resumable:
        data['resumable'] = True
    if route.public:
        data['public'] = True
    if route.kind == JOB:
        data |= {'result-goal-ms': 7500, 'item-ttl-s': 60}
    return data


def _encode_item(host: str, model: str, item: ItemSpec) -> dict[str, Any]:
    return {
        'id': item.item_id,
        'path': item.path,
        'headers': {'Model': model} | item.headers,
        'body': b64encode(item.body or item.item_id.encode()).decode(),
        'token-count': 10,
        'group-id': item.group,
        'scorer-url': {
            'id': reward_id(item.item_id),
            'host': host,
            'path': item.reward_path,
            'body': '',
        },
    }
