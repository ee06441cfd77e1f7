"""Rolling update of the engines to the versions that trainers announce."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from anvilcove.control.desired import JOB, DesiredStateView
from anvilcove.control.endpoints import EndpointEntry, EndpointRegistry
from anvilcove.control.leases import USE_DURATION_S, Lease
from anvilcove.decisions.version_roll import (
    EngineVersions,
    LoadOrder,
    ModelTarget,
    plan_loads,
)
from anvilcove.ports.engines import (
    ACCEPTED,
    ALREADY_LOADED,
    EngineClient,
    VersionOrder,
)
from anvilcove.ports.errors import (
    EndpointError,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.state.clock import Clock
from anvilcove.telemetry.logs import DECISION

POLL_PERIOD_S = 0.1
# Period of a daemon that does not hold the lease.
IDLE_POLL_PERIOD_S = 0.3
# An order that was not answered may still be executed; after this time the
# engine has announced its new order count.
ORDER_RETRY_S = 1.0
# A load takes about 1 s; an engine that has not announced the version within
# this time may be ordered again.
LOAD_TIMEOUT_S = 2.5
# Engines answer orders and report requests without delay. A successor of the
# holder relies on it.
ORDER_TIMEOUT_S = USE_DURATION_S


class EngineActivity(Protocol):
    """Record of this daemon's items and load orders on engines."""

    def in_flight_by_model(self, endpoint: str) -> dict[str, int]:
        """Return the number of items of each model on an engine."""

    def model_idle_s(self, model: str) -> float:
        """Return the time for which no item of a model has run."""

    def mark_loading(self, endpoint: str, model: str, version: int) -> None:
        """Treat an engine as loading, then as holding the new version."""


class OrderRecord:
    """Last order to an engine and whether it was accepted."""

    __slots__ = ('order', 'accepted', 'at_s')

    def __init__(self, order: LoadOrder, at_s: float) -> None:
        """Record an order that is about to be sent."""
        self.order = order
        self.accepted = False
        self.at_s = at_s

    def is_loading(self, entry: EndpointEntry, now: float) -> bool:
        """Tell whether the engine is presumably still loading."""
        loaded_version = entry.version_by_model.get(self.order.model, 0)
        return (
            self.accepted
            and loaded_version < self.order.version
            and now < self.at_s + LOAD_TIMEOUT_S
        )


