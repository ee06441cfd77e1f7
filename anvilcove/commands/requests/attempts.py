"""Attempts of a request at endpoints, with retries and hedging."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from anvilcove.commands.requests.dispatch import (
    Dispatcher,
    NoSlotAvailable,
    OverShare,
    Slot,
)
from anvilcove.commands.requests.sending import attempt_outcome, send
from anvilcove.commands.rollouts.job import (
    OVERLOAD_STATUS,
    RequestAbandoned,
    RequestRun,
)
from anvilcove.daemon.context import Context
from anvilcove.decisions.types import (
    CANCELLED,
    ERROR,
    OK,
    GiveUp,
    Isolate,
    Reject,
    RetryRequest,
)
from anvilcove.messages.callers import Outcome
from anvilcove.messages.membership import ENGINE, SERVICE
from anvilcove.ports.errors import (
    EndpointError,
    EndpointFailed,
    EndpointNotRun,
    was_reached,
)

QUARANTINE_RETRY_AFTER_S = 60.0
MIN_TIMEOUT_S = 0.001
# Failovers per request after failed connections; they do not use the retry
# budget.
MAX_UNCHARGED_FAILOVERS = 4


class Attempts:
    """Send requests to endpoints, with retries and hedging."""

    __slots__ = ('context', '_cancel_tasks')

    def __init__(self, context: Context) -> None:
        """Start without cancellations in progress."""
        self.context = context
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def run_repeatable(self, run: RequestRun) -> Outcome:
        """Retry a repeatable request until it is answered or given up."""
        self.context.policy('retry').started(self.context.clock.now())
        attempt = 0
        while True:
            try:
                slot = await self.ready_slot(run)
                attempt += 1
                return await self._attempt_hedged(run, slot)
            except RequestAbandoned as error:
                return run.abort_outcome(error)
            except EndpointError as error:
                failure = error
            try:
                await self.prepare_retry(run, slot, attempt, failure)
            except RequestAbandoned as error:
                return run.abort_outcome(error)

    async def ready_slot(self, run: RequestRun) -> Slot:
        """Wait for a slot that may be used at once, or raise RequestAbandoned.

        The conditions are checked again after the wait: by then the endpoint
        may be leaving, the deadline may have passed while this process was
        paused, or a peer may have reported crashes of the content.
        """
        while True:
            self.check_sendable(run)
            isolated = run.route.isolated
            try:
                slot: Slot = await self.context.component(Dispatcher).acquire(
                    run.route, run.priority
                )
            except NoSlotAvailable as error:
                raise self._without_slot(run, error) from None
            try:
                self.check_sendable(run)
            except RequestAbandoned:
                slot.release(CANCELLED)
                raise
            if not slot.state.leaving and run.route.isolated == isolated:
                return slot
            slot.release(CANCELLED)

    def _without_slot(
        self, run: RequestRun, error: NoSlotAvailable
    ) -> RequestAbandoned:
        """Return the end of a request that got no slot."""
        if not run.route.workspace:
            return RequestAbandoned(str(error))
        dispatcher: Dispatcher = self.context.component(Dispatcher)
        return RequestAbandoned(
            str(error),
            dispatcher.share_retry_s(run.route),
            OVERLOAD_STATUS if isinstance(error, OverShare) else 503,
        )

    def check_sendable(self, run: RequestRun) -> None:
        """Raise RequestAbandoned if a request must not be sent now.

        Otherwise set `isolated` on its route.
        """
        now = self.context.clock.now()
        if now >= run.route.deadline_at_s:
            raise RequestAbandoned('the deadline has passed')
        reason = self.context.refusal_reason()
        if reason:
            raise RequestAbandoned(reason, 1.0)
        verdict = self.context.policy('quarantine').verdict(
            now, run.route.content
        )
        if isinstance(verdict, Reject):
            raise RequestAbandoned(
                f'this content crashed {verdict.crashes} endpoints',
                QUARANTINE_RETRY_AFTER_S,
                OVERLOAD_STATUS,
            )
        run.route.isolated = isinstance(verdict, Isolate)

    async def prepare_retry(
        self, run: RequestRun, slot: Slot, attempt: int, failure: EndpointError
    ) -> None:
        """Wait before a retry, or raise RequestAbandoned if there is none."""
        ran = isinstance(failure, EndpointFailed)
        if slot.isolated and ran:
            raise RequestAbandoned(
                f'no second attempt of a suspected content: {failure}'
            )
        if self._fails_over(run, slot, failure):
            return
        context = self.context
        now = context.clock.now()
        decision = context.policy('retry').next_attempt(
            now,
            RetryRequest(
                attempt=attempt,
                deadline_at_s=run.route.deadline_at_s,
                expected_s=context.component(
                    Dispatcher
                ).service_time_s_by_class.get(run.route.class_name, 0.0),
            ),
            context.rng,
        )
        if isinstance(decision, GiveUp):
            raise RequestAbandoned(
                f'{failure}; {decision.reason}',
                status=_refusal_status(failure),
            )
        if now + decision.delay_s >= run.route.deadline_at_s:
            raise RequestAbandoned(f'{failure}; no time for another attempt')
        self._exclude(run, slot)
        context.metrics.request_retried(run.route.class_name)
        await context.clock.sleep(decision.delay_s)

    def _fails_over(
        self, run: RequestRun, slot: Slot, failure: EndpointError
    ) -> bool:
        """Return whether to try another endpoint at once, without a retry.

        This is so when no connection could be opened. Such a failure puts no
        load on an endpoint, so it does not consume the retry budget: a
        crashed endpoint stays listed for a while and would use up the budget
        of requests that did not cause its crash.
        """
        if not isinstance(failure, EndpointNotRun) or failure.overloaded:
            return False
        run.failover_count += 1
        self._exclude(run, slot)
        return run.failover_count <= MAX_UNCHARGED_FAILOVERS and bool(
            run.route.excluded
        )

    def _exclude(self, run: RequestRun, slot: Slot) -> None:
        """Exclude an endpoint; start over once every endpoint is excluded."""
        excluded = run.route.excluded
        excluded.add(slot.state.endpoint)
        pool = self.context.endpoints.in_pool(run.route.pool)
        if all(s.leaving or s.endpoint in excluded for s in pool):
            excluded.clear()

    async def attempt(
        self, run: RequestRun, slot: Slot, fresh_connection: bool = False
    ) -> Outcome:
        """Make one attempt and release its slot, or raise EndpointError."""
        slot_outcome, content = CANCELLED, run.route.content
        run.attempt_count += 1
        run.uncertain_attempt_count += 1
        attempt_id = run.attempt_id
        try:
            remaining_s = run.route.deadline_at_s - self.context.clock.now()
            # The HTTP client takes 0 for no limit.
            timeout_s = max(remaining_s, MIN_TIMEOUT_S)
            outcome = await send(
                self.context, run, slot.state, timeout_s, fresh_connection
            )
            slot_outcome = OK
            return outcome
        except EndpointError as error:
            slot_outcome = attempt_outcome(error)
            content = content if was_reached(error) else ''
            if isinstance(error, EndpointNotRun):
                run.uncertain_attempt_count -= 1
            raise
        finally:
            slot.release(slot_outcome, content)
            if (
                slot_outcome in (CANCELLED, ERROR)
                and slot.state.kind == ENGINE
            ):
                self._cancel_generation(slot, attempt_id)

    def _cancel_generation(self, slot: Slot, attempt_id: str) -> None:
        """Cancel a generation whose attempt has ended, to free the engine."""
        port = self.context.endpoint_port(slot.state)
        task = asyncio.create_task(
            _log_cancel_failure(port.cancel(attempt_id))
        )
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _attempt_hedged(self, run: RequestRun, slot: Slot) -> Outcome:
        """Make an attempt and, if it is slow, a concurrent second one.

        Only service calls are hedged: a second generation would cost an
        engine as much as the first.
        """
        hedging = self.context.policy('hedging')
        delay_s = None
        if slot.state.kind == SERVICE and not slot.isolated:
            delay_s = hedging.delay_s(run.target.name)
        started_at_s = self.context.clock.now()
        if delay_s is None:
            outcome = await self.attempt(run, slot)
        else:
            outcome = await self._attempt_with_hedge(run, slot, delay_s)
        hedging.finished(
            run.target.name, self.context.clock.now() - started_at_s
        )
        return outcome

    async def _attempt_with_hedge(
        self, run: RequestRun, slot: Slot, delay_s: float
    ) -> Outcome:
        first = asyncio.create_task(self.attempt(run, slot))
        timer = asyncio.create_task(self.context.clock.sleep(delay_s))
        tasks: set[asyncio.Task[Outcome]] = {first}
        try:
            await asyncio.wait(
                {first, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            second_slot = (
                None if first.done() else self._try_second_slot(run, slot)
            )
            if second_slot and not self.context.policy('hedging').spend():
                second_slot.release(CANCELLED)
                second_slot = None
            if second_slot is not None:
                tasks.add(asyncio.create_task(self.attempt(run, second_slot)))
            return await _first_answer(tasks)
        finally:
            for task in (*tasks, timer):
                task.cancel()
            await asyncio.gather(*tasks, timer, return_exceptions=True)

    def _try_second_slot(self, run: RequestRun, slot: Slot) -> Slot | None:
        """Return a free slot at another endpoint, or None."""
        run.route.excluded.add(slot.state.endpoint)
        try:
            second_slot: Slot | None = self.context.component(
                Dispatcher
            ).try_acquire(run.route)
        finally:
            run.route.excluded.discard(slot.state.endpoint)
        return second_slot


async def _first_answer(tasks: set[asyncio.Task[Outcome]]) -> Outcome:
    """Return the first answer, or raise the most severe error.

    EndpointFailed comes before EndpointNotRun: the request may have run.
    """
    pending = set(tasks)
    failure: EndpointError | None = None
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            error = task.exception()
            if error is None:
                return task.result()
            if not isinstance(error, EndpointError):
                raise error
            if failure is None or isinstance(error, EndpointFailed):
                failure = error
    assert failure is not None
    raise failure


def _refusal_status(failure: EndpointError) -> int:
    overloaded = isinstance(failure, EndpointNotRun) and failure.overloaded
    return OVERLOAD_STATUS if overloaded else 503


async def _log_cancel_failure(call: Coroutine[Any, Any, None]) -> None:
    try:
        await call
    except EndpointError as error:
        logger.debug('generation not cancelled: {}', error)
