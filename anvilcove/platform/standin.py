"""Stand-in for the users' platform: store, model servers and plain servers.

It implements the published protocol on loopback addresses, within one process,
and can inject the faults that the tests and the soak use.
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
# Time between two events of a generation.
EVENT_INTERVAL_S = 0.02
# Time in which a model server loads a version.
LOAD_TIME_S = 0.5


class StoreStandin:
    """HTTP protocol of the store in front of an in-memory store."""

    def __init__(self, store: MemoryStore) -> None:
        """Serve `store`, which tests may also use directly."""
        self.store = store

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one call."""
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
        parameters = {k: v[0] for k, v in parse_qs(query).items()}
        if call == 'rows-tx':
            return await self._transact(json.decode(await request.read()))
        if call == 'rows-get':
            page = await self.store.read_range(
                parameters.get('table', ''),
                parameters.get('part', ''),
                parameters.get('from', ''),
                parameters.get('to', ''),
            )
            return _page_response(page.rows, page.version, page.store_ms)
        if call == 'rows-feed':
            wait_s = int(parameters.get('wait-ms', '0')) / 1000
            page = await self.store.changes(
                parameters.get('table', ''),
                int(parameters.get('after', '0')),
                wait_s,
            )
            return _page_response(page.rows, page.version, page.store_ms)
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
                    RowCheck(_decode_row_id(row), row['row-version'])
                    for row in data['expected']
                ],
                writes=[
                    RowWrite(_decode_row_id(row), b64decode(row['value']))
                    for row in data['write']
                ],
                removals=[_decode_row_id(row) for row in data['remove']],
            )
        )
        status = 200 if outcome.applied else 412
        return _page_response(
            outcome.conflicts, outcome.version, outcome.store_ms, status
        )


def _decode_row_id(row: dict[str, Any]) -> RowId:
    return RowId(row['table'], row['part'], row['key'])


def _page_response(
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
    """Fault switches of one server, set by tests and the soak."""

    def __init__(self) -> None:
        """Create the switches with all faults off."""
        # Requests start to run but get no response.
        self.silent = False
        # Plain servers run requests and respond with status 500.
        self.failing = False
        # Requests are rejected with status 503 and do not run.
        self.refusing = False
        # Connections break while their request runs.
        self.breaking = False
        # Connections break halfway through the body of a response.
        self.cutting = False
        # Reused connections are closed as soon as a request arrives.
        self.drops_idle = False
        # Time that a plain server takes for a request.
        self.work_s = 0.02
        # Number of the event after which streams break off, None for never.
        self.break_after: int | None = None


class ServerStandin:
    """Stand-in for a plain server or, with a model, a model server."""

    def __init__(self, instance: str, model: str = '', slots: int = 8) -> None:
        """Create a server; a model server holds version 1 of its model."""
        self.instance = instance
        self.model = model
        self.slots = slots
        self.version = 1
        self.order_count = 0
        self.loading = False
        self.running = 0
        self.faults = ServerFaults()
        self._used_transports: WeakSet[asyncio.BaseTransport] = WeakSet()
        # Attempt id, path and body digest of each request that began to run.
        self.runs: list[tuple[str, str, str]] = []
        # Weight versions that generated an event, by item and event number.
        self.versions_by_event: dict[tuple[str, int], set[int]] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request."""
        transport = request.transport
        assert transport is not None
        if self.faults.drops_idle and transport in self._used_transports:
            transport.abort()
            return web.Response(status=500)
        self._used_transports.add(transport)
        if request.raw_path == '/-/report':
            return self._report()
        if request.headers.get(EXPECT_INSTANCE, '') != self.instance:
            return _refusal(request, 421)
        if request.raw_path == '/-/order':
            return self._accept_order(json.decode(await request.read()))
        body = await request.read()
        full = self.loading or self.running >= self.slots
        if full or self.faults.refusing:
            return _refusal(request, 503)
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
                return await _send_half(request, answer)
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
        first_event = int(request.headers.get(LAST_EVENT_ID, '0')) + 1
        if first_event <= event_count(attempt):
            # Servers omit this header if no event is left to send.
            headers[WEIGHT_VERSIONS] = str(self.version)
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        await response.prepare(request)
        sent_version = self.version
        for number in range(first_event, event_count(attempt) + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if self.faults.break_after == number - 1:
                assert request.transport is not None
                request.transport.abort()
                return response
            lines = []
            if self.version != sent_version:
                sent_version = self.version
                lines.append(f'{WEIGHT_VERSIONS.lower()}: {sent_version}')
            self.versions_by_event.setdefault((attempt, number), set()).add(
                sent_version
            )
            lines += [f'id: {number}', f'data: {attempt}:{number}', '', '']
            await response.write('\n'.join(lines).encode())
        await response.write_eof()
        return response

    def _accept_order(self, data: dict[str, Any]) -> web.Response:
        if self.loading or data['expected'] != self.order_count:
            return web.Response(status=409)
        if data['version'] <= self.version:
            return web.Response(status=200)
        self.order_count += 1
        self.loading = True
        asyncio.get_running_loop().call_later(
            LOAD_TIME_S, self._finish_loading, data['version']
        )
        return web.Response(status=202)

    def _finish_loading(self, version: int) -> None:
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

    def endpoint_row_value(
        self, service: str, address: str, zone: str
    ) -> bytes:
        """Return the value of the row in which the server announces itself."""
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


def _refusal(request: web.BaseRequest, status: int) -> web.Response:
    """Return the refusal of a request that was not run."""
    headers = {NOT_EXECUTED: '1'}
    if ATTEMPT_ID in request.headers:
        headers[ATTEMPT_ID] = request.headers[ATTEMPT_ID]
    return web.Response(status=status, headers=headers)


async def _send_half(
    request: web.BaseRequest, answer: web.Response
) -> web.StreamResponse:
    """Send the first half of a response and close the connection."""
    body = answer.body
    assert isinstance(body, bytes) and request.transport is not None
    cut = web.StreamResponse(status=answer.status, headers=answer.headers)
    cut.content_length = len(body)
    await cut.prepare(request)
    await cut.write(body[: len(body) // 2])
    request.transport.close()
    return cut


def event_count(attempt: str) -> int:
    """Return the number of events of an item, derived from its id."""
    return 3 + hashlib.sha256(attempt.encode()).digest()[0] % 12


def complete_text(attempt: str) -> str:
    """Return the complete text that a server generates for an item."""
    numbers = range(1, event_count(attempt) + 1)
    return '\n'.join(f'{attempt}:{number}' for number in numbers)


async def serve(handler: Any, address: str) -> web.ServerRunner:
    """Listen on ip:port and return the runner, whose `cleanup` closes it."""
    server = web.Server(handler, access_log=None, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = address.rpartition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    return runner
