"""Accept submitted requests and run each one to its outcome."""

import asyncio
from typing import Any

from aiohttp import web
from loguru import logger
from msgspec.structs import replace

from anvilcove.commands.requests.attempts import Attempts
from anvilcove.commands.requests.claim import ClaimComponent
from anvilcove.commands.requests.dispatch import Dispatcher
from anvilcove.commands.requests.non_repeatable import run_claimed
from anvilcove.commands.requests.streaming import caller_gone, stream_record
from anvilcove.commands.requests.validation import (
    generation_errors,
    validation_errors,
)
from anvilcove.commands.rollouts.job import (
    CONFLICT_STATUS,
    OVERLOAD_STATUS,
    STATUS_BY_OUTCOME,
    RequestAbandoned,
    RequestRun,
    conflict_outcome,
)
from anvilcove.daemon.auth import workspace_of
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import (
    BadRequest,
    error_response,
    json_response,
    keep_encoded,
    read_message,
)
from anvilcove.decisions.completion import surely_ends
from anvilcove.decisions.types import (
    PRIORITY_BY_KIND,
    DecisionRecord,
    Refuse,
    RouteRequest,
)
from anvilcove.messages.base import MessageError
from anvilcove.messages.callers import (
    ANSWERED,
    FAILED,
    NOT_RUN,
    UNKNOWN,
    Outcome,
    SubmitRequest,
)
from anvilcove.messages.membership import ENGINE
from anvilcove.queries.attach import AttachComponent, host_of_request_id
from anvilcove.settings.classes import (
    BackgroundClass,
    ClassTarget,
    InteractiveClass,
)
from anvilcove.state.answers import RequestRecord
from anvilcove.state.claims import claim_key
from anvilcove.state.content import content_hash
from anvilcove.state.workspaces import Workspace
from anvilcove.telemetry.logs import DECISION

DEFAULT_DEADLINE_S = 30.0
UNDECLARED_RETRY_AFTER_S = 1.0
DRAIN_CHECK_S = 0.05
UNDECLARED = 'undeclared'


