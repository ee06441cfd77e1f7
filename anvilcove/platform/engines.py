"""Client of the platform's model servers."""

from collections.abc import AsyncIterator

from aiohttp import ClientResponse, ClientSession
from msgspec import DecodeError, ValidationError, json

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

    __slots__ = ('_session',)

    def __init__(self, session: ClientSession) -> None:
        """Keep the session whose connections are used."""
        self._session = session

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
        async with exchange(
            self._session,
            'POST',
            address,
            generation.path,
            headers,
            generation.body,
            generation.item_id,
        ) as response:
            _check_status(response)
            version = _version(response.headers.get(WEIGHT_VERSIONS, ''))
            yield GenerationStart(version, server_load(response))
            last = generation.after
            async for event in _events(response, version):
                if event.number != last + 1:
                    raise AnswerMismatch(
                        f'expected event {last + 1}, got {event.number}'
                    )
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
        async with exchange(
            self._session, 'POST', address, '/-/order', headers, body, ''
        ) as response:
            await response.read()
            status = response.status
            return ORDER_OUTCOMES.get(status, f'{REFUSED}: status {status}')

    async def report(self, address: str) -> EngineReport:
        """Read what the engine says of itself."""
        async with exchange(
            self._session, 'GET', address, '/-/report', {}, b'', ''
        ) as response:
            if response.status != 200:
                raise EndpointFailed(f'report: status {response.status}')
            try:
                data = json.decode(await response.read())
                return EngineReport(
                    version_by_model=decode_models(data['models']),
                    order_busy=bool(data['busy']),
                    order_count=int(data['sequence']),
                )
            except (
                DecodeError,
                ValidationError,
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


def _version(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise AnswerMismatch(f'version {text[:40]!r}') from error


async def _events(
    response: ClientResponse, version: int
) -> AsyncIterator[TokenEvent]:
    """Yield the whole events of a stream; a cut one is left out."""
    number = 0
    data: list[str] = []
    async for raw in response.content:
        if not raw.endswith(b'\n'):
            raise EndpointCrashed('stream ended inside an event')
        try:
            line = raw.rstrip(b'\r\n').decode()
        except UnicodeDecodeError as error:
            raise AnswerMismatch('event is not text') from error
        if not line:
            if data:
                yield TokenEvent(number, '\n'.join(data), version)
            data = []
            continue
        name, _, value = line.partition(':')
        value = value.removeprefix(' ')
        if name == 'data':
            data.append(value)
        elif name == 'id':
            number = _event_number(value)
        elif name == WEIGHT_VERSIONS.lower():
            version = _version(value)
    if data:
        raise EndpointCrashed('stream ended inside an event')


def _event_number(text: str) -> int:
    if not text.isdigit() or len(text) > 9:
        raise AnswerMismatch(f'event id {text[:40]!r}')
    return int(text)
