"""Stand-in of the table, object, weight and membership services."""

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
    cut_connection,
    json_response,
)
from anvilcove.standins.weights import WeightStore

# The burst is short, so that a second holds little more than the rate.
BURST_S = 0.25
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PlatformOptions(Message):
    """Limits of the platform's shared systems."""

    writes_per_s: float = 400.0
    reads_per_s: float = 2_000.0
    store_time_s: float = 0.001
    weights_bytes: int = 4 * 2**20
    weights_bytes_per_s: float = 16 * 2**20


class RateLimit:
    """Token bucket."""

    def __init__(self, per_s: float) -> None:
        """Start full."""
        self.per_s = per_s
        self._left = per_s * BURST_S
        self._at_s = 0.0

    def allow(self, now: float) -> bool:
        """Take one call, or return False above the rate."""
        refill = (now - self._at_s) * self.per_s
        self._left = min(self.per_s * BURST_S, self._left + refill)
        self._at_s = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class PlatformStandin(Standin):
    """Rows, objects, weights and members in memory."""

    def __init__(self, options: PlatformOptions | None = None) -> None:
        """Start empty."""
        self.options = options or PlatformOptions()
        super().__init__()
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.members: list[tuple[float, Members]] = [(0.0, Members())]
        self.counter = 0
        self._open: dict[int, web.Request] = {}
        self.writes = RateLimit(self.options.writes_per_s)
        self.reads = RateLimit(self.options.reads_per_s)
        self.weights = WeightStore(
            self, self.options.weights_bytes, self.options.weights_bytes_per_s
        )

    def app(self) -> web.Application:
        """Return the application that serves all four services."""
        app = super().app()
        app.middlewares.append(self._cut)
        app.router.add_post('/table/txn', self._txn)
        app.router.add_post('/table/read', self._read)
        app.router.add_post('/table/scan', self._scan)
        app.router.add_put('/objects/{name:.+}', self._put_object)
        app.router.add_get('/objects/{name:.+}', self._get_object)
        app.router.add_get('/members', self._get_members)
        app.router.add_put('/members', self._put_members)
        self.weights.add_routes(app)
        return app

    @web.middleware
    async def _cut(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if self._is_cut(request):
            return cut_connection(request)
        self._open[id(request)] = request
        try:
            return await handler(request)
        finally:
            del self._open[id(request)]

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Merge switches and cut the calls in progress of cut addresses."""
        super().set_faults(switches)
        for request in self._open.values():
            if self._is_cut(request):
                cut_connection(request)

    def _is_cut(self, request: web.Request) -> bool:
        prefixes = self.faults.get('down_for', [])
        return any(in_prefix(request.remote, prefix) for prefix in prefixes)

    async def _gate(self, limit: RateLimit) -> None:
        """Raise 503 or 429 before anything is applied."""
        self._check_up()
        if not limit.allow(self.now()):
            self.write('rate_limited', writes=limit is self.writes)
            raise web.HTTPTooManyRequests()
        await self.sleep(
            self.faults.get('store_delay_s', self.options.store_time_s)
        )
        self._check_up()

    def _check_up(self) -> None:
        if self.faults.get('store_down'):
            raise web.HTTPServiceUnavailable()

    async def _txn(self, request: web.Request) -> web.Response:
        # The body is read before the delay: a client that gives up during
        # the delay must not prevent the write.
        change = decode(await request.read(), Transaction)
        await self._gate(self.writes)
        result = self._apply(change)
        if result.committed and self._loses_answer(change):
            self.write('answer_lost', keys=[put.key for put in change.puts])
            return cut_connection(request)
        return json_response(result)

    def _loses_answer(self, change: Transaction) -> bool:
        prefix = self.faults.get('lose_answers_prefix', '')
        keys = [*(put.key for put in change.puts), *change.deletes]
        return any(key.startswith(prefix) for key in keys) and self.take(
            'lose_answers'
        )

    def _apply(self, change: Transaction) -> TransactionResult:
        conflicts = [
            self._row(check.key)
            for check in change.checks
            if self._row(check.key).revision != check.revision
        ]
        if conflicts:
            return TransactionResult(committed=False, conflicts=conflicts)
        self.counter += 1
        for put in change.puts:
            self.rows[put.key] = Row(
                key=put.key, revision=self.counter, value=put.value
            )
            self.write('put', key=put.key, value=put.value)
        for key in change.deletes:
            self.rows.pop(key, None)
            self.write('delete', key=key)
        return TransactionResult(
            committed=True,
            revisions={put.key: self.counter for put in change.puts},
        )

    def _row(self, key: str) -> Row:
        return self.rows.get(key) or Row(key=key)

    async def _read(self, request: web.Request) -> web.Response:
        keys = decode(await request.read(), ReadRows).keys
        await self._gate(self.reads)
        return json_response(Rows(rows=[self._row(key) for key in keys]))

    async def _scan(self, request: web.Request) -> web.Response:
        scan = decode(await request.read(), ScanRows)
        await self._gate(self.reads)
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(scan.prefix) and key > scan.after
        )
        rows = [self.rows[key] for key in keys[: scan.limit]]
        return json_response(Rows(rows=rows))

    async def _put_object(self, request: web.Request) -> web.Response:
        data = await request.read()
        await self._gate(self.writes)
        name = request.match_info['name']
        self.objects[name] = data
        self.write('object_put', name=name, size_bytes=len(data))
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._gate(self.reads)
        data = self.objects.get(request.match_info['name'])
        if data is None:
            raise web.HTTPNotFound()
        return web.Response(body=data)

    async def _get_members(self, request: web.Request) -> web.Response:
        if self.faults.get('members_down'):
            raise web.HTTPServiceUnavailable()
        lags = self.faults.get('members_lag_s', {})
        lag_s = max(
            (lags[p] for p in lags if in_prefix(request.remote, p)),
            default=0.0,
        )
        as_of = self.now() - lag_s
        old = [members for at_s, members in self.members if at_s <= as_of]
        return tagged(request, old[-1])

    async def _put_members(self, request: web.Request) -> web.Response:
        members = decode(await request.read(), Members)
        self.members.append((self.now(), members))
        self.write('members', members=members)
        return web.Response()


def tagged(request: web.Request, message: object) -> web.Response:
    """Answer with a message, or 304 if the client holds it already."""
    tag = xxh64_hexdigest(encode(message))
    if any(known.value == tag for known in request.if_none_match or ()):
        response = web.Response(status=304)
    else:
        response = json_response(message)
    response.etag = tag
    return response


def in_prefix(ip: str | None, prefix: str) -> bool:
    """Tell whether an IP number has a prefix of whole octets."""
    octets = prefix.rstrip('.').split('.')
    return ip is not None and ip.split('.')[: len(octets)] == octets
