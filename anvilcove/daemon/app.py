"""Compose the components of a daemon and run them until it is stopped."""

import asyncio
import signal
from importlib import import_module

from aiohttp import ClientTimeout, web
from loguru import logger

from anvilcove.commands.control.drain import start_draining
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.control_traffic import SKIPPED_HEADERS, control_trace
from anvilcove.daemon.listeners import Listener, client_tls
from anvilcove.daemon.logs import LogSink
from anvilcove.daemon.metrics import Metrics
from anvilcove.daemon.parts import COMPONENTS
from anvilcove.http.connections import AnswerConnector, AnswerLimits
from anvilcove.http.sessions import open_session
from anvilcove.settings.daemon import DaemonSettings
from anvilcove.state.clock import SuspendAwareClock, new_random_generator

COMPONENT_MODULES = (
    'anvilcove.commands.requests.dispatch',
    'anvilcove.commands.requests.submit',
    'anvilcove.commands.requests.claim',
    'anvilcove.queries.attach',
    'anvilcove.commands.control.membership',
    'anvilcove.commands.control.apply',
    'anvilcove.commands.control.weights',
    'anvilcove.commands.rollouts.steps',
    'anvilcove.commands.rollouts.samples',
    'anvilcove.commands.rollouts.stragglers',
    'anvilcove.commands.requests.fixing',
    'anvilcove.commands.rollouts.batches',
    'anvilcove.commands.control.leases',
    'anvilcove.commands.control.rollout',
    'anvilcove.commands.control.prune',
    'anvilcove.commands.control.announce',
    'anvilcove.commands.control.gossip',
    'anvilcove.commands.control.drain',
    'anvilcove.commands.control.reports',
    'anvilcove.queries.entries',
    'anvilcove.queries.status',
)
ADAPTER_MODULES = (
    'anvilcove.native.table',
    'anvilcove.native.objects',
    'anvilcove.native.membership',
    'anvilcove.native.weights',
    'anvilcove.native.engines',
    'anvilcove.native.services',
)
CONNECT_TIMEOUT_S = 1.0
# An answer of a store, an endpoint or a peer.
MAX_ANSWER_BYTES = 32 << 20
POLICY_MODULES = (
    'anvilcove.decisions.naive',
    'anvilcove.decisions.admission',
    'anvilcove.decisions.limits',
    'anvilcove.decisions.routing',
    'anvilcove.decisions.ejection',
    'anvilcove.decisions.retry',
    'anvilcove.decisions.hedging',
    'anvilcove.decisions.quarantine',
    'anvilcove.decisions.entries',
    'anvilcove.decisions.placement',
    'anvilcove.decisions.naive_training',
    'anvilcove.decisions.groups',
    'anvilcove.decisions.staleness',
    'anvilcove.decisions.rollout',
)


def load_modules() -> None:
    """Import the modules that register adapters, policies and components."""
    for name in (*ADAPTER_MODULES, *POLICY_MODULES, *COMPONENT_MODULES):
        import_module(name)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port` into the address and the port number."""
    ip, _, port = address.rpartition(':')
    return ip.strip('[]'), int(port)


def open_context(settings: DaemonSettings) -> Context:
    """Open the client sessions and build the context of a daemon."""
    source_ip = settings.outgoing_ip
    connector = AnswerConnector(
        AnswerLimits(body_bytes=MAX_ANSWER_BYTES),
        local_addr=(source_ip, 0) if source_ip else None,
        ssl=client_tls(settings.tls) or True,
    )
    timeout = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    metrics = Metrics()
    return Context(
        settings,
        SuspendAwareClock(),
        new_random_generator(settings.seed),
        open_session(connector, timeout=timeout),
        control_session=open_session(
            connector,
            headers={},
            connector_owner=False,
            timeout=timeout,
            skip_auto_headers=SKIPPED_HEADERS,
            trace_configs=[control_trace(metrics)],
        ),
        metrics=metrics,
    )


class Daemon:
    """Entry daemon with its listener and background tasks."""

    def __init__(
        self, settings: DaemonSettings, logs: LogSink | None = None
    ) -> None:
        """Store the settings without starting anything."""
        self.settings = settings
        self._logs = logs
        self.context: Context | None = None
        self._listener: Listener | None = None

    async def start(self) -> Context:
        """Open the listener and start the background tasks."""
        load_modules()
        context = open_context(self.settings)
        self.context = context
        context.logs = self._logs
        self._listener = Listener(context)
        router = self._listener.app.router
        router.add_get('/healthz', _healthz)
        for component_type in COMPONENTS:
            router.add_routes(context.component(component_type).routes())
        await self._listener.open(*split_address(self.settings.listen_address))
        for component_type in COMPONENTS:
            self._run_tasks(context.component(component_type))
        logger.info('daemon started')
        return context

    def request_stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if self.context is not None:
            self.context.stop.set()

    async def stop(self) -> None:
        """Drain requests and components; close listener and sessions."""
        assert self.context is not None and self._listener is not None
        context = self.context
        await start_draining(context)
        limit_s = self.settings.timing.drain_limit_ms / 1000
        deadline_at_s = context.clock.now() + limit_s
        if not await self._listener.close(limit_s):
            logger.warning('requests were in flight at the drain limit')
        for component_type in COMPONENTS:
            await self._drain(context.component(component_type), deadline_at_s)
        context.tasks.cancel()
        await context.tasks.join()
        await self._listener.cleanup()
        await context.control_session.close()
        await context.session.close()
        logger.info('daemon stopped')

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or a drain call."""
        loop = asyncio.get_running_loop()
        context = await self.start()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        await context.stop.wait()
        await self.stop()

    def _run_tasks(self, component: Component) -> None:
        assert self.context is not None
        for work in component.tasks():
            name = f'{type(component).__name__}.{work.__name__}'
            self.context.keep(name, work, component.control)

    async def _drain(self, component: Component, deadline_at_s: float) -> None:
        assert self.context is not None
        remaining_s = max(deadline_at_s - self.context.clock.now(), 1.0)
        try:
            async with asyncio.timeout(remaining_s):
                await component.drain()
        except Exception:
            logger.exception('drain of {} failed', type(component).__name__)


async def _healthz(request: web.Request) -> web.Response:
    return web.json_response({'alive': True})
