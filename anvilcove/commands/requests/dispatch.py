"""Queue requests for endpoints with free capacity; track attempts."""

import asyncio

from msgspec.structs import replace
from reactivex.abc import DisposableBase

from anvilcove.commands.control.capacity import Capacity
from anvilcove.commands.requests.crashes import CrashAccounting
from anvilcove.commands.requests.isolation import Isolation
from anvilcove.commands.requests.pool_queue import PoolQueue, Waiter
from anvilcove.commands.requests.workspace_shares import (
    DEFAULT_CALL_S,
    WorkspaceShares,
)
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.decisions.limits import queue_ratio
from anvilcove.decisions.types import (
    CANCELLED,
    OK,
    TRAINER,
    AttemptResult,
    DecisionRecord,
    PoolLoad,
    Route,
    RouteRequest,
)
from anvilcove.state.background_tasks import Work
from anvilcove.state.endpoints import EndpointState

# The end of an ejection raises no event, so the queues are served with this
# period.
QUEUE_PERIOD_S = 0.05
# Smoothing factor of the exponential moving average of service times.
SERVICE_TIME_WEIGHT = 0.1


class NoSlotAvailable(Exception):
    """Raised when no endpoint can take a request; nothing was sent."""


class OverShare(NoSlotAvailable):
    """Raised for requests over the share of their workspace, at once."""


class Slot:
    """Permit for one attempt at an endpoint; release it exactly once."""

    __slots__ = ('dispatcher', 'state', 'request', 'started_at_s', 'isolated')

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        state: EndpointState,
        request: RouteRequest,
        now: float,
    ) -> None:
        """Count the attempt as in flight."""
        self.dispatcher = dispatcher
        self.state = state
        self.request = request
        self.started_at_s = now
        self.isolated = request.isolated
        state.in_flight += 1

    def release(self, outcome: str, content: str | None = None) -> None:
        """Free the slot; the outcomes are those of decisions/types.py.

        `content` may be the cause of the outcome. By default it is that of the
        request; '' stands for none.
        """
        if content is None:
            content = self.request.content
        self.dispatcher.on_release(self, outcome, content)

    def heard(self) -> None:
        """Record that the attempt goes on."""
        self.dispatcher.on_progress(self.state)


