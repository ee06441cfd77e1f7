"""Relay of store calls through peers while the store is unreachable."""

import asyncio
import random
from collections.abc import Callable

from aiohttp import ClientSession, ClientTimeout
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from loguru import logger
from msgspec import Struct, msgpack

from anvilcove.control.peer_calls import log_rejected
from anvilcove.http.bodies import read_body
from anvilcove.messages.base import DECODE_ERRORS
from anvilcove.messages.http_errors import CALL_ERRORS
from anvilcove.ports.errors import (
    StoreAnswerLost,
    StoreAnswerTooLarge,
    StoreUnavailable,
)
from anvilcove.ports.transport import StoreCall, StoreReply, StoreTransport
from anvilcove.state.clock import Clock

RELAY_PATH = '/relay'
# Methods of calls to the store.
METHODS = ('DELETE', 'GET', 'POST', 'PUT')
# Peers that one call tries. A peer that cannot reach the store answers at
# once, so an outage that affects all of them adds little to the time of the
# call.
RELAY_ATTEMPTS = 2
# Added to the timeout of a relayed call for the round trip to the peer.
RELAY_MARGIN_S = 0.3
CONNECT_TIMEOUT_S = 0.3
# After a failure calls go through peers; one per period probes the store
# directly.
PROBE_PERIOD_S = 0.5
# A direct call is abandoned before its own timeout if the store has answered
# no call for this long, or for this multiple of its typical latency if that
# is more. Job owners must be able to write again before their leases of 1.1 s
# expire.
EARLY_TIMEOUT_S = 0.4
EARLY_TIMEOUT_FACTOR = 4.0
# A repeatable call is sent again each time it has waited this long, or the
# same multiple of the typical latency, while the store answers others: it may
# serve only some partitions, and answers the next try once it serves all.
REPEAT_AFTER_S = 0.6
# Weight of the newest call in the moving average of the latency.
LATENCY_SMOOTHING = 0.1
# Statuses of the answers to relayed calls.
STATUS_NOT_EXECUTED = 503
STATUS_OUTCOME_UNKNOWN = 504


class RelayedCall(Struct, array_like=True):
    """Store call as it is encoded between peers."""

    method: str
    path: str
    body: bytes
    timeout_s: float
    write: bool
    create: bool
    expected_s: float = 0.0
    repeatable: bool = False


