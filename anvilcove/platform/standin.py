"""Stand-in of the users' platform: store, model servers and plain servers.

It speaks the published protocol on loopback addresses and has the faults that
tests and the soak use. Everything runs in one process.
"""

import asyncio
import hashlib
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import parse_qs, unquote
from weakref import WeakSet

from aiohttp import web
from msgspec import json

from anvilcove.platform.names import (
    ATTEMPT_ID,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    SERVER_LOAD,
    SERVER_STAMP,
    WEIGHT_VERSIONS,
)
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.ports.store import (
    HistoryLost,
    ObjectExists,
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
)
from anvilcove.standins.memory_store import MemoryStore

MAX_BODY_BYTES = 16_777_216
EVENT_S = 0.02
LOAD_S = 0.5


class StoreStandin:
    """The store's protocol over a store in memory."""

    def __init__(self, store: MemoryStore) -> None:
        """Serve a store that tests may also use directly."""
        self.store = store

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        path, _, query = request.raw_path.partition('?')
        call, _, name = path.removeprefix('/-/').partition('/')
        try:
            return await self._answer(request, call, unquote(name), query)
        except StoreUnavailable:
            return web.Response(status=503)
        except StoreAnswerLost:
            # The connection is closed without an answer.
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=500)
        except HistoryLost:
            return web.Response(status=410)
        except ObjectNotFound:
            return web.Response(status=404)
        except ObjectExists:
            return web.Response(status=412)

    async def _answer(
        self, request: web.BaseRequest, call: str, name: str, query: str
    ) -> web.Response:
        asked = {k: v[0] for k, v in parse_qs(query).items()}
        if call == 'rows-tx':
            return await self._transact(json.decode(await request.read()))
        if call == 'rows-get':
            page = await self.store.read_range(
                asked.get('table', ''),
                asked.get('part', ''),
                asked.get('from', ''),
                asked.get('to', ''),
            )
            return _page(page.rows, page.version, page.store_ms)
        if call == 'rows-feed':
            wait_s = int(asked.get('wait-ms', '0')) / 1000
            page = await self.store.changes(
                asked.get('table', ''), int(asked.get('after', '0')), wait_s
            )
            return _page(page.rows, page.version, page.store_ms)
        if call == 'blob-put':
            await self.store.put_object(name, await request.read())
            return web.Response()
        if call == 'blob-get':
            return web.Response(body=await self.store.get_object(name))
        if call == 'blob-drop':
            await self.store.remove_object(name)
            return web.Response()
        return web.Response(status=400)

    async def _transact(self, data: dict[str, Any]) -> web.Response:
        outcome = await self.store.transact(
            RowTransaction(
                checks=[
                    RowCheck(_id(row), row['row-version'])
                    for row in data['expected']
                ],
                writes=[
                    RowWrite(_id(row), b64decode(row['value']))
                    for row in data['write']
                ],
                removals=[_id(row) for row in data['remove']],
            )
        )
        status = 200 if outcome.applied else 412
        return _page(
            outcome.conflicts, outcome.version, outcome.store_ms, status
        )


def _id(row: dict[str, Any]) -> RowId:
    return RowId(row['table'], row['part'], row['key'])


def _page(
    rows: list[StoredRow], version: int, store_ms: float, status: int = 200
) -> web.Response:
    body = {
        'rows': [
            {
                'table': row.id.table,
                'part': row.id.part,
                'key': row.id.key,
                'value': b64encode(row.value or b'').decode(),
                'row-version': row.version,
                **({'deleted': True} if row.value is None else {}),
            }
            for row in rows
        ],
        'has-more': False,
        'row-version': version,
        'now-ms': int(store_ms),
    }
    return web.Response(
        status=status, body=json.encode(body), content_type='application/json'
    )


class ServerFaults:
    """Faults of one server that tests and the soak switch on."""

    def __init__(self) -> None:
        """Start without faults."""
        self.silent = False
        self.failing = False
        self.refusing = False
        # Connections break while their request runs.
        self.breaking = False
        # Connections break within the body of an answer.
        self.cutting = False
        # Connections that have carried a request are dropped unannounced.
        self.drops_idle = False
        self.work_s = 0.02
        # Streams break off after so many events.
        self.break_after: int | None = None


