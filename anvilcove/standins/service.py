"""Simulated service that is not a model engine."""

import asyncio
from typing import Any

from aiohttp import web
from msgspec.structs import asdict
from xxhash import xxh32_intdigest

from anvilcove.messages.base import Message, decode, encode
from anvilcove.messages.services import ServiceAnswer, ServiceCall
from anvilcove.standins.faults import Standin, json_response, source_address

SCORING = 'scoring'


class ServiceOptions(Message):
    """Capacities and latencies of one simulated service."""

    endpoint: str
    pool: str = ''
    workers: int = 8
    queue: int = 64
    service_time_s: float = 0.01


class ServiceStandin(Standin):
    """Service with a fixed number of workers and a bounded queue."""

    def __init__(self, options: ServiceOptions) -> None:
        """Create an idle service."""
        super().__init__()
        self.options = options
        self.workers = asyncio.Semaphore(options.workers)
        self.queued = 0
        self.running = 0

    def app(self) -> web.Application:
        """Return the application with the routes of a service."""
        app = super().app()
        app.router.add_post('/call', self._call)
        app.router.add_get('/load', self._load)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        call = decode(await request.read(), ServiceCall)
        self.write_journal(
            'received', source=source_address(request), **asdict(call)
        )
        options = self.options
        if self.queued + self.running >= options.queue + options.workers:
            return self.refuse(call.request_id, 'queue is full')
        self._update_load(queued=1)
        async with self.workers:
            self._update_load(queued=-1, running=1)
            try:
                await self._run(call)
            finally:
                self._update_load(running=-1)
        await self.delay_response()
        return self._respond(call)

    def _update_load(self, queued: int = 0, running: int = 0) -> None:
        self.queued += queued
        self.running += running
        self.record_load(self.running, self.queued)

    async def _run(self, call: ServiceCall) -> None:
        self.write_journal('started', **asdict(call))
        crash_marker = self.faults.get('crash_on')
        if crash_marker and crash_marker in encode(call.body).decode():
            self.crash(f'body contains {crash_marker!r}', call.request_id)
        await self.sleep(self.options.service_time_s)

    def _respond(self, call: ServiceCall) -> web.Response:
        answer: dict[str, Any] = {
            'echo': call.body,
            'endpoint': self.options.endpoint,
        }
        if self.options.pool == SCORING:
            assert isinstance(call.body, dict)
            answer['score'] = score(call.body.get('tokens', []))
        message = ServiceAnswer(
            request_id=self.response_request_id(call.request_id),
            complete=True,
            answer=answer,
        )
        truncated = self.consume_fault('truncate')
        self.write_journal(
            'finished',
            request_id=call.request_id,
            completed=not truncated and message.request_id == call.request_id,
        )
        if truncated:
            data = encode(message)
            return web.Response(body=data[: len(data) // 2])
        return json_response(message)

    async def _load(self, request: web.Request) -> web.Response:
        return self.load_report(self.options.endpoint, self.options.workers)


def score(tokens: list[str]) -> float:
    """Return a deterministic score from 0 to 1 for the tokens of a sample."""
    return xxh32_intdigest(' '.join(tokens).encode()) / 2**32
