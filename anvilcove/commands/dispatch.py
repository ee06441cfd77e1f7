"""Wait for room at an endpoint and account for every attempt."""

import asyncio
import heapq
import itertools

from reactivex.abc import DisposableBase

from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.decisions.limits import queue_ratio
from anvilcove.decisions.types import (
    CRASH,
    OK,
    AttemptResult,
    DecisionRecord,
    Route,
    RouteRequest,
)
from anvilcove.state.endpoints import EndpointState


class NoSlot(Exception):
    """Raised when no endpoint had room before the deadline; nothing ran."""


class Slot:
    """One attempt at one endpoint; release it exactly once."""

    __slots__ = ('dispatcher', 'state', 'request', 'started_at_s')

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
        state.in_flight += 1

    def release(self, outcome: str) -> None:
        """End the attempt with an outcome of decisions/types.py."""
        self.dispatcher.released(self, outcome)


class _Waiter:
    __slots__ = ('request', 'future')

    def __init__(
        self, request: RouteRequest, future: 'asyncio.Future[Slot]'
    ) -> None:
        self.request = request
        self.future = future


@part
class Dispatcher(Part):
    """Give room by priority number, then by earliest deadline."""

    def __init__(self, context: Context) -> None:
        """Start with empty queues."""
        super().__init__(context)
        self._heap_by_pool: dict[
            str, list[tuple[int, float, int, _Waiter]]
        ] = {}
        self._sequence = itertools.count()
        self._subscription: DisposableBase = (
            context.endpoints.changes.subscribe(lambda _: self.wake_all())
        )
        self.contents_by_endpoint: dict[str, dict[str, int]] = {}

    async def acquire(self, request: RouteRequest, priority: int) -> Slot:
        """Wait for room at an endpoint, or raise NoSlot at the deadline."""
        slot = None if self.queued(request.pool) else self._try(request)
        if slot is not None:
            return slot
        future: asyncio.Future[Slot] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(request, future)
        heap = self._heap_by_pool.setdefault(request.pool, [])
        entry = (
            priority,
            request.deadline_at_s,
            next(self._sequence),
            waiter,
        )
        heapq.heappush(heap, entry)
        self.wake(request.pool)
        try:
            left_s = request.deadline_at_s - self.context.clock.now()
            async with asyncio.timeout(max(left_s, 0.0)):
                return await future
        except TimeoutError:
            raise NoSlot('no endpoint had room before the deadline') from None
        finally:
            if future.cancelled() and entry in heap:
                heap.remove(entry)
                heapq.heapify(heap)

    def queued(self, pool: str) -> int:
        """Return the number of waiting requests of a pool."""
        return len(self._heap_by_pool.get(pool, []))

    def wake_all(self) -> None:
        """Give out room in every pool."""
        for pool in list(self._heap_by_pool):
            self.wake(pool)

    def wake(self, pool: str) -> None:
        """Give out the room of a pool in queue order."""
        heap = self._heap_by_pool.get(pool, [])
        while heap:
            waiter = heap[0][3]
            if waiter.future.done():
                heapq.heappop(heap)
                continue
            slot = self._try(waiter.request)
            if slot is None:
                return
            heapq.heappop(heap)
            waiter.future.set_result(slot)

    def released(self, slot: Slot, outcome: str) -> None:
        """Learn from a finished attempt and give out its room."""
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
        )
        state.in_flight -= 1
        context.policy('limits').finished(now, result)
        state.limit = context.policy('limits').limit(state.endpoint)
        context.policy('routing').finished(
            now, result, state.pool, slot.request.kind
        )
        pool = context.endpoints.ids_by_pool.get(state.pool, [])
        state.ejected_until_s = context.policy('ejection').finished(
            now, result, pool
        )
        self._account_content(now, slot, outcome)
        self.wake(state.pool)

    def _account_content(self, now: float, slot: Slot, outcome: str) -> None:
        contents = self.contents_by_endpoint.get(slot.state.endpoint, {})
        content = slot.request.content
        if outcome == CRASH:
            self.context.policy('quarantine').crashed(
                now, slot.state.endpoint, list(contents)
            )
        elif outcome == OK:
            self.context.policy('quarantine').finished(now, content)
        left = contents.get(content, 0) - 1
        if left > 0:
            contents[content] = left
        else:
            contents.pop(content, None)

    def _try(self, request: RouteRequest) -> Slot | None:
        context = self.context
        now = context.clock.now()
        route = context.policy('routing').choose(
            now, request, context.endpoints, context.rng
        )
        if not isinstance(route, Route):
            return None
        context.decisions.record(
            DecisionRecord(
                at_s=now,
                decision='route',
                subject=request.request_id,
                class_name=request.class_name,
                choice=route.endpoint,
                reason=route.reason,
                candidates=route.candidates,
                revision=context.config.revision,
            )
        )
        state = context.endpoints.by_id[route.endpoint]
        contents = self.contents_by_endpoint.setdefault(state.endpoint, {})
        contents[request.content] = contents.get(request.content, 0) + 1
        return Slot(self, state, request, now)
