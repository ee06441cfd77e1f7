"""What the platform, its operator and its requesters write, for stand-ins."""

from base64 import b64encode
from typing import Any

from msgspec import DecodeError, Struct, json

from anvilcove.control.desired import JOB
from anvilcove.platform.names import ATTEMPT_ID, DEADLINE_MS, WAIT_MS
from anvilcove.platform.rows import (
    CONFIG_KEY,
    ENDPOINT_TABLE,
    KIND_BY_TYPE,
    OPERATOR_TABLE,
    VERSION_PREFIX,
)
from anvilcove.platform.settings import PATH_VARIABLE
from anvilcove.ports.store import RowId

TIMEOUT_MS = 4000
TYPE_BY_KIND = {kind: name for name, kind in KIND_BY_TYPE.items()}


class HostAddresses(Struct):
    """Addresses of one daemon of a stand-in site."""

    name: str
    ip: str
    store: str
    seeds: list[str]
    callers_port: int
    ready_port: int
    lookup_port: int
    peers_port: int
    grace_s: float


class RouteSpec(Struct):
    """A route of a stand-in site."""

    name: str
    prefix: str
    kind: str
    service: str
    objective_ms: int
    max_attempts: int


class ItemSpec(Struct):
    """An item of a submission, with the path of its reward call."""

    item_id: str
    path: str
    group: str
    reward_path: str


class SeenResult(Struct, frozen=True):
    """One result of a job as a requester reads it."""

    item_id: str
    completed: bool
    output: str = ''
    versions: tuple[int, ...] = ()
    score: str = ''


class SeenPage(Struct):
    """Results of a job as a requester reads them."""

    total: int
    results: list[SeenResult]


def settings_text(host: HostAddresses) -> str:
    """Return the settings file of a daemon."""
    seeds = ', '.join(f'"{seed}"' for seed in host.seeds)
    return f"""
node-name = "{host.name}"
zone = "z"
region = "r"
ip = "{host.ip}"
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
"""


def settings_environment(path: str) -> dict[str, str]:
    """Return the variables that name the settings file."""
    return {PATH_VARIABLE: path}


def config_row() -> RowId:
    """Return the name of the operator's row."""
    return RowId(OPERATOR_TABLE, '', CONFIG_KEY)


def version_row(model: str) -> RowId:
    """Return the name of the row of a trainer."""
    return RowId(OPERATOR_TABLE, '', f'{VERSION_PREFIX}{model}')


def endpoint_row(instance: str) -> RowId:
    """Return the name of the row of a server."""
    return RowId(ENDPOINT_TABLE, '', instance)


def desired_state(
    version: int, host: str, routes: list[RouteSpec], model: str, slots: int
) -> bytes:
    """Return a desired state with one service of engines, `llm`."""
    return json.encode(
        {
            'version': version,
            'routes': [_route(host, route) for route in routes],
            'services': [
                {'name': 'app', 'max-conns': 100},
                {
                    'name': 'llm',
                    'max-conns': 100,
                    'engine': {
                        'batch-size': slots,
                        'models': [{'name': model}],
                    },
                },
            ],
            'limits': {},
        }
    )


def named_version(model: str, version: int) -> bytes:
    """Return what a trainer writes."""
    return json.encode({'model': model, 'version': version})


def draining(entry: bytes) -> bytes:
    """Return the entry of a server that is about to leave."""
    return entry.replace(b'"ready"', b'"draining"')


def lookup_path(host: str) -> str:
    """Return the path that asks where to connect."""
    return f'/-/lookup?name={host}&region=r&zone=z'


def read_addresses(body: bytes) -> list[str]:
    """Return the addresses of an answer to a lookup, none if it is wrong."""
    try:
        found = json.decode(body).get('addresses', [])
    except (DecodeError, AttributeError):
        return []
    return [str(address) for address in found]


def request_headers(
    host: str, request_id: str, deadline_s: float | None = None
) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {'Host': host, ATTEMPT_ID: request_id}
    if deadline_s is not None:
        headers[DEADLINE_MS] = str(int(deadline_s * 1000))
    return headers


def submission(
    host: str, model: str, min_version: int, groups: int, items: list[ItemSpec]
) -> bytes:
    """Return the body that submits a job."""
    return json.encode(
        {
            'step': 0,
            'model': model,
            'min-version': min_version,
            'target-groups': groups,
            'requests': [_item(host, model, item) for item in items],
        }
    )


def results_path(job_id: str, position: int) -> str:
    """Return the path that reads results from a position on."""
    return f'/-/lots/{job_id}?after={position}'


def results_headers(host: str, wait_s: float) -> dict[str, str]:
    """Return the headers of a read that waits for results."""
    return {'Host': host, WAIT_MS: str(int(wait_s * 1000))}


def read_page(body: bytes) -> SeenPage | None:
    """Return the results of an answer; None if it is none."""
    try:
        data = json.decode(body)
        results = [_result(result) for result in data['results']]
        return SeenPage(data['total'], results)
    except (DecodeError, KeyError, TypeError):
        return None


def _result(data: dict[str, Any]) -> SeenResult:
    return SeenResult(
        item_id=data['id'],
        completed=data['state'] == 'completed',
        output=data.get('output', ''),
        versions=tuple(data.get('versions', ())),
        score=data.get('score', ''),
    )


def reward_id(item_id: str) -> str:
    """Return the id of the reward call of an item."""
    return f'r-{item_id}'


def _route(host: str, route: RouteSpec) -> dict[str, Any]:
    data: dict[str, Any] = {
        'name': route.name,
        'host': host,
        'prefix': route.prefix,
        'type': TYPE_BY_KIND[route.kind],
        'timeout-ms': TIMEOUT_MS,
        'latency-goal-ms': route.objective_ms,
        'priority': 1,
        'service': route.service,
        'max-attempts': route.max_attempts,
    }
    if route.kind == JOB:
        data |= {'result-goal-ms': 7500, 'item-ttl-s': 60}
    return data


def _item(host: str, model: str, item: ItemSpec) -> dict[str, Any]:
    return {
        'id': item.item_id,
        'path': item.path,
        'headers': {'Model': model},
        'body': b64encode(item.item_id.encode()).decode(),
        'token-count': 10,
        'group-id': item.group,
        'scorer-url': {
            'id': reward_id(item.item_id),
            'host': host,
            'path': item.reward_path,
            'body': '',
        },
    }
