"""Orders to the simulated engine and the loading of its weights."""

import asyncio

from aiohttp import ClientError, ClientSession, TCPConnector, web

from anvilcove.messages.base import decode
from anvilcove.messages.engines import EngineOrder
from anvilcove.messages.services import EndpointRefusal
from anvilcove.standins.batch import Batch, EngineOptions
from anvilcove.standins.faults import Standin, json_response

ADAPTER_LOAD_S = 0.05
DRAIN_POLL_S = 0.01


class SwapFailed(Exception):
    """Raised when the loading of weights stops partway."""


class OrderHandler:
    """Carry out orders with a current fencing token.

    Weights are loaded in the background.
    """

    def __init__(
        self, standin: Standin, options: EngineOptions, batch: Batch
    ) -> None:
        """Create a handler that has received no order yet."""
        self.standin = standin
        self.options = options
        self.batch = batch
        self.fence = 0
        self.role = ''
        self.adapters: list[str] = []
        self.failed_swaps = 0
        self.target: tuple[str, int] | None = None
        self._load_task: asyncio.Task[None] | None = None

    def handle(self, data: bytes) -> web.Response | None:
        """Start carrying out an order, or return a 409 response."""
        order = decode(data, EngineOrder)
        current = order.fence >= self.fence
        obeyed = current or bool(self.standin.faults.get('ignore_fence'))
        self.standin.write_journal('order', order=order, obeyed=obeyed)
        if not obeyed:
            refusal = EndpointRefusal(run=False, reason='old fence')
            return json_response(refusal, 409)
        self.fence = max(self.fence, order.fence)
        if order.kind in ('load_version', 'load_model'):
            model = order.model or self.batch.model
            if order.kind == 'load_version' and model != self.batch.model:
                refusal = EndpointRefusal(run=False, reason='other model')
                return json_response(refusal, 409)
            self._start_load((model, order.version))
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

    def _start_load(self, target: tuple[str, int]) -> None:
        loaded = (self.batch.model, self.batch.version)
        if target == (self.target or loaded):
            return
        if self._load_task is not None:
            self._load_task.cancel()
        self.target = target
        self._load_task = asyncio.create_task(self._run_load(target))

    async def _run_load(self, target: tuple[str, int]) -> None:
        fields = {'model': target[0], 'version': target[1]}
        self.standin.write_journal('swap_started', **fields)
        try:
            await self._fetch(target)
            await self._switch(target)
            self.standin.write_journal('swapped', **fields)
        except (ClientError, OSError, TimeoutError, SwapFailed) as error:
            self.failed_swaps += 1
            self.standin.write_journal(
                'swap_failed', error=repr(error), **fields
            )
        finally:
            if self.target == target:
                self.target = None
                self.batch.closed = self.batch.paused = False

    async def _fetch(self, target: tuple[str, int]) -> None:
        """Download the weights, or raise SwapFailed after half of them."""
        fail_partway = self.standin.consume_fault('fail_swaps')
        if self.options.weights_address:
            url = 'http://{}/weights/{}/{}'.format(
                self.options.weights_address, *target
            )
            # The platform identifies data centres by the source address.
            own_ip = self.options.listen_ip
            connector = TCPConnector(local_addr=(own_ip, 0))
            async with (
                ClientSession(connector=connector) as session,
                session.get(url, raise_for_status=True) as response,
            ):
                total_bytes = response.content_length or 0
                received_bytes = 0
                async for chunk in response.content.iter_any():
                    received_bytes += len(chunk)
                    if fail_partway and received_bytes >= total_bytes / 2:
                        break
        if fail_partway:
            raise SwapFailed('stopped partway')

    async def _switch(self, target: tuple[str, int]) -> None:
        """Pause the batch and switch to the target.

        Running generations continue after a change of version; a change of
        model waits until they have finished.
        """
        self.batch.closed = True
        while target[0] != self.batch.model and self.batch.running:
            await asyncio.sleep(DRAIN_POLL_S)
        self.batch.paused = True
        await asyncio.sleep(self.options.switch_s)
        self.batch.model, self.batch.version = target
        self.batch.cache.clear()
