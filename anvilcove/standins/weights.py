"""Simulated weight store whose downloads share one bandwidth limit."""

import asyncio

from aiohttp import web

from anvilcove.messages.trainers import WeightsPublished
from anvilcove.standins.faults import Standin, json_response

CHUNK_BYTES = 65_536


class WeightStore:
    """Newest published version of the weights of each model."""

    def __init__(
        self, standin: Standin, size_bytes: int, bytes_per_s: float
    ) -> None:
        """Create a store without versions; each has `size_bytes` bytes."""
        self.standin = standin
        self.size_bytes = size_bytes
        self.bytes_per_s = bytes_per_s
        self.newest_by_model: dict[str, int] = {}
        self._link_free_at_s = 0.0

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the weight store."""
        app.router.add_get('/weights/{model}', self._newest)
        app.router.add_put('/weights/{model}/{version}', self._put)
        app.router.add_get('/weights/{model}/{version}', self._get)

    async def _newest(self, request: web.Request) -> web.Response:
        model = request.match_info['model']
        version = self.newest_by_model.get(model, 0)
        return json_response(WeightsPublished(model=model, version=version))

    async def _put(self, request: web.Request) -> web.Response:
        model = request.match_info['model']
        version = int(request.match_info['version'])
        self.newest_by_model[model] = max(
            version, self.newest_by_model.get(model, 0)
        )
        self.standin.write_journal('weights_put', model=model, version=version)
        return web.Response()

    async def _get(self, request: web.Request) -> web.StreamResponse:
        fields = {**request.match_info, 'source': request.remote}
        self.standin.write_journal('transfer_started', **fields)
        response = web.StreamResponse()
        response.content_length = self.size_bytes
        await response.prepare(request)
        for start in range(0, self.size_bytes, CHUNK_BYTES):
            size = min(CHUNK_BYTES, self.size_bytes - start)
            await self._throttle(size)
            await response.write(bytes(size))
        self.standin.write_journal('transfer_finished', **fields)
        return response

    async def _throttle(self, size: int) -> None:
        """Wait until the shared bandwidth allows a chunk of `size` bytes."""
        now = asyncio.get_running_loop().time()
        self._link_free_at_s = (
            max(now, self._link_free_at_s) + size / self.bytes_per_s
        )
        await asyncio.sleep(self._link_free_at_s - now)
