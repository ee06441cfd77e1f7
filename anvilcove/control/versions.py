"""Move the engines to the versions that trainers name."""

import asyncio

from loguru import logger

from anvilcove.control.desired import JOB, DesiredStateView
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.leases import Lease
from anvilcove.decisions.version_roll import (
    EngineVersion,
    RollSettings,
    engines_to_order,
)
from anvilcove.ports.engines import (
    CARRIED_OUT,
    HOLDS,
    EngineClient,
    VersionOrder,
)
from anvilcove.ports.errors import EndpointError
from anvilcove.state.clock import Clock

LOOK_S = 0.1
# An order that was not answered may still be carried out; by then the engine
# has announced its new count of orders.
RETRY_S = 1.0
# A load takes about a second; an engine that does not announce the version
# within this time is asked what it holds.
LOAD_S = 2.5
# Engines answer orders and reports at once.
ORDER_TIMEOUT_S = 0.8


class OrderRecord:
    """The last order to one engine and whether it was accepted."""

    __slots__ = ('version', 'accepted', 'at_s')

    def __init__(self, version: int, accepted: bool, at_s: float) -> None:
        """Note an order."""
        self.version = version
        self.accepted = accepted
        self.at_s = at_s


class VersionRoller:
    """Give version orders while this daemon holds the lease for them."""

    __slots__ = (
        '_host',
        '_lease',
        '_desired',
        '_registry',
        '_engines',
        '_clock',
        '_roll',
        '_orders',
        '_count_by_endpoint',
    )

    def __init__(
        self,
        host: str,
        lease: Lease,
        desired: DesiredStateView,
        registry: EndpointRegistry,
        engines: EngineClient,
        clock: Clock,
    ) -> None:
        """Give no order yet."""
        self._host = host
        self._lease = lease
        self._desired = desired
        self._registry = registry
        self._engines = engines
        self._clock = clock
        self._roll = RollSettings()
        self._orders: dict[tuple[str, str], OrderRecord] = {}
        # Orders that an engine has accepted, where it told more than its
        # announcement does.
        self._count_by_endpoint: dict[str, int] = {}

    async def run(self) -> None:
        """Look for engines that are behind, for ever."""
        while True:
            if self._lease.fence() is not None:
                await self.look()
            else:
                self._orders.clear()
                self._count_by_endpoint.clear()
            await self._clock.sleep(LOOK_S)

    async def look(self) -> None:
        """Give the orders that may be given now."""
        for model, target in list(self._desired.model_versions.items()):
            engines = self._engine_versions(model)
            now = self._clock.now()
            chosen = engines_to_order(now, target, engines, self._roll)
            await asyncio.gather(
                *(self._order(engine, model, target) for engine in chosen)
            )

    def _engine_versions(self, model: str) -> list[EngineVersion]:
        found = []
        now = self._clock.now()
        for entry in self._registry.entry_by_endpoint.values():
            if entry.draining or model not in entry.version_by_model:
                continue
            version = entry.version_by_model[model]
            state = self._registry.view.by_id.get(entry.endpoint)
            record = self._orders.get((entry.endpoint, model))
            loading = (
                record is not None
                and record.accepted
                and version < record.version
                and now < record.at_s + LOAD_S
            )
            found.append(
                EngineVersion(
                    endpoint=entry.endpoint,
                    data_centre=entry.data_centre,
                    version=version,
                    busy=loading,
                    in_flight=state.in_flight if state else 0,
                    retry_at_s=record.at_s + RETRY_S if record else 0.0,
                )
            )
        return found

    async def _order(
        self, engine: EngineVersion, model: str, target: int
    ) -> None:
        entry = self._registry.entry_by_endpoint.get(engine.endpoint)
        if entry is None:
            return
        record = OrderRecord(target, False, self._clock.now())
        self._orders[entry.endpoint, model] = record
        count = self._count_by_endpoint.get(entry.endpoint)
        if count is None:
            count = await self._ask(entry, record, model)
        fence = self._lease.fence()
        if count is None or fence is None:
            return
        order = VersionOrder(
            model=model,
            version=target,
            holder=self._host,
            fence=fence,
            order_count=count,
            keep_running=not self._single_version(entry.service),
        )
        outcome = await self._give(entry, order)
        record.accepted = outcome in (CARRIED_OUT, HOLDS)
        # An order without a clear answer may have been accepted, so the count
        # is asked for before the next one.
        self._count_by_endpoint.pop(entry.endpoint, None)
        if outcome == CARRIED_OUT:
            self._count_by_endpoint[entry.endpoint] = count + 1
        logger.bind(
            endpoint=entry.endpoint,
            model=model,
            version=target,
            held=engine.version,
            fence=fence,
            order_count=count,
            outcome=outcome,
        ).info('version order')

    async def _give(self, entry: EndpointEntry, order: VersionOrder) -> str:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self._engines.order(
                    entry.address, entry.instance, order
                )
        except (EndpointError, TimeoutError) as error:
            return f'no answer: {error}'[:120]

    async def _ask(
        self, entry: EndpointEntry, record: OrderRecord, model: str
    ) -> int | None:
        """Return the count of orders of an engine that may take one."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                report = await self._engines.report(entry.address)
        except (EndpointError, TimeoutError) as error:
            logger.bind(endpoint=entry.endpoint, reason=str(error)).info(
                'engine report not read'
            )
            return None
        held = report.version_by_model.get(model, 0)
        if report.order_busy or held >= record.version:
            # It is loading, or will announce the version soon.
            record.accepted = True
            return None
        return report.order_count

    def _single_version(self, service: str) -> bool:
        """Tell whether a route of the service wants a single version."""
        state = self._desired.current
        return state is not None and any(
            route.kind == JOB and route.job and route.job.single_version
            for route in state.routes
            if any(target.service == service for target in route.targets)
        )
