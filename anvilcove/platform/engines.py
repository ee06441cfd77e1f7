"""Client of the platform's model servers."""

from collections.abc import AsyncIterable, AsyncIterator

from aiohttp import ClientResponse
from msgspec import json

from anvilcove.messages.event_stream import (
    EventBlocks,
    EventCut,
    read_lines,
)
from anvilcove.messages.numbers import parse_decimal
from anvilcove.platform.access import without_access_headers, workspace_headers
from anvilcove.platform.bodies import BodyError, decode_object, malformed_as
from anvilcove.platform.client_protocol import MAX_EVENT_BYTES
from anvilcove.platform.connections import (
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.endpoint_reports import read_report
from anvilcove.platform.exchange import (
    check_answer,
    exchange,
    server_load,
)
from anvilcove.platform.headers import item_headers
from anvilcove.platform.names import (
    ATTEMPT_ID,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    URGENCY,
    WEIGHT_VERSIONS,
)
from anvilcove.platform.rows import decode_models
from anvilcove.ports.engines import (
    ACCEPTED,
    ALREADY_LOADED,
    BUSY,
    REFUSED,
    VERSION_WITHOUT_EVENTS,
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
    EndpointFailed,
)

# Modes of a version order: running generations continue, or finish first.
MODE_KEEP_RUNNING = 'continue'
MODE_FINISH_FIRST = 'block'
ORDER_OUTCOME_BY_STATUS = {202: ACCEPTED, 200: ALREADY_LOADED, 409: BUSY}
MAX_EVENT_DIGITS = 9
JSON_HEADERS = {'Content-Type': 'application/json'}


class PlatformEngines:
    """Client of the model servers over HTTP.

    It streams generations, gives version orders and reads reports.
    """

    __slots__ = ('_connections',)

    def __init__(self, connections: ServerConnections) -> None:
        """Use these connections; nothing is sent yet."""
        self._connections = connections

    async def generate(
        self, address: str, instance: str, generation: Generation
    ) -> AsyncIterator[GenerationEvent]:
        """Stream a generation.

        Raises EndpointError, ItemFailed or ItemRejected.
        """
        headers = generation_headers(generation, instance)
        call = ServerCall(
            'POST',
            address,
            generation.path,
            headers,
            generation.body,
            generation.item_id,
            repeatable=True,
        )
        record = SendRecord()
        async with exchange(self._connections, call, record) as response:
            _check_status(response)
            assert record.use is not None
            record.use.allow_bytes(MAX_EVENT_BYTES)
            version = _first_version(response, generation.after)
            yield GenerationStart(
                version, server_load(response), read_report(response)
            )
            last_number = generation.after
            async for event in read_events(
                read_lines(response.content), last_number, version
            ):
                last_number = event.number
                record.use.allow_bytes(MAX_EVENT_BYTES)
                yield event
            yield GenerationEnd(last_number)

    async def order(
        self, address: str, instance: str, order: VersionOrder
    ) -> str:
        """Give a version order and return its outcome, one of ports.engines.

        A rejected order gives REFUSED followed by the status.
        """
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
        # Repeating it is safe: the server rejects an order whose expected
        # order count is not its own.
        call = ServerCall(
            'POST',
            address,
            '/-/order',
            headers,
            body,
            repeatable=True,
            # An order through a peer would be one of a second holder.
            direct=True,
        )
        async with exchange(self._connections, call) as response:
            if _is_report(await response.read()):
                raise AnswerMismatch('order: answered with a report')
            status = response.status
            return ORDER_OUTCOME_BY_STATUS.get(
                status, f'{REFUSED}: status {status}'
            )

    async def report(self, address: str) -> EngineReport:
        """Read the loaded versions and the order count of an engine."""
        call = ServerCall('GET', address, '/-/report', {}, repeatable=True)
        async with exchange(self._connections, call) as response:
            if response.status != 200:
                raise EndpointFailed(f'report: status {response.status}')
            body = await response.read()
            with malformed_as(AnswerMismatch, 'report'):
                data = decode_object(body)
                return EngineReport(
                    version_by_model=decode_models(data['models']),
                    order_busy=bool(data['busy']),
                    order_count=int(data['sequence']),
                )


def _is_report(body: bytes) -> bool:
    """Tell whether a body is that of a report, which no order returns."""
    try:
        return 'models' in decode_object(body)
    except BodyError:
        return False


def _check_status(response: ClientResponse) -> None:
    status = response.status
    if status == 500:
        raise ItemFailed(f'status {status}')
    if status == 422:
        raise ItemRejected(f'status {status}')
    if status != 200:
        raise EndpointFailed(f'status {status}')
    check_answer(response)


def _first_version(response: ClientResponse, after: int) -> int:
    """Return the weight version of the first event.

    Returns VERSION_WITHOUT_EVENTS if a resumed text was already complete.
    """
    text = response.headers.get(WEIGHT_VERSIONS, '')
    if not text and after:
        return VERSION_WITHOUT_EVENTS
    return _version(text)


def _version(text: str) -> int:
    version = parse_decimal(text.strip())
    if version is None:
        raise AnswerMismatch(
            f'weight version is not an integer: {text[:40]!r}'
        )
    return version


async def read_events(
    lines: AsyncIterable[bytes], after: int, version: int
) -> AsyncIterator[TokenEvent]:
    """Yield the complete events after number `after`.

    Raises EventStreamError for a stream that is cut off or has no end of its
    events, AnswerMismatch for malformed, missing or reordered events.
    """
    parser = EventParser(after, version)
    blocks = EventBlocks(lines)
    async for block in blocks:
        event = parser.parse(block)
        if event is not None:
            blocks.allow_lines()
            yield event
    if not parser.last_number:
        raise EventCut('stream ended before its first event')


class EventParser:
    """Parser of the blocks of a stream of server-sent events.

    Event numbers have to be consecutive.
    """

    __slots__ = ('last_number', '_version')

    def __init__(self, after: int, version: int) -> None:
        """Expect event `after` + 1 next, made by weight version `version`."""
        self.last_number = after
        self._version = version

    def parse(self, block: list[bytes]) -> TokenEvent | None:
        """Return the event of a block, None if it has only comments.

        Raises AnswerMismatch.
        """
        number: int | None = None
        texts: list[str] = []
        for name, value in map(_field, block):
            if name == 'data':
                texts.append(value)
            elif name == 'id':
                number = _event_number(value)
            elif name == WEIGHT_VERSIONS.lower():
                self._version = _version(value)
        if number is None and not texts:
            return None
        if number != self.last_number + 1:
            raise AnswerMismatch(
                f'event {number} follows event {self.last_number}'
            )
        if not texts:
            raise AnswerMismatch(f'event {number} has no data')
        self.last_number = number
        return TokenEvent(number, '\n'.join(texts), self._version)


def _field(raw_line: bytes) -> tuple[str, str]:
    """Return the name and the value of a line of an event."""
    try:
        line = raw_line.rstrip(b'\r\n').decode()
    except UnicodeDecodeError as error:
        raise AnswerMismatch('event is not valid UTF-8') from error
    name, _, value = line.partition(':')
    return name, value.removeprefix(' ')


def _event_number(text: str) -> int:
    number = parse_decimal(text, MAX_EVENT_DIGITS)
    if number is None:
        raise AnswerMismatch(f'event id is not a number: {text[:40]!r}')
    return number


def generation_headers(
    generation: Generation, instance: str
) -> dict[str, str]:
    """Return the headers with which a generation is sent."""
    own_headers = item_headers(generation.headers)
    if generation.has_workspaces:
        own_headers = without_access_headers(own_headers)
    headers = {
        **dict(own_headers),
        **workspace_headers(generation.workspace),
        'Host': generation.host,
        ATTEMPT_ID: generation.item_id,
        DEADLINE_MS: str(max(int(generation.deadline_s * 1000), 1)),
        EXPECT_INSTANCE: instance,
        URGENCY: str(generation.urgency),
    }
    if generation.after:
        headers[LAST_EVENT_ID] = str(generation.after)
    return headers
