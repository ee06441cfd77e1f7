"""Roll out the newest weight version to all engines of a model."""

import asyncio

from loguru import logger

from anvilcove.commands.control.leases import LeaseKeeper
from anvilcove.commands.control.weights import (
    WeightsComponent,
    trainer_classes,
)
from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.decisions.rollout import (
    RolloutState,
    ServerView,
    WeightLoadOrder,
)
from anvilcove.decisions.types import DecisionRecord
from anvilcove.messages.engines import EngineOrder, EngineState
from anvilcove.ports.errors import EndpointError
from anvilcove.state.background_tasks import Work
from anvilcove.state.endpoints import EndpointState

IDLE_PERIOD_S = 0.5
# The end of a version load must be noticed soon, or the weight store idles
# meanwhile.
ACTIVE_PERIOD_S = 0.05
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0
# Tokens in transit while an engine loads a version may carry the previous one.
MAX_TOKEN_DELAY_S = 1.0
# An order counts as failed if the engine does not start to load in this time.
LOAD_START_TIMEOUT_S = 1.0


class _EngineRollout:
    """State of one engine that the lease holder keeps between polls."""

    __slots__ = (
        'ordered_at_s',
        'loading',
        'failures',
        'retry_at_s',
        'reported_version',
        'reported_since_s',
    )

    def __init__(self) -> None:
        self.ordered_at_s: float | None = None
        self.loading = False
        self.failures = 0
        self.retry_at_s = 0.0
        self.reported_version = 0
        self.reported_since_s = 0.0

    def update(self, now: float, loading: bool, up_to_date: bool) -> None:
        """Update the state from a report; back off if the order failed."""
        if up_to_date:
            self.failures = 0
            self.ordered_at_s = None
        elif self.ordered_at_s is not None and not loading:
            if self.loading or now - self.ordered_at_s > LOAD_START_TIMEOUT_S:
                self.ordered_at_s = None
                self.failures += 1
                backoff_s = FIRST_BACKOFF_S * 2 ** min(self.failures - 1, 10)
                self.retry_at_s = now + min(backoff_s, MAX_BACKOFF_S)
        self.loading = loading


@register_component
class RolloutComponent(Component):
    """Order engines that run an older version to load the newest one."""

    control = True

    def __init__(self, context: Context) -> None:
        """Start without engine state."""
        super().__init__(context)
        self.weights: WeightsComponent = context.component(WeightsComponent)
        self.leases: LeaseKeeper = context.component(LeaseKeeper)
        self.runner: SampleRunner = context.component(SampleRunner)
        self._engine_by_endpoint: dict[str, _EngineRollout] = {}
        self._wake = asyncio.Event()
        self.weights.changes.subscribe(lambda _: self._wake.set())

    def tasks(self) -> list[Work]:
        """Return the loop that rolls out the versions of all models."""
        return [self._loop]

    async def _loop(self) -> None:
        while True:
            pools = {c.pool: c.model for c in trainer_classes(self.context)}
            active = await asyncio.gather(
                *(self._roll_out(pool, model) for pool, model in pools.items())
            )
            self._wake.clear()
            period_s = ACTIVE_PERIOD_S if any(active) else IDLE_PERIOD_S
            try:
                async with asyncio.timeout(period_s):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _roll_out(self, pool: str, model: str) -> bool:
        """Order version loads in a pool; return whether any engine lags."""
        name = f'rollout/{model}'
        self.leases.want(name)
        target = self.weights.newest(model)
        if not target or self.leases.fence(name) is None:
            return False
        states = self.context.endpoints.in_pool(pool)
        reports = await asyncio.gather(*(self._read_state(s) for s in states))
        servers = [
            self._server_view(state, report, target)
            for state, report in zip(states, reports, strict=True)
            if report is not None and report.model == model
        ]
        plan = self.context.policy('rollout').plan(
            self.context.clock.now(), RolloutState(target, servers)
        )
        await asyncio.gather(
            *(self._send_order(model, order) for order in plan)
        )
        return any(server.version != target for server in servers)

    async def _read_state(self, state: EndpointState) -> EngineState | None:
        if state.leaving or state.kind != 'engine':
            return None
        try:
            port = self.context.endpoint_port(state, control=True)
            report: EngineState = await port.state()
            return report
        except EndpointError as error:
            logger.debug(
                'state of engine {} could not be read: {}',
                state.endpoint,
                error,
            )
            return None

    def _server_view(
        self, state: EndpointState, report: EngineState, target: int
    ) -> ServerView:
        now = self.context.clock.now()
        engine = self._engine_by_endpoint.setdefault(
            state.endpoint, _EngineRollout()
        )
        if report.version != engine.reported_version:
            engine.reported_version, engine.reported_since_s = (
                report.version,
                now,
            )
        version = report.version
        seen, at_s = self.runner.staleness_check.last_token(state.endpoint)
        if at_s > engine.reported_since_s + MAX_TOKEN_DELAY_S:
            # Tokens show the version in use; the report may be wrong.
            version = min(version, seen)
        state.version = version
        engine.update(now, report.swapping, version == target)
        load = state.in_flight / max(state.limit, 1.0)
        if state.report is not None and state.report.capacity:
            load = max(load, state.report.running / state.report.capacity)
        return ServerView(
            endpoint=state.endpoint,
            data_centre=state.data_centre,
            version=version,
            swapping=engine.ordered_at_s is not None or report.swapping,
            load=min(load, 1.0),
            retry_at_s=engine.retry_at_s,
        )

    async def _send_order(self, model: str, order: WeightLoadOrder) -> None:
        """Order an engine to load a version, under the lease of the model."""
        fence = self.leases.fence(f'rollout/{model}')
        state = self.context.endpoints.by_id.get(order.endpoint)
        if fence is None or state is None:
            return
        context = self.context
        context.decisions.record(
            DecisionRecord(
                at_s=context.clock.now(),
                decision='rollout',
                subject=model,
                class_name='',
                choice=f'{order.endpoint} loads version {order.version}',
                reason=order.reason,
                revision=context.config.revision,
                extra={'fence': fence},
            )
        )
        engine = self._engine_by_endpoint[order.endpoint]
        try:
            await context.endpoint_port(state).order(
                EngineOrder(
                    fence=fence,
                    kind='load_version',
                    model=model,
                    version=order.version,
                )
            )
        except EndpointError as error:
            logger.info('order to engine {} failed: {}', order.endpoint, error)
        engine.ordered_at_s = context.clock.now()
