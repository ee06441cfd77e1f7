"""Claim non-repeatable requests in the table before they are sent."""

import asyncio
import time
import uuid

from aiohttp import web
from loguru import logger
from msgspec import UNSET

from anvilcove.commands.control.row_writer import RowWrite, RowWriter
from anvilcove.commands.rollouts.job import (
    CONFLICT_STATUS,
    RETRY_AFTER_S,
    RequestAbandoned,
    RequestRun,
    conflict_outcome,
)
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import json_response
from anvilcove.messages.callers import ANSWERED, NOT_RUN, Outcome
from anvilcove.messages.peers import ClaimState
from anvilcove.messages.table import Row
from anvilcove.ports.errors import PlatformError
from anvilcove.queries.attach import AttachComponent
from anvilcove.state.background_tasks import Work
from anvilcove.state.claims import (
    ABANDONED,
    ACTIVE,
    CLAIMED,
    DONE,
    RELEASED,
    UNKNOWN_NONCE,
    UNKNOWN_RESULT,
    ClaimRow,
    NonceRegistry,
    claim_alias,
    decode_claim,
    encode_claim,
)

# A claim that the store has not accepted by then is refused, so that callers
# with long deadlines do not wait during an outage.
CLAIM_TIMEOUT_S = 2.0
MAX_PENDING_WRITES = 4_000
# Bounds the lookups of the keys of refused requests, which add load during
# an outage or overload.
MAX_CONCURRENT_LOOKUPS = 64
HOLDER_UNKNOWN_REASON = 'the holder of the claim does not tell'


class HeldClaim:
    """A claim that this daemon holds; only the holder sends the request."""

    __slots__ = ('row', 'key', 'revision')

    def __init__(self, row: ClaimRow, key: str, revision: int) -> None:
        """Keep the row and its revision as stored in the table."""
        self.row = row
        self.key = key
        self.revision = revision


