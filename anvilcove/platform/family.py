"""The adapters of the users' platform as one family."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import ClientSession, web
from loguru import logger

from anvilcove.control.desired import DesiredStateView
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.node.adapters import EndpointClients
from anvilcove.node.service import NodeService
from anvilcove.platform.connections import ServerConnections
from anvilcove.platform.engines import PlatformEngines
from anvilcove.platform.listeners import (
    CallerListener,
    lookup_handler,
    ready_handler,
    start_listener,
)
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

SMALL_BODY_BYTES = 65_536


class PlatformListeners:
    """Listeners of one daemon."""

    __slots__ = ('_callers', '_others', '_listener')

    def __init__(
        self,
        callers: web.ServerRunner,
        others: list[web.ServerRunner],
        listener: CallerListener,
    ) -> None:
        """Keep the runners."""
        self._callers = callers
        self._others = others
        self._listener = listener

    def in_flight(self) -> int:
        """Return the number of requests that are being answered."""
        return self._listener.in_flight

    async def stop_accepting(self) -> None:
        """Take no new connections of callers."""
        for site in list(self._callers.sites):
            await site.stop()

    async def close(self) -> None:
        """Close every connection."""
        for runner in [self._callers, *self._others]:
            await runner.cleanup()


class PlatformRows:
    """Rows of the operator, the trainers and the endpoints."""

    __slots__ = ()

    operator_table = OPERATOR_TABLE
    endpoint_table = ENDPOINT_TABLE

    def apply_operator_rows(
        self, rows: list[StoredRow], desired: DesiredStateView, now: float
    ) -> None:
        """Put what the operator and the trainers wrote in force."""
        for row in rows:
            if row.value is None:
                continue
            try:
                _apply_operator_row(row, row.value, desired, now)
            except RowError as error:
                logger.bind(row=row.id.key, reason=str(error)).warning(
                    'operator row skipped'
                )

    def apply_endpoint_rows(
        self,
        rows: list[StoredRow],
        whole: bool,
        registry: EndpointRegistry,
        now: float,
        hold: bool,
    ) -> None:
        """Adopt what endpoints say of themselves."""
        decoded = {row.id.key: decode_endpoint(row) for row in rows}
        if whole:
            found = {k: e for k, e in decoded.items() if e is not None}
            registry.replace_all(found, now, hold)
        else:
            registry.change(decoded, now, hold)


class PlatformAdapters:
    """Adapters of the users' platform."""

    __slots__ = ('rows', '_store_address', '_rng')

    def __init__(self, settings: NodeSettings, rng: random.Random) -> None:
        """Keep where the store is."""
        self.rows = PlatformRows()
        self._store_address = settings.store.address
        self._rng = rng

    def transport(self, session: ClientSession) -> StoreTransport:
        """Return the direct way to the store."""
        return DirectTransport(self._store_address, session)

    def store(self, transport: StoreTransport) -> PlatformStore:
        """Return the client of the store."""
        return PlatformStore(transport)

    @asynccontextmanager
    async def endpoint_clients(self) -> AsyncIterator[EndpointClients]:
        """Open the connections to endpoints and yield their clients."""
        async with ServerConnections() as connections:
            yield EndpointClients(
                servers=PlatformServers(connections),
                streams=PlatformStreams(connections),
                engines=PlatformEngines(connections),
            )

    async def listen(
        self, settings: NodeSettings, service: NodeService
    ) -> PlatformListeners:
        """Open the listeners towards callers."""
        listener = CallerListener(service, self._rng)
        addresses = settings.listeners
        callers = await start_listener(
            addresses.callers, listener.handle, service.max_body_bytes
        )
        others = [
            await start_listener(address, handler, lambda: SMALL_BODY_BYTES)
            for address, handler in (
                (addresses.ready, ready_handler(service)),
                (addresses.lookup, lookup_handler(service)),
            )
        ]
        return PlatformListeners(callers, others, listener)


def _apply_operator_row(
    row: StoredRow, value: bytes, desired: DesiredStateView, now: float
) -> None:
    if row.id.key == CONFIG_KEY:
        state = decode_desired_state(value)
        if desired.adopt(state, now):
            logger.bind(
                version=state.version,
                row_version=row.version,
                routes=len(state.routes),
            ).info('desired state in force')
    elif row.id.key.startswith(VERSION_PREFIX):
        model, version = decode_named_version(value)
        if desired.name_version(model, version):
            logger.bind(
                model=model, version=version, row_version=row.version
            ).info('version named')
