"""Store calls that go through a peer while the store cannot be reached."""

import asyncio
import random
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from loguru import logger
from msgspec import DecodeError, Struct, ValidationError, msgpack

from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.transport import StoreCall, StoreReply, StoreTransport
from anvilcove.state.clock import Clock

RELAY_PATH = '/relay'
# Peers that one call tries. Each one that cannot reach the store answers at
# once, so that a common outage costs little more than the call itself.
RELAY_ATTEMPTS = 2
# Time that a call may take beyond its own limit for the way to a peer.
RELAY_MARGIN_S = 0.3
CONNECT_TIMEOUT_S = 0.3
# After a failure calls go through peers; one in this time tries directly.
PROBE_PERIOD_S = 0.5
# A direct call is given up early if the store has answered nothing at all for
# this long, or for so many times its usual time where that is more. Owners
# must write again before their leases of 1.5 s run out.
PATIENCE_S = 0.4
PATIENCE_FACTOR = 4.0
USUAL_STEP = 0.1
NOTHING_DONE = 503
ANSWER_LOST = 504


class RelayedCall(Struct, array_like=True):
    """A store call as peers exchange it."""

    method: str
    path: str
    body: bytes
    timeout_s: float
    write: bool
    create: bool
    expected_s: float = 0.0


class RelayedStore:
    """Send calls directly, or through a peer while that fails."""

    __slots__ = (
        '_direct',
        '_session',
        '_clock',
        '_rng',
        'peers',
        'count',
        '_failed',
        '_probe_at_s',
        '_answered_at_s',
        '_usual_s',
        '_late',
    )

    def __init__(
        self,
        direct: StoreTransport,
        session: ClientSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start with the store taken as reachable, and without peers."""
        self._direct = direct
        self._session = session
        self._clock = clock
        self._rng = rng
        # Counts a call by its kind and outcome.
        self.count: Callable[[str, str], None] = lambda kind, outcome: None
        # Lists the addresses of peers, ip:port.
        self.peers: Callable[[], list[str]] = list
        self._failed = False
        self._probe_at_s = 0.0
        # When a direct call was answered last, and how long one takes.
        self._answered_at_s = 0.0
        self._usual_s = 0.0
        # Calls that were given up and may still be answered.
        self._late: set[asyncio.Future[StoreReply]] = set()

    @property
    def reachable(self) -> bool:
        """Tell whether direct calls are answered."""
        return not self._failed

    async def send(self, call: StoreCall) -> StoreReply:
        """Return the answer of the store."""
        try:
            reply = await self._send(call)
        except (StoreUnavailable, StoreAnswerLost):
            self.count('write' if call.write else 'read', 'failed')
            raise
        self.count('write' if call.write else 'read', 'answered')
        return reply

    async def _send(self, call: StoreCall) -> StoreReply:
        now = self._clock.now()
        if self._failed and now < self._probe_at_s:
            return await self._through_peers(call, None)
        self._probe_at_s = now + PROBE_PERIOD_S
        try:
            reply = await self._send_directly(call)
        except StoreUnavailable as error:
            self._note(error)
            return await self._through_peers(call, error)
        except StoreAnswerLost as error:
            self._note(error)
            if call.write:
                raise
            return await self._through_peers(call, None)
        self._note(None)
        return reply

    async def _send_directly(self, call: StoreCall) -> StoreReply:
        """Send directly; give up early while the store answers nothing."""
        started_s = self._clock.now()
        sending = asyncio.ensure_future(self._direct.send(call))
        try:
            await self._wait(sending, call, started_s)
        except asyncio.CancelledError:
            sending.cancel()
            raise
        if sending.done():
            reply = sending.result()
            self._answered(call, started_s)
            return reply
        # The call goes on, since only its answer tells how slow the store is.
        self._late.add(sending)
        sending.add_done_callback(
            lambda done: self._ended_late(done, call, started_s)
        )
        raise StoreAnswerLost(f'{call.path}: the store answers nothing')

    async def _wait(
        self,
        sending: asyncio.Future[StoreReply],
        call: StoreCall,
        started_s: float,
    ) -> None:
        """Wait for an answer, as long as the store answers any call."""
        while not sending.done():
            patience_s = call.expected_s + max(
                PATIENCE_S, PATIENCE_FACTOR * self._usual_s
            )
            since_s = max(started_s, self._answered_at_s)
            left_s = since_s + patience_s - self._clock.now()
            if left_s <= 0:
                return
            await asyncio.wait([sending], timeout=left_s)

    def _answered(self, call: StoreCall, started_s: float) -> None:
        self._answered_at_s = self._clock.now()
        if call.expected_s == 0:
            took_s = self._answered_at_s - started_s
            self._usual_s += USUAL_STEP * (took_s - self._usual_s)

    def _ended_late(
        self,
        sending: asyncio.Future[StoreReply],
        call: StoreCall,
        started_s: float,
    ) -> None:
        """Learn from a call that was given up."""
        self._late.discard(sending)
        if sending.cancelled() or sending.exception() is not None:
            return
        if call.expected_s == 0:
            self._usual_s = max(self._usual_s, self._clock.now() - started_s)

    def _note(self, error: Exception | None) -> None:
        failed = error is not None
        if failed != self._failed:
            self._failed = failed
            state = 'lost' if failed else 'regained'
            logger.bind(
                dependency='store', reason=str(error) if error else ''
            ).warning(f'dependency {state}')

    async def _through_peers(
        self, call: StoreCall, error: StoreUnavailable | None
    ) -> StoreReply:
        peers = self.peers()
        chosen = self._rng.sample(peers, min(RELAY_ATTEMPTS, len(peers)))
        for peer in chosen:
            try:
                return await self._relay(peer, call)
            except StoreUnavailable as refusal:
                error = refusal
        raise error or StoreUnavailable('no peer to relay the call')

    async def _relay(self, peer: str, call: StoreCall) -> StoreReply:
        message = msgpack.encode(
            RelayedCall(
                call.method,
                call.path,
                call.body,
                call.timeout_s,
                call.write,
                call.create,
                call.expected_s,
            )
        )
        try:
            async with self._session.post(
                f'http://{peer}{RELAY_PATH}',
                data=message,
                timeout=ClientTimeout(
                    total=call.timeout_s + RELAY_MARGIN_S,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                body = await response.read()
                if response.status == 200:
                    return msgpack.decode(body, type=StoreReply)
                if response.status == NOTHING_DONE:
                    raise StoreUnavailable(f'peer {peer}: not reachable')
                raise StoreAnswerLost(f'peer {peer}: no answer')
        except (DecodeError, ValidationError) as error:
            raise StoreAnswerLost(f'peer {peer}: {error}') from error
        except (ClientError, TimeoutError, OSError) as error:
            if call.write:
                raise StoreAnswerLost(f'peer {peer}: {error!r}') from error
            raise StoreUnavailable(f'peer {peer}: {error!r}') from error

    async def serve(self, request: web.BaseRequest) -> web.Response:
        """Answer a call of a peer by a direct call."""
        try:
            call = msgpack.decode(await request.read(), type=RelayedCall)
        except (DecodeError, ValidationError) as error:
            return web.Response(status=400, text=str(error))
        if self._failed:
            return web.Response(status=NOTHING_DONE)
        try:
            reply = await self._send_directly(
                StoreCall(
                    call.method,
                    call.path,
                    call.body,
                    call.timeout_s,
                    call.write,
                    call.create,
                    call.expected_s,
                )
            )
        except StoreUnavailable as error:
            self._note(error)
            return web.Response(status=NOTHING_DONE)
        except StoreAnswerLost as error:
            self._note(error)
            return web.Response(status=ANSWER_LOST)
        return web.Response(body=msgpack.encode(reply))
