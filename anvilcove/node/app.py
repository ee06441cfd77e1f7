"""The daemon: its parts, their loops and its end."""

import asyncio
import random
import secrets
import signal
from collections.abc import Coroutine
from typing import Any

from aiohttp import ClientSession, TCPConnector, web
from loguru import logger

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.leases import Lease
from anvilcove.control.nodes import NODES_TABLE, Announcer, NodeDirectory
from anvilcove.control.relay import RELAY_PATH, RelayedStore
from anvilcove.control.versions import VersionRoller
from anvilcove.control.watch import OnGap, OnRows, TableWatch
from anvilcove.jobs.board import JobBoard
from anvilcove.jobs.engine_slots import EngineSlots
from anvilcove.jobs.item_run import ItemRunner
from anvilcove.jobs.owner import JobOwner
from anvilcove.jobs.reader import JobReader
from anvilcove.jobs.records import JOBS_TABLE, PARTS, JobRecords
from anvilcove.node.adapters import Adapters, Listeners
from anvilcove.node.logs import LogWriter
from anvilcove.node.metrics import NodeMetrics
from anvilcove.node.service import NodeService, NodeState
from anvilcove.ports.store import StoredRow, StorePort
from anvilcove.proxy.forwarder import Forwarder
from anvilcove.proxy.pools import EndpointPools
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import SuspendAwareClock, SystemClock

# Callers keep the addresses that they were told for a few seconds; a daemon
# that stops goes on answering for this long.
LINGER_S = 3.0
# Time at the end of the grace period for closing what is still open.
CLOSE_S = 1.2
POLL_S = 0.05
# Reward calls of this daemon at once. Their service also answers people, who
# wait for slots behind them.
REWARD_CALLS = 12
HOUSEKEEPING_S = 0.2
# Idle connections to endpoints are kept below the time after which most
# servers close them.
KEEPALIVE_S = 12.0
# A store that has been away this long may have let entries lapse.
LAPSE_S = 0.5
ORDERS_LEASE = 'versions'


