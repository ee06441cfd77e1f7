"""Samples of what daemons write, for this build and for 53f4f11.

53f4f11 imports this file to record `features/fixtures/formats.json`, so it
names nothing that 53f4f11 lacks unless `appended` is set.
"""

import asyncio

from msgspec import json, msgpack

from anvilcove.control.leases import LeaseRow, ResourceUse
from anvilcove.control.node_rows import Heartbeat, NodeRow
from anvilcove.control.relay import RelayedCall as StoreRelay
from anvilcove.jobs.records import JobRecords
from anvilcove.jobs.types import (
    Commit,
    Item,
    ItemFailures,
    ItemResult,
    JobHead,
    JobSpec,
    RewardCall,
    TextPart,
)
from anvilcove.messages.peers import Gossip, HostDigest, SuspectDigest
from anvilcove.messages.permits import PermitGrant, PermitRequest
from anvilcove.messages.services import ServiceCall
from anvilcove.messages.streams import (
    OriginQuery,
    OriginRecords,
    OriginReply,
    StreamOrigin,
)
from anvilcove.platform.endpoint_relay import RelayedCall as EndpointRelay
from anvilcove.ports.transport import StoreReply
from anvilcove.standins.memory_store import MemoryStore

JOB = 'job-1'
TYPE_BY_TABLE = {
    'results': list[ItemResult],
    'texts': TextPart,
    'failures': ItemFailures,
}


def samples(appended):
    """Return type, value and codec by name, with appended fields or without.

    Rows of jobs are in `job_samples`.
    """
    workspace = {'workspace': 'acme'} if appended else {}
    announced = {}
    if appended:
        announced = {
            'wall_offset_ms': 2.5,
            'unable': ['usage'],
            'capacity': 0.387,
            'job_memory': 41_943_040,
        }
    memory = {'memory_bytes': 98_304} if appended else {}
    origin = StreamOrigin('r1', 'llm', 'v2')
    suspect = SuspectDigest(content='c', endpoint='e', crashes=2, age_s=1.5)
    found = [
        NodeRow(
            'h1',
            'n1',
            'z',
            'eu',
            '10.0.0.1:80',
            '10.0.0.1:7720',
            7,
            False,
            True,
            4,
            0.25,
            True,
            [suspect],
            {'h2': 'n2'},
            True,
            **announced,
        ),
        Heartbeat('n1', 8),
        LeaseRow('h1', 'n1', 3, 9, {'e1': ResourceUse('h1', 1200.5, 0.3)}),
        JobSpec(
            JOB,
            'h.example',
            '/job/',
            2,
            'm',
            1,
            3,
            [
                Item(
                    'i1',
                    '/job/1',
                    {'Model': 'm'},
                    b'\xab',
                    5,
                    'g',
                    RewardCall('r1', 'h', '/s', [('Host', 'h')], b'x'),
                    'm',
                    9,
                )
            ],
            **workspace,
        ),
        JobHead(
            JOB,
            'h1',
            'n1',
            2,
            'c1',
            0,
            3,
            1e15,
            'h.example',
            '/job/',
            'm',
            50,
            120.0,
            60.0,
            **workspace,
            **memory,
        ),
        StoreRelay('POST', '/transact', b'{}', 1.0, True, False, 0.2, True),
        StoreReply(200, b'{}'),
        EndpointRelay(
            'POST', '10.0.0.9:80', '/p', [('Host', 'h')], b'x', 'a1', False
        ),
    ]
    messages = [
        PermitRequest('e1', 5.0, 2),
        PermitGrant(1, 0.2),
        OriginRecords([origin]),
        OriginQuery('r1', 'llm'),
        OriginReply(origin, ['v1', 'v2']),
        Gossip(
            host='h1',
            hosts={'h1': HostDigest(beat=3, revision=1, load=2, flags=2)},
            suspects=[suspect],
        ),
        ServiceCall(request_id='r1', body={}, **workspace),
    ]
    return {
        f'{type(value).__module__}.{type(value).__name__}': (
            type(value),
            value,
            codec,
        )
        for values, codec in ((found, msgpack), (messages, json))
        for value in values
    }


def job_samples(appended):
    """Return the rows and objects that `JobRecords` writes, by table and key.

    Each is a pair of its type and its bytes.
    """
    known = samples(appended)
    spec = known['anvilcove.jobs.types.JobSpec'][1]
    head = known['anvilcove.jobs.types.JobHead'][1]

    async def write():
        store = MemoryStore(asyncio.get_running_loop())
        records = JobRecords(store)
        job = await records.create(spec, head)
        await records.commit(
            job,
            Commit(
                head,
                [ItemResult('i1', True, 'text', [3, 4], '0.5')],
                [TextPart('i2', 0, ['a', 'b'], [3], 'v2')],
                [ItemFailures('i3', 1, 2, {'e1'})],
            ),
        )
        return store

    store = asyncio.run(write())
    found = {
        f'{row.table}/{row.key}': (TYPE_BY_TABLE.get(row.table, JobHead), data)
        for row, (data, _version) in store.rows.items()
    }
    found |= {name: (JobSpec, data) for name, data in store.objects.items()}
    return found


def encoded(appended):
    """Return type, codec and bytes of all samples by name."""
    found = {
        name: (value_type, codec, codec.encode(value))
        for name, (value_type, value, codec) in samples(appended).items()
    }
    found |= {
        name: (value_type, msgpack, data)
        for name, (value_type, data) in job_samples(appended).items()
    }
    return found
