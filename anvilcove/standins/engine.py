"""Simulated model engine with an HTTP interface."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

from aiohttp import web
from msgspec.structs import asdict

from anvilcove.messages.base import decode, encode
from anvilcove.messages.engines import (
    CacheEvents,
    CancelGeneration,
    EngineState,
    WorkspaceGenerate,
)
from anvilcove.standins.batch import Batch, EngineOptions, Generation
from anvilcove.standins.faults import Standin, json_response, source_address
from anvilcove.standins.orders import OrderHandler

MAX_KV_CACHES = 256


class EngineStandin(Standin):
    """Engine that emits one token per running request in each step."""

    def __init__(self, options: EngineOptions) -> None:
        """Create an idle engine with version 0 of its model."""
        super().__init__()
        self.options = options
        self.batch = Batch(self, options)
        self.orders = OrderHandler(self, options, self.batch)
        self.kv_by_request: dict[str, Generation] = {}

    def app(self) -> web.Application:
        """Return the application with the routes of an engine."""
        app = super().app()
        app.cleanup_ctx.append(self._run_batch)
        app.router.add_post('/generate', self._generate)
        app.router.add_post('/cancel', self._cancel)
        app.router.add_get('/load', self._load)
        app.router.add_get('/cache_events', self._cache_events)
        app.router.add_post('/orders', self._handle_order)
        app.router.add_get('/state', self._state)
        app.router.add_get('/kv/{request_id}', self._export_kv)
        app.router.add_put('/kv/{request_id}', self._import_kv)
        return app

    async def _run_batch(self, app: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self.batch.run())
        yield
        task.cancel()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        call = decode(await request.read(), WorkspaceGenerate)
        self.write_journal(
            'received', source=source_address(request), **asdict(call)
        )
        if self.batch.closed:
            return self.refuse(call.request_id, 'switching weights')
        if self.batch.is_full():
            return self.refuse(call.request_id, 'queue is full')
        generation = Generation(
            call, lambda: is_connected(request), len(call.resume_tokens)
        )
        self.batch.add(generation)
        await generation.started.wait()
        if generation.started_s == 0.0:
            return self.refuse(call.request_id, generation.refusal)
        self._store_kv(generation)
        completed = False
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        try:
            await self.delay_response()
            await response.prepare(request)
            completed = await self._stream(generation, response)
        except ConnectionError:
            pass
        finally:
            self.batch.end(generation)
            self._write_finished(generation, completed)
        return response

    async def _stream(
        self, generation: Generation, response: web.StreamResponse
    ) -> bool:
        """Write the events and return whether the response was complete.

        `truncate` ends the stream after half of the tokens.
        """
        call = generation.call
        request_id = self.response_request_id(call.request_id)
        remaining_events = -1
        if self.consume_fault('truncate'):
            remaining_events = (call.max_tokens - len(call.resume_tokens)) // 2
        while (event := await generation.events.get()) is not None:
            if remaining_events == 0:
                return False
            remaining_events -= 1
            kind = 'done' if 'tokens' in event else 'token'
            data = encode({'request_id': request_id, **event})
            await response.write(
                b'event: %s\ndata: %s\n\n' % (kind.encode(), data)
            )
            if kind == 'done':
                return request_id == call.request_id
        return False

    def _write_finished(self, generation: Generation, completed: bool) -> None:
        self.write_journal(
            'finished',
            request_id=generation.call.request_id,
            prompt=generation.call.prompt,
            started_s=generation.started_s,
            ended_s=self.now(),
            versions=generation.versions,
            tokens=generation.index,
            completed=completed,
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        call = decode(await request.read(), CancelGeneration)
        found = self.batch.cancel(call.request_id)
        self.write_journal(
            'cancelled', request_id=call.request_id, found=found
        )
        return web.json_response({'cancelled': found})

    async def _load(self, request: web.Request) -> web.Response:
        return self.load_report(self.options.endpoint, self.options.slots)

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        return json_response(
            CacheEvents(events=self.batch.cache.events(after))
        )

    async def _handle_order(self, request: web.Request) -> web.Response:
        refusal = self.orders.handle(await request.read())
        return refusal or await self._state(request)

    async def _state(self, request: web.Request) -> web.Response:
        orders = self.orders
        state = EngineState(
            endpoint=self.options.endpoint,
            model=self.batch.model,
            version=self.batch.version,
            role=orders.role,
            swapping=orders.target is not None,
            adapters=orders.adapters,
            extra={
                'fence': orders.fence,
                'failed_swaps': orders.failed_swaps,
            },
        )
        return json_response(state)

    def _store_kv(self, generation: Generation) -> None:
        kv_caches = self.kv_by_request
        kv_caches.pop(generation.call.request_id, None)
        kv_caches[generation.call.request_id] = generation
        if len(kv_caches) > MAX_KV_CACHES:
            del kv_caches[next(iter(kv_caches))]

    async def _export_kv(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        generation = self.kv_by_request.get(request_id)
        if generation is None or generation.prefill_s > 0:
            raise web.HTTPNotFound()
        self.write_journal('kv_exported', request_id=request_id)
        return json_response(
            {
                'request_id': request_id,
                'prompt': generation.call.prompt,
                'tokens': generation.index,
            }
        )

    async def _import_kv(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        data = bytes.fromhex((await request.json())['data'])
        kv: dict[str, Any] = json.loads(data)
        if kv.get('request_id') != request_id:
            raise web.HTTPBadRequest(text='KV cache of another request')
        self.batch.imported[request_id] = kv['prompt'], kv['tokens']
        self.write_journal('kv_imported', request_id=request_id)
        return web.Response()


def is_connected(request: web.Request) -> bool:
    """Return whether the client of a request is still connected."""
    return request.transport is not None and not (
        request.transport.is_closing()
    )