class ServerStandin:
    """One plain server or, with a model, one model server."""

    def __init__(self, instance: str, model: str = '', slots: int = 8) -> None:
        """Start with version 1 of the model."""
        self.instance = instance
        self.model = model
        self.slots = slots
        self.version = 1
        self.order_count = 0
        self.loading = False
        self.running = 0
        self.faults = ServerFaults()
        self._used: WeakSet[asyncio.BaseTransport] = WeakSet()
        # What began to run: id, path and digest of the body.
        self.runs: list[tuple[str, str, str]] = []
        # What each event of an item was made by: (item, event) to versions.
        self.made: dict[tuple[str, int], set[int]] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        transport = request.transport
        assert transport is not None
        if self.faults.drops_idle and transport in self._used:
            transport.abort()
            return web.Response(status=500)
        self._used.add(transport)
        if request.raw_path == '/-/report':
            return self._report()
        if request.headers.get(EXPECT_INSTANCE, '') != self.instance:
            return web.Response(status=421, headers={NOT_EXECUTED: '1'})
        if request.raw_path == '/-/order':
            return self._order(json.decode(await request.read()))
        body = await request.read()
        full = self.loading or self.running >= self.slots
        if full or self.faults.refusing:
            return web.Response(status=503, headers={NOT_EXECUTED: '1'})
        attempt = request.headers.get(ATTEMPT_ID, '')
        digest = hashlib.sha256(body).hexdigest()[:8]
        self.runs.append((attempt, request.raw_path, digest))
        self.running += 1
        try:
            if self.faults.silent:
                await asyncio.sleep(3600)
            if self.model:
                return await self._generate(request, attempt)
            await asyncio.sleep(self.faults.work_s)
            if self.faults.breaking:
                transport.abort()
            answer = self._answer(attempt, digest)
            if self.faults.cutting:
                return await _cut_short(request, answer)
            return answer
        finally:
            self.running -= 1

    def _answer(self, attempt: str, digest: str) -> web.Response:
        return web.Response(
            status=500 if self.faults.failing else 200,
            headers=self._headers(attempt),
            body=f'{attempt}:{digest}'.encode(),
        )

    def _headers(self, attempt: str) -> dict[str, str]:
        return {
            ATTEMPT_ID: attempt,
            SERVER_STAMP: f'{self.instance}.{attempt}',
            SERVER_LOAD: f'{self.running},0,{self.slots}',
        }

    async def _generate(
        self, request: web.BaseRequest, attempt: str
    ) -> web.StreamResponse:
        headers = self._headers(attempt)
        first = int(request.headers.get(LAST_EVENT_ID, '0')) + 1
        if first <= event_count(attempt):
            # Where nothing is left no weights are named.
            headers[WEIGHT_VERSIONS] = str(self.version)
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        await response.prepare(request)
        shown = self.version
        for number in range(first, event_count(attempt) + 1):
            await asyncio.sleep(EVENT_S)
            if self.faults.break_after == number - 1:
                assert request.transport is not None
                request.transport.abort()
                return response
            lines = []
            if self.version != shown:
                shown = self.version
                lines.append(f'{WEIGHT_VERSIONS.lower()}: {shown}')
            self.made.setdefault((attempt, number), set()).add(shown)
            lines += [f'id: {number}', f'data: {attempt}:{number}', '', '']
            await response.write('\n'.join(lines).encode())
        await response.write_eof()
        return response

    def _order(self, data: dict[str, Any]) -> web.Response:
        if self.loading or data['expected'] != self.order_count:
            return web.Response(status=409)
        if data['version'] <= self.version:
            return web.Response(status=200)
        self.order_count += 1
        self.loading = True
        asyncio.get_running_loop().call_later(
            LOAD_S, self._loaded, data['version']
        )
        return web.Response(status=202)

    def _loaded(self, version: int) -> None:
        self.version = version
        self.loading = False

    def _report(self) -> web.Response:
        body = {
            'models': [{'name': self.model, 'version': self.version}],
            'busy': self.loading,
            'sequence': self.order_count,
        }
        return web.Response(
            body=json.encode(body), content_type='application/json'
        )

    def entry(self, service: str, address: str, zone: str) -> bytes:
        """Return what the server announces."""
        models = [{'name': self.model, 'version': self.version}]
        return json.encode(
            {
                'service': service,
                'address': address,
                'zone': zone,
                'version': 'v1',
                'batch-size': self.slots,
                'state': 'ready',
                'models': models if self.model else [],
                'sequence': 1,
                'born': 1,
            }
        )


async def _cut_short(
    request: web.BaseRequest, answer: web.Response
) -> web.StreamResponse:
    """Send the first half of an answer and break the connection."""
    body = answer.body
    assert isinstance(body, bytes) and request.transport is not None
    cut = web.StreamResponse(status=answer.status, headers=answer.headers)
    cut.content_length = len(body)
    await cut.prepare(request)
    await cut.write(body[: len(body) // 2])
    request.transport.close()
    return cut


def event_count(attempt: str) -> int:
    """Return the length of an item's text, which is always the same."""
    return 3 + hashlib.sha256(attempt.encode()).digest()[0] % 12


def whole_text(attempt: str) -> str:
    """Return the whole text of an item."""
    numbers = range(1, event_count(attempt) + 1)
    return '\n'.join(f'{attempt}:{number}' for number in numbers)


async def serve(handler: Any, address: str) -> web.ServerRunner:
    """Listen on ip:port."""
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = address.rpartition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    return runner
