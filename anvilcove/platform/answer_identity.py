"""Check whether an answer belongs to the call that was sent."""

from aiohttp import ClientResponse
from loguru import logger

from anvilcove.platform.client_protocol import ConnectionUse
from anvilcove.platform.names import ATTEMPT_ID, NOT_EXECUTED, SERVER_STAMP

# Another server instance has the address and did not run the call.
STATUS_MISDIRECTED = 421


class AnswerIdentity:
    """Check of the attempt ids that servers echo.

    A server may answer a call a second time when the next call on its
    connection waits for an answer. An answer without an id is accepted on a
    reused connection only if it is of a kind that servers send without an id,
    and the answer before it carried its id. A server is known to send a kind
    so if it does on a new connection, or if the next call on the connection
    is answered with its id: no other answer was outstanding.
    """

    __slots__ = ('_kinds_without_id',)

    def __init__(self) -> None:
        """Start without an answer."""
        self._kinds_without_id: set[str] = set()

    def belongs_to(
        self, attempt_id: str, response: ClientResponse, use: ConnectionUse
    ) -> bool:
        """Tell whether an answer is surely that of a call.

        Calls without an attempt id expect neither an id nor a stamp.
        """
        echoed = response.headers.get(ATTEMPT_ID, '')
        use.record_answer(bool(echoed))
        if echoed:
            if echoed == attempt_id and use.follows_unclear_kind:
                self._record_kind(use.follows_unclear_kind)
            return echoed == attempt_id
        if not attempt_id and SERVER_STAMP not in response.headers:
            return not (use.reused and is_refusal(response))
        kind = _kind(attempt_id, response)
        if not use.reused:
            self._record_kind(kind)
            return True
        if use.follows_identified and kind in self._kinds_without_id:
            return True
        use.record_answer(identified=False, unclear_kind=kind)
        return False

    def _record_kind(self, kind: str) -> None:
        if kind not in self._kinds_without_id:
            self._kinds_without_id.add(kind)
            logger.bind(kind=kind).info('server answers without an attempt id')


def _kind(attempt_id: str, response: ClientResponse) -> str:
    if not attempt_id:
        return 'stamped'
    return 'refusal' if is_refusal(response) else str(response.status)


def is_refusal(response: ClientResponse) -> bool:
    """Tell whether a server reports that it did not run a call."""
    return (
        NOT_EXECUTED in response.headers
        or response.status == STATUS_MISDIRECTED
    )
