"""Orders to the model engine and the swap of its weights."""

import asyncio

from aiohttp import ClientError, ClientSession, TCPConnector, web

from anvilcove.messages.base import decode
from anvilcove.messages.engines import EngineOrder
from anvilcove.messages.services import EndpointRefusal
from anvilcove.standins.batch import Batch, EngineOptions
from anvilcove.standins.faults import Standin, json_response

ADAPTER_LOAD_S = 0.05
IDLE_POLL_S = 0.01


class SwapFailed(Exception):
    """Raised when a swap stops partway."""


class Orders:
    """Obey orders with a current fence; swap in the background."""

    def __init__(
        self, standin: Standin, options: EngineOptions, batch: Batch
    ) -> None:
        """Start with the model that the engine was started with."""
        self.standin = standin
        self.options = options
        self.batch = batch
        self.fence = 0
        self.role = ''
        self.adapters: list[str] = []
        self.failed_swaps = 0
        self.target: tuple[str, int] | None = None
        self._swap: asyncio.Task[None] | None = None

    def obey(self, data: bytes) -> web.Response | None:
        """Start to carry out an order, or return the refusal."""
        order = decode(data, EngineOrder)
        current = order.fence >= self.fence
        obeyed = current or bool(self.standin.faults.get('ignore_fence'))
        self.standin.write('order', order=order, obeyed=obeyed)
        if not obeyed:
            refusal = EndpointRefusal(run=False, reason='old fence')
            return json_response(refusal, 409)
        self.fence = max(self.fence, order.fence)
        if order.kind in ('load_version', 'load_model'):
            model = order.model or self.batch.model
            if order.kind == 'load_version' and model != self.batch.model:
                refusal = EndpointRefusal(run=False, reason='other model')
                return json_response(refusal, 409)
            self._start_swap((model, order.version))
        elif order.kind == 'load_adapter':
            asyncio.get_running_loop().call_later(
                ADAPTER_LOAD_S, self._add_adapter, order.adapter
            )
        elif order.kind == 'set_role':
            self.role = order.role
        else:
            raise web.HTTPBadRequest(text=f'unknown order {order.kind!r}')
        return None

    def _add_adapter(self, adapter: str) -> None:
        if adapter not in self.adapters:
            self.adapters.append(adapter)

    def _start_swap(self, target: tuple[str, int]) -> None:
        held = (self.batch.model, self.batch.version)
        if target == (self.target or held):
            return
        if self._swap is not None:
            self._swap.cancel()
        self.target = target
        self._swap = asyncio.create_task(self._run_swap(target))

    async def _run_swap(self, target: tuple[str, int]) -> None:
        line = {'model': target[0], 'version': target[1]}
        self.standin.write('swap_started', **line)
        try:
            await self._fetch(target)
            await self._switch(target)
            self.standin.write('swapped', **line)
        except (ClientError, OSError, TimeoutError, SwapFailed) as error:
            self.failed_swaps += 1
            self.standin.write('swap_failed', error=repr(error), **line)
        finally:
            if self.target == target:
                self.target = None
                self.batch.closed = self.batch.paused = False

    async def _fetch(self, target: tuple[str, int]) -> None:
        """Read the weights; a failing swap stops after half of them."""
        fails = self.standin.take('fail_swaps')
        if self.options.weights_address:
            url = 'http://{}/weights/{}/{}'.format(
                self.options.weights_address, *target
            )
            # The platform tells data centres apart by the source address.
            own_ip = self.options.listen_ip
            connector = TCPConnector(local_addr=(own_ip, 0))
            async with (
                ClientSession(connector=connector) as session,
                session.get(url, raise_for_status=True) as response,
            ):
                size = response.content_length or 0
                done = 0
                async for chunk in response.content.iter_any():
                    done += len(chunk)
                    if fails and done >= size / 2:
                        break
        if fails:
            raise SwapFailed('stopped partway')

    async def _switch(self, target: tuple[str, int]) -> None:
        """Pause briefly; generations cross a switch of the version only."""
        self.batch.closed = True
        while target[0] != self.batch.model and self.batch.running:
            await asyncio.sleep(IDLE_POLL_S)
        self.batch.paused = True
        await asyncio.sleep(self.options.switch_s)
        self.batch.model, self.batch.version = target
        self.batch.cache.clear()
