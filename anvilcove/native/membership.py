"""Adapter of the membership list."""

from aiohttp import ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.membership import Members
from anvilcove.native.http import store_call
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings


@adapter('membership', 'http_json')
class HttpMembership:
    """Membership list over HTTP with JSON."""

    __slots__ = ('_base', '_session', '_timeout_s', '_etag', '_members')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base = f'http://{settings.address}'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000
        self._etag = ''
        self._members = Members()

    async def members(self) -> Members:
        """Read the current list.

        A list that did not change is not transferred again, if the service
        names its entity tag; the same object is returned then.
        """
        known = {'If-None-Match': self._etag} if self._etag else {}
        async with store_call(
            self._session,
            'GET',
            f'{self._base}/members',
            self._timeout_s,
            headers=known,
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
