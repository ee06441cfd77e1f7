"""Client of the platform's model servers."""

from collections.abc import AsyncIterable, AsyncIterator

from aiohttp import ClientResponse
from msgspec import json

from anvilcove.platform.bodies import BodyError, decode_object
from anvilcove.platform.connections import ServerCall, ServerConnections
from anvilcove.platform.exchange import (
    check_framing,
    exchange,
    server_load,
)
from anvilcove.platform.names import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    URGENCY,
    WEIGHT_VERSIONS,
)
from anvilcove.platform.rows import RowError, decode_models
from anvilcove.ports.engines import (
    BUSY,
    CARRIED_OUT,
    HOLDS,
    NO_EVENT_LEFT,
    REFUSED,
    EngineReport,
    Generation,
    GenerationEnd,
    GenerationEvent,
    GenerationStart,
    ItemFailed,
    ItemRejected,
    TokenEvent,
    VersionOrder,
)
from anvilcove.ports.errors import (
    AnswerMismatch,
    EndpointCrashed,
    EndpointFailed,
)

MODE_KEEP_RUNNING = 'continue'
MODE_FINISH_FIRST = 'block'
ORDER_OUTCOMES = {202: CARRIED_OUT, 200: HOLDS, 409: BUSY}
JSON_HEADERS = {'Content-Type': 'application/json'}


class PlatformEngines:
    """Generations, orders and reports over HTTP."""

    __slots__ = ('_connections',)

    def __init__(self, connections: ServerConnections) -> None:
        """Keep the connections that are used."""
        self._connections = connections

    async def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation, or raise an EndpointError."""
        headers = {
            **generation.headers,
            'Host': generation.host,
            ATTEMPT_ID: generation.item_id,
            DEADLINE_MS: str(max(int(generation.deadline_s * 1000), 1)),
            EXPECT_INSTANCE: instance,
            URGENCY: str(generation.urgency),
        }
        if generation.after:
            headers[LAST_EVENT_ID] = str(generation.after)
        call = ServerCall(
            'POST',
            address,
            generation.path,
            headers,
            generation.body,
            generation.item_id,
            repeatable=True,
        )
        async with exchange(self._connections, call) as response:
            _check_status(response)
            version = _first_version(response, generation.after)
            yield GenerationStart(version, server_load(response))
            last = generation.after
            async for event in read_events(response.content, last, version):
                last = event.number
                yield event
            yield GenerationEnd(last)

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Give an order and return how it was received."""
        body = json.encode(
            {
                'operation': 'version',
                'model': order.model,
                'version': order.version,
                'mode': (
                    MODE_KEEP_RUNNING
                    if order.keep_running
                    else MODE_FINISH_FIRST
                ),
                'holder': order.holder,
                'fencing-token': order.fence,
                'expected': order.order_count,
            }
        )
        headers = {**JSON_HEADERS, EXPECT_INSTANCE: instance}
        # The count that the order expects keeps it from acting twice.
        call = ServerCall(
            'POST', address, '/-/order', headers, body, repeatable=True
        )
        async with exchange(self._connections, call) as response:
            await response.read()
            status = response.status
            return ORDER_OUTCOMES.get(status, f'{REFUSED}: status {status}')

    async def report(self, address: str) -> EngineReport:
        """Read what the engine says of itself."""
        call = ServerCall('GET', address, '/-/report', {}, repeatable=True)
        async with exchange(self._connections, call) as response:
            if response.status != 200:
                raise EndpointFailed(f'report: status {response.status}')
            try:
                data = decode_object(await response.read())
                return EngineReport(
                    version_by_model=decode_models(data['models']),
                    order_busy=bool(data['busy']),
                    order_count=int(data['sequence']),
                )
            except (
                BodyError,
                RowError,
                KeyError,
                TypeError,
                ValueError,
            ) as error:
                raise AnswerMismatch(f'report: {error}') from error


def _check_status(response: ClientResponse) -> None:
    status = response.status
    if status == 500:
        raise ItemFailed(f'status {status}')
    if status == 422:
        raise ItemRejected(f'status {status}')
    if status != 200:
        raise EndpointFailed(f'status {status}')
    check_framing(response)


def _first_version(response: ClientResponse, after: int) -> int:
    """Return the weights of the first event, 0 where no event is left."""
    text = response.headers.get(WEIGHT_VERSIONS, '')
    if not text and after:
        return NO_EVENT_LEFT
    return _version(text)


def _version(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise AnswerMismatch(f'version {text[:40]!r}') from error


async def read_events(
    lines: AsyncIterable[bytes], after: int, version: int
) -> AsyncIterator[TokenEvent]:
    """Yield the whole events after a number, or raise an EndpointError."""
    reader = EventReader(after, version)
    async for line in lines:
        event = reader.add(line)
        if event is not None:
            yield event
    reader.end()


class EventReader:
    """Put the lines of a stream together.

    An event that was cut is left out; one that is missing or out of order
    ends the stream.
    """

    __slots__ = ('_number', '_last', '_version', '_data')

    def __init__(self, after: int, version: int) -> None:
        """Expect the events after a number."""
        self._number = 0
        self._last = after
        self._version = version
        self._data: list[str] = []

    def add(self, raw: bytes) -> TokenEvent | None:
        """Take a line; return the event that it ends."""
        if not raw.endswith(b'\n'):
            raise EndpointCrashed('stream ended inside an event')
        try:
            line = raw.rstrip(b'\r\n').decode()
        except UnicodeDecodeError as error:
            raise AnswerMismatch('event is not text') from error
        if not line:
            return self._event()
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            self._data.append(value)
        elif name == 'id':
            self._number = _event_number(value)
        elif name == WEIGHT_VERSIONS.lower():
            self._version = _version(value)
        return None

    def end(self) -> None:
        """Raise EndpointCrashed inside an event."""
        if self._data:
            raise EndpointCrashed('stream ended inside an event')

    def _event(self) -> TokenEvent | None:
        if not self._data:
            return None
        if self._number != self._last + 1:
            raise AnswerMismatch(f'event {self._number} after {self._last}')
        self._last = self._number
        text, self._data = '\n'.join(self._data), []
        return TokenEvent(self._number, text, self._version)


def _event_number(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise AnswerMismatch(f'event id {text[:40]!r}')
    return int(text)
