"""Wire the parts of a daemon and run them until a graceful shutdown."""

import asyncio
import signal
from importlib import import_module

from aiohttp import ClientSession, ClientTimeout, TCPConnector, web
from loguru import logger

from anvilcove.daemon.context import Context
from anvilcove.daemon.parts import PARTS
from anvilcove.daemon.replies import BODY_TIMEOUT, bad_request_middleware
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.clock import SystemClock, random_source

PART_MODULES = (
    'anvilcove.commands.dispatch',
    'anvilcove.commands.submit',
    'anvilcove.commands.membership',
    'anvilcove.commands.apply',
    'anvilcove.commands.weights',
    'anvilcove.commands.steps',
    'anvilcove.commands.samples',
    'anvilcove.commands.stragglers',
    'anvilcove.commands.fixing',
    'anvilcove.commands.batches',
    'anvilcove.commands.leases',
    'anvilcove.commands.rollout',
    'anvilcove.commands.prune',
)
ADAPTER_MODULES = (
    'anvilcove.platform.table',
    'anvilcove.platform.objects',
    'anvilcove.platform.membership',
    'anvilcove.platform.weights',
    'anvilcove.platform.engines',
    'anvilcove.platform.services',
)
POLICY_MODULES = (
    'anvilcove.decisions.naive',
    'anvilcove.decisions.naive_training',
    'anvilcove.decisions.groups',
    'anvilcove.decisions.staleness',
    'anvilcove.decisions.rollout',
)


def load_modules() -> None:
    """Import the modules that fill the registries."""
    for name in (*ADAPTER_MODULES, *POLICY_MODULES, *PART_MODULES):
        import_module(name)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    ip, _, port = address.rpartition(':')
    return ip, int(port)


class Daemon:
    """One entry daemon: start, serve, drain, stop."""

    def __init__(self, settings: DaemonSettings) -> None:
        """Keep the settings; nothing runs yet."""
        self.settings = settings
        self.context: Context | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._stop = asyncio.Event()

    async def start(self) -> Context:
        """Open the listener and start the background tasks."""
        load_modules()
        local = self.settings.outgoing_ip
        session = ClientSession(
            connector=TCPConnector(
                limit=0, local_addr=(local, 0) if local else None
            ),
            timeout=ClientTimeout(total=None, sock_connect=1.0),
        )
        context = Context(
            self.settings,
            SystemClock(),
            random_source(self.settings.seed),
            session,
        )
        self.context = context
        limits = self.settings.limits
        app = web.Application(
            middlewares=[bad_request_middleware],
            client_max_size=limits.body_bytes,
        )
        app[BODY_TIMEOUT] = limits.body_timeout_ms / 1000
        app.router.add_get('/healthz', _healthy)
        for kind in PARTS:
            app.router.add_routes(context.part(kind).routes())
        self._runner = web.AppRunner(
            app,
            access_log=None,
            max_field_size=limits.header_bytes,
            max_line_size=limits.header_bytes,
        )
        await self._runner.setup()
        ip, port = split_address(self.settings.listen_address)
        await web.TCPSite(self._runner, ip, port, backlog=512).start()
        for kind in PARTS:
            for task in context.part(kind).tasks():
                self._tasks.append(asyncio.create_task(task))
        logger.info('daemon started')
        return context

    def request_stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._stop.set()

    async def stop(self) -> None:
        """Drain every part, then close the listener and the session."""
        assert self.context is not None and self._runner is not None
        self.context.draining = True
        for kind in PARTS:
            await self.context.part(kind).drain()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.cleanup()
        await self.context.session.close()
        logger.info('daemon stopped')

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or a drain call."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        await self.start()
        await self._stop.wait()
        await self.stop()


async def _healthy(request: web.Request) -> web.Response:
    return web.json_response({'alive': True})
