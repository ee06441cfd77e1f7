"""Move the engines to the versions that trainers name."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from anvilcove.control.desired import JOB, DesiredStateView
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.leases import Lease
from anvilcove.decisions.version_roll import (
    EngineHolding,
    LoadOrder,
    ModelNeed,
    plan_loads,
)
from anvilcove.ports.engines import (
    CARRIED_OUT,
    HOLDS,
    EngineClient,
    VersionOrder,
)
from anvilcove.ports.errors import EndpointError
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

LOOK_S = 0.1
# An order that was not answered may still be carried out; by then the engine
# has announced its new count of orders.
RETRY_S = 1.0
# A load takes about a second; an engine that does not announce the version
# within this time is asked what it holds.
LOAD_S = 2.5
# Engines answer orders and reports at once.
ORDER_TIMEOUT_S = 0.8


class EngineWork(Protocol):
    """What the daemon's own work at the engines tells and has to know."""

    def in_flight(self, endpoint: str) -> int:
        """Return the items that run at an engine."""

    def load_ordered(self, endpoint: str, model: str, version: int) -> None:
        """Use an engine again, with its new weights, when it has loaded."""


class OrderRecord:
    """The last order to one engine and whether it was accepted."""

    __slots__ = ('order', 'accepted', 'at_s')

    def __init__(self, order: LoadOrder, at_s: float) -> None:
        """Note an order that is about to be given."""
        self.order = order
        self.accepted = False
        self.at_s = at_s

    def loading(self, entry: EndpointEntry, now: float) -> bool:
        """Tell whether the engine is probably still loading."""
        held = entry.version_by_model.get(self.order.model, 0)
        return (
            self.accepted
            and held < self.order.version
            and now < self.at_s + LOAD_S
        )


class VersionRoller:
    """Give version orders while this daemon holds the lease for them."""

    __slots__ = (
        '_host',
        '_lease',
        '_desired',
        '_registry',
        '_engines',
        '_clock',
        '_work',
        '_work_of',
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
        work: EngineWork,
        work_of: Callable[[str], float],
    ) -> None:
        """Give no order yet.

        `work` is what this daemon runs at the engines; `work_of` tells the
        work that a model has lately had.
        """
        self._host = host
        self._lease = lease
        self._desired = desired
        self._registry = registry
        self._engines = engines
        self._clock = clock
        self._work = work
        self._work_of = work_of
        self._orders: dict[str, OrderRecord] = {}
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
        for service, models in self._models_by_service().items():
            needs = [
                ModelNeed(
                    model,
                    self._desired.model_versions.get(model, 1),
                    self._work_of(model),
                )
                for model in models
            ]
            now = self._clock.now()
            orders = plan_loads(now, needs, self._holdings(service))
            await asyncio.gather(*(self._order(order) for order in orders))

    def _models_by_service(self) -> dict[str, tuple[str, ...]]:
        state = self._desired.current
        if state is None:
            return {}
        return {
            service.name: service.engine.models
            for service in state.services_by_name.values()
            if service.engine is not None
        }

    def _holdings(self, service: str) -> list[EngineHolding]:
        now = self._clock.now()
        found = []
        for entry in self._registry.entry_by_endpoint.values():
            if entry.service != service or entry.draining:
                continue
            record = self._orders.get(entry.endpoint)
            found.append(
                EngineHolding(
                    endpoint=entry.endpoint,
                    version_by_model=entry.version_by_model,
                    busy=record is not None and record.loading(entry, now),
                    retry_at_s=record.at_s + RETRY_S if record else 0.0,
                    in_flight=self._work.in_flight(entry.endpoint),
                )
            )
        return found

    async def _order(self, wanted: LoadOrder) -> None:
        entry = self._registry.entry_by_endpoint.get(wanted.endpoint)
        if entry is None:
            return
        record = OrderRecord(wanted, self._clock.now())
        self._orders[entry.endpoint] = record
        count = self._count_by_endpoint.get(entry.endpoint)
        if count is None:
            count = await self._ask(entry, record)
        fence = self._lease.fence()
        if count is None or fence is None:
            return
        order = VersionOrder(
            model=wanted.model,
            version=wanted.version,
            holder=self._host,
            fence=fence,
            order_count=count,
            keep_running=not self._single_version(entry.service),
        )
        outcome = await self._give(entry, order)
        record.accepted = outcome in (CARRIED_OUT, HOLDS)
        if record.accepted:
            self._work.load_ordered(
                entry.endpoint, wanted.model, wanted.version
            )
        # An order without a clear answer may have been accepted, so the count
        # is asked for before the next one.
        self._count_by_endpoint.pop(entry.endpoint, None)
        if outcome == CARRIED_OUT:
            self._count_by_endpoint[entry.endpoint] = count + 1
        logger.bind(
            endpoint=entry.endpoint,
            model=wanted.model,
            version=wanted.version,
            held=entry.version_by_model.get(wanted.model, 0),
            fence=fence,
            order_count=count,
            outcome=outcome,
        ).log(DECISION, 'version order')

    async def _give(self, entry: EndpointEntry, order: VersionOrder) -> str:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self._engines.order(
                    entry.address, entry.instance, order
                )
        except (EndpointError, TimeoutError) as error:
            return f'no answer: {error}'[:120]

    async def _ask(
        self, entry: EndpointEntry, record: OrderRecord
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
        held = report.version_by_model.get(record.order.model, 0)
        if report.order_busy or held >= record.order.version:
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
