"""Endpoint slots, assigned to requests by the decision policies."""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence

from loguru import logger
from msgspec.structs import replace

from anvilcove.commands.requests.pool_queue import PoolQueue, Waiter
from anvilcove.control.endpoints import EndpointRegistry
from anvilcove.control.permits import RatePermits
from anvilcove.control.share_hints import WorkspaceWeights
from anvilcove.decisions.ejection import OutlierEjection
from anvilcove.decisions.limits import GradientLimit, queue_ratio
from anvilcove.decisions.routing import LeastExpectedWait
from anvilcove.decisions.service_choice import (
    WeightedService,
    choose_service,
    service_order,
)
from anvilcove.decisions.shares import RetryTimes
from anvilcove.decisions.types import (
    CANCELLED,
    OK,
    AttemptResult,
    NoRoute,
    RouteRequest,
)
from anvilcove.messages.engines import LoadReport
from anvilcove.ports.engines import EngineLoad
from anvilcove.settings.host import HostSettings
from anvilcove.state.clock import Clock
from anvilcove.state.endpoints import EndpointState
from anvilcove.telemetry.logs import DECISION
from anvilcove.telemetry.metrics import NodeMetrics

# Weight of a new call in the moving average of the service time of its class.
CALL_TIME_SMOOTHING = 0.05
# Expected service time of a class before its first answer.
DEFAULT_CALL_S = 0.025