@register_component
class ClaimComponent(Component):
    """Acquire, look up, finish and release claims."""

    def __init__(self, context: Context) -> None:
        """Start without claims."""
        super().__init__(context)
        self.nonces = NonceRegistry()
        self.writer = RowWriter(context)
        self._lookups = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the route for peers."""
        return [web.get('/peer/claims/{nonce}', self._claim_state)]

    def tasks(self) -> list[Work]:
        """Return the loop that writes rows."""
        return [self.writer.run]

    async def _claim_state(self, request: web.Request) -> web.Response:
        nonce = request.match_info['nonce']
        return json_response(
            ClaimState(nonce=nonce, state=self.nonces.state(nonce))
        )

    async def acquire(self, run: RequestRun) -> HeldClaim | Outcome:
        """Acquire the claim, or return the outcome of an earlier claim.

        Raise RequestAbandoned if the store has not accepted the claim in time.
        """
        revision: int | None = 0
        while revision is not None:
            inserted = await self._insert(run, revision)
            if isinstance(inserted, HeldClaim):
                run.record.claim_held = True
                return inserted
            resolved = await self._resolve(run, inserted)
            if isinstance(resolved, Outcome):
                return resolved
            revision = resolved
            if self.context.clock.now() >= run.route.deadline_at_s:
                raise RequestAbandoned('no claim before the deadline')
        return run.unknown_outcome(HOLDER_UNKNOWN_REASON, RETRY_AFTER_S)

    async def _insert(self, run: RequestRun, revision: int) -> HeldClaim | Row:
        """Write a claim with a new nonce; on a conflict return the row."""
        claim = ClaimRow(
            nonce=uuid.uuid4().hex,
            host=self.context.settings.host,
            request_id=run.message.request_id,
            body_hash=run.route.content,
            state=CLAIMED,
            claimed_at=time.time(),
        )
        key = run.record.claim_key
        write = RowWrite(key, revision, encode_claim(claim))
        self.nonces.activate(claim.nonce)
        self.writer.add(write, urgent=True)
        remaining_s = run.route.deadline_at_s - self.context.clock.now()
        try:
            async with asyncio.timeout(min(remaining_s, CLAIM_TIMEOUT_S)):
                row = await asyncio.shield(write.future)
        except TimeoutError:
            self._abandon_nonce(claim, write)
            raise RequestAbandoned(
                'the store has not taken the claim', 1.0
            ) from None
        except asyncio.CancelledError:
            self._abandon_nonce(claim, write)
            raise
        if write.wrote(row):
            return HeldClaim(claim, key, row.revision)
        self.nonces.forget(claim.nonce)
        return row

    def _abandon_nonce(self, claim: ClaimRow, write: RowWrite) -> None:
        """Give up a nonce; release its claim if the row is written later."""
        self.nonces.abandon(claim.nonce)
        write.cancelled = True

        def release_late(future: 'asyncio.Future[Row]') -> None:
            if not future.cancelled() and write.wrote(future.result()):
                late = HeldClaim(claim, write.key, future.result().revision)
                self._write_final_state(late, RELEASED, None)

        write.future.add_done_callback(release_late)

    async def _resolve(
        self, run: RequestRun, row: Row
    ) -> Outcome | int | None:
        """Resolve the claim in a row that another request has written.

        Return its outcome, or the revision of the row if it may be replaced,
        or None if the holder may have run the request and its outcome cannot
        be learned.
        """
        if row.value is None:
            return row.revision
        claim = decode_claim(row.value)
        if claim is None:
            return None
        if claim.body_hash != run.route.content:
            run.record.status = CONFLICT_STATUS
            return conflict_outcome(run.message.request_id)
        if claim.outcome is not None:
            return run.with_request_id(claim.outcome)
        if claim.state == RELEASED:
            return row.revision
        state = await self._nonce_state(claim)
        if state == ABANDONED:
            return row.revision
        if state == ACTIVE:
            outcome = await self._wait_for_holder(run, claim)
            if outcome is not None:
                return outcome
        return await self._reread_and_resolve(run, row)

    async def _reread_and_resolve(
        self, run: RequestRun, row: Row
    ) -> Outcome | int | None:
        """Read a row again and resolve it if it has changed."""
        try:
            rows: dict[str, Row] = await self.context.ports['table'].read(
                [row.key]
            )
        except PlatformError as error:
            logger.warning('claim could not be read again: {}', error)
            return None
        now = self.context.clock.now()
        new = rows[row.key]
        if new.revision != row.revision and now < run.route.deadline_at_s:
            return await self._resolve(run, new)
        claim = decode_claim(new.value) if new.value else None
        if claim and await self._nonce_state(claim) == ABANDONED:
            return new.revision
        return None

    async def _wait_for_holder(
        self, run: RequestRun, claim: ClaimRow
    ) -> Outcome | None:
        """Wait for the holder's outcome; None if not run or not known."""
        outcome: Outcome | None = await self.context.component(
            AttachComponent
        ).wait_at_host(
            claim.host,
            claim.request_id,
            run.route.deadline_at_s,
            run.route.workspace or None,
        )
        if outcome is None or outcome.outcome == NOT_RUN:
            return None
        return run.with_request_id(outcome)

    async def _nonce_state(self, claim: ClaimRow) -> str:
        if claim.host == self.context.settings.host:
            return self.nonces.state(claim.nonce)
        peer = self.context.peers.by_host.get(claim.host)
        if peer is None:
            return UNKNOWN_NONCE
        path = f'/peer/claims/{claim.nonce}'
        try:
            answer = await call_peer(
                self.context, peer, 'GET', path, ClaimState
            )
        except PeerError as error:
            logger.warning('holder of a claim could not be reached: {}', error)
            return UNKNOWN_NONCE
        return answer.state if answer.nonce == claim.nonce else UNKNOWN_NONCE

    async def look_up(self, run: RequestRun) -> Outcome | None:
        """Return the outcome of a key that this host has not claimed.

        None means that no host is known to have run the request.
        """
        if self._lookups >= MAX_CONCURRENT_LOOKUPS:
            return None
        self._lookups += 1
        try:
            rows: dict[str, Row] = await self.context.ports['table'].read(
                [run.record.claim_key]
            )
            row = rows[run.record.claim_key]
        except PlatformError:
            return await self._ask_holder(run)
        finally:
            self._lookups -= 1
        if row.value is None:
            return None
        resolved = await self._resolve(run, row)
        if resolved is None:
            return run.unknown_outcome(HOLDER_UNKNOWN_REASON, RETRY_AFTER_S)
        return resolved if isinstance(resolved, Outcome) else None

    async def _ask_holder(self, run: RequestRun) -> Outcome | None:
        """Ask the peers for the outcome of a key while the store is down."""
        found = await self.context.component(AttachComponent).wait_at_holder(
            claim_alias(run.record.claim_key), run.route.deadline_at_s
        )
        if found is UNSET:
            return run.unknown_outcome(HOLDER_UNKNOWN_REASON, RETRY_AFTER_S)
        if found is None or found.outcome == NOT_RUN:
            return None
        return run.with_request_id(found)

    def release(self, held: HeldClaim) -> None:
        """Release a claim whose request was not run."""
        self.nonces.abandon(held.row.nonce)
        self._write_final_state(held, RELEASED, None)

    def finish(
        self, run: RequestRun, held: HeldClaim, outcome: Outcome
    ) -> None:
        """Store the answer of a claim, or that its outcome is unknown."""
        state = DONE if outcome.outcome == ANSWERED else UNKNOWN_RESULT
        write = self._write_final_state(held, state, outcome)
        if write is None:
            self.nonces.forget(held.row.nonce)
            return
        run.record.pinned = True

        def stored(future: 'asyncio.Future[Row]') -> None:
            run.record.pinned = False
            self.nonces.forget(held.row.nonce)

        write.future.add_done_callback(stored)

    def _write_final_state(
        self, held: HeldClaim, state: str, outcome: Outcome | None
    ) -> RowWrite | None:
        if self.writer.pending >= MAX_PENDING_WRITES:
            logger.error(
                'too many pending writes; result of claim {} not stored',
                held.key,
            )
            return None
        held.row.state = state
        held.row.outcome = outcome
        write = RowWrite(held.key, held.revision, encode_claim(held.row))
        self.writer.add(write, urgent=False)
        return write
