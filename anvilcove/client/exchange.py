"""HTTP exchanges of the client library with one entry host."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import (
    ClientConnectorError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from anvilcove.client.errors import (
    ConnectionBroken,
    EntryRefused,
    EntryUnreachable,
    InvalidRequestError,
)
from anvilcove.client.keys import ApiKey, key_headers
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.callers import (
    NOT_RUN,
    Entry,
    Outcome,
    Refusal,
    SubmitRequest,
)
from anvilcove.messages.engines import TokenEvent
from anvilcove.messages.event_stream import (
    EventBlocks,
    event_name_and_data,
    read_lines,
)
from anvilcove.messages.http_errors import CALL_ERRORS

EVENT_TYPES: dict[str, type[TokenEvent] | type[Outcome]] = {
    'token': TokenEvent,
    'done': Outcome,
    'error': Outcome,
}
INVALID_STATUSES = (400, 404, 405, 408, 411, 413, 414, 415, 431)
UNAUTHORIZED_STATUS = 401
# The service may respond as late as the deadline; this is the time that the
# response needs to arrive.
RESPONSE_MARGIN_S = 0.5


@asynccontextmanager
async def exchange(
    session: ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    connect_timeout_s: float,
    key: ApiKey | None,
    data: bytes | None = None,
) -> AsyncIterator[ClientResponse]:
    """Send an HTTP request and provide the response.

    Raise EntryUnreachable if the connection failed, ConnectionBroken if the
    host may have received the request.
    """
    try:
        async with session.request(
            method,
            url,
            data=data,
            headers={
                'Content-Type': 'application/json',
                **key_headers(key),
            },
            timeout=ClientTimeout(
                total=timeout_s + RESPONSE_MARGIN_S,
                sock_connect=connect_timeout_s,
            ),
        ) as response:
            yield response
    except (ClientConnectorError, ConnectionTimeoutError) as error:
        raise EntryUnreachable(str(error)) from error
    except (*CALL_ERRORS, MessageError) as error:
        raise ConnectionBroken(repr(error)) from error


async def submit(
    session: ClientSession,
    entry: Entry,
    message: SubmitRequest,
    connect_timeout_s: float,
    key: ApiKey | None = None,
) -> AsyncGenerator[TokenEvent | Outcome, None]:
    """Submit a request; yield the streamed tokens, then the outcome.

    Raise EntryUnreachable, EntryRefused, ConnectionBroken or
    InvalidRequestError.
    """
    async with exchange(
        session,
        'POST',
        f'http://{entry.address}/v1/requests',
        message.deadline_ms / 1000,
        connect_timeout_s,
        key,
        encode(message),
    ) as response:
        outcome = None
        if response.content_type != 'text/event-stream':
            outcome = _decode_outcome(response, await response.read(), message)
        else:
            async for event in _parse_events(response):
                if event.request_id != message.request_id:
                    raise ConnectionBroken(
                        'the event belongs to another request'
                    )
                if isinstance(event, Outcome):
                    outcome = event
                    break
                yield event
        if outcome is None:
            raise ConnectionBroken('the stream ended without its outcome')
    yield outcome


def _decode_outcome(
    response: ClientResponse, data: bytes, message: SubmitRequest
) -> Outcome:
    if response.status in INVALID_STATUSES:
        raise InvalidRequestError(_refusal_reason(data))
    if response.status == UNAUTHORIZED_STATUS:
        # Another host may already know a key that was just declared.
        raise EntryRefused(_refusal_reason(data), 0.0)
    try:
        outcome = decode(data, Outcome)
    except MessageError:
        if response.status != 503:
            raise
        # While it shuts down, a host sends a Refusal instead of an Outcome.
        raise EntryRefused(_refusal_reason(data), 0.0) from None
    if response.status == 503 and outcome.outcome == NOT_RUN:
        raise EntryRefused(outcome.reason, outcome.retry_after_ms / 1000)
    if outcome.request_id != message.request_id:
        raise ConnectionBroken('the response belongs to another request')
    return outcome


def _refusal_reason(data: bytes) -> str:
    try:
        return decode(data, Refusal).reason
    except MessageError:
        return data[:200].decode(errors='replace')


async def _parse_events(
    response: ClientResponse,
) -> AsyncIterator[TokenEvent | Outcome]:
    """Yield the events of known names; raises EventStreamError."""
    blocks = EventBlocks(read_lines(response.content))
    async for block in blocks:
        name, data = event_name_and_data(block)
        if name in EVENT_TYPES:
            blocks.allow_lines()
            yield decode(data, EVENT_TYPES[name])


async def fetch_outcome(
    session: ClientSession,
    entry: Entry,
    request_id: str,
    wait_s: float,
    connect_timeout_s: float,
    key: ApiKey | None = None,
) -> Outcome | bool:
    """Return the outcome of a request from a host.

    Return True if the request is in flight, False if it is unknown there.
    """
    wait_ms = max(int(wait_s * 1000), 0)
    async with exchange(
        session,
        'GET',
        f'http://{entry.address}/v1/requests/{request_id}?wait_ms={wait_ms}',
        wait_s + RESPONSE_MARGIN_S,
        connect_timeout_s,
        key,
    ) as response:
        if response.status == 202:
            return True
        if response.status == 404:
            return False
        outcome = decode(await response.read(), Outcome)
        if outcome.request_id != request_id:
            raise ConnectionBroken('the response belongs to another request')
        return outcome
