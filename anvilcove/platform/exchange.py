"""HTTP exchanges with servers that raise the errors of the ports."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

from anvilcove.platform.connections import (
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.names import (
    ATTEMPT_ID,
    NOT_EXECUTED,
    SERVER_LOAD,
)
from anvilcove.ports.engines import EngineLoad
from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointCrashed,
    EndpointFailed,
    EndpointNotRun,
    EndpointRefused,
)

OVERLOADED_STATUSES = (429, 503)
# Another server instance has the address and did not run the call.
STATUS_MISDIRECTED = 421


@asynccontextmanager
async def exchange(
    connections: ServerConnections,
    call: ServerCall,
    record: SendRecord | None = None,
) -> AsyncIterator[ClientResponse]:
    """Send a call and yield the response before its body is read.

    Raises AnswerMismatch if the response echoes another attempt, and
    EndpointNotRun only if the server certainly ran nothing. Only connecting
    has a timeout here: callers have to limit the rest of the exchange.
    """
    address, attempt_id = call.address, call.attempt_id
    record = record or SendRecord()
    try:
        async with connections.open(call, record) as response:
            echoed = response.headers.get(ATTEMPT_ID, '')
            if attempt_id and echoed and echoed != attempt_id:
                # Don't reuse this connection: the response to this call may
                # still follow and would be read as that of the next call.
                response.close()
                raise AnswerMismatch(
                    f'{address}: answer to attempt {echoed[:40]}'
                )
            if _is_refusal(response):
                raise _refusal_error(address, response, record)
            yield response
    except EndpointFailed as error:
        error.sends += record.broken
        raise
    except (ConnectionTimeoutError, ClientConnectorError) as error:
        if record.broken:
            raise EndpointCrashed(
                f'{address}: {error}, after the connection broke',
                sends=record.broken,
            ) from error
        raise EndpointNotRun(
            f'{address}: {error}', unreachable=True
        ) from error
    except ServerDisconnectedError as error:
        raise EndpointCrashed(
            f'{address}: {error!r}', sends=record.broken + 1
        ) from error
    except TimeoutError as error:
        raise EndpointFailed(
            f'{address}: no answer in time', sends=record.broken + 1
        ) from error
    except (ClientError, OSError, ValueError) as error:
        raise EndpointCrashed(
            f'{address}: {error!r}'[:300], sends=record.broken + 1
        ) from error


def _is_refusal(response: ClientResponse) -> bool:
    return (
        NOT_EXECUTED in response.headers
        or response.status == STATUS_MISDIRECTED
    )


def _refusal_error(
    address: str, response: ClientResponse, record: SendRecord
) -> EndpointNotRun | EndpointRefused:
    status = response.status
    reason = f'{address}: status {status}'
    overloaded = status in OVERLOADED_STATUSES
    if record.broken:
        # The broken sends are added when the error leaves the exchange.
        return EndpointRefused(reason, sends=0, overloaded=overloaded)
    return EndpointNotRun(reason, overloaded=overloaded)


def server_load(response: ClientResponse) -> EngineLoad | None:
    """Return the load in an answer, None if it is absent or malformed."""
    numbers = response.headers.get(SERVER_LOAD, '').split(',')
    try:
        running, waiting, slots = (int(number) for number in numbers)
    except ValueError:
        return None
    return EngineLoad(running, waiting, slots)


def check_framing(response: ClientResponse) -> None:
    """Raise AnswerMismatch if a truncated body could not be detected.

    A body with neither a Content-Length nor chunked encoding ends when the
    connection closes, so a broken connection looks like a complete body.
    Bodies with a Content-Encoding are rejected, too.
    """
    framed = (
        'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
    )
    if not framed:
        raise AnswerMismatch('answer has no Content-Length and is not chunked')
    if 'Content-Encoding' in response.headers:
        raise AnswerMismatch('answer has a Content-Encoding')