class RelayedStore:
    """Send store calls directly, or through a peer while that fails."""

    __slots__ = (
        '_direct',
        '_session',
        '_clock',
        '_rng',
        'list_peers',
        'count_call',
        '_failed',
        '_probe_at_s',
        '_answered_at_s',
        '_typical_latency_s',
        '_abandoned_calls',
    )

    def __init__(
        self,
        direct: StoreTransport,
        session: ClientSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Assume that the store is reachable; no peers are known."""
        self._direct = direct
        self._session = session
        self._clock = clock
        self._rng = rng
        # Adds a call to the metrics, by kind and outcome.
        self.count_call: Callable[[str, str], None] = lambda kind, outcome: (
            None
        )
        # Returns the addresses of peers as ip:port.
        self.list_peers: Callable[[], list[str]] = list
        self._failed = False
        self._probe_at_s = 0.0
        # Time of the last answer to a direct call, and the moving average of
        # the latency.
        self._answered_at_s = 0.0
        self._typical_latency_s = 0.0
        # Calls that were abandoned but may still be answered.
        self._abandoned_calls: set[asyncio.Future[StoreReply]] = set()

    @property
    def reachable(self) -> bool:
        """Tell whether the last direct call was answered."""
        return not self._failed

    async def send(self, call: StoreCall) -> StoreReply:
        """Send a call, directly or through a peer; return the answer."""
        try:
            reply = await self._send(call)
        except (StoreUnavailable, StoreAnswerLost):
            self.count_call('write' if call.write else 'read', 'failed')
            raise
        self.count_call('write' if call.write else 'read', 'answered')
        return reply

    async def _send(self, call: StoreCall) -> StoreReply:
        now = self._clock.now()
        if self._failed and now < self._probe_at_s:
            return await self._send_through_peers(call, None)
        self._probe_at_s = now + PROBE_PERIOD_S
        try:
            reply = await self._send_directly(call)
        except StoreUnavailable as error:
            self._set_failed(error)
            return await self._send_through_peers(call, error)
        except StoreAnswerTooLarge:
            # It would not be smaller through a peer.
            raise
        except StoreAnswerLost as error:
            if not self._answers_other_calls():
                self._set_failed(error)
            if call.write:
                raise
            return await self._send_through_peers(call, None)
        self._set_failed(None)
        return reply

    async def _send_directly(self, call: StoreCall) -> StoreReply:
        """Send directly; abandon the call if the store stops answering."""
        started_at_s = self._clock.now()
        tries: set[asyncio.Future[StoreReply]] = set()
        try:
            reply = await self._send_until_answered(call, tries, started_at_s)
        except asyncio.CancelledError:
            _cancel(tries)
            raise
        except (StoreUnavailable, StoreAnswerLost) as error:
            _cancel(tries)
            if call.write and len(tries) > 1:
                # Another try may have taken effect.
                raise StoreAnswerLost(str(error)) from error
            raise
        if reply is not None:
            _cancel(tries)
            self._record_answer(call, started_at_s)
            return reply
        # The tries are not cancelled: only their answers show how slow the
        # store is.
        self._abandoned_calls |= tries
        for sending in tries:
            sending.add_done_callback(
                lambda done: self._on_late_answer(done, call, started_at_s)
            )
        raise StoreAnswerLost(f'{call.path}: no answer from the store')

    async def _send_until_answered(
        self,
        call: StoreCall,
        tries: set[asyncio.Future[StoreReply]],
        started_at_s: float,
    ) -> StoreReply | None:
        """Return the first answer, or None if the store counts as silent.

        Adds each try to `tries`.
        """
        next_try_at_s = started_at_s
        while True:
            slow_s = EARLY_TIMEOUT_FACTOR * self._typical_latency_s
            silent_at_s = max(started_at_s, self._answered_at_s)
            silent_at_s += call.expected_s + max(EARLY_TIMEOUT_S, slow_s)
            now = self._clock.now()
            if now >= silent_at_s:
                return None
            if now >= next_try_at_s:
                tries.add(asyncio.ensure_future(self._direct.send(call)))
                next_try_at_s = now + call.expected_s
                next_try_at_s += max(REPEAT_AFTER_S, slow_s)
                if not call.repeatable:
                    next_try_at_s = float('inf')
            remaining_s = min(silent_at_s, next_try_at_s) - now
            done, _ = await asyncio.wait(
                tries,
                timeout=max(remaining_s, 0.0),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                return done.pop().result()

    def _answers_other_calls(self) -> bool:
        silent_s = self._clock.now() - self._answered_at_s
        return silent_s < max(
            EARLY_TIMEOUT_S, EARLY_TIMEOUT_FACTOR * self._typical_latency_s
        )

    def _record_answer(self, call: StoreCall, started_at_s: float) -> None:
        self._answered_at_s = self._clock.now()
        if call.expected_s == 0:
            latency_s = self._answered_at_s - started_at_s
            self._typical_latency_s += LATENCY_SMOOTHING * (
                latency_s - self._typical_latency_s
            )

    def _on_late_answer(
        self,
        sending: asyncio.Future[StoreReply],
        call: StoreCall,
        started_at_s: float,
    ) -> None:
        """Raise the typical latency to that of an abandoned call."""
        self._abandoned_calls.discard(sending)
        if sending.cancelled() or sending.exception() is not None:
            return
        if call.expected_s == 0:
            self._typical_latency_s = max(
                self._typical_latency_s, self._clock.now() - started_at_s
            )

    def _set_failed(self, error: Exception | None) -> None:
        failed = error is not None
        if failed != self._failed:
            self._failed = failed
            state = 'lost' if failed else 'regained'
            logger.bind(
                dependency='store', reason=str(error) if error else ''
            ).warning(f'dependency {state}')

    async def _send_through_peers(
        self, call: StoreCall, error: StoreUnavailable | None
    ) -> StoreReply:
        peers = self.list_peers()
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
                call.repeatable,
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
                if response.status == STATUS_NOT_EXECUTED:
                    raise StoreUnavailable(f'peer {peer}: store not reachable')
                raise StoreAnswerLost(f'peer {peer}: outcome unknown')
        except DECODE_ERRORS as error:
            raise StoreAnswerLost(f'peer {peer}: {error}') from error
        except CALL_ERRORS as error:
            if call.write:
                raise StoreAnswerLost(f'peer {peer}: {error!r}') from error
            raise StoreUnavailable(f'peer {peer}: {error!r}') from error

    async def serve(self, request: BaseRequest) -> Response:
        """Make a direct call for a peer and answer with its result.

        It is never relayed further. Status 503 says that nothing was
        executed, 504 that the outcome is unknown.
        """
        try:
            call = msgpack.decode(await read_body(request), type=RelayedCall)
        except DECODE_ERRORS as error:
            log_rejected(request, str(error))
            return Response(status=400, text=str(error))
        if call.method not in METHODS:
            # Nothing was executed; a peer of another build may know it.
            log_rejected(request, f'unknown method {call.method}')
            return Response(status=STATUS_NOT_EXECUTED)
        if self._failed:
            return Response(status=STATUS_NOT_EXECUTED)
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
                    call.repeatable,
                )
            )
        except StoreUnavailable as error:
            self._set_failed(error)
            return Response(status=STATUS_NOT_EXECUTED)
        except StoreAnswerLost as error:
            if not self._answers_other_calls():
                self._set_failed(error)
            return Response(status=STATUS_OUTCOME_UNKNOWN)
        return Response(body=msgpack.encode(reply))


def _cancel(tries: set[asyncio.Future[StoreReply]]) -> None:
    for sending in tries:
        sending.cancel()
