"""Adapter for model engines."""

from collections.abc import AsyncIterator
from typing import Any

from aiohttp import ClientResponse, ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.engines import (
    CacheEvents,
    CancelGeneration,
    DoneEvent,
    EngineOrder,
    EngineState,
    Generate,
    LoadReport,
    TokenEvent,
)
from anvilcove.messages.event_stream import (
    EventBlocks,
    event_name_and_data,
    read_lines,
)
from anvilcove.native.http import endpoint_call, read_answer
from anvilcove.ports.errors import AnswerMismatch, EndpointCrashed
from anvilcove.ports.registry import adapter

CONTROL_TIMEOUT_S = 2.0
EVENT_TYPES: dict[str, type[TokenEvent] | type[DoneEvent]] = {
    'token': TokenEvent,
    'done': DoneEvent,
}


@adapter('engine', 'http_sse')
class HttpEngine:
    """Client of a model engine over HTTP with server-sent events."""

    __slots__ = ('_base_url', '_session')

    def __init__(self, address: str, session: ClientSession) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{address}'
        self._session = session

    async def generate(
        self, request: Generate
    ) -> AsyncIterator[TokenEvent | DoneEvent]:
        """Stream tokens in order, then exactly one DoneEvent.

        Raises EndpointError if the stream fails or ends early.
        """
        expected = len(request.resume_tokens)
        async with endpoint_call(
            self._session, 'POST', f'{self._base_url}/generate', None, request
        ) as response:
            async for event in _parse_events(response):
                _check_event(event, request.request_id, expected)
                yield event
                if isinstance(event, DoneEvent):
                    return
                expected += 1
        raise EndpointCrashed(
            f'{self._base_url}: stream ended without its end'
        )

    async def cancel(self, request_id: str) -> None:
        """Stop a generation."""
        async with endpoint_call(
            self._session,
            'POST',
            f'{self._base_url}/cancel',
            CONTROL_TIMEOUT_S,
            CancelGeneration(request_id=request_id),
        ):
            pass

    async def load(self) -> LoadReport:
        """Read the load report, which lags behind the actual load."""
        report: LoadReport = await self._get('load', LoadReport)
        return report

    async def cache_events(self, after: int) -> CacheEvents:
        """Read the cache events after a sequence number."""
        events: CacheEvents = await self._get(
            f'cache_events?after={after}', CacheEvents
        )
        return events

    async def state(self) -> EngineState:
        """Read the model, version and role of the engine."""
        state: EngineState = await self._get('state', EngineState)
        return state

    async def order(self, order: EngineOrder) -> EngineState:
        """Give an order; the engine may reject an old fencing token."""
        async with endpoint_call(
            self._session,
            'POST',
            f'{self._base_url}/orders',
            CONTROL_TIMEOUT_S,
            order,
        ) as response:
            state: EngineState = await read_answer(response, EngineState)
            return state

    async def export_kv(self, request_id: str) -> bytes:
        """Export the KV cache of a generation."""
        async with endpoint_call(
            self._session,
            'GET',
            f'{self._base_url}/kv/{request_id}',
            CONTROL_TIMEOUT_S,
        ) as response:
            return await response.read()

    async def import_kv(self, request_id: str, data: bytes) -> None:
        """Import the KV cache of a generation."""
        async with endpoint_call(
            self._session,
            'PUT',
            f'{self._base_url}/kv/{request_id}',
            CONTROL_TIMEOUT_S,
            {'data': data.hex()},
        ):
            pass

    async def _get(self, path: str, message_type: type[Any]) -> Any:
        async with endpoint_call(
            self._session, 'GET', f'{self._base_url}/{path}', CONTROL_TIMEOUT_S
        ) as response:
            return await read_answer(response, message_type)


async def _parse_events(
    response: ClientResponse,
) -> AsyncIterator[TokenEvent | DoneEvent]:
    """Yield the events of known names; raises EventStreamError."""
    blocks = EventBlocks(read_lines(response.content))
    async for block in blocks:
        name, data = event_name_and_data(block)
        if name not in EVENT_TYPES:
            continue
        blocks.allow_lines()
        try:
            yield decode(data, EVENT_TYPES[name])
        except MessageError as error:
            raise AnswerMismatch(str(error)) from error


def _check_event(
    event: TokenEvent | DoneEvent, request_id: str, expected: int
) -> None:
    if event.request_id != request_id:
        raise AnswerMismatch(f'event of another request: {event.request_id}')
    position = event.index if isinstance(event, TokenEvent) else event.tokens
    if position != expected:
        raise AnswerMismatch(f'expected token {expected}, got {position}')
