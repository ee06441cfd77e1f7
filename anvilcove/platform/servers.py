"""Clients of the platform's plain servers and of streaming endpoints."""

from collections.abc import AsyncIterable, AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import ClientResponse
from multidict import CIMultiDict

from anvilcove.messages.event_stream import (
    EVENT_STREAM,
    EventBlocks,
    EventCut,
    read_lines,
)
from anvilcove.messages.numbers import parse_decimal
from anvilcove.platform.access import workspace_headers
from anvilcove.platform.client_protocol import (
    MAX_EVENT_BYTES,
    ConnectionUse,
)
from anvilcove.platform.connections import (
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.endpoint_reports import read_report
from anvilcove.platform.exchange import (
    check_answer,
    exchange,
    read_whole,
    server_load,
)
from anvilcove.platform.headers import end_to_end
from anvilcove.platform.names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    SERVER_STAMP,
)
from anvilcove.ports.errors import AnswerMismatch
from anvilcove.ports.servers import CallerRequest, Headers, ServerAnswer
from anvilcove.ports.streams import StreamAnswer, StreamPiece

# Status of a server's report that the run of a call failed. Other statuses
# say nothing about the call: they come from a server that is overloaded, or
# out of time, or from a gateway.
STATUS_RUN_FAILED = 500


class PlatformServers:
    """Client that sends requests to servers over HTTP."""

    __slots__ = ('_connections',)

    def __init__(self, connections: ServerConnections) -> None:
        """Use these connections; nothing is sent yet."""
        self._connections = connections

    async def send(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
    ) -> ServerAnswer:
        """Return the complete answer, or raise an EndpointError."""
        headers = forwarded_headers(request, instance, remaining_s)
        call = _server_call(address, request, headers, repeatable)
        record = SendRecord()
        async with exchange(self._connections, call, record) as response:
            check_answer(response)
            return ServerAnswer(
                status=response.status,
                headers=end_to_end_headers(response),
                body=await read_whole(response),
                stamp=response.headers.get(SERVER_STAMP, ''),
                load=server_load(response),
                sends=record.broken + 1,
                run_failed=response.status == STATUS_RUN_FAILED,
                report=read_report(response),
            )


class PlatformStreams:
    """Client that reads streamed answers of servers over HTTP."""

    __slots__ = ('_connections',)

    def __init__(self, connections: ServerConnections) -> None:
        """Use these connections; nothing is sent yet."""
        self._connections = connections

    @asynccontextmanager
    async def open(
        self,
        address: str,
        instance: str,
        request: CallerRequest,
        remaining_s: float,
        repeatable: bool,
        after: int | None,
    ) -> AsyncIterator[StreamAnswer]:
        """Send a request and yield its streamed answer.

        `after` resumes the stream after that event. An EndpointError is
        raised here or while the pieces are read.
        """
        headers = forwarded_headers(request, instance, remaining_s)
        if after is not None:
            headers[LAST_EVENT_ID] = str(after)
        call = _server_call(address, request, headers, repeatable)
        record = SendRecord()
        async with exchange(self._connections, call, record) as response:
            check_answer(response)
            assert record.use is not None
            answer = StreamAnswer(
                response.status,
                end_to_end_headers(response),
                _pieces(response, record.use, after),
                read_report(response),
                sends=record.broken + 1,
            )
            if not answer.is_stream:
                # It is no part of a stream, so it is not passed on as one.
                answer.body = await read_whole(response)
            yield answer


def _server_call(
    address: str,
    request: CallerRequest,
    headers: CIMultiDict[str],
    repeatable: bool,
) -> ServerCall:
    return ServerCall(
        request.method,
        address,
        request.path,
        headers,
        request.body,
        request.request_id,
        repeatable,
    )


def _pieces(
    response: ClientResponse, use: ConnectionUse, after: int | None
) -> AsyncIterator[StreamPiece]:
    """Return the pieces of a successful answer.

    A body that is said to be no event stream is one piece.
    """
    content_type = response.headers.get('Content-Type', EVENT_STREAM)
    if content_type.partition(';')[0].strip().lower() == EVENT_STREAM:
        return _events(read_lines(response.content), use, after)
    return _whole_body(response, after)


async def _whole_body(
    response: ClientResponse, after: int | None
) -> AsyncIterator[StreamPiece]:
    """Yield a body that is no event stream and so resumes none."""
    if after is not None:
        raise AnswerMismatch('answer to a resumption is no event stream')
    yield StreamPiece(await read_whole(response))


async def _events(
    lines: AsyncIterable[bytes], use: ConnectionUse, after: int | None
) -> AsyncIterator[StreamPiece]:
    """Yield each server-sent event as raw bytes, with its numeric id.

    Raises AnswerMismatch for an id that is not above the one before, first
    `after`, and EventStreamError for a stream that is cut off, also before
    its first event, or has no end of its events.
    """
    last_id = after
    use.allow_bytes(MAX_EVENT_BYTES)
    blocks = EventBlocks(lines)
    async for block in blocks:
        event_id = _event_id(block)
        if event_id is not None:
            if last_id is not None and event_id <= last_id:
                raise AnswerMismatch(
                    f'event {event_id} follows event {last_id}'
                )
            last_id = event_id
            blocks.allow_lines()
            use.allow_bytes(MAX_EVENT_BYTES)
        yield StreamPiece(b''.join(block), event_id)
    if last_id is None:
        raise EventCut('stream ended before its first event')


def _event_id(block: list[bytes]) -> int | None:
    """Return the id that the lines of an event name last, None without."""
    event_id = None
    for line in block:
        if line.startswith(b'id:'):
            event_id = parse_decimal(line[3:].strip())
    return event_id


def forwarded_headers(
    request: CallerRequest, instance: str, remaining_s: float
) -> CIMultiDict[str]:
    """Return the headers of a request that is sent to a server."""
    headers: CIMultiDict[str] = CIMultiDict(request.headers)
    headers[DEADLINE_MS] = str(max(int(remaining_s * 1000), 1))
    headers[EXPECT_INSTANCE] = instance
    headers.update(workspace_headers(request.workspace))
    return headers


def end_to_end_headers(response: ClientResponse) -> Headers:
    """Return the headers of an answer that are passed on to its caller."""
    return end_to_end(response.headers.items())
