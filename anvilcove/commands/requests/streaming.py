"""Stream the progress of a request to its caller."""

import asyncio

from aiohttp import web
from msgspec.structs import replace

from anvilcove.daemon.replies import refusal, reply
from anvilcove.messages.base import encode
from anvilcove.messages.callers import ANSWERED, Outcome
from anvilcove.messages.engines import TokenEvent
from anvilcove.queries.attach import DISCONNECT_CHECK_S, connected
from anvilcove.state.answers import RequestRecord

# Status that proxies use for a caller that closed its connection.
GONE_STATUS = 499


def caller_gone() -> web.Response:
    """Return a response that ends a handler; it cannot be delivered."""
    return refusal(GONE_STATUS, 'caller_gone', 'the caller disconnected')


async def stream_record(
    request: web.Request, record: RequestRecord, request_id: str
) -> web.StreamResponse:
    """Send tokens as they come, then `done` or `error`.

    A request that ended without an answer before its first token is answered
    with a plain JSON outcome and its status.
    """
    news = asyncio.Event()
    record.listeners.add(news)
    try:
        if not await _wait(request, record, news, 0):
            return caller_gone()
        outcome = record.outcome
        if outcome and outcome.outcome != ANSWERED and not record.tokens:
            own = replace(outcome, request_id=request_id)
            return reply(own, record.status)
        response = web.StreamResponse(headers={'Cache-Control': 'no-store'})
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        await _follow(request, response, record, request_id, news)
        return response
    finally:
        record.listeners.discard(news)


async def _follow(
    request: web.Request,
    response: web.StreamResponse,
    record: RequestRecord,
    request_id: str,
    news: asyncio.Event,
) -> None:
    sent = 0
    while True:
        news.clear()
        tokens = record.tokens[sent:]
        sent += len(tokens)
        data = b''.join(_token(event, request_id) for event in tokens)
        if record.outcome is not None:
            data += _end(record.outcome, request_id)
        if data:
            await response.write(data)
        if record.outcome is not None:
            await response.write_eof()
            return
        if not await _wait(request, record, news, sent):
            return


async def _wait(
    request: web.Request,
    record: RequestRecord,
    news: asyncio.Event,
    sent: int,
) -> bool:
    """Wait for a token or the outcome; return False if nobody listens."""
    while record.outcome is None and len(record.tokens) == sent:
        try:
            async with asyncio.timeout(DISCONNECT_CHECK_S):
                await news.wait()
        except TimeoutError:
            if not connected(request):
                return False
    return True


def _token(event: TokenEvent, request_id: str) -> bytes:
    if event.request_id != request_id:
        event = replace(event, request_id=request_id)
    return _event(b'token', event)


def _end(outcome: Outcome, request_id: str) -> bytes:
    kind = b'done' if outcome.outcome == ANSWERED else b'error'
    return _event(kind, replace(outcome, request_id=request_id))


def _event(kind: bytes, message: object) -> bytes:
    return b'event: %s\ndata: %s\n\n' % (kind, encode(message))