@register_component
class Dispatcher(Component):
    """Assign slots to requests by priority number, then by deadline.

    If the class declarations have workspaces, their shares of the service
    time decide after the priority.
    """

    def __init__(self, context: Context) -> None:
        """Start with empty queues."""
        super().__init__(context)
        self._queue_by_pool: dict[str, PoolQueue[Slot]] = {}
        # Set while requests are queued, so that an idle daemon does not poll.
        self._has_queued = asyncio.Event()
        self._isolation = Isolation(context.endpoints)
        self._subscription: DisposableBase = (
            context.endpoints.changes.subscribe(
                lambda _: self._endpoints_changed()
            )
        )
        self.crashes = CrashAccounting(context)
        self.service_time_s_by_pool: dict[str, float] = {}
        self.service_time_s_by_class: dict[str, float] = {}
        self._in_flight_by_pool: dict[str, int] = {}
        self._capacity = Capacity(context.endpoints)
        self.shares = WorkspaceShares(context)

    def tasks(self) -> list[Work]:
        """Return the loop that serves the queues after ejections end."""
        return [self._serve_periodically]

    async def _serve_periodically(self) -> None:
        while True:
            await self._has_queued.wait()
            await self.context.clock.sleep(QUEUE_PERIOD_S)
            self.serve_all_queues()
            if not any(queue.size for queue in self._queue_by_pool.values()):
                self._has_queued.clear()

    async def acquire(self, request: RouteRequest, priority: int) -> Slot:
        """Wait for a slot at an endpoint of the pool.

        A workspace whose request waits is charged the usual service time of
        the class.
        Raise NoSlotAvailable at the deadline, or at once when the pool has no
        live endpoint. Requests of trainer classes wait for a live endpoint
        instead.
        """
        slot = self.try_acquire(request)
        if slot is not None:
            return slot
        if self._lacks_endpoint(request):
            raise NoSlotAvailable('the pool has no live endpoint')
        return await self._wait(request, priority)

    def try_acquire(self, request: RouteRequest) -> Slot | None:
        """Return a slot if one is free and the queue of the pool is empty."""
        return (
            None if self.queued(request.pool) else self._acquire_now(request)
        )

    async def _wait(self, request: RouteRequest, priority: int) -> Slot:
        queue = self._queue(request.pool)
        waiter = queue.add(
            request,
            priority,
            self._expected_s(request),
            request.deadline_at_s,
        )
        self._has_queued.set()
        self.serve_queue(request.pool)
        self._refuse_excess(queue, request.pool)
        try:
            remaining_s = request.deadline_at_s - self.context.clock.now()
            async with asyncio.timeout(max(remaining_s, 0.0)):
                slot = await waiter.future
        except TimeoutError:
            self._return_slot(waiter)
            raise NoSlotAvailable(
                'no endpoint had room before the deadline'
            ) from None
        except asyncio.CancelledError:
            self._return_slot(waiter)
            raise
        finally:
            queue.remove(waiter)
            self._withdraw_reservation(request)
        return slot

    def _queue(self, pool: str) -> PoolQueue[Slot]:
        """Return the queue of a pool, with shares if they are declared."""
        queue = self._queue_by_pool.setdefault(pool, PoolQueue())
        self.shares.update(queue)
        return queue

    def _refuse_excess(self, queue: PoolQueue[Slot], pool: str) -> None:
        _, slots = self._capacity.of(self.context.clock.now(), pool)
        for waiter in self.shares.excessive(queue, slots):
            waiter.future.set_exception(
                OverShare('too much of its workspace waits')
            )

    def _expected_s(self, request: RouteRequest) -> float:
        """Return the usual service time of the class of a request."""
        known_s = self.service_time_s_by_class.get(request.class_name)
        return known_s or self.service_time_s_by_pool.get(
            request.pool, DEFAULT_CALL_S
        )

    def _return_slot(self, waiter: Waiter[Slot]) -> None:
        """Release a slot that was assigned just as the wait ended."""
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            future.result().release(CANCELLED)

    def queued(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        queue = self._queue_by_pool.get(pool)
        return queue.size if queue else 0

    def queued_by_priority(self, pool: str) -> dict[int, int]:
        """Return the number of queued requests by priority number."""
        queue = self._queue_by_pool.get(pool)
        return dict(queue.count_by_priority) if queue else {}

    def load(self, pool: str, class_name: str) -> PoolLoad:
        """Return pool load and service times as seen by this daemon."""
        endpoints, limit = self._capacity.of(self.context.clock.now(), pool)
        return PoolLoad(
            endpoints=endpoints,
            limit=limit,
            in_flight=self._in_flight_by_pool.get(pool, 0),
            queued=self.queued(pool),
            queued_by_priority=self.queued_by_priority(pool),
            service_time_s=self.service_time_s_by_pool.get(pool, 0.0),
            own_service_time_s=self.service_time_s_by_class.get(
                class_name, 0.0
            ),
        )

    def load_ahead(self, request: RouteRequest, of_class: int) -> PoolLoad:
        """Return the load of a pool as it delays a request of a workspace.

        `of_class` is the priority of its class.
        """
        load = self.load(request.pool, request.class_name)
        queue = self._queue(request.pool)
        return self.shares.load_ahead(load, queue, request, of_class)

    def excess(self, pool: str, workspace: str) -> float:
        """Return the waiting work of a workspace relative to its share.

        It is 0 if nothing waits.
        """
        work = self._queue(pool).work
        return work.excess(workspace) if work is not None else 0.0

    def waiting_s_by_workspace(self) -> dict[str, float]:
        """Return the work in seconds that waits here, by workspace."""
        return self.shares.waiting_s_by_workspace(self._queue_by_pool)

    def share_retry_s(self, request: RouteRequest) -> float:
        """Return, with jitter, when the share of a workspace has capacity."""
        load = self.load(request.pool, request.class_name)
        queue = self._queue(request.pool)
        return self.shares.retry_after_s(load, queue, request)

    def serve_all_queues(self) -> None:
        """Assign free slots to the queued requests of every pool."""
        for pool, queue in list(self._queue_by_pool.items()):
            if queue.size:
                self.serve_queue(pool)

    def serve_queue(self, pool: str) -> None:
        """Assign free slots of a pool to its requests in queue order.

        A request that must run isolated or excludes some endpoints does not
        block the requests behind it.
        """
        if pool not in self._queue_by_pool:
            return
        queue = self._queue(pool)
        skipped = []
        while (waiter := queue.first()) is not None:
            slot = self._acquire_now(waiter.request)
            if slot is not None:
                queue.take()
                waiter.future.set_result(slot)
                continue
            if not waiter.request.isolated and not waiter.request.excluded:
                break
            if waiter.request.isolated:
                self._isolation.reserve(waiter.request)
            skipped.append(queue.pop())
        queue.restore(skipped)

    def _endpoints_changed(self) -> None:
        for queue in self._queue_by_pool.values():
            for waiter in queue.waiting():
                if self._lacks_endpoint(waiter.request):
                    waiter.future.set_exception(
                        NoSlotAvailable('the pool has no live endpoint')
                    )
        self.serve_all_queues()

    def _lacks_endpoint(self, request: RouteRequest) -> bool:
        if request.kind == TRAINER:
            return False
        states = self.context.endpoints.in_pool(request.pool)
        return all(state.leaving for state in states)

    def _withdraw_reservation(self, request: RouteRequest) -> None:
        if request.isolated:
            self._isolation.withdraw(request)
            self.serve_queue(request.pool)

    def on_progress(self, state: EndpointState) -> None:
        """Tell the policies that a run at an endpoint goes on."""
        now = self.context.clock.now()
        if state.ejected_until_s > now:
            state.ejected_until_s = self.context.policy('ejection').heard(
                now, state.endpoint
            )

    def on_release(self, slot: Slot, outcome: str, content: str) -> None:
        """Update the policies after an attempt and reassign its slot."""
        context = self.context
        now = context.clock.now()
        state = slot.state
        result = AttemptResult(
            endpoint=state.endpoint,
            outcome=outcome,
            latency_s=now - slot.started_at_s,
            in_flight=state.in_flight,
            class_name=slot.request.class_name,
            queue_ratio=queue_ratio(state),
            content=content,
        )
        state.in_flight -= 1
        self._in_flight_by_pool[state.pool] -= 1
        if slot.isolated:
            self._isolation.end(state)
        if outcome == OK:
            self._update_service_time(
                state.pool, result.class_name, result.latency_s
            )
        self._update_ejections(now, state, result)
        if outcome != OK and not context.policy('ejection').limits_endpoint(
            result
        ):
            result = replace(result, outcome=CANCELLED)
        context.policy('limits').finished(now, result)
        state.limit = context.policy('limits').limit(state.endpoint)
        context.policy('routing').finished(
            now, result, state.pool, slot.request.kind
        )
        self.crashes.ended(
            now, state, slot.request.content, slot.started_at_s, outcome
        )
        self.serve_queue(state.pool)

    def _update_ejections(
        self, now: float, state: EndpointState, result: AttemptResult
    ) -> None:
        endpoints = self.context.endpoints
        policy = self.context.policy('ejection')
        pool = endpoints.ids_by_pool.get(state.pool, [])
        state.ejected_until_s = policy.finished(now, result, pool)
        if state.ejected_until_s > now:
            self._log_ejection(now, state, result.outcome)
        for endpoint, until_s in policy.take_changes().items():
            other = endpoints.by_id.get(endpoint)
            if other is None:
                continue
            other.ejected_until_s = until_s
            if until_s > now:
                self._log_ejection(now, other, result.outcome)

    def _log_ejection(
        self, now: float, state: EndpointState, outcome: str
    ) -> None:
        self.context.metrics.endpoint_ejected(state.endpoint)
        self.context.decisions.record(
            DecisionRecord(
                at_s=now,
                decision='eject',
                subject=state.endpoint,
                class_name='',
                choice=f'{state.ejected_until_s - now:.1f} s',
                reason=f'last attempt ended as {outcome}',
                revision=self.context.config.revision,
            )
        )

    def _update_service_time(
        self, pool: str, class_name: str, latency_s: float
    ) -> None:
        for times, name in (
            (self.service_time_s_by_pool, pool),
            (self.service_time_s_by_class, class_name),
        ):
            mean_s = times.get(name, latency_s)
            times[name] = mean_s + SERVICE_TIME_WEIGHT * (latency_s - mean_s)

    def _acquire_now(self, request: RouteRequest) -> Slot | None:
        now = self.context.clock.now()
        route = self._route(now, request)
        if route is None:
            return None
        self._log_route(now, request, route)
        state = self.context.endpoints.by_id[route.endpoint]
        if request.isolated:
            self._isolation.begin(state, request.content)
        self.crashes.started(state.endpoint, request.content)
        in_flight = self._in_flight_by_pool.get(state.pool, 0)
        self._in_flight_by_pool[state.pool] = in_flight + 1
        return Slot(self, state, request, now)

    def _route(self, now: float, request: RouteRequest) -> Route | None:
        context = self.context
        if request.isolated:
            return self._isolation.choose(now, request)
        if self._isolation.endpoints:
            excluded = request.excluded | self._isolation.endpoints
            request = replace(request, excluded=excluded)
        route = context.policy('routing').choose(
            now, request, context.endpoints, context.rng
        )
        return route if isinstance(route, Route) else None

    def _log_route(
        self, now: float, request: RouteRequest, route: Route
    ) -> None:
        self.context.decisions.record(
            DecisionRecord(
                at_s=now,
                decision='route',
                subject=request.request_id,
                class_name=request.class_name,
                choice=route.endpoint,
                reason=route.reason,
                candidates=route.candidates,
                revision=self.context.config.revision,
            )
        )
