"""Process of the daemon: startup, background tasks and shutdown."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from aiohttp import ClientSession
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse, json_response
from loguru import logger

from anvilcove.control.origin_peers import (
    FIND_PATH,
    KEEP_PATH,
    HttpOrigins,
    serve_origins,
)
from anvilcove.control.peer_calls import PeerHandlers, serve_by_path
from anvilcove.control.permit_peers import (
    PERMIT_PATH,
    HttpPermits,
    serve_permits,
)
from anvilcove.control.relay import RELAY_PATH, RelayedStore
from anvilcove.http.client_connections import ClientServer
from anvilcove.http.connections import AnswerConnector, AnswerLimits
from anvilcove.http.freed_memory import return_freed_memory
from anvilcove.http.room import AnswerRoom
from anvilcove.http.sessions import open_session
from anvilcove.node.adapters import Adapters, EndpointClients, Listeners
from anvilcove.node.gauges import set_gauges
from anvilcove.node.http_listener import HttpListener
from anvilcove.node.loop_delay import LoopDelay
from anvilcove.node.parts import Dependencies, NodeComponents
from anvilcove.node.status import STATUS_PATH, build_status
from anvilcove.settings.errors import SettingsError
from anvilcove.settings.node import NodeSettings, adopt_changes
from anvilcove.state.background_tasks import Work, spawn_logged
from anvilcove.state.clock import SuspendAwareClock, SystemClock
from anvilcove.telemetry.library_logs import take_library_logs
from anvilcove.telemetry.logs import LogWriter

# Callers cache the addresses from a lookup for a few seconds, so a stopping
# daemon goes on answering for at least this long.
MIN_SHUTDOWN_S = 3.0
# Part of the grace period that is reserved for closing open connections.
CLOSE_MARGIN_S = 1.2
# Time to write the last counts of requests.
FLUSH_TIMEOUT_S = 0.5
POLL_PERIOD_S = 0.05
# Changes of the settings are also detected without a signal; reading the
# settings takes about 1 ms.
SETTINGS_POLL_PERIOD_S = 2.0
# Relayed calls and store transactions with their bodies.
MAX_PEER_MESSAGE_BYTES = 32 << 20
# Answers of the store, whose largest objects have 8 MiB, and of peers.
CONTROL_LIMITS = AnswerLimits(body_bytes=16 << 20)


class NodeDaemon:
    """Daemon process on the users' platform."""

    def __init__(
        self,
        settings: NodeSettings,
        adapters: Adapters,
        load_settings: Callable[[], NodeSettings],
    ) -> None:
        """Store the arguments; `run` builds the components.

        `load_settings` reads the settings again for a reload.
        """
        self.settings = settings
        self._load_settings = load_settings
        # Last error in reading the settings, and the names of changed
        # settings that take effect only after a restart.
        self._settings_error = ''
        self._changes_after_restart: list[str] = []
        self._adapters = adapters
        self._clock = SystemClock(settings.clock)
        self._rng = random.Random()
        self._nonce = secrets.token_hex(6)
        self._stop = asyncio.Event()
        self._delay = LoopDelay(self._clock)
        self._room = AnswerRoom(settings.answer_bound_bytes)
        self._dropped_lines = 0

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        logs = LogWriter(self.settings.host, self._clock)
        logs.install()
        take_library_logs()
        logger.bind(
            nonce=self._nonce,
            data_centre=self.settings.data_centre,
            store=self.settings.store.address,
        ).info('start')
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_sighup)
        async with (
            open_session(
                AnswerConnector(CONTROL_LIMITS, self._room)
            ) as control,
            self._adapters.endpoint_clients(
                self.settings, self._room
            ) as clients,
        ):
            self._build(control, clients)
            listeners = await self._listen()
            self._start_loops(logs)
            await self._stop.wait()
            await self._shut_down(listeners, logs)

    def _build(self, control: ClientSession, clients: EndpointClients) -> None:
        adapters, clock = self._adapters, self._clock
        self.relay = RelayedStore(
            adapters.transport(control), control, clock, self._rng
        )
        dependencies = Dependencies(
            store=adapters.store(self.relay),
            servers=clients.servers,
            streams=clients.streams,
            engines=clients.engines,
            probe=clients.probe,
            permits=HttpPermits(control),
            origins=HttpOrigins(control),
            duties=clients.duties,
            rows=adapters.rows,
            clock=clock,
            lease_clock=SuspendAwareClock(self.settings.clock),
            rng=self._rng,
        )
        self.components = NodeComponents(
            self.settings, self._nonce, dependencies
        )
        self.components.account.on_freed = return_freed_memory
        self._room.on_ended = self.components.metrics.answer_ended
        clients.connections.attach(
            control, self.components.ways, self.components.relay_peers
        )
        self.components.ways.on_cut = clients.connections.abandon_silent
        self._connections = clients.connections
        self._peer_handlers = clients.connections.relay_handlers()
        self.relay.list_peers = self.components.nodes.relay_addresses
        self.relay.count_call = self.components.metrics.store_call

    async def _listen(self) -> Listeners:
        listeners = await self._adapters.listen(
            self.settings, self.components.service
        )
        await self._listen_to_peers()
        return listeners

    async def _listen_to_peers(self) -> None:
        """Listen for relayed store calls, status and metrics requests."""

        async def handle(request: BaseRequest) -> StreamResponse:
            return await serve_by_path(handlers, request)

        handlers: PeerHandlers = {
            RELAY_PATH: self.relay.serve,
            PERMIT_PATH: partial(serve_permits, self.components.permits),
            KEEP_PATH: partial(serve_origins, self.components.origins),
            FIND_PATH: partial(serve_origins, self.components.origins),
            '/metrics': self._serve_metrics,
            STATUS_PATH: self._serve_status,
            **self._peer_handlers,
        }
        # A relayed call ends when the host that asked for it closes its
        # connection.
        server = ClientServer(
            self.components.account,
            handle,
            request_factory=_make_peer_request,
            access_log=None,
            handler_cancellation=True,
        )
        self._peer_listener = HttpListener(server, POLL_PERIOD_S)
        for port in {self.settings.peer_port, self.settings.metrics_port}:
            await self._peer_listener.open(self.settings.ip, port)

    async def _serve_metrics(self, request: BaseRequest) -> Response:
        return Response(body=self._render_metrics(), content_type='text/plain')

    async def _serve_status(self, request: BaseRequest) -> Response:
        return json_response(build_status(self.components, self._clock.now()))

    def _start_loops(self, logs: LogWriter) -> None:
        loops: dict[str, Work] = {
            **self.components.loops(),
            'housekeeping': partial(self._housekeeping, logs),
            'watch settings': self._watch_settings,
        }
        for name, work in loops.items():
            self.components.tasks.keep(name, work)

    async def _housekeeping(self, logs: LogWriter) -> None:
        while True:
            await self._delay.wait()
            logs.flush()
            if logs.dropped_lines:
                dropped_lines, logs.dropped_lines = logs.dropped_lines, 0
                self._dropped_lines += dropped_lines
                logger.bind(lines=dropped_lines).warning('log lines left out')

    def _render_metrics(self) -> bytes:
        set_gauges(self.components)
        gauge = self.components.metrics.gauge
        gauge(
            'store_reachable',
            'Whether direct calls to the store are answered.',
            {},
            float(self.relay.reachable),
        )
        gauge(
            'loop_lag_seconds',
            'Longest delay of the event loop in the last seconds.',
            {},
            self._delay.max_s,
        )
        gauge(
            'log_lines_left_out',
            'Lines that the log has left out since the start.',
            {},
            float(self._dropped_lines),
        )
        return self.components.metrics.render()

    def _on_sighup(self) -> None:
        logger.info('reload requested')
        self._reload()

    def _reload(self) -> None:
        """Read the settings and apply the changes that need no restart."""
        try:
            new = self._load_settings()
        except SettingsError as error:
            if str(error) != self._settings_error:
                logger.bind(reason=str(error)).warning('settings not read')
            self._settings_error = str(error)
            return
        self._settings_error = ''
        adopted, after_restart = adopt_changes(self.settings, new)
        if after_restart != self._changes_after_restart or adopted:
            logger.bind(adopted=adopted, after_restart=after_restart).info(
                'reload'
            )
        self._changes_after_restart = after_restart

    async def _watch_settings(self) -> None:
        """Reload the settings periodically, without end."""
        while True:
            await self._clock.sleep(SETTINGS_POLL_PERIOD_S)
            self._reload()

    async def _shut_down(self, listeners: Listeners, logs: LogWriter) -> None:
        """Hand over jobs and the lease while still answering, then close."""
        started_at_s = self._clock.now()
        deadline_at_s = (
            started_at_s + self.settings.bounds.grace_s - CLOSE_MARGIN_S
        )
        state = self.components.state
        state.stopping, state.stops_at_s = True, started_at_s
        state.closes_at_s = deadline_at_s
        state.grace_s = self.settings.bounds.grace_s
        self._connections.stop_relaying()
        logger.bind(
            in_flight=listeners.in_flight(),
            relayed=self._connections.relayed_calls(),
        ).info('stop requested')
        handing_over = spawn_logged(self.components.hand_over(), 'hand over')
        await asyncio.wait(
            [handing_over], timeout=max(deadline_at_s - self._clock.now(), 0.0)
        )
        while self._clock.now() < min(
            started_at_s + MIN_SHUTDOWN_S, deadline_at_s
        ):
            await self._clock.sleep(POLL_PERIOD_S)
        await listeners.stop_accepting()
        while (
            listeners.in_flight() or self._connections.relayed_calls()
        ) and self._clock.now() < deadline_at_s:
            await self._clock.sleep(POLL_PERIOD_S)
        # Requests that arrive from now on are refused: those taken would be
        # cut when the connections close.
        state.closes_at_s = self._clock.now()
        with suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self.components.meter.flush()
        logger.bind(
            in_flight=listeners.in_flight(),
            relayed=self._connections.relayed_calls(),
            after_s=round(self._clock.now() - started_at_s, 2),
        ).info('stop')
        self.components.tasks.cancel()
        await listeners.close()
        await self._peer_listener.cleanup()
        # Tasks that go on now delay the exit of the process.
        logger.bind(
            after_s=round(self._clock.now() - started_at_s, 2),
            tasks=len(asyncio.all_tasks()) - 1,
        ).info('closed')
        logs.flush()


def _make_peer_request(*connection_state: Any) -> BaseRequest:
    message, payload, protocol, writer, task = connection_state
    return BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        asyncio.get_running_loop(),
        client_max_size=MAX_PEER_MESSAGE_BYTES,
    )