class VersionUpdater:
    """Send load orders to engines while this daemon holds the orders lease."""

    __slots__ = (
        '_host',
        '_lease',
        '_desired',
        '_registry',
        '_engines',
        '_clock',
        '_activity',
        '_count_tokens',
        '_orders',
        '_order_count_by_endpoint',
    )

    def __init__(
        self,
        host: str,
        lease: Lease,
        desired: DesiredStateView,
        registry: EndpointRegistry,
        engines: EngineClient,
        clock: Clock,
        activity: EngineActivity,
        count_tokens: Callable[[str], float],
    ) -> None:
        """Send nothing before `run`.

        `activity` records this daemon's items on the engines; `count_tokens`
        returns the number of tokens in the known jobs of a model.
        """
        self._host = host
        self._lease = lease
        self._desired = desired
        self._registry = registry
        self._engines = engines
        self._clock = clock
        self._activity = activity
        self._count_tokens = count_tokens
        self._orders: dict[str, OrderRecord] = {}
        # Number of orders that an engine has accepted, where that is known
        # from an order that it executed.
        self._order_count_by_endpoint: dict[str, int] = {}

    async def run(self) -> None:
        """Order loads periodically while the lease is held, without end."""
        while True:
            if self._lease.fence() is not None:
                await self.order_loads()
                await self._clock.sleep(POLL_PERIOD_S)
            else:
                self._orders.clear()
                self._order_count_by_endpoint.clear()
                await self._clock.sleep(IDLE_POLL_PERIOD_S)

    async def order_loads(self) -> None:
        """Send the load orders that are allowed now."""
        for service, models in self._models_by_service().items():
            targets = [
                ModelTarget(
                    model,
                    self._desired.newest_version_by_model.get(model, 1),
                    self._count_tokens(model),
                    self._activity.model_idle_s(model),
                )
                for model in models
            ]
            now = self._clock.now()
            orders = plan_loads(now, targets, self._engine_versions(service))
            await self._place_orders(orders)

    def _models_by_service(self) -> dict[str, tuple[str, ...]]:
        state = self._desired.current
        if state is None:
            return {}
        return {
            service.name: service.engine.models
            for service in state.services_by_name.values()
            if service.engine is not None
        }

    def _engine_versions(self, service: str) -> list[EngineVersions]:
        now = self._clock.now()
        found = []
        for entry in self._registry.entry_by_endpoint.values():
            if entry.service != service or entry.draining:
                continue
            record = self._orders.get(entry.endpoint)
            found.append(
                EngineVersions(
                    endpoint=entry.endpoint,
                    version_by_model=entry.version_by_model,
                    busy=record is not None and record.is_loading(entry, now),
                    retry_at_s=self._retry_at_s(record, entry, now),
                    in_flight_by_model=self._activity.in_flight_by_model(
                        entry.endpoint
                    ),
                )
            )
        return found

    def _retry_at_s(
        self, record: OrderRecord | None, entry: EndpointEntry, now: float
    ) -> float:
        """Return the time before which an engine gets no order."""
        blocked_s = self._lease.blocked_s(entry.endpoint)
        if blocked_s > 0:
            return now + blocked_s
        return record.at_s + ORDER_RETRY_S if record else 0.0

    async def _place_orders(self, wanted: list[LoadOrder]) -> None:
        """Announce the orders in the lease, then send them."""
        counts = await asyncio.gather(
            *(self._prepare_order(order) for order in wanted)
        )
        prepared = [
            (order, count)
            for order, count in zip(wanted, counts, strict=True)
            if count is not None
        ]
        if not prepared:
            return
        endpoints = [order.endpoint for order, _ in prepared]
        try:
            if not await self._lease.announce(endpoints):
                return
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(endpoints=endpoints, reason=str(error)).info(
                'version orders not announced'
            )
            return
        await asyncio.gather(
            *(self._place_order(order, count) for order, count in prepared)
        )

    async def _prepare_order(self, wanted: LoadOrder) -> int | None:
        """Return the engine's order count, None if no order can be sent."""
        entry = self._registry.entry_by_endpoint.get(wanted.endpoint)
        if entry is None:
            return None
        record = OrderRecord(wanted, self._clock.now())
        self._orders[entry.endpoint] = record
        count = self._order_count_by_endpoint.get(entry.endpoint)
        if count is None:
            count = await self._read_order_count(entry, record)
        return count

    async def _place_order(self, wanted: LoadOrder, count: int) -> None:
        entry = self._registry.entry_by_endpoint.get(wanted.endpoint)
        record = self._orders.get(wanted.endpoint)
        fence = self._lease.fence()
        if entry is None or record is None or fence is None:
            return
        if not self._lease.may_act_on(wanted.endpoint):
            return
        order = VersionOrder(
            model=wanted.model,
            version=wanted.version,
            holder=self._host,
            fence=fence,
            order_count=count,
            keep_running=not self._single_version(entry.service),
        )
        outcome = await self._send_order(entry, order)
        record.accepted = outcome in (ACCEPTED, ALREADY_LOADED)
        if record.accepted:
            self._activity.mark_loading(
                entry.endpoint, wanted.model, wanted.version
            )
        # An order without a clear answer may have been accepted, so the count
        # is read again before the next one.
        self._order_count_by_endpoint.pop(entry.endpoint, None)
        if outcome == ACCEPTED:
            self._order_count_by_endpoint[entry.endpoint] = count + 1
        logger.bind(
            endpoint=entry.endpoint,
            model=wanted.model,
            version=wanted.version,
            held=entry.version_by_model.get(wanted.model, 0),
            fence=fence,
            order_count=count,
            outcome=outcome,
        ).log(DECISION, 'version order')

    async def _send_order(
        self, entry: EndpointEntry, order: VersionOrder
    ) -> str:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self._engines.order(
                    entry.address, entry.instance, order
                )
        except (EndpointError, TimeoutError) as error:
            return f'no answer: {error}'[:120]

    async def _read_order_count(
        self, entry: EndpointEntry, record: OrderRecord
    ) -> int | None:
        """Return the engine's order count, None if no order can be sent."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                report = await self._engines.report(entry.address)
        except (EndpointError, TimeoutError) as error:
            logger.bind(endpoint=entry.endpoint, reason=str(error)).info(
                'engine report not read'
            )
            return None
        loaded_version = report.version_by_model.get(record.order.model, 0)
        if report.order_busy or loaded_version >= record.order.version:
            # It is loading, or has not announced the new version yet.
            record.accepted = True
            return None
        return report.order_count

    def _single_version(self, service: str) -> bool:
        """Tell whether a job route of the service asks for one version."""
        state = self._desired.current
        return state is not None and any(
            route.kind == JOB and route.job and route.job.single_version
            for route in state.routes
            if any(target.service == service for target in route.targets)
        )
