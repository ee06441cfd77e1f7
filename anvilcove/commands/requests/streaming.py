"""Stream the progress of a request to its caller."""

import asyncio

from aiohttp import web
from msgspec.structs import replace

from anvilcove.daemon.replies import error_response, json_response
from anvilcove.messages.base import encode
from anvilcove.messages.callers import ANSWERED, Outcome
from anvilcove.messages.engines import TokenEvent
from anvilcove.queries.attach import DISCONNECT_POLL_S, is_connected
from anvilcove.state.answers import RequestRecord

# Status that proxies log for a client that closed its connection.
CALLER_GONE_STATUS = 499


def caller_gone() -> web.Response:
    """Return a response for the handler to return; nobody receives it."""
    return error_response(
        CALLER_GONE_STATUS, 'caller_gone', 'the caller disconnected'
    )


async def stream_record(
    request: web.Request, record: RequestRecord, request_id: str
) -> web.StreamResponse:
    """Send tokens as server-sent events, then a `done` or `error` event.

    A request that ends unanswered before its first token gets its outcome as
    plain JSON with the HTTP status instead.
    """
    changed = asyncio.Event()
    record.listeners.add(changed)
    try:
        if not await _wait_for_change(request, record, changed, 0):
            return caller_gone()
        outcome = record.outcome
        if outcome and outcome.outcome != ANSWERED and not record.tokens:
            own = replace(outcome, request_id=request_id)
            return json_response(own, record.status)
        response = web.StreamResponse(headers={'Cache-Control': 'no-store'})
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        await _stream_events(request, response, record, request_id, changed)
        return response
    finally:
        record.listeners.discard(changed)


async def _stream_events(
    request: web.Request,
    response: web.StreamResponse,
    record: RequestRecord,
    request_id: str,
    changed: asyncio.Event,
) -> None:
    sent = 0
    while True:
        changed.clear()
        tokens = record.tokens[sent:]
        sent += len(tokens)
        data = b''.join(_token_event(event, request_id) for event in tokens)
        if record.outcome is not None:
            data += _final_event(record.outcome, request_id)
        if data:
            await response.write(data)
        if record.outcome is not None:
            await response.write_eof()
            return
        if not await _wait_for_change(request, record, changed, sent):
            return


async def _wait_for_change(
    request: web.Request,
    record: RequestRecord,
    changed: asyncio.Event,
    sent: int,
) -> bool:
    """Wait for a token or the outcome; return False on a disconnect."""
    while record.outcome is None and len(record.tokens) == sent:
        try:
            async with asyncio.timeout(DISCONNECT_POLL_S):
                await changed.wait()
        except TimeoutError:
            if not is_connected(request):
                return False
    return True


def _token_event(event: TokenEvent, request_id: str) -> bytes:
    if event.request_id != request_id:
        event = replace(event, request_id=request_id)
    return _encode_event(b'token', event)


def _final_event(outcome: Outcome, request_id: str) -> bytes:
    kind = b'done' if outcome.outcome == ANSWERED else b'error'
    return _encode_event(kind, replace(outcome, request_id=request_id))


def _encode_event(kind: bytes, message: object) -> bytes:
    return b'event: %s\ndata: %s\n\n' % (kind, encode(message))
