"""HTTP exchanges with servers that raise the errors of the ports."""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from aiohttp import (
    ClientConnectorError,
    ClientPayloadError,
    ClientResponse,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

from anvilcove.http.answers import InvalidStatus
from anvilcove.messages.event_stream import EventCut, EventStreamError
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.platform.answer_identity import (
    STATUS_MISDIRECTED,
    is_refusal,
)
from anvilcove.platform.connections import (
    CallNotSent,
    RelayBroken,
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.endpoint_reports import read_report
from anvilcove.platform.load_header import decode_load
from anvilcove.platform.names import (
    ATTEMPT_ID,
    SERVER_LOAD,
    SERVER_STAMP,
)
from anvilcove.ports.engines import EngineLoad, ItemFailed, ItemRejected
from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointCrashed,
    EndpointError,
    EndpointFailed,
    EndpointNotRun,
    EndpointRefused,
)
from anvilcove.ports.reports import EndpointReport

STATUSES_WITHOUT_BODY = (204, 304)
OVERLOADED_STATUSES = (429, 503)


@asynccontextmanager
async def exchange(
    connections: ServerConnections,
    call: ServerCall,
    record: SendRecord | None = None,
) -> AsyncIterator[ClientResponse]:
    """Send a call and yield the response before its body is read.

    Raises AnswerMismatch if the response may be that of another call, and
    EndpointNotRun only if the server certainly ran nothing. Only connecting
    has a timeout here: callers have to limit the rest of the exchange.
    """
    address = call.address
    record = record or SendRecord()
    try:
        async with connections.open(call, record) as response:
            _check_identity(connections, call, response, record)
            report = read_report(response)
            if is_refusal(response):
                raise _refusal_error(address, response, record, report)
            with _errors_of_answer(report, record):
                yield response
    except EndpointFailed as error:
        error.sends += record.broken
        raise
    except (
        CallNotSent,
        ConnectionTimeoutError,
        ClientConnectorError,
    ) as error:
        if record.broken:
            raise EndpointCrashed(
                f'{address}: {error}, after the connection broke',
                sends=record.broken,
            ) from error
        raise EndpointNotRun(
            f'{address}: {error}', unreachable=True
        ) from error
    except RelayBroken as error:
        # The way of the call broke; the server need not have crashed.
        raise EndpointFailed(
            f'{address}: {error}', sends=record.broken + 1
        ) from error
    except ServerDisconnectedError as error:
        raise EndpointCrashed(
            f'{address}: {error!r}', sends=record.broken + 1
        ) from error
    except InvalidStatus as error:
        raise AnswerMismatch(
            f'{address}: {error}', sends=record.broken + 1
        ) from error
    except TimeoutError as error:
        raise EndpointFailed(
            f'{address}: no answer in time', sends=record.broken + 1
        ) from error
    except CALL_ERRORS as error:
        raise EndpointCrashed(
            f'{address}: {error!r}'[:300], sends=record.broken + 1
        ) from error


@contextmanager
def _errors_of_answer(
    report: EndpointReport, record: SendRecord
) -> Iterator[None]:
    """Add the report in an answer to errors that its reader raises."""
    try:
        with _errors_of_events():
            yield
    except (ItemFailed, ItemRejected) as error:
        error.report = report
        raise
    except EndpointError as error:
        error.report = report
        # The answer may not be that of this call, whose own answer would then
        # be read as that of the next one.
        if record.use is not None:
            record.use.discard()
        raise


@contextmanager
def _errors_of_events() -> Iterator[None]:
    """Raise the errors of ports for an event stream that is not sound."""
    try:
        yield
    except EventCut as error:
        raise EndpointCrashed(str(error)) from error
    except EventStreamError as error:
        raise AnswerMismatch(str(error)) from error


def _check_identity(
    connections: ServerConnections,
    call: ServerCall,
    response: ClientResponse,
    record: SendRecord,
) -> None:
    """Raise an error if the response may be that of another call."""
    assert record.use is not None
    identity = connections.identity
    if identity.belongs_to(call.attempt_id, response, record.use):
        return
    echoed = response.headers.get(ATTEMPT_ID, '')
    if is_refusal(response) and not echoed:
        raise EndpointRefused(
            f'{call.address}: status {response.status} without an attempt id',
            overloaded=response.status in OVERLOADED_STATUSES,
        )
    record.use.discard()
    raise AnswerMismatch(f'{call.address}: answer to attempt {echoed[:40]!r}')


def _refusal_error(
    address: str,
    response: ClientResponse,
    record: SendRecord,
    report: EndpointReport,
) -> EndpointNotRun | EndpointFailed:
    status = response.status
    reason = f'{address}: status {status}'
    overloaded = status in OVERLOADED_STATUSES
    error: EndpointNotRun | EndpointFailed
    if record.broken:
        # The broken sends are added when the error leaves the exchange.
        error = EndpointFailed(reason, sends=0)
    else:
        error = EndpointNotRun(reason, overloaded=overloaded)
    if status != STATUS_MISDIRECTED:
        # Another endpoint at the address says nothing about this one.
        error.report = report
    return error


def server_load(response: ClientResponse) -> EngineLoad | None:
    """Return the load in an answer, None if it is absent or malformed."""
    load, _ = decode_load(tuple(response.headers.getall(SERVER_LOAD, ())))
    return load


def check_answer(response: ClientResponse) -> None:
    """Raise AnswerMismatch for an answer that must not reach a caller.

    A success needs the server's stamp.
    """
    check_framing(response)
    success = 200 <= response.status < 300
    if success and not response.headers.get(SERVER_STAMP):
        raise AnswerMismatch('successful answer has no Server-Stamp')


async def read_whole(response: ClientResponse) -> bytes:
    """Return the body of an answer, or raise AnswerMismatch if it is cut."""
    try:
        return await response.read()
    except ClientPayloadError as error:
        raise AnswerMismatch(f'{error}') from error


def check_framing(response: ClientResponse) -> None:
    """Raise AnswerMismatch if a truncated body could not be detected.

    A body with neither a Content-Length nor chunked encoding ends when the
    connection closes, so a broken connection looks like a complete body.
    Bodies with a Content-Encoding are rejected, too.
    """
    framed = (
        response.status in STATUSES_WITHOUT_BODY
        or 'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
    )
    if not framed:
        raise AnswerMismatch('answer has no Content-Length and is not chunked')
    if 'Content-Encoding' in response.headers:
        raise AnswerMismatch('answer has a Content-Encoding')
