"""Rows that another writer leaves among those of the servers and daemons."""

import asyncio
import random

from msgspec import json, msgpack

from anvilcove.control.node_rows import NODES_TABLE
from anvilcove.jobs.records import JOBS_TABLE, PARTITIONS
from anvilcove.platform.rows import ENDPOINT_TABLE
from anvilcove.ports.store import RowId, RowTransaction, RowWrite
from anvilcove.soak.faults import fault
from anvilcove.soak.site import LoopbackSite

ENTRY = {
    'service': 'other',
    'address': '127.0.0.1:9',
    'zone': 'z',
    'version': 'v1',
    'batch-size': 4,
    'state': 'gone',
    'models': [],
    'sequence': 1,
    'born': 1,
}
ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'address': '127.0.0.1:80²'},
    {'address': '127.0.0.1:٨٠'},
    {'address': '127.0.0.1:65536'},
    {'address': '127.0.0.1:' + '9' * 5000},
    {'address': 'a b\r\n:80'},
    {'address': 7},
    {'service': ['other']},
    {'service': 'unnamed'},
    {'born': 10**400},
    {'batch-size': 10**400},
    {'batch-size': -1},
    {'models': {'m': 1}},
    {'models': [{'name': 'm', 'version': 10**40}]},
    {'version': {'v': 1}},
)
# Depth of nested values; some parsers fail at the first, all at the second.
DEPTHS = (900, 100_000)
WRITE_PAUSE_S = 0.05


def odd_entry(rng: random.Random) -> bytes:
    """Return the value of a row that names no server to use."""
    kind = rng.choice(('field', 'field', 'missing', 'nested', 'bytes'))
    if kind == 'bytes':
        return rng.randbytes(rng.randint(0, 60))
    # All but the odd field is sound; no route leads to the service.
    entry: dict[str, object] = {**ENTRY, 'state': 'ready'}
    if kind == 'missing':
        del entry[rng.choice(['service', 'address', 'zone', 'state'])]
        return json.encode(entry)
    if kind == 'field':
        return _encode(entry | rng.choice(ODD_FIELDS))
    name = rng.choice(['state', 'service', 'models', 'unknown'])
    depth = rng.choice(DEPTHS)
    nested = b'[' * depth + b']' * depth
    text = json.encode(entry | {name: '@'})
    return text.replace(b'"@"', nested)


def _encode(entry: dict[str, object]) -> bytes:
    # Integers beyond 64 bits are written as other encoders write them.
    big = {k: v for k, v in entry.items() if isinstance(v, int)}
    marked = {k: f'@{k}@' if k in big else v for k, v in entry.items()}
    if 'models' in entry and entry['models'] != []:
        return _encode_models(entry)
    text = json.encode(marked)
    for name, value in big.items():
        text = text.replace(f'"@{name}@"'.encode(), str(value).encode())
    return text


def _encode_models(entry: dict[str, object]) -> bytes:
    text = json.encode(entry | {'models': '@'})
    value = str(entry['models']).replace("'", '"')
    return text.replace(b'"@"', value.encode())


@fault('odd entries of servers')
async def write_odd_entries(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Write entries that cannot be read, also among the daemons' own rows.

    They are left there, so that daemons that start later read them, too.
    """
    end_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < end_s:
        name = f'odd-{rng.randrange(10**6)}'
        row, value = rng.choice(
            [
                (RowId(ENDPOINT_TABLE, '', name), odd_entry(rng)),
                (RowId(ENDPOINT_TABLE, '', name), odd_entry(rng)),
                (RowId(NODES_TABLE, '', name), _odd_message(rng)),
                (RowId(JOBS_TABLE, rng.choice(PARTITIONS), name), b'\x91' * 9),
            ]
        )
        site.store.apply(RowTransaction(writes=[RowWrite(row, value)]))
        await asyncio.sleep(WRITE_PAUSE_S)


def _odd_message(rng: random.Random) -> bytes:
    """Return bytes that are no message of a daemon."""
    return rng.choice(
        [
            rng.randbytes(20),
            b'\x91' * 100_000,
            msgpack.encode(['odd', 10**18, {'a': b'\xff'}]),
            msgpack.encode('²'),
        ]
    )
