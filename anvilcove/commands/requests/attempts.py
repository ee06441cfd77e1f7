"""Attempts of a request at endpoints, with retries and hedging."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from anvilcove.commands.requests.dispatch import (
    Dispatcher,
    NoSlotAvailable,
    Slot,
)
from anvilcove.commands.requests.sending import attempt_result, send
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
)

QUARANTINE_RETRY_S = 60.0
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

    async def run_repeatable(self, job: RequestRun) -> Outcome:
        """Retry a repeatable request until it is answered or given up."""
        self.context.policy('retry').started(self.context.clock.now())
        attempt = 0
        while True:
            try:
                slot = await self.ready_slot(job)
                attempt += 1
                return await self._attempt_hedged(job, slot)
            except RequestAbandoned as error:
                return job.abort_outcome(error)
            except EndpointError as error:
                failure = error
            try:
                await self.prepare_retry(job, slot, attempt, failure)
            except RequestAbandoned as error:
                return job.abort_outcome(error)

    async def ready_slot(self, job: RequestRun) -> Slot:
        """Wait for a slot that may be used at once, or raise RequestAbandoned.

        The conditions are checked again after the wait: by then the endpoint
        may be leaving, the deadline may have passed while this process was
        paused, or a peer may have reported crashes of the content.
        """
        while True:
            self.check_refusal(job)
            isolated = job.route.isolated
            try:
                slot: Slot = await self.context.component(Dispatcher).acquire(
                    job.route, job.priority
                )
            except NoSlotAvailable as error:
                raise RequestAbandoned(str(error)) from None
            try:
                self.check_refusal(job)
            except RequestAbandoned:
                slot.release(CANCELLED)
                raise
            if not slot.state.leaving and job.route.isolated == isolated:
                return slot
            slot.release(CANCELLED)

    def check_refusal(self, job: RequestRun) -> None:
        """Raise RequestAbandoned if a job may not be sent; set `isolated`."""
        now = self.context.clock.now()
        if now >= job.route.deadline_at_s:
            raise RequestAbandoned('the deadline has passed')
        reason = self.context.refusal_reason()
        if reason:
            raise RequestAbandoned(reason, 1.0)
        verdict = self.context.policy('quarantine').verdict(
            now, job.route.content
        )
        if isinstance(verdict, Reject):
            raise RequestAbandoned(
                f'this content crashed {verdict.crashes} endpoints',
                QUARANTINE_RETRY_S,
                OVERLOAD_STATUS,
            )
        job.route.isolated = isinstance(verdict, Isolate)

    async def prepare_retry(
        self, job: RequestRun, slot: Slot, attempt: int, failure: EndpointError
    ) -> None:
        """Wait before a retry, or raise RequestAbandoned if there is none."""
        ran = isinstance(failure, EndpointFailed)
        if slot.isolated and ran:
            raise RequestAbandoned(
                f'no second attempt of a suspected content: {failure}'
            )
        if self._fails_over(job, slot, failure):
            return
        context = self.context
        now = context.clock.now()
        decision = context.policy('retry').next_attempt(
            now,
            RetryRequest(
                attempt=attempt,
                deadline_at_s=job.route.deadline_at_s,
                expected_s=context.component(
                    Dispatcher
                ).service_time_s_by_class.get(job.route.class_name, 0.0),
            ),
            context.rng,
        )
        if isinstance(decision, GiveUp):
            raise RequestAbandoned(
                f'{failure}; {decision.reason}',
                status=_refusal_status(failure),
            )
        if now + decision.delay_s >= job.route.deadline_at_s:
            raise RequestAbandoned(f'{failure}; no time for another attempt')
        self._exclude(job, slot)
        context.metrics.request_retried(job.route.class_name)
        await context.clock.sleep(decision.delay_s)

    def _fails_over(
        self, job: RequestRun, slot: Slot, failure: EndpointError
    ) -> bool:
        """Tell whether to try another endpoint at once, without a retry.

        This is so when no connection could be opened. Such a failure puts no
        load on an endpoint, so it does not consume the retry budget: a
        crashed endpoint stays listed for a while and would use up the budget
        of requests that did not cause its crash.
        """
        if not isinstance(failure, EndpointNotRun) or failure.overloaded:
            return False
        job.failovers += 1
        self._exclude(job, slot)
        return job.failovers <= MAX_UNCHARGED_FAILOVERS and bool(
            job.route.excluded
        )

    def _exclude(self, job: RequestRun, slot: Slot) -> None:
        """Exclude an endpoint; start over once every endpoint is excluded."""
        excluded = job.route.excluded
        excluded.add(slot.state.endpoint)
        pool = self.context.endpoints.in_pool(job.route.pool)
        if all(s.leaving or s.endpoint in excluded for s in pool):
            excluded.clear()

    async def attempt(
        self, job: RequestRun, slot: Slot, fresh_connection: bool = False
    ) -> Outcome:
        """Make one attempt and release its slot, or raise EndpointError."""
        result = CANCELLED
        job.attempts += 1
        job.uncertain_attempts += 1
        attempt_id = job.attempt_id
        try:
            remaining_s = job.route.deadline_at_s - self.context.clock.now()
            # The HTTP client takes 0 for no limit.
            timeout_s = max(remaining_s, MIN_TIMEOUT_S)
            outcome = await send(
                self.context, job, slot.state, timeout_s, fresh_connection
            )
            result = OK
            return outcome
        except EndpointError as error:
            result = attempt_result(error)
            if isinstance(error, EndpointNotRun):
                job.uncertain_attempts -= 1
            raise
        finally:
            slot.release(result)
            if result in (CANCELLED, ERROR) and slot.state.kind == ENGINE:
                self._cancel_generation(slot, attempt_id)

    def _cancel_generation(self, slot: Slot, attempt_id: str) -> None:
        """Cancel a generation whose attempt has ended, to free the engine."""
        port = self.context.endpoint_port(slot.state)
        task = asyncio.create_task(_log_failure(port.cancel(attempt_id)))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _attempt_hedged(self, job: RequestRun, slot: Slot) -> Outcome:
        """Make an attempt and, if it is slow, a concurrent second one.

        Only service calls are hedged: a second generation would cost an
        engine as much as the first.
        """
        hedging = self.context.policy('hedging')
        delay_s = None
        if slot.state.kind == SERVICE and not slot.isolated:
            delay_s = hedging.delay_s(job.target.name)
        started_at_s = self.context.clock.now()
        if delay_s is None:
            outcome = await self.attempt(job, slot)
        else:
            outcome = await self._attempt_racing(job, slot, delay_s)
        hedging.finished(
            job.target.name, self.context.clock.now() - started_at_s
        )
        return outcome

    async def _attempt_racing(
        self, job: RequestRun, slot: Slot, delay_s: float
    ) -> Outcome:
        first = asyncio.create_task(self.attempt(job, slot))
        timer = asyncio.create_task(self.context.clock.sleep(delay_s))
        tasks: set[asyncio.Task[Outcome]] = {first}
        try:
            await asyncio.wait(
                {first, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            second_slot = (
                None if first.done() else self._try_second_slot(job, slot)
            )
            if second_slot and not self.context.policy('hedging').spend():
                second_slot.release(CANCELLED)
                second_slot = None
            if second_slot is not None:
                tasks.add(asyncio.create_task(self.attempt(job, second_slot)))
            return await _first_answer(tasks)
        finally:
            for task in (*tasks, timer):
                task.cancel()
            await asyncio.gather(*tasks, timer, return_exceptions=True)

    def _try_second_slot(self, job: RequestRun, slot: Slot) -> Slot | None:
        """Return a free slot at another endpoint, or None."""
        job.route.excluded.add(slot.state.endpoint)
        try:
            spare: Slot | None = self.context.component(
                Dispatcher
            ).try_acquire(job.route)
        finally:
            job.route.excluded.discard(slot.state.endpoint)
        return spare


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


async def _log_failure(call: Coroutine[Any, Any, None]) -> None:
    try:
        await call
    except EndpointError as error:
        logger.debug('generation not cancelled: {}', error)
