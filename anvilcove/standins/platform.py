"""Stand-in of the table, object, weight and membership services."""

import asyncio
import time
from typing import Any

from aiohttp import web

from anvilcove.messages.base import decode, encode
from anvilcove.messages.membership import Members
from anvilcove.messages.table import (
    ReadRows,
    Row,
    Rows,
    ScanRows,
    Transaction,
    TransactionResult,
)
from anvilcove.messages.trainers import WeightsPublished
from anvilcove.standins.faults import add_fault_route


class PlatformStandin:
    """Rows, objects, weights and members in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.versions: dict[str, int] = {}
        self.members = Members()
        self.counter = 0
        self.journal: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}

    def app(self) -> web.Application:
        """Return the application that serves all four services."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.faults = add_fault_route(app)
        app.router.add_post('/table/txn', self._txn)
        app.router.add_post('/table/read', self._read)
        app.router.add_post('/table/scan', self._scan)
        app.router.add_put('/objects/{name:.+}', self._put_object)
        app.router.add_get('/objects/{name:.+}', self._get_object)
        app.router.add_get('/weights/{model}', self._newest)
        app.router.add_put('/weights/{model}/{version}', self._put_weights)
        app.router.add_get('/weights/{model}/{version}', self._get_weights)
        app.router.add_get('/members', self._members)
        app.router.add_put('/members', self._put_members)
        app.router.add_get('/journal', self._journal)
        return app

    async def _gate(self) -> None:
        if self.faults.get('store_down'):
            raise web.HTTPServiceUnavailable()
        await asyncio.sleep(self.faults.get('store_delay_s', 0.001))

    async def _txn(self, request: web.Request) -> web.Response:
        await self._gate()
        change = decode(await request.read(), Transaction)
        result = self._apply(change)
        if result.committed and self.faults.get('lose_answers'):
            self.faults['lose_answers'] -= 1
            assert request.transport is not None
            request.transport.abort()
        return _json(result)

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
            self.journal.append(
                {'at_s': time.time(), 'key': put.key, 'value': put.value}
            )
        for key in change.deletes:
            self.rows.pop(key, None)
        return TransactionResult(
            committed=True,
            revisions={put.key: self.counter for put in change.puts},
        )

    def _row(self, key: str) -> Row:
        return self.rows.get(key) or Row(key=key)

    async def _read(self, request: web.Request) -> web.Response:
        await self._gate()
        keys = decode(await request.read(), ReadRows).keys
        return _json(Rows(rows=[self._row(key) for key in keys]))

    async def _scan(self, request: web.Request) -> web.Response:
        await self._gate()
        scan = decode(await request.read(), ScanRows)
        keys = sorted(
            key
            for key in self.rows
            if key.startswith(scan.prefix) and key > scan.after
        )
        return _json(Rows(rows=[self.rows[k] for k in keys[: scan.limit]]))

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._gate()
        self.objects[request.match_info['name']] = await request.read()
        return web.Response()

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._gate()
        data = self.objects.get(request.match_info['name'])
        if data is None:
            raise web.HTTPNotFound()
        return web.Response(body=data)

    async def _newest(self, request: web.Request) -> web.Response:
        model = request.match_info['model']
        version = self.versions.get(model, 0)
        return _json(WeightsPublished(model=model, version=version))

    async def _put_weights(self, request: web.Request) -> web.Response:
        model = request.match_info['model']
        self.versions[model] = int(request.match_info['version'])
        return web.Response()

    async def _get_weights(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.get('weights_s', 0.1))
        return web.Response(body=b'weights')

    async def _members(self, request: web.Request) -> web.Response:
        return _json(self.members)

    async def _put_members(self, request: web.Request) -> web.Response:
        self.members = decode(await request.read(), Members)
        return web.Response()

    async def _journal(self, request: web.Request) -> web.Response:
        return web.json_response(self.journal)


def _json(message: object) -> web.Response:
    return web.Response(body=encode(message), content_type='application/json')
