"""Adapter of the membership list."""

from aiohttp import ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.membership import Members
from anvilcove.platform.errors import StoreUnavailable
from anvilcove.platform.http import store_call
from anvilcove.platform.registry import adapter
from anvilcove.settings.daemon import AdapterSettings


@adapter('membership', 'http_json')
class HttpMembership:
    """Membership list over HTTP with JSON."""

    __slots__ = ('_base', '_session', '_timeout_s')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base = f'http://{settings.address}'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000

    async def members(self) -> Members:
        """Read the current list."""
        async with store_call(
            self._session, 'GET', f'{self._base}/members', self._timeout_s
        ) as response:
            try:
                return decode(await response.read(), Members)
            except MessageError as error:
                raise StoreUnavailable(str(error)) from error
