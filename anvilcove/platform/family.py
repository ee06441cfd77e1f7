"""The adapters that connect a daemon to the users' platform."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from hashlib import blake2b

from aiohttp import ClientSession
from loguru import logger

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.http.room import AnswerRoom
from anvilcove.node.adapters import EndpointClients
from anvilcove.node.http_listener import HttpListener
from anvilcove.node.service import NodeService
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.duties import PlatformDuties
from anvilcove.platform.endpoint_relay import RelayedConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.listeners import (
    CallerListener,
    lookup_handler,
    ready_handler,
    start_listener,
)
from anvilcove.platform.probes import ConnectionProbe
from anvilcove.platform.rows import (
    CONFIG_KEY,
    ENDPOINT_TABLE,
    OPERATOR_TABLE,
    VERSION_PREFIX,
    RowError,
    decode_desired_state,
    decode_endpoint,
    decode_named_version,
)
from anvilcove.platform.servers import PlatformServers, PlatformStreams
from anvilcove.platform.store import PlatformStore
from anvilcove.platform.transport import DirectTransport
from anvilcove.ports.store import StoredRow
from anvilcove.ports.transport import StoreTransport
from anvilcove.settings.node import NodeSettings
from anvilcove.state.workspaces import DIGEST_BYTES

MAX_AUXILIARY_BODY_BYTES = 65_536


class PlatformListeners:
    """Open listeners of one daemon: for callers, readiness and lookups."""

    __slots__ = ('_caller_http', '_auxiliary', '_caller_listener')

    def __init__(
        self,
        caller_http: HttpListener,
        auxiliary: list[HttpListener],
        caller_listener: CallerListener,
    ) -> None:
        """Take over the listeners, which `close` stops."""
        self._caller_http = caller_http
        self._auxiliary = auxiliary
        self._caller_listener = caller_listener

    def in_flight(self) -> int:
        """Return the number of caller requests in flight.

        Closing a connection would cut an answer that its caller still reads,
        as the system takes only a small part of it.
        """
        return self._caller_listener.unfinished()

    async def stop_accepting(self) -> None:
        """Stop accepting connections from callers; open ones stay."""
        self._caller_http.stop_accepting()

    async def close(self) -> None:
        """Close every connection."""
        for listener in [self._caller_http, *self._auxiliary]:
            await listener.cleanup()


class PlatformRows:
    """Apply the rows that operator, trainers and endpoints write."""

    __slots__ = ('_configuration',)

    operator_table = OPERATOR_TABLE
    endpoint_table = ENDPOINT_TABLE

    def __init__(self) -> None:
        """Start without a configuration."""
        # Digest of the row value that was decoded last. Full reads repeat it,
        # and the keys of 10,000 workspaces take too long to digest again each
        # time. The value itself would keep the keys in memory.
        self._configuration = b''

    def apply_operator_rows(
        self, rows: list[StoredRow], desired: DesiredStateView, now: float
    ) -> None:
        """Apply newer desired states and model versions; skip invalid rows."""
        for row in rows:
            if row.value is None:
                continue
            if row.id.key == CONFIG_KEY:
                digest = blake2b(row.value, digest_size=DIGEST_BYTES).digest()
                if digest == self._configuration:
                    continue
                self._configuration = digest
            try:
                _apply_operator_row(row, row.value, desired, now)
            except RowError as error:
                logger.bind(row=row.id.key, reason=str(error)).warning(
                    'operator row skipped'
                )

    def apply_endpoint_rows(
        self,
        rows: list[StoredRow],
        full_read: bool,
        registry: EndpointRegistry,
        now: float,
        keep_missing: bool,
    ) -> None:
        """Apply endpoint rows; `full_read` means that they are the full table.

        With `keep_missing`, endpoints whose rows are gone stay usable for a
        while.
        """
        decoded = {row.id.key: decode_endpoint(row) for row in rows}
        if full_read:
            found = {k: e for k, e in decoded.items() if e is not None}
            registry.replace_all(found, now, keep_missing)
        else:
            registry.apply_changes(decoded, now, keep_missing)


class PlatformAdapters:
    """Factory of the adapters of the users' platform."""

    __slots__ = ('rows', '_store_address', '_rng')

    def __init__(self, settings: NodeSettings, rng: random.Random) -> None:
        """Read the address of the store; nothing is opened."""
        self.rows = PlatformRows()
        self._store_address = settings.store.address
        self._rng = rng

    def transport(self, session: ClientSession) -> StoreTransport:
        """Return the transport that calls the store directly."""
        return DirectTransport(self._store_address, session)

    def store(self, transport: StoreTransport) -> PlatformStore:
        """Return a store client that uses the transport."""
        return PlatformStore(transport)

    @asynccontextmanager
    async def endpoint_clients(
        self, settings: NodeSettings, room: AnswerRoom
    ) -> AsyncIterator[EndpointClients]:
        """Open the connections to endpoints and yield their clients."""
        async with (
            ServerConnections(settings.source_ip, room) as connections,
            PlatformDuties(settings, room) as duties,
        ):
            yield EndpointClients(
                connections=RelayedConnections(connections),
                servers=PlatformServers(connections),
                streams=PlatformStreams(connections),
                engines=PlatformEngines(connections),
                probe=ConnectionProbe(settings.source_ip),
                duties=duties,
            )

    async def listen(
        self, settings: NodeSettings, service: NodeService
    ) -> PlatformListeners:
        """Open the listeners for callers, readiness checks and lookups."""
        caller_listener = CallerListener(service, self._rng)
        addresses = settings.listeners
        caller_http = await start_listener(
            addresses.callers,
            caller_listener.handle,
            service.max_body_bytes,
            service.account,
            service.has_workspaces,
        )
        auxiliary = [
            await start_listener(
                address,
                handler,
                lambda: MAX_AUXILIARY_BODY_BYTES,
                service.account,
                service.has_workspaces,
            )
            for address, handler in (
                (addresses.ready, ready_handler(service)),
                (addresses.lookup, lookup_handler(service)),
            )
        ]
        return PlatformListeners(caller_http, auxiliary, caller_listener)


def _apply_operator_row(
    row: StoredRow, value: bytes, desired: DesiredStateView, now: float
) -> None:
    if row.id.key == CONFIG_KEY:
        state = decode_desired_state(value)
        if desired.apply(state, now):
            logger.bind(
                version=state.version,
                row_version=row.version,
                routes=len(state.routes),
            ).info('desired state in force')
    elif row.id.key.startswith(VERSION_PREFIX):
        model, version = decode_named_version(value)
        if desired.record_version(model, version):
            logger.bind(
                model=model, version=version, row_version=row.version
            ).info('version named')
