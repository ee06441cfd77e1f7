"""HTTP calls with errors turned into those of the platform ports."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    ServerDisconnectedError,
)

from anvilcove.messages.base import MessageError, decode, encode
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
HEADERS = {'Content-Type': 'application/json'}
CONNECT_LIMIT_S = 1.0
CONNECT_SHARE = 0.5
_fresh = count()


@asynccontextmanager
async def store_call(
    session: ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    message: object | None = None,
    data: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> AsyncIterator[ClientResponse]:
    """Call a store; raise StoreUnavailable only if nothing was applied."""
    body = encode(message) if message is not None else data
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=HEADERS if body is not None else headers,
            timeout=_timeout(timeout_s),
            allow_redirects=False,
        ) as response:
            if response.status in REFUSED_STATUSES:
                raise StoreUnavailable(f'{url}: status {response.status}')
            yield response
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise StoreUnavailable(f'{url}: {error}') from error
    except (ClientError, TimeoutError, OSError) as error:
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
    """Call an endpoint; raise EndpointNotRun only if it ran nothing.

    Redirects are not followed, since each one would send the call again.
    """
    options: dict[str, Any] = {}
    if fresh_connection:
        # The pool finds connections by this name among others, so a new name
        # makes it open one. `Connection: close` alone would only keep a
        # connection out of the pool after its use.
        options['server_hostname'] = f'fresh-{next(_fresh)}'
        options['headers'] = {**HEADERS, 'Connection': 'close'}
    try:
        async with session.request(
            method,
            url,
            data=None if message is None else encode(message),
            timeout=_timeout(timeout_s),
            allow_redirects=False,
            **{'headers': HEADERS, **options},
        ) as response:
            if response.status in REFUSED_STATUSES:
                raise await _refused(response, url)
            if response.status != 200:
                raise EndpointFailed(f'{url}: status {response.status}')
            yield response
    except ConnectionTimeoutError as error:
        raise EndpointNotRun(f'{url}: {error}', unreachable=True) from error
    except ClientConnectorError as error:
        raise EndpointNotRun(f'{url}: {error}') from error
    except ServerDisconnectedError as error:
        raise EndpointCrashed(f'{url}: {error!r}') from error
    except TimeoutError as error:
        raise EndpointFailed(f'{url}: no answer in time') from error
    except (ClientError, OSError) as error:
        raise EndpointCrashed(f'{url}: {error!r}') from error


def _timeout(total_s: float | None) -> ClientTimeout:
    """Limit connecting to a part of the total time.

    Only the end of a connection attempt is known as not run; at the end of
    the total time the call may have been sent.
    """
    connect_s = CONNECT_LIMIT_S
    if total_s is not None:
        connect_s = min(connect_s, total_s * CONNECT_SHARE)
    return ClientTimeout(total=total_s, sock_connect=connect_s)


async def _refused(
    response: ClientResponse, url: str
) -> EndpointNotRun | EndpointFailed:
    try:
        refusal = decode(await response.read(), EndpointRefusal)
    except MessageError:
        return EndpointFailed(f'{url}: status {response.status}')
    if refusal.run:
        return EndpointFailed(f'{url}: {refusal.reason}')
    return EndpointNotRun(refusal.reason, overloaded=True)


async def read_answer(response: ClientResponse, kind: Any) -> Any:
    """Decode a whole answer, or raise AnswerMismatch."""
    try:
        return decode(await response.read(), kind)
    except MessageError as error:
        raise AnswerMismatch(str(error)) from error
