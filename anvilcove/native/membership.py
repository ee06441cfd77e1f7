"""Adapter for the membership list."""

from aiohttp import ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.membership import Members
from anvilcove.native.http import store_call
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings


@adapter('membership', 'http_json')
class HttpMembership:
    """Client of the membership list over HTTP with JSON."""

    __slots__ = ('_base_url', '_session', '_timeout_s', '_etag', '_members')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{settings.address}'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000
        self._etag = ''
        self._members = Members()

    async def members(self) -> Members:
        """Read the current list.

        If the service sends entity tags, an unchanged list is not transferred
        again, and the object of the previous call is returned.
        """
        condition = {'If-None-Match': self._etag} if self._etag else {}
        async with store_call(
            self._session,
            'GET',
            f'{self._base_url}/members',
            self._timeout_s,
            headers=condition,
        ) as response:
            if response.status == 304:
                return self._members
            try:
                members = decode(await response.read(), Members)
            except MessageError as error:
                raise StoreUnavailable(str(error)) from error
            self._etag = response.headers.get('ETag', '')
            self._members = members
            return members
