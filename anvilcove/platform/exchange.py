"""One HTTP exchange with a server, with errors turned into those of ports."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

from anvilcove.platform.connections import ServerCall, ServerConnections
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
)

OVERLOADED_STATUSES = (429, 503)


@asynccontextmanager
async def exchange(
    connections: ServerConnections, call: ServerCall
) -> AsyncIterator[ClientResponse]:
    """Send a call and yield an answer that is surely its own.

    The caller bounds the time. Raises EndpointNotRun only where the server
    has certainly run nothing.
    """
    address, attempt_id = call.address, call.attempt_id
    try:
        async with connections.open(call) as response:
            echoed = response.headers.get(ATTEMPT_ID, '')
            if attempt_id and echoed and echoed != attempt_id:
                # Closing drops the connection: the answer that it still owes
                # would come to the next request.
                response.close()
                raise AnswerMismatch(f'{address}: answer of {echoed[:40]}')
            if NOT_EXECUTED in response.headers:
                raise _not_run(address, response)
            yield response
    except ConnectionTimeoutError as error:
        raise EndpointNotRun(
            f'{address}: {error}', unreachable=True
        ) from error
    except ClientConnectorError as error:
        raise EndpointNotRun(
            f'{address}: {error}', unreachable=True
        ) from error
    except ServerDisconnectedError as error:
        raise EndpointCrashed(f'{address}: {error!r}') from error
    except TimeoutError as error:
        raise EndpointFailed(f'{address}: no answer in time') from error
    except (ClientError, OSError, ValueError) as error:
        raise EndpointCrashed(f'{address}: {error!r}'[:300]) from error


def _not_run(address: str, response: ClientResponse) -> EndpointNotRun:
    status = response.status
    return EndpointNotRun(
        f'{address}: status {status}', overloaded=status in OVERLOADED_STATUSES
    )


def server_load(response: ClientResponse) -> EngineLoad | None:
    """Return the load that a server sent with its answer."""
    parts = response.headers.get(SERVER_LOAD, '').split(',')
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return EngineLoad(running, waiting, slots)


def check_framing(response: ClientResponse) -> None:
    """Raise AnswerMismatch for an answer whose end cannot be known.

    Without a length the answer ends with its connection, and a reset looks
    like an end.
    """
    framed = (
        'Content-Length' in response.headers
        or 'chunked' in response.headers.get('Transfer-Encoding', '').lower()
    )
    if not framed:
        raise AnswerMismatch('answer without a length')
    if 'Content-Encoding' in response.headers:
        raise AnswerMismatch('answer with an encoding')
