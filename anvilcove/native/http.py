"""HTTP calls that raise the errors of the platform ports."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

from anvilcove.http.answers import InvalidStatus
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.messages.services import EndpointRefusal
from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointCrashed,
    EndpointFailed,
    EndpointNotRun,
    StoreAnswerLost,
    StoreUnavailable,
)

REFUSED_STATUSES = (429, 503)
JSON_HEADERS = {'Content-Type': 'application/json'}
MAX_CONNECT_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_SHARE = 0.5
# Numbers the host names of fresh connections.
_fresh_numbers = count()


@asynccontextmanager
async def store_call(
    session: ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    message: object | None = None,
    data: bytes | None = None,
    headers: dict[str, str] | None = None,
    expected: tuple[int, ...] = (200,),
) -> AsyncIterator[ClientResponse]:
    """Call a store and yield the response, whose status is `expected`.

    Raises StoreUnavailable only if nothing was applied, StoreAnswerLost if
    the call may have been applied.
    """
    body = encode(message) if message is not None else data
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=JSON_HEADERS if body is not None else headers,
            timeout=_timeout(timeout_s),
            allow_redirects=False,
        ) as response:
            if response.status in REFUSED_STATUSES:
                raise StoreUnavailable(f'{url}: status {response.status}')
            if response.status not in expected:
                raise StoreAnswerLost(f'{url}: status {response.status}')
            yield response
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise StoreUnavailable(f'{url}: {error}') from error
    except CALL_ERRORS as error:
        raise StoreAnswerLost(f'{url}: {error!r}') from error


@asynccontextmanager
async def endpoint_call(
    session: ClientSession,
    method: str,
    url: str,
    timeout_s: float | None,
    message: object | None = None,
    fresh_connection: bool = False,
) -> AsyncIterator[ClientResponse]:
    """Call an endpoint and yield the response; its status is 200.

    Raises EndpointNotRun only if the endpoint ran nothing, else another
    EndpointError. Redirects are not followed, since each would send the call
    again.
    """
    options: dict[str, Any] = {}
    if fresh_connection:
        # The server host name is part of the key of aiohttp's connection
        # pool, so a unique name forces a new connection. `Connection: close`
        # alone only keeps a connection from returning to the pool.
        options['server_hostname'] = f'fresh-{next(_fresh_numbers)}'
        options['headers'] = {**JSON_HEADERS, 'Connection': 'close'}
    try:
        async with session.request(
            method,
            url,
            data=None if message is None else encode(message),
            timeout=_timeout(timeout_s),
            allow_redirects=False,
            **{'headers': JSON_HEADERS, **options},
        ) as response:
            if response.status in REFUSED_STATUSES:
                raise await _refusal_error(response, url)
            if response.status != 200:
                raise EndpointFailed(f'{url}: status {response.status}')
            yield response
    except ConnectionTimeoutError as error:
        raise EndpointNotRun(f'{url}: {error}', unreachable=True) from error
    except ClientConnectorError as error:
        raise EndpointNotRun(f'{url}: {error}') from error
    except ServerDisconnectedError as error:
        raise EndpointCrashed(f'{url}: {error!r}') from error
    except InvalidStatus as error:
        raise AnswerMismatch(f'{url}: {error}') from error
    except TimeoutError as error:
        raise EndpointFailed(f'{url}: no answer in time') from error
    except CALL_ERRORS as error:
        raise EndpointCrashed(f'{url}: {error!r}') from error


def _timeout(total_s: float | None) -> ClientTimeout:
    """Return a timeout that limits connecting to a share of the total time.

    After a connection timeout the call has certainly not run; after the total
    timeout it may have been sent.
    """
    connect_s = MAX_CONNECT_TIMEOUT_S
    if total_s is not None:
        connect_s = min(connect_s, total_s * CONNECT_TIMEOUT_SHARE)
    return ClientTimeout(total=total_s, sock_connect=connect_s)


async def _refusal_error(
    response: ClientResponse, url: str
) -> EndpointNotRun | EndpointFailed:
    try:
        refusal = decode(await response.read(), EndpointRefusal)
    except MessageError:
        return EndpointFailed(f'{url}: status {response.status}')
    if refusal.run:
        return EndpointFailed(f'{url}: {refusal.reason}')
    return EndpointNotRun(refusal.reason, overloaded=True)


async def read_answer(response: ClientResponse, message_type: Any) -> Any:
    """Read and decode an answer, or raise AnswerMismatch."""
    try:
        return decode(await response.read(), message_type)
    except MessageError as error:
        raise AnswerMismatch(str(error)) from error
