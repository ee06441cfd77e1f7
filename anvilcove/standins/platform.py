"""Simulated table, object, weight and membership services."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from xxhash import xxh64_hexdigest

from anvilcove.messages.base import Message, decode, encode
from anvilcove.messages.membership import Members
from anvilcove.messages.table import (
    ReadRows,
    Row,
    Rows,
    ScanRows,
    Transaction,
    TransactionResult,
)
from anvilcove.standins.faults import (
    Standin,
    abort_connection,
    json_response,
)
from anvilcove.standins.weights import WeightStore

# A short burst keeps the calls in any second close to the rate.
BURST_S = 0.25
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformOptions(Message):
    """Rate limits and latencies of the shared platform services."""

    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    store_time_s: float = 0.001
    weights_bytes: int = 4 * 2**20
    weights_bytes_per_s: float = 16 * 2**20


class RateLimit:
    """Token bucket that holds at most BURST_S seconds of calls."""

    def __init__(self, rate_per_s: float) -> None:
        """Create a full bucket."""
        self.rate_per_s = rate_per_s
        self._tokens = rate_per_s * BURST_S
        self._refilled_at_s = 0.0

    def allow(self, now: float) -> bool:
        """Consume a token, or return False if there is none."""
        refill = (now - self._refilled_at_s) * self.rate_per_s
        self._tokens = min(self.rate_per_s * BURST_S, self._tokens + refill)
        self._refilled_at_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class PlatformStandin(Standin):
    """In-memory table, object store, weight store and membership list."""

    def __init__(self, options: PlatformOptions | None = None) -> None:
        """Create empty services."""
        self.options = options or PlatformOptions()
        super().__init__()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.members: list[tuple[float, Members]] = [(0.0, Members())]
        self.last_revision = 0
        self._active_requests: dict[int, web.Request] = {}
        self.writes = RateLimit(self.options.writes_per_s)
        self.reads = RateLimit(self.options.reads_per_s)
        self.weights = WeightStore(
            self, self.options.weights_bytes, self.options.weights_bytes_per_s
        )

    def app(self) -> web.Application:
        """Return the application that serves all four services."""
        app = super().app()
        app.middlewares.append(self._abort_cut_calls)
        app.router.add_post('/table/txn', self._transact)
        app.router.add_post('/table/read', self._read)
        app.router.add_post('/table/scan', self._scan)
        app.router.add_put('/objects/{name:.+}', self._put_object)
        app.router.add_get('/objects/{name:.+}', self._get_object)
        app.router.add_get('/members', self._get_members)
        app.router.add_put('/members', self._put_members)
        self.weights.add_routes(app)
        return app

    @web.middleware
    async def _abort_cut_calls(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self._is_cut(request):
            return abort_connection(request)
        self._active_requests[id(request)] = request
        try:
            return await handler(request)
        finally:
            del self._active_requests[id(request)]

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Update the fault switches and abort calls from cut-off addresses."""
        super().set_faults(switches)
        for request in self._active_requests.values():
            if self._is_cut(request):
                abort_connection(request)

    def _is_cut(self, request: web.Request) -> bool:
        prefixes = self.faults.get('down_for', [])
        return any(
            has_ip_prefix(request.remote, prefix) for prefix in prefixes
        )

    async def _admit_call(self, limit: RateLimit) -> None:
        """Wait for the store latency, or raise HTTP 503 or 429.

        Nothing has been applied at that point.
        """
        self._check_available()
        if not limit.allow(self.now()):
            self.write_journal('rate_limited', writes=limit is self.writes)
            raise web.HTTPTooManyRequests()
        await self.sleep(
            self.faults.get('store_delay_s', self.options.store_time_s)
        )
        self._check_available()

    def _check_available(self) -> None:
        if self.faults.get('store_down'):
            raise web.HTTPServiceUnavailable()

    async def _transact(self, request: web.Request) -> web.Response:
        # The body is read before the delay: a client that gives up during
        # the delay must not prevent the write.
        change = decode(await request.read(), Transaction)
        await self._admit_call(self.writes)
        result = self._apply(change)
        if result.committed and self._loses_response(change):
            self.write_journal(
                'answer_lost', keys=[put.key for put in change.puts]
            )
            return abort_connection(request)
        return json_response(result)

    def _loses_response(self, change: Transaction) -> bool:
        prefix = self.faults.get('lose_answers_prefix', '')
        keys = [*(put.key for put in change.puts), *change.deletes]
        return any(
            key.startswith(prefix) for key in keys
        ) and self.consume_fault('lose_answers')

    def _apply(self, change: Transaction) -> TransactionResult:
        conflicts = [
            self._row(check.key)
            for check in change.checks
            if self._row(check.key).revision != check.revision
        ]
        if conflicts:
            return TransactionResult(committed=False, conflicts=conflicts)
        self.last_revision += 1
        for put in change.puts:
            self.rows[put.key] = Row(
                key=put.key, revision=self.last_revision, value=put.value
            )
            self.write_journal('put', key=put.key, value=put.value)
        for key in change.deletes:
            self.rows.pop(key, None)
            self.write_journal('delete', key=key)
        return TransactionResult(
            committed=True,
            revisions={put.key: self.last_revision for put in change.puts},
        )

    def _row(self, key: str) -> Row:
        return self.rows.get(key) or Row(key=key)

    async def _read(self, request: web.Request) -> web.Response:
        keys = decode(await request.read(), ReadRows).keys
        await self._admit_call(self.reads)
        return json_response(Rows(rows=[self._row(key) for key in keys]))

    async def _scan(self, request: web.Request) -> web.Response:
        scan = decode(await request.read(), ScanRows)
        await self._admit_call(self.reads)
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(scan.prefix) and key > scan.after
        )
        rows = [self.rows[key] for key in keys[: scan.limit]]
        return json_response(Rows(rows=rows))

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._admit_call(self.writes)
        name = request.match_info['name']
        self.objects[name] = data
        self.write_journal('object_put', name=name, size_bytes=len(data))
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._admit_call(self.reads)
        data = self.objects.get(request.match_info['name'])
        if data is None:
            raise web.HTTPNotFound()
        return web.Response(body=data)

    async def _get_members(self, request: web.Request) -> web.Response:
        if self.faults.get('members_down'):
            raise web.HTTPServiceUnavailable()
        lags = self.faults.get('members_lag_s', {})
        lag_s = max(
            (lags[p] for p in lags if has_ip_prefix(request.remote, p)),
            default=0.0,
        )
        as_of = self.now() - lag_s
        visible = [members for at_s, members in self.members if at_s <= as_of]
        return etag_response(request, visible[-1])

    async def _put_members(self, request: web.Request) -> web.Response:
        members = decode(await request.read(), Members)
        self.members.append((self.now(), members))
        self.write_journal('members', members=members)
        return web.Response()


def etag_response(request: web.Request, message: object) -> web.Response:
    """Return a message with its ETag, or 304 if the client has it."""
    tag = xxh64_hexdigest(encode(message))
    if any(known.value == tag for known in request.if_none_match or ()):
        response = web.Response(status=304)
    else:
        response = json_response(message)
    response.etag = tag
    return response


def has_ip_prefix(ip: str | None, prefix: str) -> bool:
    """Return whether an IP address starts with a prefix of whole octets."""
    octets = prefix.rstrip('.').split('.')
    return ip is not None and ip.split('.')[: len(octets)] == octets
