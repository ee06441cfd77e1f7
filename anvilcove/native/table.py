"""Adapter for the transactional table service."""

from typing import TypeVar

from aiohttp import ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.table import (
    ReadRows,
    Row,
    Rows,
    ScanRows,
    Transaction,
    TransactionResult,
)
from anvilcove.native.http import store_call
from anvilcove.ports.errors import StoreAnswerLost
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings

T = TypeVar('T')


@adapter('table', 'http_json')
class HttpTable:
    """Client of the table service over HTTP with JSON."""

    __slots__ = ('_base_url', '_session', '_timeout_s')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{settings.address}/table'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000

    async def transact(self, change: Transaction) -> TransactionResult:
        """Apply all writes of a transaction, or none if a check fails."""
        async with store_call(
            self._session,
            'POST',
            f'{self._base_url}/txn',
            self._timeout_s,
            change,
        ) as response:
            return _decode(await response.read(), TransactionResult)

    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Read rows by key in one consistent snapshot."""
        async with store_call(
            self._session,
            'POST',
            f'{self._base_url}/read',
            self._timeout_s,
            ReadRows(keys=keys),
        ) as response:
            rows = _decode(await response.read(), Rows).rows
        return {row.key: row for row in rows}

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Read up to `limit` rows with a key prefix, in key order.

        Only keys above `after` are read.
        """
        async with store_call(
            self._session,
            'POST',
            f'{self._base_url}/scan',
            self._timeout_s,
            ScanRows(prefix=prefix, after=after, limit=limit),
        ) as response:
            return _decode(await response.read(), Rows).rows


def _decode(data: bytes, message_type: type[T]) -> T:
    try:
        return decode(data, message_type)
    except MessageError as error:
        raise StoreAnswerLost(f'malformed answer: {error}') from error
