"""Adapter for the weight store."""

from aiohttp import ClientSession

from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.trainers import WeightsPublished
from anvilcove.native.http import store_call
from anvilcove.ports.errors import StoreUnavailable
from anvilcove.ports.registry import adapter
from anvilcove.settings.daemon import AdapterSettings


@adapter('weights', 'http_json')
class HttpWeights:
    """Client of the weight store over HTTP.

    It reads versions only; the engines fetch the weights themselves.
    """

    __slots__ = ('_base_url', '_session', '_timeout_s')

    def __init__(
        self, settings: AdapterSettings, session: ClientSession
    ) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{settings.address}/weights'
        self._session = session
        self._timeout_s = settings.timeout_ms / 1000

    async def newest(self, model: str) -> int:
        """Return the newest version that the store holds, 0 for none."""
        async with store_call(
            self._session, 'GET', f'{self._base_url}/{model}', self._timeout_s
        ) as response:
            try:
                answer = decode(await response.read(), WeightsPublished)
            except MessageError as error:
                raise StoreUnavailable(str(error)) from error
            return answer.version
