"""Client of the platform's store."""

from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import quote, urlencode

from msgspec import json

from anvilcove.platform.bodies import BodyError, decode_object
from anvilcove.ports.errors import (
    ObjectNotFound,
    StoreAnswerLost,
    StoreAnswerTooLarge,
    StoreUnavailable,
)
from anvilcove.ports.store import (
    HistoryLost,
    ObjectExists,
    RowId,
    RowPage,
    RowTransaction,
    StoredRow,
    TransactionOutcome,
)
from anvilcove.ports.transport import StoreCall, StoreReply, StoreTransport

# Timeouts of single calls. The store normally responds within a few
# milliseconds; a slow store takes fifty times as long.
READ_TIMEOUT_S = 1.5
WRITE_TIMEOUT_S = 1.5
OBJECT_TIMEOUT_S = 3.0
# Expected transfer time of the largest objects.
OBJECT_EXPECTED_S = 0.6
# Time that a change feed may take beyond the wait that the call requests.
WATCH_MARGIN_S = 0.8


class PlatformStore:
    """Client of the rows and objects in the platform's store."""

    __slots__ = ('_transport',)

    def __init__(self, transport: StoreTransport) -> None:
        """Use this transport; nothing is sent yet."""
        self._transport = transport

    async def transact(self, change: RowTransaction) -> TransactionOutcome:
        """Apply all writes of a transaction, or none if a check fails."""
        body = json.encode(
            {
                'expected': [
                    {**_encode_row_id(check.id), 'row-version': check.version}
                    for check in change.checks
                ],
                'write': [
                    {
                        **_encode_row_id(write.id),
                        'value': b64encode(write.value).decode(),
                    }
                    for write in change.writes
                ],
                'remove': [_encode_row_id(row) for row in change.removals],
            }
        )
        reply = await self._transport.send(
            StoreCall(
                'POST',
                '/-/rows-tx',
                body,
                WRITE_TIMEOUT_S,
                write=True,
                repeatable=bool(change.checks),
            )
        )
        if reply.status not in (200, 412):
            raise _status_error('rows-tx', reply.status)
        data = _decode_reply(reply)
        return TransactionOutcome(
            applied=reply.status == 200,
            version=_integer(data, 'row-version'),
            store_ms=float(_integer(data, 'now-ms')),
            conflicts=_decode_rows(data),
        )

    async def read_range(
        self, table: str, part: str, start: str = '', end: str = ''
    ) -> RowPage:
        """Read the rows with keys from `start` up to, but excluding, `end`."""
        rows: list[StoredRow] = []
        first: RowPage | None = None
        while True:
            query = {'table': table, 'part': part}
            query |= {'from': start} if start else {}
            query |= {'to': end} if end else {}
            data = await self._get('rows-get', query, READ_TIMEOUT_S)
            page = _decode_page(data)
            first = first or page
            rows += page.rows
            if not data.get('has-more') or not page.rows:
                # A change feed that starts at the version of the first page
                # repeats the changes made while later pages were read.
                return RowPage(rows, first.version, first.store_ms)
            start = page.rows[-1].id.key + '\0'

    async def changes(self, table: str, after: int, wait_s: float) -> RowPage:
        """Wait for changes of a table after version `after`.

        Raises HistoryLost if the store no longer has all of them, or if they
        are too many for one answer.
        """
        query = {
            'table': table,
            'after': str(after),
            'wait-ms': str(int(wait_s * 1000)),
        }
        try:
            data = await self._get(
                'rows-feed', query, wait_s + WATCH_MARGIN_S, wait_s
            )
        except StoreAnswerTooLarge as error:
            # The rows of the table can still be read page by page.
            raise HistoryLost(str(error)) from error
        return _decode_page(data)

    async def put_object(self, name: str, data: bytes) -> None:
        """Create an object, or raise ObjectExists."""
        reply = await self._transport.send(
            StoreCall(
                'PUT',
                f'/-/blob-put/{quote(name, safe="")}',
                data,
                OBJECT_TIMEOUT_S,
                write=True,
                create=True,
                expected_s=OBJECT_EXPECTED_S,
                repeatable=True,
            )
        )
        if reply.status == 412:
            raise ObjectExists(name)
        if reply.status == 507:
            raise StoreUnavailable('the object store is full')
        if reply.status not in (200, 201, 204):
            raise _status_error('blob-put', reply.status)

    async def get_object(self, name: str) -> bytes:
        """Read an object, or raise ObjectNotFound."""
        reply = await self._transport.send(
            StoreCall(
                'GET',
                f'/-/blob-get/{quote(name, safe="")}',
                b'',
                OBJECT_TIMEOUT_S,
                expected_s=OBJECT_EXPECTED_S,
                repeatable=True,
            )
        )
        if reply.status == 404:
            raise ObjectNotFound(name)
        if reply.status != 200:
            raise StoreUnavailable(f'blob-get: status {reply.status}')
        return reply.body

    async def remove_object(self, name: str) -> None:
        """Remove an object; succeeds also if there is none."""
        reply = await self._transport.send(
            StoreCall(
                'DELETE',
                f'/-/blob-drop/{quote(name, safe="")}',
                b'',
                OBJECT_TIMEOUT_S,
                write=True,
            )
        )
        if reply.status not in (200, 204, 404):
            raise _status_error('blob-drop', reply.status)

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        timeout_s: float,
        expected_s: float = 0.0,
    ) -> dict[str, Any]:
        reply = await self._transport.send(
            StoreCall(
                'GET',
                f'/-/{call}?{urlencode(query)}',
                b'',
                timeout_s,
                expected_s=expected_s,
                repeatable=True,
            )
        )
        if reply.status == 410:
            raise HistoryLost(call)
        if reply.status != 200:
            raise StoreUnavailable(f'{call}: status {reply.status}')
        return _decode_reply(reply)


