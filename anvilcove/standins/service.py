"""Stand-in of a plain service."""

import asyncio
from typing import Any

from aiohttp import web
from msgspec.structs import asdict
from xxhash import xxh32_intdigest

from anvilcove.messages.base import Message, decode, encode
from anvilcove.messages.services import ServiceAnswer, ServiceCall
from anvilcove.standins.faults import Standin, json_response, source

SCORING = 'scoring'


class ServiceOptions(Message):
    """Sizes and times of one service."""

    endpoint: str
    pool: str = ''
    workers: int = 8
    queue: int = 64
    service_time_s: float = 0.01


class ServiceStandin(Standin):
    """Service with some parallel workers and a bounded queue."""

    def __init__(self, options: ServiceOptions) -> None:
        """Start idle."""
        super().__init__()
        self.options = options
        self.workers = asyncio.Semaphore(options.workers)
        self.queued = 0
        self.running = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = super().app()
        app.router.add_post('/call', self._call)
        app.router.add_get('/load', self._load)
        return app

    async def _call(self, request: web.Request) -> web.Response:
        call = decode(await request.read(), ServiceCall)
        self.write('received', source=source(request), **asdict(call))
        options = self.options
        if self.queued + self.running >= options.queue + options.workers:
            return self.refuse(call.request_id, 'queue is full')
        self._count(queued=1)
        async with self.workers:
            self._count(queued=-1, running=1)
            try:
                await self._run(call)
            finally:
                self._count(running=-1)
        await self.wait_late()
        return self._answer(call)

    def _count(self, queued: int = 0, running: int = 0) -> None:
        self.queued += queued
        self.running += running
        self.record_load(self.running, self.queued)

    async def _run(self, call: ServiceCall) -> None:
        self.write('started', **asdict(call))
        poison = self.faults.get('crash_on')
        if poison and poison in encode(call.body).decode():
            self.crash(f'body contains {poison!r}', call.request_id)
        await self.sleep(self.options.service_time_s)

    def _answer(self, call: ServiceCall) -> web.Response:
        answer: dict[str, Any] = {
            'echo': call.body,
            'endpoint': self.options.endpoint,
        }
        if self.options.pool == SCORING:
            answer['score'] = score(call.body.get('tokens', []))
        message = ServiceAnswer(
            request_id=self.answer_id(call.request_id),
            complete=True,
            answer=answer,
        )
        truncated = self.take('truncate')
        self.write(
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
    """Return the score of a sample, from 0 to 1, the same on every call."""
    return xxh32_intdigest(' '.join(tokens).encode()) / 2**32
