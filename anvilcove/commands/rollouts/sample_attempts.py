"""Run one attempt of a sample on an engine and score the result."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from loguru import logger

from anvilcove.commands.requests.dispatch import (
    Dispatcher,
    NoSlotAvailable,
    Slot,
)
from anvilcove.daemon.context import Context
from anvilcove.decisions.groups import WaitingStep
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
    AnswerMismatch,
    EndpointCrashed,
    EndpointError,
    EndpointNotRun,
    was_reached,
)
from anvilcove.state.endpoints import EndpointState
from anvilcove.state.steps import Attempt, SampleRun, StepRun

# An attempt fails if its engine sends no token for this long. The first token
# may take longer, as it waits behind requests of higher priority.
FIRST_TOKEN_TIMEOUT_S = 30.0
TOKEN_TIMEOUT_S = 10.0
SCORING_POOL = 'scoring'
SCORING_TIMEOUT_S = 5.0
SCORING_RETRY_DELAY_S = 0.2
MAX_BACKOFF_S = 2.0
REQUEUE_DELAY_S = 0.1
# Deadline that the retry policy sees. Samples are retried as long as the step
# is open, so it bounds each attempt and not the sample.
ATTEMPT_DEADLINE_S = 60.0


class AttemptFailed(Exception):
    """Raised when the tokens of an attempt cannot be used."""


def attempt_outcome(error: Exception) -> str:
    """Return the outcome that the limit and ejection policies are given."""
    if isinstance(error, AttemptFailed):
        return CANCELLED
    if isinstance(error, EndpointNotRun) and error.overloaded:
        return OVERLOADED
    return CRASH if isinstance(error, EndpointCrashed) else ERROR


async def acquire_slot(context: Context, request: RouteRequest) -> Slot:
    """Wait for a slot at an engine or scorer, or raise NoSlotAvailable."""
    dispatcher: Dispatcher = context.component(Dispatcher)
    priority = dispatcher.shares.priority(
        request.workspace, PRIORITY_BY_KIND[TRAINER]
    )
    return await dispatcher.acquire(request, priority)


async def generate(
    context: Context,
    state: EndpointState,
    request: Generate,
    attempt: Attempt,
) -> AsyncIterator[TokenEvent]:
    """Add each token of the engine to the attempt and yield it.

    Raise TimeoutError if the next token does not arrive in time.
    """
    loop = asyncio.get_running_loop()
    events = context.endpoint_port(state).generate(request)
    async with asyncio.timeout(FIRST_TOKEN_TIMEOUT_S) as timeout:
        async with aclosing(events):
            async for event in events:
                if not isinstance(event, TokenEvent):
                    return
                if event.version < 0:
                    raise AnswerMismatch(
                        'engine sent a token without a version'
                    )
                attempt.add(event.text, event.version, context.clock.now())
                timeout.reschedule(loop.time() + TOKEN_TIMEOUT_S)
                yield event


async def score(
    context: Context, sample: SampleRun, result: Sample, workspace: str = ''
) -> float:
    """Return the score of a sample, 0 if the scoring pool has no endpoint.

    Failed calls are repeated until one succeeds. They are charged to
    `workspace`, which the endpoint is not told.
    """
    while context.endpoints.in_pool(SCORING_POOL):
        try:
            return await _score_once(context, sample, result, workspace)
        except (EndpointError, NoSlotAvailable) as error:
            logger.info(
                'scoring of sample {} failed: {}', result.sample_id, error
            )
            await context.clock.sleep(SCORING_RETRY_DELAY_S)
    return 0.0


async def _score_once(
    context: Context, sample: SampleRun, result: Sample, workspace: str
) -> float:
    request = RouteRequest(
        request_id=result.sample_id,
        class_name='',
        kind=TRAINER,
        pool=SCORING_POOL,
        deadline_at_s=context.clock.now() + SCORING_TIMEOUT_S,
        workspace=workspace,
    )
    slot = await acquire_slot(context, request)
    outcome, content = CANCELLED, f'{result.sample_id}~score'
    try:
        call = ServiceCall(
            request_id=content,
            body={'prompt': sample.group.prompt, 'tokens': result.tokens},
        )
        port = context.endpoint_port(slot.state)
        answer = (await port.call(call, SCORING_TIMEOUT_S)).answer
        outcome = OK
    except EndpointError as error:
        outcome = attempt_outcome(error)
        content = content if was_reached(error) else ''
        raise
    finally:
        slot.release(outcome, content)
    return _score_value(answer)


def _score_value(answer: object) -> float:
    value = answer.get('score') if isinstance(answer, dict) else answer
    return float(value) if isinstance(value, int | float) else 0.0


def accept_empty_result(
    context: Context, run: StepRun, sample: SampleRun
) -> None:
    """Complete a sample without tokens, as its prompt must not run again.

    The quarantine policy rejected the prompt: it crashes engines.
    """
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


def retry_delay_s(context: Context, sample: SampleRun, outcome: str) -> float:
    """Return the delay in seconds before a sample is queued again.

    Only failures consume the retry budget; an engine that is overloaded or
    runs an old version has not failed.
    """
    if outcome in (CANCELLED, OVERLOADED):
        return REQUEUE_DELAY_S
    now = context.clock.now()
    decision = context.policy('retry').next_attempt(
        now,
        RetryRequest(
            attempt=sample.failure_count,
            deadline_at_s=now + ATTEMPT_DEADLINE_S,
        ),
        context.rng,
    )
    if isinstance(decision, RetryAfter):
        return decision.delay_s
    return float(min(MAX_BACKOFF_S, 0.05 * 2 ** min(sample.failure_count, 8)))


def waiting_step(run: StepRun) -> WaitingStep:
    """Return the state of a step that the groups policy decides on."""
    return WaitingStep(
        trainer=run.body.trainer,
        step=run.body.step,
        opened_at_s=run.opened_at_s,
        waiting_since_s=run.waiting_since_s,
        missing=run.missing_count,
    )


async def cancel_attempt(context: Context, attempt: Attempt) -> None:
    """Cancel an attempt at its engine, where it may have ended already."""
    state = context.endpoints.by_id.get(attempt.endpoint)
    if state is None:
        return
    try:
        await context.endpoint_port(state).cancel(attempt.request_id)
    except EndpointError as error:
        logger.debug(
            'cancelling attempt {} failed: {}', attempt.request_id, error
        )