@register_component
class SubmitComponent(Component):
    """Handle `POST /v1/requests`."""

    def __init__(self, context: Context) -> None:
        """Use the request records of `AttachComponent`."""
        super().__init__(context)
        self.attempts = Attempts(context)
        self.attach: AttachComponent = context.component(AttachComponent)

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the caller API."""
        return [web.post('/v1/requests', self._submit)]

    async def drain(self) -> None:
        """Wait for open requests and claim writes, up to the drain limit."""
        clock = self.context.clock
        limit_s = self.context.settings.timing.drain_limit_ms / 1000
        deadline_at_s = clock.now() + limit_s
        claims: ClaimComponent = self.context.component(ClaimComponent)
        while clock.now() < deadline_at_s and (
            self.attach.requests.in_flight or claims.writer.pending
        ):
            await clock.sleep(DRAIN_CHECK_S)

    async def _submit(self, request: web.Request) -> web.StreamResponse:
        message = await read_message(request, SubmitRequest)
        body = _decode_body(message)
        _raise_if_invalid(list(validation_errors(message)))
        workspace = workspace_of(request)
        if workspace is not None:
            # Callers of two workspaces never share a claim or a fingerprint.
            # The length keeps `a` and `b:c` apart from `a:b` and `c`.
            name = workspace.name
            message.caller = f'{len(name)}:{name}:{message.caller}'
        record = self._find_record(message)
        fingerprint = _fingerprint(message, body)
        if record is None:
            self._check_drain(message)
            self._check_body(message, body)
            record = self._start_request(message, fingerprint, workspace)
        del body
        keep_encoded(request, message.body)
        if record.fingerprint != fingerprint:
            return json_response(
                conflict_outcome(message.request_id), CONFLICT_STATUS
            )
        self.attach.requests.add_alias(record, message.request_id)
        if message.stream:
            with self.attach.count_watcher(record):
                return await stream_record(request, record, message.request_id)
        outcome = await self.attach.wait_for_record(
            record, float('inf'), request
        )
        if not isinstance(outcome, Outcome):
            return caller_gone()
        answer = replace(outcome, request_id=message.request_id)
        return json_response(answer, record.status)

    def _find_record(self, message: SubmitRequest) -> RequestRecord | None:
        """Return the record with the same identifier or claim key, if any."""
        now = self.context.clock.now()
        registry = self.attach.requests
        record = registry.find(now, message.request_id)
        if record is None and not message.repeatable:
            key = claim_key(message.caller, message.key)
            record = registry.find_claim(now, key)
        return record

    def _check_drain(self, message: SubmitRequest) -> None:
        """Raise BadRequest if a drain might cut the request before its end."""
        target = self.context.config.target(message.class_name)
        left_s = self.context.closes_at_s - self.context.clock.now()
        if target is None or surely_ends(_deadline_s(message, target), left_s):
            return
        logger.bind(
            request=message.request_id,
            class_name=message.class_name,
            left_ms=round(left_s * 1000),
        ).log(DECISION, 'request refused: the daemon stops before its end')
        raise BadRequest(
            error_response(503, 'draining', 'the daemon is shutting down')
        )

    def _check_body(
        self, message: SubmitRequest, body: dict[str, Any]
    ) -> None:
        """Raise BadRequest if a body for engines is invalid."""
        target = self.context.config.target(message.class_name)
        if target is not None:
            states = self.context.endpoints.in_pool(target.pool)
            if states and states[0].kind == ENGINE:
                _raise_if_invalid(list(generation_errors(body)))

    def _start_request(
        self,
        message: SubmitRequest,
        fingerprint: str,
        workspace: Workspace | None,
    ) -> RequestRecord:
        """Run a request in a task that outlives the caller's connection."""
        key = ''
        if not message.repeatable:
            key = claim_key(message.caller, message.key)
        record = RequestRecord(
            message.request_id,
            fingerprint,
            key,
            message.repeatable,
            workspace,
        )
        self.attach.requests.start(record)
        record.task = asyncio.create_task(
            self._run_and_publish(message, record)
        )
        return record

    async def _run_and_publish(
        self, message: SubmitRequest, record: RequestRecord
    ) -> None:
        """Run a request and publish its outcome, also after an exception."""
        outcome = Outcome(
            request_id=message.request_id,
            outcome=FAILED,
            reason='the request was stopped',
        )
        arrived_at_s = self.context.clock.now()
        try:
            outcome = await self.run(message, record)
        except Exception:
            logger.exception('request {} failed', message.request_id)
        finally:
            if outcome.outcome == FAILED and not message.repeatable:
                outcome.outcome = UNKNOWN
            if outcome.outcome != ANSWERED:
                self._log_unanswered(message, record, outcome)
            self._count_outcome(message, outcome, arrived_at_s)
            status = record.status or STATUS_BY_OUTCOME[outcome.outcome]
            if record.workspace is not None:
                self.context.metrics.request_of_workspace(
                    record.workspace.name, status
                )
            self.attach.requests.finish(
                self.context.clock.now(), record, outcome, status
            )

    async def run(
        self, message: SubmitRequest, record: RequestRecord
    ) -> Outcome:
        """Run one request to its final outcome."""
        target = self.context.config.target(message.class_name)
        if target is None:
            error = RequestAbandoned(
                'class is not declared', UNDECLARED_RETRY_AFTER_S
            )
            return await self._unsent_outcome(message, record, error)
        run = self._new_run(message, target, record)
        try:
            self._admit(run)
            if message.repeatable:
                return await self.attempts.run_repeatable(run)
            return await run_claimed(self.context, self.attempts, run)
        except RequestAbandoned as error:
            if not message.repeatable:
                claims: ClaimComponent = self.context.component(ClaimComponent)
                outcome = await claims.look_up(run)
                if outcome is not None:
                    return outcome
            return await self._unsent_outcome(message, record, error)

    def _new_run(
        self,
        message: SubmitRequest,
        target: ClassTarget,
        record: RequestRecord,
    ) -> RequestRun:
        now = self.context.clock.now()
        body = message.decode_body()
        route = RouteRequest(
            request_id=message.request_id,
            class_name=target.name,
            kind=target.kind,
            pool=target.pool,
            content=content_hash(target.name, body),
            prefixes=_prefixes(body),
            deadline_at_s=now + _deadline_s(message, target),
            workspace=record.workspace.name if record.workspace else '',
        )
        return RequestRun(message, target, record, route)

    def _admit(self, run: RequestRun) -> None:
        """Set the priority of a request, or raise RequestAbandoned."""
        context = self.context
        now = context.clock.now()
        self.attempts.check_sendable(run)
        dispatcher: Dispatcher = context.component(Dispatcher)
        load = dispatcher.load(run.target.pool, run.target.name)
        of_class = PRIORITY_BY_KIND[run.target.kind]
        if run.route.workspace:
            load = dispatcher.load_ahead(run.route, of_class)
        verdict = context.policy('admission').offer(
            now, run.target, load, run.route.deadline_at_s
        )
        if isinstance(verdict, Refuse):
            retry_after_s = verdict.retry_after_s
            if run.route.workspace:
                retry_after_s = dispatcher.share_retry_s(run.route)
            raise RequestAbandoned(
                verdict.reason, retry_after_s, OVERLOAD_STATUS
            )
        run.priority = max(verdict.priority, of_class)
        workspace = run.record.workspace
        if workspace is not None and workspace.priority is not None:
            run.priority = workspace.priority

    async def _unsent_outcome(
        self,
        message: SubmitRequest,
        record: RequestRecord,
        error: RequestAbandoned,
    ) -> Outcome:
        """Return the outcome of a request that was not sent from this host.

        The identifier of a request names the host that received it first. If
        a non-repeatable request names another host, only that host knows
        whether the request ran.
        """
        first_host = host_of_request_id(message.request_id)
        if (
            not message.repeatable
            and first_host
            and first_host != self.context.settings.host
        ):
            return await self._ask_first_host(
                message, record, first_host, error
            )
        record.status = error.status
        return Outcome(
            request_id=message.request_id,
            outcome=NOT_RUN,
            reason=str(error),
            retry_after_ms=int(error.retry_after_s * 1000),
        )

    async def _ask_first_host(
        self,
        message: SubmitRequest,
        record: RequestRecord,
        host: str,
        error: RequestAbandoned,
    ) -> Outcome:
        now = self.context.clock.now()
        remaining_s = message.deadline_ms / 1000 or DEFAULT_DEADLINE_S
        outcome = await self.attach.wait_at_host(
            host,
            message.request_id,
            now + remaining_s,
            record.workspace.name if record.workspace else None,
        )
        if outcome is not None:
            return replace(outcome, request_id=message.request_id)
        return Outcome(
            request_id=message.request_id,
            outcome=UNKNOWN,
            reason=f'{error}; {host} does not tell whether it was run',
            retry_after_ms=int(error.retry_after_s * 1000),
        )

    def _count_outcome(
        self, message: SubmitRequest, outcome: Outcome, arrived_at_s: float
    ) -> None:
        """Count an outcome by class.

        All undeclared class names share one label value, since arbitrary
        names would create an unbounded number of metric series.
        """
        target = self.context.config.target(message.class_name)
        name = UNDECLARED if target is None else message.class_name
        latency_s = self.context.clock.now() - arrived_at_s
        limit_s = DEFAULT_DEADLINE_S
        if target is not None:
            limit_s = _deadline_s(message, target)
        metrics = self.context.metrics
        metrics.request_finished(
            name, outcome.outcome, latency_s, latency_s <= limit_s
        )
        if outcome.outcome == NOT_RUN:
            metrics.request_refused(name, outcome.reason)

    def _log_unanswered(
        self, message: SubmitRequest, record: RequestRecord, outcome: Outcome
    ) -> None:
        """Record in the decision log why a request was not answered.

        With workspaces, this includes the part of the waiting work that the
        workspace has, relative to its share.
        """
        extra: dict[str, Any] = {}
        target = self.context.config.target(message.class_name)
        if record.workspace is not None and target is not None:
            dispatcher: Dispatcher = self.context.component(Dispatcher)
            name = record.workspace.name
            excess = dispatcher.excess(target.pool, name)
            extra = {'workspace': name, 'excess': round(excess, 2)}
        self.context.decisions.record(
            DecisionRecord(
                at_s=self.context.clock.now(),
                decision='refuse' if outcome.outcome == NOT_RUN else 'end',
                subject=message.request_id,
                class_name=message.class_name,
                choice=outcome.outcome,
                reason=outcome.reason,
                revision=self.context.config.revision,
                extra=extra,
            )
        )


def _raise_if_invalid(errors: list[str]) -> None:
    if errors:
        raise BadRequest(
            error_response(400, 'invalid_body', '; '.join(errors))
        )


def _decode_body(message: SubmitRequest) -> dict[str, Any]:
    try:
        return message.decode_body()
    except MessageError as error:
        raise BadRequest(
            error_response(400, 'invalid_body', f'body: {error}')
        ) from error


def _fingerprint(message: SubmitRequest, body: dict[str, Any]) -> str:
    """Return a hash that detects reuse of an identifier or key."""
    key = '' if message.repeatable else message.key
    return content_hash(
        message.class_name,
        {'caller': message.caller, 'key': key, 'body': body},
    )


def _deadline_s(message: SubmitRequest, target: ClassTarget) -> float:
    if message.deadline_ms:
        return message.deadline_ms / 1000
    if isinstance(target, InteractiveClass):
        return target.deadline_ms / 1000
    if isinstance(target, BackgroundClass):
        return target.complete_within_ms / 1000
    return DEFAULT_DEADLINE_S


def _prefixes(body: dict[str, Any]) -> list[str]:
    prompt = body.get('prompt')
    return [prompt] if isinstance(prompt, str) else []
