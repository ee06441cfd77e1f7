"""HTTP listeners for callers, trainers and the platform's checks."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from loguru import logger
from msgspec import json

from anvilcove.control.desired import JOB, STREAM, UNSAFE, Route
from anvilcove.http.client_account import ClientAccount
from anvilcove.http.client_connections import client_connection
from anvilcove.messages.numbers import parse_decimal
from anvilcove.node.http_listener import HttpListener
from anvilcove.node.service import JOBS_ROUTE, NodeService
from anvilcove.platform.admitted_calls import (
    AdmittedCall,
    admit_call,
    discard_body,
)
from anvilcove.platform.caller_sink import ResponseSink, release_body
from anvilcove.platform.job_paths import (
    JobPaths,
    query_value,
    to_response,
)
from anvilcove.platform.listener_errors import QuietServer
from anvilcove.platform.names import (
    ATTEMPT_ID,
    DEADLINE_MS,
    LAST_EVENT_ID,
    RESUMES,
)
from anvilcove.platform.submissions import (
    DocumentRoom,
    JobFormatError,
    decode_job,
)
from anvilcove.ports.servers import CallerRequest
from anvilcove.proxy.outcomes import (
    not_found,
    refusal,
    stop_refusal,
    unauthorized,
)
from anvilcove.proxy.streams import StreamBroken
from anvilcove.proxy.time_limits import answer_limit_s
from anvilcove.state.memory_room import NoRoom
from anvilcove.telemetry.logs import DECISION

LOOKUP_PATH = '/-/lookup'
READY_PATH = '/-/readyz'

# Time for which callers cache the answer to a lookup.
LOOKUP_TTL_S = 2
# Deadline of requests without a valid Deadline-Ms header.
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_DIGITS = 9
# Callers close idle connections after at most four fifths of the operator's
# idle timeout. This value exceeds any idle timeout in use, so the listener
# never closes a connection on which a request may be arriving.
KEEPALIVE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 65_536
# Longest time of a read or an end of a job; reads wait up to 1 s for results.
JOB_CALL_LIMIT_S = 2.0
# Time that open connections get to finish when a listener closes.
SHUTDOWN_TIMEOUT_S = 0.3

Handler = Callable[[BaseRequest], Awaitable[StreamResponse]]


class CallerListener:
    """Handler of callers' requests, job submissions and job reads."""

    __slots__ = ('_service', '_rng', '_job_paths', 'in_flight')

    def __init__(self, service: NodeService, rng: random.Random) -> None:
        """Create the handler; `start_listener` opens its port."""
        self._service = service
        self._rng = rng
        self._job_paths = JobPaths(service, rng)
        self.in_flight = 0

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Respond to one HTTP request of a caller."""
        self.in_flight += 1
        connection = client_connection(request)
        if connection is not None:
            connection.begin(request.headers.get(ATTEMPT_ID, ''))
        try:
            response = await self._respond(request)
        finally:
            self.in_flight -= 1
            release_body(self._service, connection)
        if self._service.state.stopping:
            response.force_close()
        return response

    def unfinished(self) -> int:
        """Return the number of requests whose answers are not written."""
        return self.in_flight + self._service.account.unread_answers()

    async def _respond(self, request: BaseRequest) -> StreamResponse:
        received_s = self._service.now()
        path, _, query = request.raw_path.partition('?')
        if path.startswith('/-/'):
            return await self._respond_to_job_call(
                request, path, query, received_s
            )
        if not self._service.has_desired_state():
            return to_response(request, refusal(0.5, self._rng))
        host = request.headers.get('Host', '').lower()
        route = self._service.route(host, path)
        if route is None:
            await discard_body(request, self._service.max_body_bytes())
            logger.bind(
                request=request.headers.get(ATTEMPT_ID, ''), path=path[:80]
            ).info('no route matches the request')
            return to_response(request, not_found())
        deadline_s = _deadline_s(request)
        if not self._service.can_complete(
            route.name,
            min(deadline_s, answer_limit_s(route)),
            request.headers.get(ATTEMPT_ID, ''),
            # A caller may not repeat such a request if it is cut.
            estimated=route.kind != UNSAFE,
        ):
            await discard_body(request, self._service.max_body_bytes())
            return to_response(request, stop_refusal())
        response = await self._serve(
            request, host, path, route, received_s, deadline_s
        )
        if response.status < 400:
            self._service.answer_times.add(
                route.name, self._service.now() - received_s
            )
        return response

    async def _respond_to_job_call(
        self, request: BaseRequest, path: str, query: str, received_s: float
    ) -> StreamResponse:
        """Respond to a read or the end of a job."""
        if not self._service.can_complete(
            JOBS_ROUTE,
            JOB_CALL_LIMIT_S,
            path.rpartition('/')[2],
            estimated=True,
        ):
            return to_response(request, stop_refusal())
        response = await self._job_paths.respond(request, path, query)
        self._service.answer_times.add(
            JOBS_ROUTE, self._service.now() - received_s
        )
        return response

    async def _serve(
        self,
        request: BaseRequest,
        host: str,
        path: str,
        route: Route,
        received_s: float,
        deadline_s: float,
    ) -> StreamResponse:
        """Serve a request on its route."""
        try:
            call = await admit_call(
                self._service,
                request,
                host,
                path,
                route,
                min(deadline_s, answer_limit_s(route)),
            )
        except NoRoom as error:
            logger.bind(
                request=request.headers.get(ATTEMPT_ID, '')[:120],
                route=route.name,
                reason=str(error),
            ).log(DECISION, 'call refused: no memory for its body')
            if route.kind == JOB:
                job_id = request.headers.get(ATTEMPT_ID, '')
                return to_response(
                    request,
                    await self._service.refuse_submission(job_id, route),
                )
            self._service.body_refused(route.name)
            return to_response(request, refusal(route.objective_s, self._rng))
        if call is None:
            return to_response(request, unauthorized())
        if call.route.kind == JOB:
            return await self._submit_job(request, host, path, call)
        caller_request = CallerRequest(
            request_id=request.headers.get(ATTEMPT_ID, ''),
            method=request.method,
            host=host,
            path=request.raw_path,
            headers=call.forwarded(request),
            body=call.body,
            received_s=received_s,
            deadline_at_s=received_s + deadline_s,
            resumes=request.headers.get(RESUMES, ''),
            resumed_after=request.headers.get(LAST_EVENT_ID, ''),
            workspace=call.admission.name,
            priority=call.admission.priority,
        )
        if call.route.kind == STREAM:
            return await self._stream(request, caller_request, call.route)
        answer = await self._service.forward(caller_request, call.route)
        return to_response(request, answer)

    async def _stream(
        self,
        request: BaseRequest,
        caller_request: CallerRequest,
        route: Route,
    ) -> StreamResponse:
        sink = ResponseSink(request)
        try:
            answer = await self._service.stream(caller_request, route, sink)
        except StreamBroken as error:
            logger.bind(
                request=caller_request.request_id, reason=str(error)
            ).info('stream ended without its end')
            # Without the final chunk the caller sees that the response is
            # incomplete.
            if request.transport is not None:
                request.transport.abort()
            return sink.response
        if answer is not None:
            return to_response(request, answer)
        # The endpoint has sent everything; only the caller still reads.
        release_body(self._service, client_connection(request))
        # The last write may have ended the caller.
        with suppress(OSError):
            await sink.response.write_eof()
        return sink.response

    async def _submit_job(
        self,
        request: BaseRequest,
        host: str,
        path: str,
        call: AdmittedCall,
    ) -> StreamResponse:
        if request.method != 'POST':
            return Response(status=405)
        job_id = request.headers.get(ATTEMPT_ID, '')
        # Its job may still be stored when the request has ended.
        room = DocumentRoom(
            self._service.memory_room, _taken_reservation(request)
        )
        try:
            job = await decode_job(
                job_id,
                host,
                path,
                call.body,
                room,
                self._service.account.settings.max_head_bytes(),
                call.job_workspace(),
            )
        except NoRoom as error:
            logger.bind(job=job_id[:120], reason=str(error)).log(
                DECISION, 'submission refused: no memory for it'
            )
            return to_response(
                request,
                await self._service.refuse_submission(job_id, call.route),
            )
        except JobFormatError as error:
            logger.bind(job=job_id[:120], reason=str(error)[:200]).warning(
                'submission rejected'
            )
            return Response(status=400, text=str(error))
        # A trainer that disconnects must not cancel the write, which may
        # already have been applied.
        answer = await asyncio.shield(
            self._service.submit(job.spec, call.route, job.large, room.release)
        )
        return to_response(request, answer)


def _taken_reservation(request: BaseRequest) -> int:
    """Return what is reserved for a body, which its connection has no more."""
    connection = client_connection(request)
    if connection is None or not connection.reserved_bytes:
        return 0
    reserved_bytes = connection.reserved_bytes
    connection.reserved_bytes = connection.body_bytes = 0
    connection.requests.keeps_body = False
    return reserved_bytes


def lookup_handler(service: NodeService) -> Handler:
    """Return the handler of lookups of daemon addresses."""

    async def handle(request: BaseRequest) -> StreamResponse:
        path, _, query = request.raw_path.partition('?')
        if path != LOOKUP_PATH:
            return Response(status=404)
        addresses = service.addresses(query_value(query, 'region'))
        if not addresses:
            return Response(status=503)
        return Response(
            body=json.encode({'addresses': addresses, 'ttl-s': LOOKUP_TTL_S}),
            content_type='application/json',
        )

    return handle


def ready_handler(service: NodeService) -> Handler:
    """Return the handler of the platform's readiness checks."""

    async def handle(request: BaseRequest) -> StreamResponse:
        ready = request.path == READY_PATH and service.ready()
        return Response(status=200 if ready else 503)

    return handle


async def start_listener(
    address: str,
    handler: Handler,
    max_body_bytes: Callable[[], int],
    account: ClientAccount,
    has_workspaces: Callable[[], bool] = lambda: False,
) -> HttpListener:
    """Listen on ip:port; `cleanup` of what is returned closes it.

    `max_body_bytes` is read for each request, since the limit may change.
    With `has_workspaces`, answers to malformed requests do not quote them.
    `account` counts what clients make the process keep.
    """

    def make_request(*connection_state: Any) -> BaseRequest:
        message, payload, protocol, writer, task = connection_state
        return BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=max_body_bytes(),
        )

    server = QuietServer(
        account,
        handler,
        has_workspaces,
        request_factory=make_request,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        access_log=None,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    listener = HttpListener(server, SHUTDOWN_TIMEOUT_S)
    ip, _, port = address.rpartition(':')
    await listener.open(ip, int(port), backlog=1024)
    return listener


def _deadline_s(request: BaseRequest) -> float:
    text = request.headers.get(DEADLINE_MS, '')
    deadline_ms = parse_decimal(text, MAX_DEADLINE_DIGITS)
    return DEFAULT_DEADLINE_S if deadline_ms is None else deadline_ms / 1000
