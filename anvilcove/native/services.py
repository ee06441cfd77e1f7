"""Adapter for plain services."""

from aiohttp import ClientSession

from anvilcove.messages.engines import LoadReport
from anvilcove.messages.services import ServiceAnswer, ServiceCall
from anvilcove.native.http import endpoint_call, read_answer
from anvilcove.ports.errors import AnswerMismatch
from anvilcove.ports.registry import adapter

REPORT_TIMEOUT_S = 1.0


@adapter('service', 'http_json')
class HttpService:
    """Client of a plain service over HTTP with JSON."""

    __slots__ = ('_base_url', '_session')

    def __init__(self, address: str, session: ClientSession) -> None:
        """Keep the address; no call is made."""
        self._base_url = f'http://{address}'
        self._session = session

    async def call(
        self,
        request: ServiceCall,
        timeout_s: float,
        fresh_connection: bool = False,
    ) -> ServiceAnswer:
        """Call the service and check that the answer is complete and its own.

        Calls that may not be repeated need `fresh_connection`: the service
        may close a reused connection at any time, which cannot be told from a
        crash after it received the call.
        """
        async with endpoint_call(
            self._session,
            'POST',
            f'{self._base_url}/call',
            timeout_s,
            request,
            fresh_connection,
        ) as response:
            answer: ServiceAnswer = await read_answer(response, ServiceAnswer)
        if answer.request_id != request.request_id or not answer.complete:
            raise AnswerMismatch('answer is incomplete or of another request')
        return answer

    async def load(self) -> LoadReport:
        """Read the load report, which lags behind the actual load."""
        async with endpoint_call(
            self._session, 'GET', f'{self._base_url}/load', REPORT_TIMEOUT_S
        ) as response:
            report: LoadReport = await read_answer(response, LoadReport)
            return report
