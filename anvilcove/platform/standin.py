"""Stand-in for the users' platform: store, model servers and plain servers.

It implements the published protocol on loopback addresses, within one process,
and can inject the faults that the tests and the soak use.
"""

import asyncio
import hashlib
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote
from weakref import WeakKeyDictionary, WeakSet

from aiohttp import ClientConnectionResetError, web
from msgspec import json
from multidict import CIMultiDictProxy

from anvilcove.platform.names import (
    ATTEMPT_ID,
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    RESUMES,
    SERVER_LOAD,
    SERVER_STAMP,
    TENANT,
    WEIGHT_VERSIONS,
)
from anvilcove.platform.standin_answers import (
    cut_head,
    send_half,
    send_odd_status,
    send_without_end,
)
from anvilcove.platform.standin_faults import (
    ABORTING,
    CRASHING,
    EARLY_CRASH_COUNT,
    EARLY_CRASHES,
    FAILING,
    FAILURE_TIME_S,
    LARGE,
    LARGE_BYTES,
    LARGE_EVENTS,
    LASTING,
    LASTING_S,
    LATE_ABORT_EVENTS,
    LATE_ABORTING,
    LONG,
    LONG_EVENT,
    MALFORMED,
    REFUSED,
    REJECTED,
    STALLING,
    UNSEEN_RUN_S,
    ServerFaults,
    content_marker,
    is_chosen,
    late_response,
    lateness_s,
    report_headers,
    reset_connection,
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

MAX_BODY_BYTES = 33_554_432
# Headers that each call has once, and one that callers add to items.
SET_ONCE = ('Host', ATTEMPT_ID, DEADLINE_MS, EXPECT_INSTANCE)
OWN_HEADER = 'X-Item'
# Id of a request that stands in the bodies of items, and such a body. Read as
# chunks it ends with its first line; nobody sends the request.
SMUGGLED_ID = 'smuggled'
SMUGGLED = (
    b'0\r\n\r\nPOST /job/smuggled HTTP/1.1\r\nHost: h.example\r\n'
    b'Attempt-Id: smuggled\r\nContent-Length: 0\r\n\r\n'
)
# Largest object of the store.
MAX_OBJECT_BYTES = 8_388_608
MAX_HEADER_BYTES = 65_536
# Time between two events of a generation.
EVENT_INTERVAL_S = 0.02
# Time in which a model server loads a version.
LOAD_TIME_S = 0.5
# Body of the answer to a resumption that fails.
FAILURE_TEXT = b'internal error'
# Line of an event that names the software version of the server.
SOFTWARE_FIELD = 'made-by'


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
            data = await request.read()
            if len(data) > MAX_OBJECT_BYTES:
                return web.Response(status=413)
            await self.store.put_object(name, data)
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


class ServerStandin:
    """Stand-in for a plain server or, with a model, a model server."""

    def __init__(self, instance: str, model: str = '', slots: int = 8) -> None:
        """Create a server; a model server holds version 1 of its model."""
        self.name = instance
        self.instance = instance
        self.starts = 1
        # Version of its software, and that of its next start.
        self.software = self.next_software = 'v1'
        self.model = model
        self.slots = slots
        self.version = 1
        self.order_count = 0
        self.loading = False
        self.running = 0
        self.faults = ServerFaults()
        self._used_transports: WeakSet[asyncio.BaseTransport] = WeakSet()
        # Second responses that are due on a connection.
        self._late_responses: WeakKeyDictionary[
            asyncio.WriteTransport, bytes
        ] = WeakKeyDictionary()
        self._running_unseen: set[str] = set()
        self._load_timer: asyncio.TimerHandle | None = None
        # Called when a content crashes the server.
        self.on_crash: Callable[[], None] = lambda: None
        # Time, attempt id and path of each crash.
        self.crashes: list[tuple[float, str, str]] = []
        # Number of crashes by path; servers of one site may share it.
        self.crash_count_by_path: Counter[str] = Counter()
        # Number of responses by attempt id and status, 500 and 422 only.
        self.failures: Counter[tuple[str, int]] = Counter()
        # Attempt id, path and body digest of each request that began to run.
        self.runs: list[tuple[str, str, str]] = []
        self.run_at_s: list[float] = []
        # Start of the server at each run.
        self.run_instances: list[str] = []
        # Workspaces that each run named, normally one or none.
        self.run_workspaces: list[list[str]] = []
        # Attempt ids of calls that carried a key, which none may.
        self.keyed_calls: list[str] = []
        # Attempt ids of calls with a header of the service twice, and the
        # header with which callers mark their items.
        self.ambiguous_calls: list[str] = []
        self.own_header_by_attempt: dict[str, str] = {}
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
        self._send_late_response(transport)
        attempt = request.headers.get(ATTEMPT_ID, '')
        self._note_headers(attempt, request.headers)
        if AUTHORIZATION in request.headers:
            self.keyed_calls.append(attempt)
        if self._is_refused(attempt, request.raw_path):
            return _refusal(request, 503, report_headers(self.faults))
        digest = hashlib.sha256(body).hexdigest()[:8]
        self.runs.append((attempt, request.raw_path, digest))
        self.run_at_s.append(asyncio.get_running_loop().time())
        self.run_instances.append(self.instance)
        self.run_workspaces.append(request.headers.getall(TENANT, []))
        self.running += 1
        try:
            return await self._run(request, attempt, digest)
        except ClientConnectionResetError:
            # The caller has closed the connection.
            return web.Response(status=500)
        finally:
            self.running -= 1
            self._schedule_faults(transport, attempt, digest)

    def _is_refused(self, attempt: str, path: str) -> bool:
        """Tell whether a request is refused without a run."""
        full = self.loading or self.running >= self.slots
        return (
            full
            or self.faults.refusing
            or attempt in self._running_unseen
            or content_marker(path) == REFUSED
        )

    def _note_headers(
        self, attempt: str, headers: CIMultiDictProxy[str]
    ) -> None:
        """Note headers of the service that come twice, and the marker."""
        if any(len(headers.getall(name, ['', ''])) != 1 for name in SET_ONCE):
            self.ambiguous_calls.append(attempt)
        marker = headers.get(OWN_HEADER)
        if marker is not None:
            self.own_header_by_attempt[attempt] = marker

    async def _run(
        self, request: web.BaseRequest, attempt: str, digest: str
    ) -> web.StreamResponse:
        transport = request.transport
        assert transport is not None
        marker = content_marker(request.raw_path)
        if marker == EARLY_CRASHES and self._has_crashed_enough(
            request.raw_path
        ):
            marker = ''
        marker = marker or self.faults.next_marker()
        if marker:
            return await self._run_harmful(marker, request, attempt)
        if self.faults.silent or request.raw_path.startswith(
            self.faults.silent_prefixes
        ):
            await asyncio.sleep(3600)
        spoiled = await self._spoiled_answer(request, attempt, digest)
        if spoiled is not None:
            return spoiled
        if self.model:
            return await self._generate(request, attempt)
        if self.faults.break_after_s:
            await self._run_unseen(transport, attempt)
        lasting = request.raw_path.rpartition('/')[2].startswith(LASTING)
        await asyncio.sleep(LASTING_S if lasting else self.faults.work_s)
        if self.faults.breaking:
            transport.abort()
        answer = self._answer(attempt, digest)
        if request.raw_path.rpartition('/')[2].startswith(LARGE):
            answer.body = b'x' * LARGE_BYTES
        if self.faults.cutting:
            return await send_half(request, answer)
        return answer

    async def _spoiled_answer(
        self, request: web.BaseRequest, attempt: str, digest: str
    ) -> web.Response | None:
        """Send an answer that is not sound, if a fault asks for one."""
        answer = self._answer(attempt, digest)
        if self.faults.head_bytes:
            return cut_head(request, answer, self.faults.head_bytes)
        if self.faults.odd_status:
            return send_odd_status(request, answer, self.faults.odd_status)
        if self.faults.endless:
            return await send_without_end(request, answer, self.faults.endless)
        return None

    async def _run_harmful(
        self, marker: str, request: web.BaseRequest, attempt: str
    ) -> web.StreamResponse:
        path, transport = request.raw_path, request.transport
        assert transport is not None
        if marker == LATE_ABORTING and self.model:
            return await self._generate(request, attempt, LATE_ABORT_EVENTS)
        if marker in (CRASHING, EARLY_CRASHES):
            self.crash_count_by_path[path] += 1
            now_s = asyncio.get_running_loop().time()
            self.crashes.append((now_s, attempt, path))
            self.on_crash()
            await asyncio.sleep(3600)
        if marker == STALLING:
            await asyncio.sleep(3600)
        await asyncio.sleep(FAILURE_TIME_S)
        if marker in (ABORTING, LATE_ABORTING):
            transport.abort()
            return web.Response(status=500)
        if marker == MALFORMED:
            return web.Response(headers=self._headers(f'not-{attempt}'))
        assert marker in (FAILING, REJECTED)
        status = 500 if marker == FAILING else 422
        self.failures[(attempt, status)] += 1
        return web.Response(status=status, headers=self._headers(attempt))

    def _has_crashed_enough(self, path: str) -> bool:
        return self.crash_count_by_path[path] >= EARLY_CRASH_COUNT

    async def _run_unseen(
        self, transport: asyncio.BaseTransport, attempt: str
    ) -> None:
        """Break the connection of a request and go on with the run."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.faults.break_after_s, reset_connection, transport)
        self._running_unseen.add(attempt)
        loop.call_later(UNSEEN_RUN_S, self._running_unseen.discard, attempt)
        await asyncio.sleep(UNSEEN_RUN_S)

    def _schedule_faults(
        self, transport: asyncio.WriteTransport, attempt: str, digest: str
    ) -> None:
        """Prepare what follows a response on its connection."""
        loop = asyncio.get_running_loop()
        if self.faults.resets_after:
            loop.call_later(0.005, reset_connection, transport)
        if self.faults.late_id:
            other = self.runs[-2][0] if len(self.runs) > 1 else 'unknown'
            self._late_responses[transport] = late_response(
                self.faults.late_id, self.instance, attempt, digest, other
            )
            loop.call_later(
                lateness_s(attempt), self._send_late_response, transport
            )

    def _send_late_response(self, transport: asyncio.WriteTransport) -> None:
        """Send the second response that is due, before any other one."""
        late = self._late_responses.pop(transport, b'')
        if late and not transport.is_closing():
            transport.write(late)

    def restart(self) -> None:
        """Come back as a new instance that has the same weights."""
        self.starts += 1
        self.software = self.next_software
        self.instance = f'{self.name}.{self.starts}'
        self.order_count = 0
        self.loading = False
        if self._load_timer is not None:
            self._load_timer.cancel()

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
            **report_headers(self.faults),
        }

    async def _generate(
        self,
        request: web.BaseRequest,
        attempt: str,
        break_after: int | None = None,
    ) -> web.StreamResponse:
        if break_after is None:
            break_after = self.faults.break_after
        headers = self._headers(attempt)
        status = self._resumption_status(request, attempt)
        if status:
            self.failures[(attempt, status)] += 1
            return web.Response(
                status=status, headers=headers, body=FAILURE_TEXT
            )
        # A caller that resumes its stream names the attempt that began it.
        subject = request.headers.get(RESUMES, attempt)
        first_event = int(request.headers.get(LAST_EVENT_ID, '0')) + 1
        if first_event <= event_count(subject):
            # Servers omit this header if no event is left to send.
            headers[WEIGHT_VERSIONS] = str(self.version)
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        await response.prepare(request)
        sent_version = self.version
        software = self.software
        name = request.raw_path.rpartition('/')[2]
        is_large = name.startswith(LARGE)
        count = LARGE_EVENTS if is_large else event_count(subject)
        for number in range(first_event, count + 1):
            if not is_large:
                await asyncio.sleep(EVENT_INTERVAL_S)
            if break_after == number - 1:
                assert request.transport is not None
                request.transport.abort()
                return response
            lines = []
            if self.version != sent_version:
                sent_version = self.version
                lines.append(f'{WEIGHT_VERSIONS.lower()}: {sent_version}')
            lines.append(f'{SOFTWARE_FIELD}: {software}')
            lines += [f'id: {number}', f'data: {subject}:{number}']
            if name.startswith((LONG, LARGE)):
                lines.append(f'data: {LONG_EVENT}')
            event = '\n'.join([*lines, '', '']).encode()
            if self.faults.stop_after == number - 1:
                part = min(self.faults.stop_bytes, len(event) - 1)
                await response.write(event[:part])
                break
            self.versions_by_event.setdefault((attempt, number), set()).add(
                sent_version
            )
            await response.write(event)
        await response.write_eof()
        return response

    def _resumption_status(
        self, request: web.BaseRequest, attempt: str
    ) -> int:
        """Return the status with which a resumption fails, 0 if it is run."""
        after = request.headers.get(LAST_EVENT_ID, '0')
        faults = self.faults
        if after == '0' or not is_chosen(
            attempt, after, faults.resumption_share
        ):
            return 0
        return faults.resumption_status

    def _accept_order(self, data: dict[str, Any]) -> web.Response:
        if self.loading or data['expected'] != self.order_count:
            return web.Response(status=409)
        if data['version'] <= self.version:
            return web.Response(status=200)
        self.order_count += 1
        self.loading = True
        self._load_timer = asyncio.get_running_loop().call_later(
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
                'version': self.software,
                'batch-size': self.slots,
                'state': 'ready',
                'models': models if self.model else [],
                'sequence': 1,
                'born': self.starts,
            }
        )


def _refusal(
    request: web.BaseRequest,
    status: int,
    report: dict[str, str] | None = None,
) -> web.Response:
    """Return the refusal of a request that was not run."""
    headers = {NOT_EXECUTED: '1', **(report or {})}
    if ATTEMPT_ID in request.headers:
        headers[ATTEMPT_ID] = request.headers[ATTEMPT_ID]
    return web.Response(status=status, headers=headers)


def event_count(attempt: str) -> int:
    """Return the number of events of an item, derived from its id."""
    return 3 + hashlib.sha256(attempt.encode()).digest()[0] % 12


def complete_text(attempt: str) -> str:
    """Return the complete text that a server generates for an item."""
    numbers = range(1, event_count(attempt) + 1)
    return '\n'.join(f'{attempt}:{number}' for number in numbers)


async def serve(handler: Any, address: str) -> web.ServerRunner:
    """Listen on ip:port and return the runner, whose `cleanup` closes it."""

    def make_request(*connection_state: Any) -> web.BaseRequest:
        message, payload, protocol, writer, task = connection_state
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=MAX_BODY_BYTES,
        )

    server = web.Server(
        handler,
        request_factory=make_request,
        access_log=None,
        handler_cancellation=True,
        max_field_size=MAX_HEADER_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = address.rpartition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    return runner