class EndpointPools:
    """Assign requests to endpoints and queue them while all are full."""

    __slots__ = (
        'registry',
        '_clock',
        '_rng',
        '_metrics',
        '_routing',
        '_limits',
        '_ejection',
        '_queue_by_pool',
        '_permits',
        '_shares',
        '_retry_times',
        '_call_s_by_class',
    )

    def __init__(
        self,
        settings: HostSettings,
        registry: EndpointRegistry,
        clock: Clock,
        rng: random.Random,
        metrics: NodeMetrics,
        permits: RatePermits,
        shares: WorkspaceWeights | None = None,
    ) -> None:
        """Create the policies; the caller keeps `registry` up to date.

        Without `shares`, workspaces do not matter.
        """
        self._shares = shares
        self._retry_times = RetryTimes()
        # Moving average of the service time in seconds.
        self._call_s_by_class: dict[str, float] = {}
        self._permits = permits
        permits.on_answer = self._on_permit_answer
        self._metrics = metrics
        self.registry = registry
        self._clock = clock
        self._rng = rng
        self._routing = LeastExpectedWait(settings)
        self._limits = GradientLimit(settings)
        self._ejection = OutlierEjection(settings)
        self._queue_by_pool: dict[str, PoolQueue[EndpointState | None]] = {}
        registry.view.listen(self._on_endpoint_change)

    def try_acquire(self, request: RouteRequest) -> EndpointState | None:
        """Acquire a slot without waiting, or return None.

        The caller must call `finish` or `release` afterwards.
        """
        choice = self._routing.choose(
            self._clock.now(), request, self.registry.view, self._rng
        )
        if isinstance(choice, NoRoute):
            return None
        state = self.registry.view.by_id[choice.endpoint]
        state.in_flight += 1
        state.spend_permit()
        now = self._clock.now()
        idle = state.idle_connections if state.has_connection(now) else 0
        state.idle_connections = max(idle - 1, 0)
        return state

    async def acquire(
        self, request: RouteRequest, priority: int, wait_s: float
    ) -> EndpointState | None:
        """Acquire a slot within `wait_s`, or return None.

        The caller must call `finish` or `release` afterwards.
        """
        self._permits.refresh(request.pool)
        queue = self._queue_by_pool.setdefault(request.pool, PoolQueue())
        self._update_shares(queue)
        # With shares, a request that has just come does not go before those
        # that wait. A hedge, which may not wait, is then only sent if there
        # is room that those can't use.
        contended = queue.work is not None and queue.first() is not None
        if contended and wait_s <= 0:
            self._serve_waiters(request.pool)
            return self.try_acquire(request)
        state = None if contended else self.try_acquire(request)
        if state is not None or self._permits.retry_s(request.pool) >= wait_s:
            return state
        self._permits.request_for_pool(request.pool, request.excluded)
        waiter = queue.add(
            request,
            priority,
            self._expected_s(request.class_name),
            self._clock.now() + wait_s,
        )
        if contended:
            self._serve_waiters(request.pool)
        self._refuse_excess(queue, request.pool, wait_s)
        return await self._wait(queue, waiter, wait_s)

    async def acquire_at_any(
        self,
        targets: Sequence[WeightedService],
        request: RouteRequest,
        priority: int,
        wait_s: float,
    ) -> EndpointState | None:
        """Acquire a slot at a service of a route, that of the request first.

        One with a free slot goes before one at which the request would wait.
        """
        if len(targets) > 1:
            order = service_order(targets, request.request_id)
            order.sort(key=lambda service: service != request.pool)
            for service in order:
                state = self.acquire_now(replace(request, pool=service))
                if state is not None:
                    return state
            service = choose_service(
                targets, request.request_id, self.preferences(request.excluded)
            )
            request = replace(request, pool=service)
        return await self.acquire(request, priority, wait_s)

    def acquire_now(self, request: RouteRequest) -> EndpointState | None:
        """Acquire a slot that no request waits for, or return None.

        The caller must call `finish` or `release` afterwards.
        """
        self._permits.refresh(request.pool)
        queue = self._queue_by_pool.setdefault(request.pool, PoolQueue())
        self._update_shares(queue)
        if queue.work is not None and queue.first() is not None:
            self._serve_waiters(request.pool)
        return self.try_acquire(request)

    async def _wait(
        self,
        queue: PoolQueue[EndpointState | None],
        waiter: Waiter[EndpointState | None],
        wait_s: float,
    ) -> EndpointState | None:
        waits_since_s = self._clock.now()
        try:
            async with asyncio.timeout(wait_s):
                return await asyncio.shield(waiter.future)
        except TimeoutError:
            future = waiter.future
            return future.result() if future.done() else None
        except asyncio.CancelledError:
            if waiter.future.done() and not waiter.future.cancelled():
                acquired = waiter.future.result()
                if acquired is not None:
                    self.release(acquired)
            raise
        finally:
            queue.remove(waiter)
            self._metrics.workspace_waited(
                waiter.request.workspace, self._clock.now() - waits_since_s
            )

    def available_count(self, pool: str, software: str | None = None) -> int:
        """Return the number of endpoints of a pool that accept new work.

        With `software`, only endpoints of that software version count.
        """
        return sum(
            not state.leaving and software in (None, state.software)
            for state in self.registry.view.in_pool(pool)
        )

    def preferences(
        self, tried: Collection[str]
    ) -> tuple[Callable[[str], bool], ...]:
        """Return what makes a service of a route better than others.

        An endpoint that is in use and was not tried counts first, any that
        accepts work next.
        """
        now = self._clock.now()

        def has_usable(pool: str) -> bool:
            return any(
                not state.leaving
                and state.ejected_until_s <= now
                and state.endpoint not in tried
                for state in self.registry.view.in_pool(pool)
            )

        return has_usable, lambda pool: self.available_count(pool) > 0

    def release(self, state: EndpointState) -> None:
        """Release a slot that was not used."""
        state.in_flight -= 1
        self._serve_waiters(state.pool)

    def finish(
        self,
        state: EndpointState,
        outcome: str,
        latency_s: float,
        class_name: str,
        kind: str,
        load: EngineLoad | None = None,
        content: str = '',
    ) -> None:
        """Release a slot and report the outcome to the policies.

        `content` is '' if what the request runs can't be the cause of it.
        """
        now = self._clock.now()
        if outcome == OK:
            self._record_service_time(class_name, latency_s)
            state.idle_connections += 1
            state.idle_since_s = now
        if load is not None and load.slots:
            self.registry.view.set_report(
                state,
                LoadReport(
                    endpoint=state.endpoint,
                    running=load.running,
                    queued=load.waiting,
                    capacity=load.slots,
                ),
                now,
            )
        result = AttemptResult(
            endpoint=state.endpoint,
            outcome=outcome,
            latency_s=latency_s,
            in_flight=state.in_flight,
            class_name=class_name,
            queue_ratio=queue_ratio(state),
            slowness=_named_slowness(load),
            load_share=_load_share(load),
            content=content,
        )
        state.in_flight -= 1
        pool = self.registry.view.ids_by_pool.get(state.pool, [])
        until_s = self._ejection.finished(now, result, pool)
        self._set_ejection(now, state, until_s, outcome)
        for endpoint, changed_s in self._ejection.take_changes().items():
            other = self.registry.view.by_id.get(endpoint)
            if other is not None:
                self._set_ejection(now, other, changed_s, outcome)
        if outcome != OK and not self._ejection.limits_endpoint(result):
            result = replace(result, outcome=CANCELLED)
        self._limits.finished(now, result)
        state.limit = self._limits.limit(state.endpoint)
        self._routing.finished(now, result, state.pool, kind)
        self._serve_waiters(state.pool)

    def is_sound(self, endpoint: str) -> bool | None:
        """Tell whether an endpoint completes most of its runs, if known."""
        return self._ejection.is_sound(self._clock.now(), endpoint)

    def heard(self, state: EndpointState) -> None:
        """Record that a run at an endpoint goes on."""
        now = self._clock.now()
        if state.ejected_until_s > now:
            until_s = self._ejection.heard(now, state.endpoint)
            self._set_ejection(now, state, until_s, OK)

    def _set_ejection(
        self, now: float, state: EndpointState, until_s: float, outcome: str
    ) -> None:
        """Apply the end of an ejection, 0 for none."""
        if state.ejected_until_s == until_s:
            return
        if until_s > now:
            logger.bind(
                endpoint=state.endpoint, outcome=outcome, for_s=until_s - now
            ).log(DECISION, 'endpoint ejected')
            self._metrics.endpoint_ejected(state.pool)
        elif state.ejected_until_s > now:
            logger.bind(endpoint=state.endpoint, outcome=outcome).log(
                DECISION, 'ejection of an endpoint ended early'
            )
        state.ejected_until_s = until_s

    def _on_endpoint_change(self, endpoint: str) -> None:
        """Let no request wait for a pool that all endpoints leave."""
        state = self.registry.view.by_id.get(endpoint)
        if state is None or not state.leaving:
            return
        queue = self._queue_by_pool.get(state.pool)
        if queue is None or self.available_count(state.pool):
            return
        for waiter in queue.waiting():
            waiter.future.set_result(None)

    def retry_s(self, pool: str) -> float:
        """Return the time until a permit, 0 if the pool needs none."""
        return self._permits.retry_s(pool)

    def _on_permit_answer(self, pool: str, retry_s: float) -> None:
        self._serve_waiters(pool)
        self._request_permit(pool)
        if retry_s > 0:
            asyncio.get_running_loop().call_later(
                retry_s, self._request_permit, pool
            )

    def _request_permit(self, pool: str) -> None:
        """Ask for a permit for the first request that waits."""
        queue = self._queue_by_pool.get(pool)
        waiter = queue.first() if queue is not None else None
        if waiter is not None:
            request = waiter.request
            self._permits.request_for_pool(pool, request.excluded)

    def _serve_waiters(self, pool: str) -> None:
        """Give free slots of a pool to the requests that wait for one."""
        queue = self._queue_by_pool.get(pool)
        if queue is None:
            return
        passed_over = []
        while (waiter := queue.first()) is not None:
            state = self.try_acquire(waiter.request)
            if state is not None:
                queue.take()
                waiter.future.set_result(state)
            elif waiter.request.software is None and not (
                queue.work is not None and waiter.request.excluded
            ):
                break
            else:
                # Endpoints that do not suit it may suit the next one.
                passed_over.append(queue.pop())
        queue.restore(passed_over)

    def excess(self, request: RouteRequest) -> float:
        """Return the waiting work of its workspace relative to its share.

        It is 0 without shares or without waiting work.
        """
        queue = self._queue_by_pool.get(request.pool)
        if queue is None or queue.work is None:
            return 0.0
        return queue.work.excess(request.workspace)

    def share_retry_s(self, request: RouteRequest) -> float:
        """Return, with jitter, when its workspace's share has capacity again.

        It is 0 without shares.
        """
        queue = self._queue_by_pool.get(request.pool)
        if queue is None or queue.work is None:
            return 0.0
        slots = max(self._slots(request.pool), 1.0)
        rate = slots * queue.work.share(request.workspace)
        return self._retry_times.retry_after_s(
            self._clock.now(),
            f'{request.pool}/{request.workspace}',
            queue.work.waiting_s(request.workspace) / rate,
            self._expected_s(request.class_name) / rate,
            self._rng,
        )

    def waiting_s_by_workspace(self) -> dict[str, float]:
        """Return the work in seconds that waits here, by workspace."""
        found: dict[str, float] = {}
        for queue in self._queue_by_pool.values():
            if queue.work is not None:
                for name, waiting_s in queue.work.by_workspace().items():
                    found[name] = found.get(name, 0.0) + waiting_s
        return found

    def _update_shares(self, queue: PoolQueue[EndpointState | None]) -> None:
        shares = self._shares
        if shares is not None:
            queue.use_shares(shares.effective if shares.enabled() else None)

    def _refuse_excess(
        self,
        queue: PoolQueue[EndpointState | None],
        pool: str,
        wait_s: float,
    ) -> None:
        """Refuse what cannot start within `wait_s`, whatever happens.

        Calls that wait for longer do not count. The slots start at most their
        number times `wait_s` of work in that time, and one more call each.
        Other hosts use the same slots, so less may start.
        """
        if queue.work is None or queue.work.total_s <= 0:
            return
        mean_s = queue.work.total_s / max(queue.size, 1)
        limit_s = self._slots(pool) * (wait_s + mean_s)
        until_s = self._clock.now() + wait_s
        while (waiter := queue.excessive(limit_s, until_s)) is not None:
            queue.settle(waiter)
            waiter.future.set_result(None)

    def _slots(self, pool: str) -> float:
        return sum(
            state.limit
            for state in self.registry.view.in_pool(pool)
            if not state.leaving
        )

    def _expected_s(self, class_name: str) -> float:
        return self._call_s_by_class.get(class_name, DEFAULT_CALL_S)

    def _record_service_time(self, class_name: str, latency_s: float) -> None:
        known_s = self._call_s_by_class.get(class_name, latency_s)
        self._call_s_by_class[class_name] = known_s + CALL_TIME_SMOOTHING * (
            latency_s - known_s
        )


def _named_slowness(load: EngineLoad | None) -> float | None:
    if load is None or not load.names_slowness:
        return None
    return load.slowness


def _load_share(load: EngineLoad | None) -> float:
    if load is None or not load.slots:
        return 0.0
    return (load.running + load.waiting) / load.slots
