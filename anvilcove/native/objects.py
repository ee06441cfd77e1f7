"""Adapter for the object store."""

from aiohttp import ClientSession

from anvilcove.native.http import store_call
from anvilcove.ports.errors import ObjectNotFound
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings

WRITTEN_STATUSES = (200, 201, 204)


@adapter('objects', 'http_json')
class HttpObjects:
    """Client of the object store over HTTP."""

    __slots__ = ('_base_url', '_session', '_timeout_s')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{settings.address}/objects'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000

    async def put(self, name: str, data: bytes) -> None:
        """Write an object; repeating the same write is harmless."""
        async with store_call(
            self._session,
            'PUT',
            f'{self._base_url}/{name}',
            self._timeout_s,
            data=data,
            expected=WRITTEN_STATUSES,
        ):
            pass

    async def get(self, name: str) -> bytes:
        """Read an object, or raise ObjectNotFound."""
        async with store_call(
            self._session,
            'GET',
            f'{self._base_url}/{name}',
            self._timeout_s,
            expected=(200, 404),
        ) as response:
            if response.status == 404:
                raise ObjectNotFound(name)
            return await response.read()
