"""Transport that calls the platform's store directly."""

from aiohttp import ClientSession, ClientTimeout
from aiohttp.client_exceptions import (
    ClientConnectorError,
    ConnectionTimeoutError,
)

from anvilcove.http.connections import AnswerTooLarge
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.ports.errors import (
    StoreAnswerLost,
    StoreAnswerTooLarge,
    StoreUnavailable,
)
from anvilcove.ports.transport import StoreCall, StoreReply
from anvilcove.state.answer_timeout import AnswerTimeout

CONNECT_TIMEOUT_S = 0.5
# Statuses with which the store rejects a call without applying it.
NOT_APPLIED_STATUSES = (429, 503)


class DirectTransport:
    """Transport to the store over HTTP."""

    __slots__ = ('_base_url', '_session')

    def __init__(self, address: str, session: ClientSession) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{address}'
        self._session = session

    async def send(self, call: StoreCall) -> StoreReply:
        """Send a call and return the answer.

        Raises StoreUnavailable if nothing was applied, StoreAnswerLost if
        the call may have been applied.
        """
        headers = {'If-None-Match': '*'} if call.create else {}
        if call.body and not call.create:
            headers['Content-Type'] = 'application/json'
        try:
            async with AnswerTimeout(call.timeout_s):
                async with self._session.request(
                    call.method,
                    self._base_url + call.path,
                    data=call.body or None,
                    headers=headers,
                    allow_redirects=False,
                    timeout=ClientTimeout(
                        total=None, sock_connect=CONNECT_TIMEOUT_S
                    ),
                ) as response:
                    body = await response.read()
                    status = response.status
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise StoreUnavailable(f'{call.path}: {error}') from error
        except AnswerTooLarge as error:
            raise StoreAnswerTooLarge(f'{call.path}: {error}') from error
        except CALL_ERRORS as error:
            raise StoreAnswerLost(f'{call.path}: {error!r}') from error
        if status in NOT_APPLIED_STATUSES:
            raise StoreUnavailable(f'{call.path}: status {status}')
        return StoreReply(status, body)
