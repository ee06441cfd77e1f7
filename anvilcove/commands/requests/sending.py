"""Send one attempt to an endpoint and return the outcome."""

import asyncio
from typing import Any

from anvilcove.commands.rollouts.job import RequestRun
from anvilcove.daemon.context import Context
from anvilcove.decisions.types import CRASH, ERROR, OVERLOADED
from anvilcove.messages.callers import ANSWERED, Outcome, VersionRange
from anvilcove.messages.engines import Generate, TokenEvent
from anvilcove.messages.membership import SERVICE
from anvilcove.messages.services import ServiceCall
from anvilcove.ports.errors import (
    EndpointCrashed,
    EndpointError,
    EndpointFailed,
    EndpointNotRun,
)
from anvilcove.state.endpoints import EndpointState

DEFAULT_MAX_TOKENS = 16


def attempt_result(error: EndpointError) -> str:
    """Map an endpoint error to an attempt result of decisions/types.py."""
    if isinstance(error, EndpointNotRun):
        return OVERLOADED if error.overloaded else ERROR
    return CRASH if isinstance(error, EndpointCrashed) else ERROR


async def send(
    context: Context,
    job: RequestRun,
    state: EndpointState,
    timeout_s: float,
    fresh_connection: bool,
) -> Outcome:
    """Send a request to an endpoint, or raise EndpointError."""
    port = context.endpoint_port(state)
    message = job.message
    if state.kind != SERVICE:
        return await _generate(port, job, timeout_s)
    answer = await port.call(
        ServiceCall(request_id=message.request_id, body=message.body),
        timeout_s,
        fresh_connection=fresh_connection,
    )
    return Outcome(
        request_id=message.request_id,
        outcome=ANSWERED,
        answer=answer.answer,
        complete=True,
    )


async def _generate(port: Any, job: RequestRun, timeout_s: float) -> Outcome:
    """Resume the generation after the tokens of earlier attempts."""
    message = job.message
    request = Generate(
        request_id=job.attempt_id,
        prompt=message.body['prompt'],
        max_tokens=message.body.get('max_tokens', DEFAULT_MAX_TOKENS),
        model=getattr(job.target, 'model', ''),
        priority=-job.priority,
        resume_tokens=[event.text for event in job.record.tokens],
    )
    try:
        async with asyncio.timeout(timeout_s):
            async for event in port.generate(request):
                if isinstance(event, TokenEvent):
                    event.request_id = message.request_id
                    job.record.add_token(event)
    except TimeoutError:
        raise EndpointFailed('no complete answer in time') from None
    tokens = job.record.tokens
    return Outcome(
        request_id=message.request_id,
        outcome=ANSWERED,
        answer={'tokens': [event.text for event in tokens]},
        complete=True,
        versions=version_ranges(tokens),
    )


def version_ranges(tokens: list[TokenEvent]) -> list[VersionRange]:
    """Return the runs of consecutive tokens of one weight version."""
    versions: list[VersionRange] = []
    for event in tokens:
        if versions and versions[-1].version == event.version:
            versions[-1].end = event.index + 1
        else:
            versions.append(
                VersionRange(
                    version=event.version,
                    start=event.index,
                    end=event.index + 1,
                )
            )
    return versions
