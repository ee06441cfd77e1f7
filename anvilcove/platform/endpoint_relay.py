"""Relay of calls to servers through a peer.

The peer sends the call as it is and returns the server's answer, so that the
host that asked judges it as if it had come directly.
"""

from collections.abc import Awaitable, Callable

from aiohttp import (
    ClientConnectorError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from loguru import logger
from msgspec import Struct, msgpack
from multidict import CIMultiDict

from anvilcove.control.peer_calls import log_rejected
from anvilcove.http.bodies import read_body
from anvilcove.messages.base import DECODE_ERRORS
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.platform.client_protocol import (
    MAX_EVENT_BYTES,
    ConnectionUse,
)
from anvilcove.platform.connections import (
    CallNotSent,
    RelayBroken,
    SendRecord,
    ServerCall,
    ServerConnections,
)
from anvilcove.platform.headers import end_to_end
from anvilcove.ports.relays import RelayPort
from anvilcove.ports.ways import WayObserver

RELAY_PATH = '/endpoint-call'
CONNECT_TIMEOUT_S = 0.3
# Peers that one call tries, and that it tries while it is not certain that
# this host is cut off.
MAX_PEERS = 6
MAX_PEERS_IN_DOUBT = 3
# Header of a peer's response, and its values.
OUTCOME = 'Relay-Outcome'
ANSWERED = 'answered'
NOT_SENT = 'not sent'
# The peer cannot send any call to the server; another peer may.
DECLINED = 'declined'
BROKEN = 'broken'


class RelayedCall(Struct, array_like=True):
    """Call to a server as it is encoded between daemons."""

    method: str
    address: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    attempt_id: str
    repeatable: bool


class PeerRelay:
    """Sender of calls through peers."""

    __slots__ = ('_session', '_peers')

    def __init__(self, session: ClientSession, peers: RelayPort) -> None:
        """Use a session for all peers."""
        self._session = session
        self._peers = peers

    async def send(
        self, call: ServerCall, record: SendRecord
    ) -> ClientResponse | None:
        """Return the server's response, or None if no peer took the call.

        Raises CallNotSent if the server can't be reached by the peer either,
        RelayBroken if the call may have run.
        """
        message = msgpack.encode(
            RelayedCall(
                call.method,
                call.address,
                call.path,
                [(str(name), text) for name, text in call.headers.items()],
                call.body,
                call.attempt_id,
                call.repeatable,
            )
        )
        count = MAX_PEERS if self._peers.needed() else MAX_PEERS_IN_DOUBT
        for peer in self._peers.addresses()[:count]:
            response = await self._ask(peer, call, message)
            if response is None:
                self._peers.avoid(peer)
                continue
            outcome = response.headers.get(OUTCOME, '')
            self._peers.count_call(outcome)
            if outcome == ANSWERED:
                record.use = ConnectionUse(call.repeatable)
                record.use.read_from(response)
                return response
            response.close()
            if outcome == NOT_SENT:
                raise CallNotSent(f'peer {peer} does not reach the server')
            raise RelayBroken(f'peer {peer}: {outcome or response.status}')
        return None

    async def _ask(
        self, peer: str, call: ServerCall, message: bytes
    ) -> ClientResponse | None:
        """Return the response of a peer, None if it did not send the call."""
        reason = DECLINED
        try:
            response = await self._session.post(
                f'http://{peer}{RELAY_PATH}',
                data=message,
                timeout=ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
            outcome = response.headers.get(OUTCOME)
            # A daemon of the version before does not know the path.
            if outcome != DECLINED and (outcome or response.status != 404):
                return response
            response.release()
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            reason = repr(error)
        except CALL_ERRORS as error:
            raise RelayBroken(f'peer {peer}: {error!r}'[:300]) from error
        logger.bind(
            peer=peer, request=call.attempt_id, reason=reason[:160]
        ).info('call not relayed by a peer')
        return None


class RelayedConnections:
    """Connections to servers, direct ones and through peers."""

    __slots__ = ('_connections', '_stopping', '_in_flight')

    def __init__(self, connections: ServerConnections) -> None:
        """Relay nothing before `attach`."""
        self._connections = connections
        self._stopping = False
        self._in_flight = 0

    def attach(
        self, session: ClientSession, observer: WayObserver, peers: RelayPort
    ) -> None:
        """Tell `observer` of the ways, and relay calls through `peers`."""
        self._connections.observer = observer
        self._connections.peers = peers
        self._connections.relay = PeerRelay(session, peers)

    def abandon_silent(self) -> None:
        """End calls that nothing has answered yet, to send them elsewhere."""
        self._connections.abandon_silent()

    def relay_handlers(
        self,
    ) -> dict[str, Callable[[BaseRequest], Awaitable[StreamResponse]]]:
        """Return the handlers, by path, of calls that peers relay here."""

        async def handle(request: BaseRequest) -> StreamResponse:
            if self._stopping:
                # Another peer may take the call, which was not sent.
                return _outcome(DECLINED)
            connections = self._connections
            self._in_flight += 1
            try:
                return await serve_call(
                    connections, connections.peers, request
                )
            finally:
                self._in_flight -= 1

        return {RELAY_PATH: handle}

    def stop_relaying(self) -> None:
        """Decline further calls of peers; those in flight go on."""
        self._stopping = True

    def relayed_calls(self) -> int:
        """Return the number of calls of peers in flight."""
        return self._in_flight


async def serve_call(
    connections: ServerConnections,
    peers: RelayPort,
    request: BaseRequest,
) -> StreamResponse:
    """Send a call for a peer and return the server's answer.

    It is never relayed further.
    """
    try:
        relayed = msgpack.decode(await read_body(request), type=RelayedCall)
    except DECODE_ERRORS as error:
        log_rejected(request, str(error))
        return Response(status=400, text=str(error))
    if not peers.may_relay(relayed.address):
        return _outcome(DECLINED)
    call = ServerCall(
        relayed.method,
        relayed.address,
        relayed.path,
        # An earlier build of the peer may pass on what frames a body.
        CIMultiDict(end_to_end(relayed.headers)),
        relayed.body,
        relayed.attempt_id,
        relayed.repeatable,
        direct=True,
    )
    record = SendRecord()
    try:
        return await _pass_on(connections, call, record, request)
    except (ClientConnectorError, ConnectionTimeoutError):
        if record.broken:
            return _outcome(BROKEN)
        # This host may be cut off, too, and another peer not.
        doubtful = peers.needed_after_failure(relayed.address)
        return _outcome(DECLINED if doubtful else NOT_SENT)
    except CALL_ERRORS as error:
        logger.bind(
            request=call.attempt_id,
            address=call.address,
            reason=repr(error)[:160],
        ).info('relayed call broke off')
        return _outcome(BROKEN)


async def _pass_on(
    connections: ServerConnections,
    call: ServerCall,
    record: SendRecord,
    request: BaseRequest,
) -> StreamResponse:
    """Send a call and pass the answer on to the peer as it arrives.

    If the answer breaks off, so does the connection to the peer.
    """
    async with connections.open(call, record) as answer:
        assert record.use is not None
        identity = connections.identity
        passed_on = None
        if identity.belongs_to(call.attempt_id, answer, record.use):
            passed_on = _response_like(answer)
        if passed_on is None:
            record.use.discard()
            return _outcome(BROKEN)
        await passed_on.prepare(request)
        try:
            async for data in answer.content.iter_any():
                await passed_on.write(data)
                # The host that asked bounds the whole answer.
                record.use.allow_bytes(MAX_EVENT_BYTES)
            await passed_on.write_eof()
        except CALL_ERRORS as error:
            logger.bind(
                request=call.attempt_id, reason=repr(error)[:160]
            ).info('relayed answer broke off')
            if request.transport is not None:
                request.transport.abort()
        return passed_on


def _response_like(answer: ClientResponse) -> StreamResponse | None:
    """Return a response with the head of an answer, None if it has no end."""
    headers = CIMultiDict(end_to_end(answer.headers.items()))
    headers[OUTCOME] = ANSWERED
    response = StreamResponse(status=answer.status, headers=headers)
    if 'Content-Length' in answer.headers:
        response.content_length = int(answer.headers['Content-Length'])
    elif 'chunked' in answer.headers.get('Transfer-Encoding', '').lower():
        response.enable_chunked_encoding()
    else:
        return None
    return response


def _outcome(outcome: str) -> Response:
    return Response(status=503, headers={OUTCOME: outcome})
