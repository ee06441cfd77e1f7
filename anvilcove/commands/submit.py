"""Serve the requests of callers."""

from typing import Any

from aiohttp import web

from anvilcove.commands.dispatch import Dispatcher, NoSlot
from anvilcove.daemon.context import Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import read_message, reply
from anvilcove.decisions.types import (
    CRASH,
    ERROR,
    OK,
    OVERLOADED,
    PRIORITY_BY_KIND,
    PoolLoad,
    Refuse,
    RouteRequest,
)
from anvilcove.messages.callers import (
    ANSWERED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Outcome,
    SubmitRequest,
    VersionRange,
)
from anvilcove.messages.engines import Generate, TokenEvent
from anvilcove.messages.services import ServiceCall
from anvilcove.platform.errors import (
    EndpointCrashed,
    EndpointFailed,
    EndpointNotRun,
)
from anvilcove.settings.classes import ClassTarget
from anvilcove.state.content import content_hash
from anvilcove.state.endpoints import EndpointState

STATUS_BY_OUTCOME = {ANSWERED: 200, NOT_RUN: 503, UNKNOWN: 502, FAILED: 502}
DEFAULT_DEADLINE_S = 30.0


@part
class SubmitPart(Part):
    """Admit, route and run the requests of callers."""

    def routes(self) -> list[web.RouteDef]:
        """Return the callers' routes."""
        return [web.post('/v1/requests', self._submit)]

    async def _submit(self, request: web.Request) -> web.Response:
        message = await read_message(request, SubmitRequest)
        outcome = await self.run(message)
        return reply(outcome, STATUS_BY_OUTCOME[outcome.outcome])

    async def run(self, message: SubmitRequest) -> Outcome:
        """Run one request to its final outcome."""
        context = self.context
        target = context.config.target(message.class_name)
        if target is None:
            return _not_run(message, 'class is not declared', 1_000)
        now = context.clock.now()
        reason = context.refusal_reason()
        if reason:
            return _not_run(message, reason, 1_000)
        deadline_s = message.deadline_ms / 1000 or DEFAULT_DEADLINE_S
        verdict = context.policy('admission').offer(
            now, target, self._pool_load(target), now + deadline_s
        )
        if isinstance(verdict, Refuse):
            return _not_run(
                message, verdict.reason, int(verdict.retry_after_s * 1000)
            )
        return await self._attempt(message, target, now + deadline_s)

    async def _attempt(
        self, message: SubmitRequest, target: ClassTarget, deadline_s: float
    ) -> Outcome:
        request = RouteRequest(
            request_id=message.request_id,
            class_name=target.name,
            kind=target.kind,
            pool=target.pool,
            content=content_hash(target.name, message.body),
            deadline_at_s=deadline_s,
        )
        try:
            slot = await self.context.part(Dispatcher).acquire(
                request, PRIORITY_BY_KIND[target.kind]
            )
        except NoSlot as error:
            return _not_run(message, str(error), 500)
        outcome = ERROR
        try:
            left_s = deadline_s - self.context.clock.now()
            answer = await self._send(message, slot.state, left_s)
            outcome = OK
            return answer
        except EndpointNotRun as error:
            outcome = OVERLOADED if error.overloaded else ERROR
            return _not_run(message, str(error), 500)
        except EndpointFailed as error:
            if isinstance(error, EndpointCrashed):
                outcome = CRASH
            return Outcome(
                request_id=message.request_id,
                outcome=FAILED if message.repeatable else UNKNOWN,
                reason=str(error),
            )
        finally:
            slot.release(outcome)

    async def _send(
        self, message: SubmitRequest, state: EndpointState, timeout_s: float
    ) -> Outcome:
        port = self.context.endpoint_port(state)
        if state.kind == 'service':
            answer = await port.call(
                ServiceCall(request_id=message.request_id, body=message.body),
                timeout_s,
            )
            return Outcome(
                request_id=message.request_id,
                outcome=ANSWERED,
                answer=answer.answer,
                complete=True,
            )
        return await _generate(port, message)

    def _pool_load(self, target: ClassTarget) -> PoolLoad:
        states = self.context.endpoints.in_pool(target.pool)
        return PoolLoad(
            endpoints=len(states),
            limit=sum(state.limit for state in states),
            in_flight=sum(state.in_flight for state in states),
            queued=self.context.part(Dispatcher).queued(target.pool),
        )


async def _generate(port: Any, message: SubmitRequest) -> Outcome:
    tokens: list[str] = []
    versions: list[VersionRange] = []
    request = Generate(
        request_id=message.request_id,
        prompt=message.body.get('prompt', ''),
        max_tokens=message.body.get('max_tokens', 16),
    )
    async for event in port.generate(request):
        if isinstance(event, TokenEvent):
            tokens.append(event.text)
            extend_versions(versions, event)
    return Outcome(
        request_id=message.request_id,
        outcome=ANSWERED,
        answer={'tokens': tokens},
        complete=True,
        versions=versions,
    )


def extend_versions(versions: list[VersionRange], event: TokenEvent) -> None:
    """Add a token to the version ranges of an answer."""
    if versions and versions[-1].version == event.version:
        versions[-1].end = event.index + 1
    else:
        versions.append(
            VersionRange(
                version=event.version, start=event.index, end=event.index + 1
            )
        )


def _not_run(
    message: SubmitRequest, reason: str, retry_after_ms: int
) -> Outcome:
    return Outcome(
        request_id=message.request_id,
        outcome=NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )
