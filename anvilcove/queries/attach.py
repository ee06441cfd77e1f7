"""Attach to a request in flight or to a recent answer, at any host."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from aiohttp import web
from msgspec import UNSET, UnsetType
from msgspec.structs import replace

from anvilcove.commands.rollouts.job import STATUS_BY_OUTCOME
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.peer_client import PEER_TIMEOUT_S, PeerError, call_peer
from anvilcove.daemon.replies import BadRequest, refusal, reply
from anvilcove.messages.callers import Outcome
from anvilcove.state.answers import AnswerBook, RequestRecord
from anvilcove.state.peers import PeerState

# A caller that is gone is noticed after at most this time.
DISCONNECT_CHECK_S = 0.1
# Work without watchers goes on this long, so that a caller whose connection
# broke can attach to it again.
DETACHED_S = 1.0
# Peers are asked in rounds, so that a paused one is noticed.
PEER_ROUND_S = 0.5
PEERS_ASKED = 16
DEFAULT_WAIT_MS = 1_000
LONGEST_WAIT_MS = 60_000

# UNSET: the request is known but still in flight. None: it is not known.
Found = Outcome | UnsetType | None


def connected(request: web.Request) -> bool:
    """Tell whether the caller still listens."""
    transport = request.transport
    return transport is not None and not transport.is_closing()


def asked_first(request_id: str) -> str:
    """Return the host that an identifier names, or an empty string."""
    host, dot, _ = request_id.partition('.')
    return host if dot else ''


@part
class AttachPart(Part):
    """Find requests here and at peers and wait for their outcomes."""

    def __init__(self, context: Context) -> None:
        """Start without requests."""
        super().__init__(context)
        self.book = AnswerBook(
            context.settings.timing.finished_answer_ms / 1000
        )
        self._detached: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of callers and peers."""
        return [
            web.get('/v1/requests/{request_id}', self._attach),
            web.get('/peer/requests/{request_id}', self._attach_peer),
        ]

    async def _attach(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        wait_s = _wait_s(request)
        found = await self.wait_here(request_id, wait_s, request)
        if found is None:
            found = await self._wait_elsewhere(request_id, wait_s)
        return _found_reply(found, request_id)

    async def _attach_peer(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        record = self.book.find(self.context.clock.now(), request_id)
        by_key = record is not None and request_id not in record.aliases
        if record is None or (by_key and not record.held):
            # Only the holder of a claim can tell how its key ends.
            return _found_reply(None, request_id)
        found = await self.wait_here(request_id, _wait_s(request), request)
        response = _found_reply(found, request_id)
        if isinstance(found, Outcome):
            response.set_status(200)
        return response

    async def wait_here(
        self,
        request_id: str,
        wait_s: float,
        request: web.Request | None = None,
    ) -> Found:
        """Wait for the outcome of a request that this host knows."""
        now = self.context.clock.now()
        record = self.book.find(now, request_id)
        if record is None:
            return None
        return await self.wait_record(record, wait_s, request)

    async def wait_record(
        self,
        record: RequestRecord,
        wait_s: float,
        request: web.Request | None = None,
    ) -> Outcome | UnsetType:
        """Wait for an outcome while the caller listens."""
        clock = self.context.clock
        end_s = clock.now() + wait_s
        with self.watching(record):
            while record.outcome is None:
                left_s = min(end_s - clock.now(), DISCONNECT_CHECK_S)
                gone = request is not None and not connected(request)
                if left_s <= 0 or gone:
                    return UNSET
                try:
                    async with asyncio.timeout(left_s):
                        await record.finished.wait()
                except TimeoutError:
                    continue
        return record.outcome

    @contextmanager
    def watching(self, record: RequestRecord) -> Iterator[None]:
        """Count a watcher; repeatable work without watchers is cancelled."""
        record.watchers += 1
        try:
            yield
        finally:
            record.watchers -= 1
            if _unwatched(record):
                task = asyncio.create_task(self._cancel_later(record))
                self._detached.add(task)
                task.add_done_callback(self._detached.discard)

    async def _cancel_later(self, record: RequestRecord) -> None:
        await self.context.clock.sleep(DETACHED_S)
        if _unwatched(record) and record.task is not None:
            record.task.cancel()

    async def wait_at_host(
        self, host: str, request_id: str, deadline_at_s: float
    ) -> Outcome | None:
        """Wait for an outcome at a host; None if it does not tell."""
        if host == self.context.settings.host:
            left_s = deadline_at_s - self.context.clock.now()
            found = await self.wait_here(request_id, left_s)
            return found if isinstance(found, Outcome) else None
        peer = self.context.peers.by_host.get(host)
        if peer is None:
            return None
        found = UNSET
        while found is UNSET:
            left_s = deadline_at_s - self.context.clock.now()
            if left_s <= 0:
                return None
            found = await self._ask(peer, request_id, left_s)
        return found if isinstance(found, Outcome) else None

    async def wait_at_holder(self, alias: str, deadline_at_s: float) -> Found:
        """Wait for the outcome of a key at the peer that holds its claim.

        UNSET says that a peer works on it and has not ended in time.
        """
        others = self.context.peers.others()
        count = min(len(others), PEERS_ASKED)
        peers = self.context.rng.sample(others, count)
        peer, found = await self._ask_all(peers, alias)
        if isinstance(found, Outcome) or peer is None:
            return found
        return (
            await self.wait_at_host(peer.host, alias, deadline_at_s) or UNSET
        )

    async def _ask(
        self, peer: PeerState, request_id: str, wait_s: float
    ) -> Found:
        """Ask a peer once; None if it does not know or does not answer."""
        round_s = min(wait_s, PEER_ROUND_S)
        path = f'/peer/requests/{request_id}?wait_ms={int(round_s * 1000)}'
        try:
            return await call_peer(
                self.context,
                peer,
                'GET',
                path,
                Outcome,
                timeout_s=round_s + PEER_TIMEOUT_S,
            )
        except PeerError as error:
            return UNSET if error.status == 202 else None

    async def _wait_elsewhere(self, request_id: str, wait_s: float) -> Found:
        """Ask the host named first, then the peers, until the time is up."""
        clock = self.context.clock
        end_s = clock.now() + wait_s
        peers = self.context.peers
        first = peers.by_host.get(asked_first(request_id))
        others = peers.others()
        if first in others:
            others.remove(first)
            found = await self._ask(first, request_id, wait_s)
        else:
            found = None
        if found is None:
            count = min(len(others), PEERS_ASKED)
            others = self.context.rng.sample(others, count)
            first, found = await self._ask_all(others, request_id)
        while found is UNSET and first and clock.now() < end_s:
            found = await self._ask(first, request_id, end_s - clock.now())
        return found

    async def _ask_all(
        self, peers: list[PeerState], request_id: str
    ) -> tuple[PeerState | None, Found]:
        answers = await asyncio.gather(
            *(self._ask(peer, request_id, 0.0) for peer in peers)
        )
        for peer, found in zip(peers, answers, strict=True):
            if found is not None:
                return peer, found
        return None, None


def _unwatched(record: RequestRecord) -> bool:
    return (
        record.repeatable and record.watchers == 0 and record.outcome is None
    )


def _wait_s(request: web.Request) -> float:
    text = request.query.get('wait_ms', str(DEFAULT_WAIT_MS))
    if not text.isdecimal() or int(text) > LONGEST_WAIT_MS:
        reason = f'wait_ms must be from 0 to {LONGEST_WAIT_MS}'
        raise BadRequest(refusal(400, 'invalid_query', reason))
    return int(text) / 1000


def _found_reply(found: Found, request_id: str) -> web.Response:
    if found is None:
        return refusal(404, 'not_known', 'no host knows the request')
    if isinstance(found, UnsetType):
        return refusal(202, 'in_flight', 'the request has no outcome yet')
    own = replace(found, request_id=request_id)
    return reply(own, STATUS_BY_OUTCOME[own.outcome])
