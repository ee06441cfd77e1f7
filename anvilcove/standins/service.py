"""Stand-in of a plain service."""

import asyncio
import time
from typing import Any

from aiohttp import web

from anvilcove.messages.base import decode, encode
from anvilcove.messages.engines import LoadReport
from anvilcove.messages.services import (
    EndpointRefusal,
    ServiceAnswer,
    ServiceCall,
)
from anvilcove.standins.faults import add_fault_route


class ServiceStandin:
    """Service with some parallel workers and a bounded queue."""

    def __init__(
        self, endpoint: str, workers: int, service_time_s: float, queue: int
    ) -> None:
        """Start idle."""
        self.endpoint = endpoint
        self.workers = asyncio.Semaphore(workers)
        self.capacity = workers
        self.service_time_s = service_time_s
        self.queue = queue
        self.waiting = 0
        self.running = 0
        self.journal: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        self.faults = add_fault_route(app)
        app.router.add_post('/call', self._call)
        app.router.add_get('/load', self._load)
        app.router.add_get('/journal', self._get_journal)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        call = decode(await request.read(), ServiceCall)
        if self.waiting >= self.queue:
            refusal = EndpointRefusal(run=False, reason='queue is full')
            return web.Response(body=encode(refusal), status=429)
        self.journal.append(
            {
                'at_s': time.time(),
                'request_id': call.request_id,
                'body': call.body,
            }
        )
        self.waiting += 1
        async with self.workers:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.service_time_s)
            finally:
                self.running -= 1
        answer = ServiceAnswer(
            request_id=call.request_id,
            complete=True,
            answer={'echo': call.body, 'endpoint': self.endpoint},
        )
        return web.Response(
            body=encode(answer), content_type='application/json'
        )

    async def _load(self, request: web.Request) -> web.Response:
        report = LoadReport(
            endpoint=self.endpoint,
            running=self.running,
            queued=self.waiting,
            capacity=self.capacity,
            reported_at_s=time.time(),
        )
        return web.Response(
            body=encode(report), content_type='application/json'
        )

    async def _get_journal(self, request: web.Request) -> web.Response:
        return web.json_response(self.journal)
