"""Attempts of a request at endpoints, with retries and hedging."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from anvilcove.commands.requests.dispatch import Dispatcher, NoSlot, Slot
from anvilcove.commands.requests.sending import result_of, send
from anvilcove.commands.rollouts.job import OVERLOAD_STATUS, GivenUp, Job
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
SHORTEST_TIMEOUT_S = 0.001
# Endpoints without a listener that a request passes by.
FREE_MOVES = 4


class Attempts:
    """Run jobs at endpoints."""

    __slots__ = ('context', '_cancels')

    def __init__(self, context: Context) -> None:
        """Keep the shared objects."""
        self.context = context
        self._cancels: set[asyncio.Task[None]] = set()

    async def run_repeatable(self, job: Job) -> Outcome:
        """Attempt a repeatable request until an answer or a final error."""
        self.context.policy('retry').started(self.context.clock.now())
        attempt = 0
        while True:
            try:
                slot = await self.ready_slot(job)
                attempt += 1
                return await self._hedged(job, slot)
            except GivenUp as error:
                return job.ended(error)
            except EndpointError as error:
                failure = error
            try:
                await self.before_next(job, slot, attempt, failure)
            except GivenUp as error:
                return job.ended(error)

    async def ready_slot(self, job: Job) -> Slot:
        """Return a slot that may be used at once, or raise GivenUp.

        What was decided before the wait is checked again afterwards: the
        endpoint may be leaving by now, the deadline may have passed while
        this process was paused, a peer may have reported the content.
        """
        while True:
            self.check_refusal(job)
            isolated = job.route.isolated
            try:
                slot: Slot = await self.context.part(Dispatcher).acquire(
                    job.route, job.priority
                )
            except NoSlot as error:
                raise GivenUp(str(error)) from None
            try:
                self.check_refusal(job)
            except GivenUp:
                slot.release(CANCELLED)
                raise
            if not slot.state.leaving and job.route.isolated == isolated:
                return slot
            slot.release(CANCELLED)

    def check_refusal(self, job: Job) -> None:
        """Raise GivenUp if nothing may be sent for a job now."""
        now = self.context.clock.now()
        if now >= job.route.deadline_at_s:
            raise GivenUp('the deadline has passed')
        reason = self.context.refusal_reason()
        if reason:
            raise GivenUp(reason, 1.0)
        verdict = self.context.policy('quarantine').verdict(
            now, job.route.content
        )
        if isinstance(verdict, Reject):
            raise GivenUp(
                f'this content crashed {verdict.crashes} endpoints',
                QUARANTINE_RETRY_S,
                OVERLOAD_STATUS,
            )
        job.route.isolated = isinstance(verdict, Isolate)

    async def before_next(
        self, job: Job, slot: Slot, attempt: int, failure: EndpointError
    ) -> None:
        """Wait before the next attempt, or raise GivenUp at once."""
        ran = isinstance(failure, EndpointFailed)
        if slot.isolated and ran:
            raise GivenUp(
                f'no second attempt of a suspected content: {failure}'
            )
        if self._may_move(job, slot, failure):
            return
        context = self.context
        now = context.clock.now()
        decision = context.policy('retry').next_attempt(
            now,
            RetryRequest(
                attempt=attempt,
                deadline_at_s=job.route.deadline_at_s,
                expected_s=context.part(
                    Dispatcher
                ).service_time_s_by_class.get(job.route.class_name, 0.0),
            ),
            context.rng,
        )
        if isinstance(decision, GiveUp):
            raise GivenUp(
                f'{failure}; {decision.reason}', status=_status(failure)
            )
        if now + decision.delay_s >= job.route.deadline_at_s:
            raise GivenUp(f'{failure}; no time for another attempt')
        self._exclude(job, slot)
        context.metrics.retried(job.route.class_name)
        await context.clock.sleep(decision.delay_s)

    def _may_move(self, job: Job, slot: Slot, failure: EndpointError) -> bool:
        """Go on elsewhere at once if no connection could be opened.

        This costs no endpoint anything, so it is not paid from the retry
        budget: a crashed endpoint stays listed for a while and would use up
        the budget of requests that are innocent of its crash.
        """
        if not isinstance(failure, EndpointNotRun) or failure.overloaded:
            return False
        job.moves += 1
        self._exclude(job, slot)
        return job.moves <= FREE_MOVES and bool(job.route.excluded)

    def _exclude(self, job: Job, slot: Slot) -> None:
        """Try another endpoint next, while the pool has one."""
        excluded = job.route.excluded
        excluded.add(slot.state.endpoint)
        pool = self.context.endpoints.in_pool(job.route.pool)
        if all(s.leaving or s.endpoint in excluded for s in pool):
            excluded.clear()

    async def attempt(
        self, job: Job, slot: Slot, fresh_connection: bool = False
    ) -> Outcome:
        """Make one attempt and release its slot; raise EndpointError."""
        result = CANCELLED
        job.attempts += 1
        job.may_have_run += 1
        engine_id = job.engine_id
        try:
            left_s = job.route.deadline_at_s - self.context.clock.now()
            # The HTTP client takes 0 for no limit.
            timeout_s = max(left_s, SHORTEST_TIMEOUT_S)
            outcome = await send(
                self.context, job, slot.state, timeout_s, fresh_connection
            )
            result = OK
            return outcome
        except EndpointError as error:
            result = result_of(error)
            if isinstance(error, EndpointNotRun):
                job.may_have_run -= 1
            raise
        finally:
            slot.release(result)
            if result in (CANCELLED, ERROR) and slot.state.kind == ENGINE:
                self._cancel_generation(slot, engine_id)

    def _cancel_generation(self, slot: Slot, engine_id: str) -> None:
        """Free the place in the engine of an attempt that has ended."""
        port = self.context.endpoint_port(slot.state)
        task = asyncio.create_task(_quietly(port.cancel(engine_id)))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _hedged(self, job: Job, slot: Slot) -> Outcome:
        """Run an attempt and, if it is slow, a second one beside it.

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
            outcome = await self._race(job, slot, delay_s)
        hedging.finished(
            job.target.name, self.context.clock.now() - started_at_s
        )
        return outcome

    async def _race(self, job: Job, slot: Slot, delay_s: float) -> Outcome:
        first = asyncio.create_task(self.attempt(job, slot))
        timer = asyncio.create_task(self.context.clock.sleep(delay_s))
        tasks: set[asyncio.Task[Outcome]] = {first}
        try:
            await asyncio.wait(
                {first, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            second_slot = None if first.done() else self._spare(job, slot)
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

    def _spare(self, job: Job, slot: Slot) -> Slot | None:
        """Return a slot at another endpoint if there is spare room."""
        job.route.excluded.add(slot.state.endpoint)
        try:
            spare: Slot | None = self.context.part(Dispatcher).try_acquire(
                job.route
            )
        finally:
            job.route.excluded.discard(slot.state.endpoint)
        return spare


async def _first_answer(tasks: set[asyncio.Task[Outcome]]) -> Outcome:
    """Return the first answer; raise the gravest error if there is none."""
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


def _status(failure: EndpointError) -> int:
    overloaded = isinstance(failure, EndpointNotRun) and failure.overloaded
    return OVERLOAD_STATUS if overloaded else 503


async def _quietly(call: Coroutine[Any, Any, None]) -> None:
    try:
        await call
    except EndpointError as error:
        logger.debug('generation not cancelled: {}', error)
