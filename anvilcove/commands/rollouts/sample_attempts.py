"""One attempt of a sample at an engine, and its score."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from loguru import logger

from anvilcove.commands.requests.dispatch import Dispatcher, NoSlot, Slot
from anvilcove.daemon.context import Context
from anvilcove.decisions.groups import StepNeed
from anvilcove.decisions.types import (
    CANCELLED,
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    PRIORITY_BY_KIND,
    TRAINER,
    DecisionRecord,
    RetryAfter,
    RetryRequest,
    RouteRequest,
)
from anvilcove.messages.engines import Generate, TokenEvent
from anvilcove.messages.services import ServiceCall
from anvilcove.messages.trainers import Sample
from anvilcove.ports.errors import (
    EndpointCrashed,
    EndpointError,
    EndpointNotRun,
)
from anvilcove.state.endpoints import EndpointState
from anvilcove.state.steps import Attempt, SampleRun, StepRun

# An engine that sends nothing for so long is given up for the attempt. The
# first token may wait behind requests of higher priority.
FIRST_TOKEN_LIMIT_S = 30.0
TOKEN_LIMIT_S = 10.0
SCORING_POOL = 'scoring'
SCORING_LIMIT_S = 5.0
SCORING_RETRY_S = 0.2
MAX_BACKOFF_S = 2.0
NOT_FAILED_DELAY_S = 0.1
# Retries of samples go on while the step is open; this only bounds one.
ATTEMPT_DEADLINE_S = 60.0


class AttemptFailed(Exception):
    """Raised when what an attempt produced cannot be used."""


def outcome_of(error: Exception) -> str:
    """Return the outcome of an attempt for limits and ejection."""
    if isinstance(error, AttemptFailed):
        return CANCELLED
    if isinstance(error, EndpointNotRun) and error.overloaded:
        return OVERLOADED
    return CRASH if isinstance(error, EndpointCrashed) else ERROR


async def acquire_slot(context: Context, request: RouteRequest) -> Slot:
    """Wait for room at an engine or scoring service, or raise NoSlot."""
    slot: Slot = await context.part(Dispatcher).acquire(
        request, PRIORITY_BY_KIND[TRAINER]
    )
    return slot


async def generate(
    context: Context,
    state: EndpointState,
    request: Generate,
    attempt: Attempt,
) -> AsyncIterator[TokenEvent]:
    """Yield tokens as they are added to the attempt, until the end."""
    loop = asyncio.get_running_loop()
    events = context.endpoint_port(state).generate(request)
    async with asyncio.timeout(FIRST_TOKEN_LIMIT_S) as limit:
        async with aclosing(events):
            async for event in events:
                if not isinstance(event, TokenEvent):
                    return
                if event.version < 0:
                    raise AttemptFailed('token without a version')
                attempt.add(event.text, event.version, context.clock.now())
                limit.reschedule(loop.time() + TOKEN_LIMIT_S)
                yield event


async def score(context: Context, sample: SampleRun, result: Sample) -> float:
    """Return the score of a sample, 0 where no scoring pool is listed."""
    while context.endpoints.in_pool(SCORING_POOL):
        try:
            return await _score_once(context, sample, result)
        except (EndpointError, NoSlot) as error:
            logger.info('sample {} not scored: {}', result.sample_id, error)
            await context.clock.sleep(SCORING_RETRY_S)
    return 0.0


async def _score_once(
    context: Context, sample: SampleRun, result: Sample
) -> float:
    request = RouteRequest(
        request_id=result.sample_id,
        class_name='',
        kind=TRAINER,
        pool=SCORING_POOL,
        deadline_at_s=context.clock.now() + SCORING_LIMIT_S,
    )
    slot = await acquire_slot(context, request)
    outcome = CANCELLED
    try:
        call = ServiceCall(
            request_id=f'{result.sample_id}~score',
            body={'prompt': sample.group.prompt, 'tokens': result.tokens},
        )
        port = context.endpoint_port(slot.state)
        answer = (await port.call(call, SCORING_LIMIT_S)).answer
        outcome = OK
    except EndpointError as error:
        outcome = outcome_of(error)
        raise
    finally:
        slot.release(outcome)
    return _number(answer)


def _number(answer: object) -> float:
    value = answer.get('score') if isinstance(answer, dict) else answer
    return float(value) if isinstance(value, int | float) else 0.0


def accept_nothing(context: Context, run: StepRun, sample: SampleRun) -> None:
    """Give a quarantined prompt an empty sample: it must not run again."""
    sample_id = run.sample_id(sample)
    context.decisions.record(
        DecisionRecord(
            at_s=context.clock.now(),
            decision='refuse_sample',
            subject=sample_id,
            class_name=run.row.class_name,
            choice='empty',
            reason='its content crashes endpoints',
            revision=context.config.revision,
        )
    )
    run.set_result(
        sample,
        Sample(
            sample_id=sample_id,
            group=sample.group.group,
            index=sample.index,
            tokens=[],
            versions=[],
        ),
    )


def backoff_s(context: Context, sample: SampleRun, outcome: str) -> float:
    """Return the delay before a failed sample is queued again.

    Only failures spend the retry budget; an engine that is full or runs an
    old version has not failed.
    """
    if outcome in (CANCELLED, OVERLOADED):
        return NOT_FAILED_DELAY_S
    now = context.clock.now()
    decision = context.policy('retry').next_attempt(
        now,
        RetryRequest(
            attempt=sample.failures, deadline_at_s=now + ATTEMPT_DEADLINE_S
        ),
        context.rng,
    )
    if isinstance(decision, RetryAfter):
        return decision.delay_s
    return float(min(MAX_BACKOFF_S, 0.05 * 2 ** min(sample.failures, 8)))


def need_of(run: StepRun) -> StepNeed:
    """Return what the groups policy needs to know of a step."""
    return StepNeed(
        trainer=run.body.trainer,
        step=run.body.step,
        opened_at_s=run.opened_at_s,
        waiting_since_s=run.waiting_since_s,
        missing=run.missing,
    )


async def cancel_attempt(context: Context, attempt: Attempt) -> None:
    """Stop an attempt at its engine; it may have ended already."""
    state = context.endpoints.by_id.get(attempt.endpoint)
    if state is None:
        return
    try:
        await context.endpoint_port(state).cancel(attempt.request_id)
    except EndpointError as error:
        logger.debug('cancel of {}: {}', attempt.request_id, error)
