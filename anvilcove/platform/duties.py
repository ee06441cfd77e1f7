"""Client of the platform's interface for usage and sizes."""

import socket
import struct
from collections.abc import Mapping
from types import TracebackType
from typing import Any, Self

from aiohttp import (
    AddrInfoType,
    ClientConnectorError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from msgspec import json

from anvilcove.http.connections import AnswerConnector, AnswerProtocol
from anvilcove.http.room import AnswerRoom
from anvilcove.http.sessions import open_session
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.platform.connections import CONNECT_TIMEOUT_S
from anvilcove.platform.names import DUTY_HOLDER, FENCING_TOKEN
from anvilcove.ports.duties import (
    DutyRejected,
    DutyThrottled,
    DutyUnanswered,
    NoneAvailable,
    SizeOrder,
)
from anvilcove.settings.node import NodeSettings

STATUS_NONE_AVAILABLE = 409
STATUS_THROTTLED = 429
# Value of SO_LINGER: a socket that is closed drops what was not delivered.
DROP_UNSENT = struct.pack('ii', 1, 0)


class _UnbufferedEnd(AnswerProtocol):
    """Protocol that sends nothing after its connection is closed."""

    def close(self) -> None:
        """Drop what the transport has not sent yet."""
        self.abort()


class _DutyConnector(AnswerConnector):
    """Connector of which no call arrives long after it was given up.

    Otherwise the transport and the kernel go on sending it, also while
    the interface is cut off, and it arrives after calls of the next holder.
    The kernel also drops what a process that is killed has not delivered.
    """

    def __init__(self, source_ip: str, room: AnswerRoom) -> None:
        """Open each connection for one call, from `source_ip` if not empty."""
        super().__init__(
            room=room,
            protocol=_UnbufferedEnd,
            force_close=True,
            local_addr=(source_ip, 0) if source_ip else None,
            socket_factory=_open_socket,
        )


class PlatformDuties:
    """Client of the interface over HTTP; an async context manager.

    Each call has a connection of its own: a call that finds its idle
    connection closed would count as one without an answer. It never goes
    through a peer, so that no call arrives after its holder has lost the
    duty.
    """

    __slots__ = ('_host', '_address', '_session', '_source_ip', '_room')

    def __init__(
        self, settings: NodeSettings, room: AnswerRoom | None = None
    ) -> None:
        """Read the settings; nothing is opened."""
        self._room = AnswerRoom() if room is None else room
        self._host = settings.host
        self._address = settings.duty_calls.address
        self._source_ip = settings.source_ip
        self._session: ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Open the session; it connects at the first call."""
        self._session = open_session(
            _DutyConnector(self._source_ip, self._room)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close every connection."""
        assert self._session is not None
        await self._session.close()

    async def report_usage(
        self, fence: int, window: int, counts: Mapping[str, int]
    ) -> None:
        """Report the requests by workspace of a window."""
        body = {'window-id': window, 'counts': counts}
        await self._post('/usage', fence, body)

    async def order_size(self, fence: int, order: SizeOrder) -> None:
        """Order servers, or raise NoneAvailable."""
        body: dict[str, Any] = {
            'service': order.service,
            'zone': order.data_centre,
            'target-groups': order.servers,
        }
        if order.reclaimable:
            body['preemptible'] = True
        await self._post('/scale', fence, body)

    async def _post(self, path: str, fence: int, body: Any) -> None:
        assert self._session is not None
        try:
            async with self._session.post(
                f'http://{self._address}{path}',
                data=json.encode(body),
                headers={
                    'Content-Type': 'application/json',
                    DUTY_HOLDER: self._host,
                    FENCING_TOKEN: str(fence),
                },
                allow_redirects=False,
                timeout=ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                status = response.status
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise DutyUnanswered(f'{path}: {error}', sent=False) from error
        except CALL_ERRORS as error:
            raise DutyUnanswered(f'{path}: {error!r}') from error
        if status == STATUS_THROTTLED:
            raise DutyThrottled(f'{path}: status {status}')
        if status == STATUS_NONE_AVAILABLE:
            raise NoneAvailable(f'{path}: status {status}')
        if status >= 500:
            raise DutyUnanswered(f'{path}: status {status}')
        if status != 200:
            raise DutyRejected(f'{path}: status {status}')


def _open_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DROP_UNSENT)
    return opened
