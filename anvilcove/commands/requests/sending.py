"""Send one attempt to an endpoint and return the outcome."""

import asyncio
from typing import Any

from msgspec import Raw, Struct
from msgspec.structs import asdict

from anvilcove.commands.rollouts.job import RequestRun
from anvilcove.daemon.context import Context
from anvilcove.decisions.types import CRASH, ERROR, OVERLOADED
from anvilcove.messages.base import decode, encode
from anvilcove.messages.callers import ANSWERED, Outcome, VersionRange
from anvilcove.messages.engines import (
    Generate,
    TokenEvent,
    WorkspaceGenerate,
)
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


class GenerationBody(Struct):
    """Fields of the body of a request for engines; others are ignored."""

    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS


def attempt_outcome(error: EndpointError) -> str:
    """Return the attempt outcome (decisions/types.py) of an error."""
    if isinstance(error, EndpointNotRun):
        return OVERLOADED if error.overloaded else ERROR
    return CRASH if isinstance(error, EndpointCrashed) else ERROR


async def send(
    context: Context,
    run: RequestRun,
    state: EndpointState,
    timeout_s: float,
    fresh_connection: bool,
) -> Outcome:
    """Send a request to an endpoint, or raise EndpointError."""
    port = context.endpoint_port(state)
    message = run.message
    if state.kind != SERVICE:
        return await _generate(port, run, timeout_s)
    answer = await port.call(
        ServiceCall(
            request_id=message.request_id,
            body=message.body,
            workspace=run.route.workspace,
        ),
        timeout_s,
        fresh_connection=fresh_connection,
    )
    return Outcome(
        request_id=message.request_id,
        outcome=ANSWERED,
        # Kept encoded until the caller has read it, and for repetitions.
        answer=Raw(encode(answer.answer)),
        complete=True,
    )


async def _generate(port: Any, run: RequestRun, timeout_s: float) -> Outcome:
    """Resume the generation after the tokens of earlier attempts."""
    message = run.message
    body = decode(bytes(message.body), GenerationBody)
    request = Generate(
        request_id=run.attempt_id,
        prompt=body.prompt,
        max_tokens=body.max_tokens,
        model=getattr(run.target, 'model', ''),
        priority=-run.priority,
        resume_tokens=[event.text for event in run.record.tokens],
    )
    if run.route.workspace:
        request = WorkspaceGenerate(
            **asdict(request), workspace=run.route.workspace
        )
    try:
        async with asyncio.timeout(timeout_s):
            async for event in port.generate(request):
                if isinstance(event, TokenEvent):
                    event.request_id = message.request_id
                    run.record.add_token(event)
    except TimeoutError:
        raise EndpointFailed('no complete answer in time') from None
    tokens = run.record.tokens
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
