"""Engines of a soak run that start and end when they are ordered."""

import asyncio

from anvilcove.platform.standin import ServerStandin
from anvilcove.platform.standin_wire import endpoint_row
from anvilcove.ports.duties import SizeOrder
from anvilcove.ports.store import RowTransaction
from anvilcove.soak.site import MODEL_SERVICE, ZONE, LoopbackSite

BOOT_S = 1.0
# Poll of the requests that an engine still runs before it ends.
DRAIN_POLL_S = 0.1
# Time between the announcement that engines are reclaimed and their end.
NOTICE_S = 2.5


class SizedEngines:
    """Start and end engines of a site by the orders of its daemons.

    Engines without an order count as crashed: they are not announced.
    """

    def __init__(self, site: LoopbackSite) -> None:
        """Take over the engines of the site."""
        self._site = site
        self._ending: set[str] = set()
        self._booting: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.orders = 0
        site.duties.on_scale = self.carry_out
        site.take_reclaimable = self.take_reclaimable

    def carry_out(self, order: SizeOrder) -> bool:
        """Start or end engines; return whether there are enough."""
        self.orders += 1
        target = order.servers
        if (order.service, order.data_centre) != (MODEL_SERVICE, ZONE):
            return False
        engines = [
            engine
            for engine in self._site.engines
            if (engine.name in self._site.reclaimable) == order.reclaimable
        ]
        if target > len(engines):
            return False
        present = [
            engine
            for engine in engines
            if engine.name not in self._ending
            and (
                engine.name in self._booting
                or engine.name not in self._site.spare
            )
        ]
        for engine in present[target:]:
            self._ending.add(engine.name)
            self._spawn(engine, start=False)
        idle = [
            engine
            for engine in engines
            if engine.name in self._site.spare
            and engine.name not in self._booting
        ]
        for engine in idle[: max(target - len(present), 0)]:
            self._booting.add(engine.name)
            self._spawn(engine, start=True)
        return True

    def _spawn(self, engine: ServerStandin, start: bool) -> None:
        work = self._start(engine) if start else self._end(engine)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, engine: ServerStandin) -> None:
        await asyncio.sleep(BOOT_S)
        engine.restart()
        await self._site.server_proxies[engine.name].start()
        self._booting.discard(engine.name)
        self._site.spare.discard(engine.name)

    async def take_reclaimable(self) -> None:
        """Announce that the reclaimable engines leave, and end them then."""
        site, loop = self._site, asyncio.get_running_loop()
        unavailable = {*site.spare, *site.crashed, *self._ending}
        taken = [
            engine
            for engine in site.engines
            if engine.name in site.reclaimable - unavailable
        ]
        for engine in taken:
            self._ending.add(engine.name)
            site.leaves_at_s[engine.name] = loop.time() + NOTICE_S
        await asyncio.sleep(NOTICE_S)
        for engine in taken:
            site.taken += 1
            site.cut_runs += engine.running
            await self._remove(engine)
            del site.leaves_at_s[engine.name]

    async def _end(self, engine: ServerStandin) -> None:
        """Announce that an engine drains, and end it when it is idle."""
        instance = engine.instance
        self._site.draining.add(instance)
        await asyncio.sleep(1.0)
        while engine.running:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._remove(engine)
        self._site.draining.discard(instance)

    async def _remove(self, engine: ServerStandin) -> None:
        """End an engine and remove its row."""
        self._site.spare.add(engine.name)
        self._ending.discard(engine.name)
        await self._site.server_proxies[engine.name].stop()
        row = endpoint_row(engine.instance)
        self._site.store.apply(RowTransaction(removals=[row]))

    def close(self) -> None:
        """Cancel what starts or ends."""
        for task in self._tasks:
            task.cancel()