def _status_error(
    call: str, status: int
) -> StoreUnavailable | StoreAnswerLost:
    """Return the error for a status; 4xx means that nothing was applied."""
    if 400 <= status < 500:
        return StoreUnavailable(f'{call}: status {status}')
    return StoreAnswerLost(f'{call}: status {status}')


def _encode_row_id(row: RowId) -> dict[str, str]:
    return {'table': row.table, 'part': row.part, 'key': row.key}


def _decode_reply(reply: StoreReply) -> dict[str, Any]:
    try:
        return decode_object(reply.body)
    except BodyError as error:
        raise StoreAnswerLost(
            f'malformed answer of the store: {error}'
        ) from error


def _integer(data: dict[str, Any], name: str) -> int:
    value = data.get(name, 0)
    return value if isinstance(value, int) else 0


def _decode_page(data: dict[str, Any]) -> RowPage:
    if 'rows' not in data:
        # It must not be taken for a table without rows.
        raise StoreAnswerLost('malformed answer of the store: no rows')
    return RowPage(
        rows=_decode_rows(data),
        version=_integer(data, 'row-version'),
        store_ms=float(_integer(data, 'now-ms')),
    )


def _decode_rows(data: dict[str, Any]) -> list[StoredRow]:
    rows = data.get('rows', [])
    if not isinstance(rows, list):
        raise StoreAnswerLost('malformed answer of the store: rows')
    found = [_decode_row(row) for row in rows if isinstance(row, dict)]
    return [row for row in found if row is not None]


def _decode_row(row: dict[str, Any]) -> StoredRow | None:
    key = row.get('key')
    if not isinstance(key, str):
        return None
    text = row.get('value')
    value: bytes | None = None
    if isinstance(text, str) and not row.get('deleted'):
        try:
            value = b64decode(text)
        except ValueError:
            value = b''
    return StoredRow(
        id=RowId(str(row.get('table', '')), str(row.get('part', '')), key),
        value=value,
        version=_integer(row, 'row-version'),
    )
