"""HTTP client for calls from one daemon to another."""

from typing import TypeVar

from aiohttp import ClientTimeout

from anvilcove.daemon.context import Context
from anvilcove.daemon.metrics import is_control_path
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.state.peers import PeerState

PEER_TIMEOUT_S = 1.0

M = TypeVar('M')


class PeerError(Exception):
    """Raised when a peer cannot be reached or returns an invalid response."""

    def __init__(self, reason: str, status: int = 0) -> None:
        """Store the HTTP status, 0 without a response."""
        super().__init__(reason)
        self.status = status


async def call_peer(
    context: Context,
    peer: PeerState,
    method: str,
    path: str,
    message_type: type[M],
    message: object | None = None,
    timeout_s: float = PEER_TIMEOUT_S,
) -> M:
    """Call a peer and decode its response, or raise PeerError."""
    headers = {'Authorization': f'Bearer {context.settings.keys.peer}'}
    control = is_control_path(path)
    session = context.control_session if control else context.session
    scheme = 'https' if context.settings.tls.certificate_file else 'http'
    try:
        async with session.request(
            method,
            f'{scheme}://{peer.address}{path}',
            data=None if message is None else encode(message),
            headers=headers,
            timeout=ClientTimeout(total=timeout_s),
        ) as response:
            data = await response.read()
            if response.status != 200:
                raise PeerError(
                    f'{peer.host}: status {response.status}', response.status
                )
            return decode(data, message_type)
    except (*CALL_ERRORS, MessageError) as error:
        raise PeerError(f'{peer.host}: {error!r}') from error
