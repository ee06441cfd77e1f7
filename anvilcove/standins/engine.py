"""Stand-in of a model engine."""

import asyncio
import time
from typing import Any

from aiohttp import web

from anvilcove.messages.base import decode, encode
from anvilcove.messages.engines import (
    DoneEvent,
    EngineOrder,
    EngineState,
    Generate,
    LoadReport,
    TokenEvent,
)
from anvilcove.messages.services import EndpointRefusal
from anvilcove.standins.faults import add_fault_route


class EngineStandin:
    """Engine that emits one token of each running request per token time."""

    def __init__(
        self, endpoint: str, slots: int, token_time_s: float, model: str
    ) -> None:
        """Start idle with version 0 of the model."""
        self.endpoint = endpoint
        self.slots = slots
        self.token_time_s = token_time_s
        self.model = model
        self.version = 0
        self.fence = 0
        self.running = 0
        self.journal: list[dict[str, Any]] = []
        self.faults: dict[str, Any] = {}

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        self.faults = add_fault_route(app)
        app.router.add_post('/generate', self._generate)
        app.router.add_post('/orders', self._order)
        app.router.add_get('/state', self._state)
        app.router.add_get('/load', self._load)
        app.router.add_get('/journal', self._get_journal)
        return app

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        call = decode(await request.read(), Generate)
        if self.running >= self.slots:
            refusal = EndpointRefusal(run=False, reason='no free slot')
            return web.Response(body=encode(refusal), status=429)
        self.running += 1
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        try:
            await response.prepare(request)
            await self._stream(call, response)
        finally:
            self.running -= 1
        return response

    async def _stream(
        self, call: Generate, response: web.StreamResponse
    ) -> None:
        for index in range(len(call.resume_tokens), call.max_tokens):
            await asyncio.sleep(self.token_time_s)
            self.journal.append(
                {
                    'at_s': time.time(),
                    'request_id': call.request_id,
                    'index': index,
                    'version': self.version,
                }
            )
            event = TokenEvent(
                request_id=call.request_id,
                index=index,
                text=f't{index}',
                version=self.version,
            )
            await response.write(_event('token', event))
        done = DoneEvent(request_id=call.request_id, tokens=call.max_tokens)
        await response.write(_event('done', done))

    async def _order(self, request: web.Request) -> web.Response:
        order = decode(await request.read(), EngineOrder)
        if order.kind == 'load_version':
            self.version = order.version
        self.fence = max(self.fence, order.fence)
        return await self._state(request)

    async def _state(self, request: web.Request) -> web.Response:
        state = EngineState(
            endpoint=self.endpoint, model=self.model, version=self.version
        )
        return web.Response(
            body=encode(state), content_type='application/json'
        )

    async def _load(self, request: web.Request) -> web.Response:
        report = LoadReport(
            endpoint=self.endpoint,
            running=self.running,
            queued=0,
            capacity=self.slots,
            reported_at_s=time.time(),
        )
        return web.Response(
            body=encode(report), content_type='application/json'
        )

    async def _get_journal(self, request: web.Request) -> web.Response:
        return web.json_response(self.journal)


def _event(kind: str, message: object) -> bytes:
    return b'event: %s\ndata: %s\n\n' % (kind.encode(), encode(message))