class NodeDaemon:
    """One daemon on the users' platform."""

    def __init__(self, settings: NodeSettings, adapters: Adapters) -> None:
        """Build nothing before `run`."""
        self.settings = settings
        self._adapters = adapters
        self._clock = SystemClock()
        self._rng = random.Random()
        self._nonce = secrets.token_hex(6)
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()
        self._held_until_s = 0.0

    async def run(self) -> None:
        """Run until SIGTERM, then hand over and end."""
        logs = LogWriter(self.settings.host, self._clock)
        logs.install()
        logger.bind(
            nonce=self._nonce,
            data_centre=self.settings.data_centre,
            store=self.settings.store.address,
        ).info('start')
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        async with (
            ClientSession(
                connector=TCPConnector(limit=0), auto_decompress=False
            ) as control,
            ClientSession(
                connector=TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S),
                auto_decompress=False,
            ) as session,
        ):
            self._build(control, session)
            listeners = await self._listen()
            self._start_loops(logs)
            await self._stop.wait()
            await self._shut_down(listeners, logs)

    def _build(self, control: ClientSession, session: ClientSession) -> None:
        settings, clock, rng = self.settings, self._clock, self._rng
        adapters = self._adapters
        self.metrics = NodeMetrics()
        self.desired = DesiredStateView()
        self.registry = EndpointRegistry()
        self.nodes = NodeDirectory(settings, clock, self._nonce)
        self.relay = RelayedStore(
            adapters.transport(control),
            control,
            clock,
            rng,
            self.nodes.relays,
        )
        store = adapters.store(self.relay)
        self.announcer = Announcer(settings, self._nonce, store, clock)
        self.board = JobBoard(clock)
        self.watches = self._build_watches(store)
        self._build_requests(session)
        self._build_jobs(store, session)
        self.lease = Lease(
            ORDERS_LEASE,
            settings.host,
            self._nonce,
            settings.bounds.lease_s,
            store,
            SuspendAwareClock(),
            rng,
        )
        self.roller = VersionRoller(
            settings.host,
            self.lease,
            self.desired,
            self.registry,
            adapters.engines(session),
            clock,
        )
        self.state = NodeState()
        self.service = NodeService(
            self.state,
            self.desired,
            self.nodes,
            self.forwarder,
            self.owner,
            self.reader,
            clock,
            rng,
        )

    def _build_watches(self, store: StorePort) -> dict[str, TableWatch]:
        clock, rng = self._clock, self._rng
        adapters = self._adapters

        def watch(
            table: str, parts: list[str], on_rows: OnRows, gap: OnGap = None
        ) -> TableWatch:
            return TableWatch(table, parts, store, clock, rng, on_rows, gap)

        return {
            'operator': watch(
                adapters.operator_table, [''], self._on_operator_rows
            ),
            'endpoints': watch(
                adapters.endpoint_table,
                [''],
                self._on_endpoint_rows,
                self._on_endpoint_gap,
            ),
            'nodes': watch(
                NODES_TABLE,
                [''],
                self.nodes.on_rows,
                self.nodes.store_was_away,
            ),
            'jobs': watch(
                JOBS_TABLE,
                PARTS,
                self.board.on_rows,
                self.board.store_was_away,
            ),
        }

    def _build_requests(self, session: ClientSession) -> None:
        self.pools = EndpointPools(
            self.settings, self.registry, self._clock, self._rng
        )
        self.forwarder = Forwarder(
            self.settings,
            self.pools,
            self._adapters.servers(session),
            self._clock,
            self._rng,
            self.metrics,
        )

    def _build_jobs(self, store: StorePort, session: ClientSession) -> None:
        records = JobRecords(store)
        self.slots = EngineSlots(self.registry, self._clock, self._rng)
        runner = ItemRunner(
            self.slots,
            self._adapters.engines(session),
            self.forwarder,
            self.desired,
            asyncio.Semaphore(REWARD_CALLS),
            self._clock,
            self._rng,
        )
        self.owner = JobOwner(
            self.settings,
            self._nonce,
            records,
            self.board,
            self.watches['jobs'],
            self.nodes,
            self.desired,
            runner,
            self.metrics,
            self._clock,
            self._rng,
        )
        self.reader = JobReader(
            records, self.board, self.watches['jobs'], self._clock
        )

    async def _listen(self) -> Listeners:
        listeners = await self._adapters.listen(self.settings, self.service)
        await self._serve_peers()
        return listeners

    async def _serve_peers(self) -> None:
        """Listen for relayed store calls and for readers of metrics."""

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == RELAY_PATH:
                return await self.relay.serve(request)
            if request.path == '/metrics':
                return web.Response(
                    body=self._render_metrics(), content_type='text/plain'
                )
            return web.Response(status=404)

        server = web.Server(handle, access_log=None)
        self._peers = web.ServerRunner(server)
        await self._peers.setup()
        for port in {self.settings.peer_port, self.settings.metrics_port}:
            await web.TCPSite(self._peers, self.settings.ip, port).start()

    def _start_loops(self, logs: LogWriter) -> None:
        loops = [
            *(watch.run() for watch in self.watches.values()),
            self.announcer.run(),
            self.lease.run(),
            self.roller.run(),
            self.slots.run(),
            self.owner.run(),
            self._housekeeping(logs),
        ]
        for loop in loops:
            self._tasks.append(asyncio.create_task(_logged(loop)))

    async def _housekeeping(self, logs: LogWriter) -> None:
        while True:
            await self._clock.sleep(HOUSEKEEPING_S)
            self.registry.expire(self._clock.now())
            logs.flush()
            if logs.left_out:
                left_out, logs.left_out = logs.left_out, 0
                logger.bind(lines=left_out).warning('log lines left out')

    def _on_operator_rows(self, rows: list[StoredRow], whole: bool) -> None:
        now = self._clock.now()
        self._adapters.apply_operator_rows(rows, self.desired, now)

    def _on_endpoint_gap(self) -> None:
        # Entries that lapsed meanwhile are kept for a while: they come back
        # if their endpoints live.
        self._held_until_s = self._clock.now() + LAPSE_S

    def _on_endpoint_rows(self, rows: list[StoredRow], whole: bool) -> None:
        now = self._clock.now()
        self._adapters.apply_endpoint_rows(
            rows, whole, self.registry, now, now < self._held_until_s
        )

    def _render_metrics(self) -> bytes:
        gauge = self.metrics.gauge
        for name, watch in self.watches.items():
            gauge(
                'watch_age_seconds',
                'Age of what a watch knows.',
                {'table': name},
                watch.age_s(),
            )
        current = self.desired.current
        gauge(
            'desired_state_version',
            'Version of the desired state in force.',
            {},
            float(current.version if current else 0),
        )
        gauge(
            'store_reachable',
            'Whether direct calls to the store are answered.',
            {},
            float(self.relay.reachable),
        )
        for state in self.registry.view.by_id.values():
            labels = {'endpoint': state.endpoint}
            gauge(
                'endpoint_in_flight',
                'Attempts in flight by endpoint.',
                labels,
                float(state.in_flight),
            )
        return self.metrics.render()

    def _reload(self) -> None:
        logger.info('reload: the settings hold until the next start')

    async def _shut_down(self, listeners: Listeners, logs: LogWriter) -> None:
        """Hand everything over while requests are still answered."""
        started_s = self._clock.now()
        end_s = started_s + self.settings.bounds.grace_s - CLOSE_S
        self.state.stopping = True
        logger.bind(in_flight=listeners.in_flight()).info('stop requested')
        await asyncio.wait(
            [
                asyncio.create_task(_logged(part))
                for part in (
                    self.announcer.leave(),
                    self.lease.release(),
                    self.owner.close(),
                )
            ],
            timeout=max(end_s - self._clock.now(), 0.0),
        )
        while self._clock.now() < min(started_s + LINGER_S, end_s):
            await self._clock.sleep(POLL_S)
        await listeners.stop_accepting()
        while listeners.in_flight() and self._clock.now() < end_s:
            await self._clock.sleep(POLL_S)
        logger.bind(
            in_flight=listeners.in_flight(),
            after_s=round(self._clock.now() - started_s, 2),
        ).info('stop')
        for task in self._tasks:
            task.cancel()
        await listeners.close()
        await self._peers.cleanup()
        logs.flush()


async def _logged(work: Coroutine[Any, Any, None]) -> None:
    """Run a loop and log the error that ends it."""
    try:
        await work
    except Exception:
        logger.exception('a loop ended by an error')
