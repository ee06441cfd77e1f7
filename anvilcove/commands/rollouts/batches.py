"""Deliver fixed batches to trainers and take their acknowledgements."""

import asyncio

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.weights import WeightsPart, trainer_classes
from anvilcove.commands.requests.fixing import MAX_WAIT_MS, Fixing
from anvilcove.commands.rollouts.steps import Steps
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import read_message, refusal, reply
from anvilcove.messages.steps import (
    FIXED,
    MISSING,
    OPEN,
    CursorRow,
    FixStep,
    StepFix,
    StepRow,
    batch_object,
    cursor_key,
    cursor_row,
    row_value,
    step_key,
    step_row,
    weights_key,
    weights_version,
)
from anvilcove.messages.table import Check, Put, Row, Transaction
from anvilcove.messages.trainers import AckBatch, Acked
from anvilcove.ports.errors import (
    PlatformError,
    StoreAnswerLost,
    StoreUnavailable,
)
from anvilcove.settings.classes import TrainerClass
from anvilcove.state.leases import LeaseWatch

RETRY_S = 0.1
ACK_LIMIT_S = 3.0
# Rows of this many acknowledged steps stay, for repeated acknowledgements.
KEPT_STEPS = 8
PEER_MARGIN_S = 1.0
# After so many lease times without an answer, a holder that still renews in
# the table is taken to be cut off from the other hosts.
UNREACHED_LEASES = 3


class _Fetch:
    """One fetch of a batch in progress."""

    __slots__ = ('trainer', 'step', 'until_s', 'digest', 'data')

    def __init__(self, trainer: str, step: int, until_s: float) -> None:
        """Start without bytes."""
        self.trainer = trainer
        self.step = step
        self.until_s = until_s
        self.digest = ''
        self.data = b''

    @property
    def key(self) -> str:
        return step_key(self.trainer, self.step)


@part
class Batches(Part):
    """Serve any trainer at any host; the rows decide."""

    def __init__(self, context: Context) -> None:
        """Use the held steps."""
        super().__init__(context)
        self.steps: Steps = context.part(Steps)
        self.fixing: Fixing = context.part(Fixing)
        self.weights: WeightsPart = context.part(WeightsPart)
        lease_s = context.settings.timing.lease_ms / 1000
        self.unreached = LeaseWatch(UNREACHED_LEASES * lease_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the trainers' routes."""
        return [
            web.get('/v1/trainers/{trainer}/batch', self._batch),
            web.post('/v1/trainers/{trainer}/ack', self._ack),
        ]

    async def _batch(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '0')
        wait = request.query.get('wait_ms', '0')
        if not (after.isdecimal() and wait.isdecimal()):
            return refusal(
                400, 'invalid_query', 'after and wait_ms are counts'
            )
        wait_s = min(int(wait), MAX_WAIT_MS) / 1000
        fetch = _Fetch(
            request.match_info['trainer'],
            int(after) + 1,
            self.context.clock.now() + wait_s,
        )
        while True:
            try:
                response = await self._look(fetch)
            except PlatformError as error:
                logger.warning('batch not available: {}', error)
                self.steps.watch.restart()
                self.unreached.restart()
                response = None
            if response is not None:
                return response
            left_s = fetch.until_s - self.context.clock.now()
            if left_s <= 0:
                return web.Response(status=204)
            await self.context.clock.sleep(min(RETRY_S, left_s))

    async def _look(self, fetch: _Fetch) -> web.Response | None:
        """Take the steps towards the batch that the rows allow."""
        while True:
            rows = await self._rows(fetch)
            row = step_row(rows[fetch.key])
            if row is None:
                return None
            cursor = cursor_row(rows[cursor_key(fetch.trainer)])
            if cursor is not None and cursor.step >= fetch.step:
                return refusal(409, 'consumed', 'step was acknowledged')
            if row.state != FIXED:
                if not await self._ask_holder(fetch, row, rows):
                    return None
            elif not self._in_bound(row, rows):
                if not await self._reopen(fetch, row, rows):
                    return None
            elif row.batch == fetch.digest:
                return _delivery(fetch, row)
            else:
                # The bound is checked again after the bytes are here.
                await self._load(fetch, row)

    async def _rows(self, fetch: _Fetch) -> dict[str, Row]:
        models = {c.model for c in trainer_classes(self.context)}
        keys = [fetch.key, cursor_key(fetch.trainer)]
        keys += [weights_key(model) for model in sorted(models)]
        table = self.context.ports['table']
        rows: dict[str, Row] = await table.read(keys)
        row = step_row(rows[fetch.key])
        if row is not None and weights_key(row.model) not in rows:
            rows = await table.read([*keys, weights_key(row.model)])
        return rows

    def _in_bound(self, row: StepRow, rows: dict[str, Row]) -> bool:
        newest = weights_version(rows[weights_key(row.model)])
        self.weights.observe(row.model, newest)
        target = self.context.config.target(row.class_name)
        bound = row.bound
        if isinstance(target, TrainerClass):
            bound = min(bound, target.max_staleness_versions)
        return newest - row.oldest <= bound

    async def _load(self, fetch: _Fetch, row: StepRow) -> None:
        name = batch_object(fetch.trainer, fetch.step, row.epoch, row.batch)
        fetch.data = await self.context.ports['objects'].get(name)
        fetch.digest = row.batch

    async def _reopen(
        self, fetch: _Fetch, row: StepRow, rows: dict[str, Row]
    ) -> bool:
        """Take a batch that left the bound back to open, with a new epoch.

        The cursor is checked so that an acknowledged step stays as it is.
        """
        cursor = rows[cursor_key(fetch.trainer)]
        logger.info('{} left the bound, epoch {}', fetch.key, row.epoch)
        return await self._take(
            fetch,
            row,
            rows,
            [Check(key=cursor.key, revision=cursor.revision)],
            row.epoch + 1,
        )

    async def _ask_holder(
        self, fetch: _Fetch, row: StepRow, rows: dict[str, Row]
    ) -> bool:
        """Ask the holder to fix the step, or take it over.

        Return whether the rows are worth reading again at once.
        """
        expired = self.steps.watch.expired(
            fetch.key, (row.fence, row.beat), self.context.clock.now()
        )
        state = await self._fix_at(fetch, row)
        if state:
            self.unreached.forget(fetch.key)
        if state in (FIXED, OPEN):
            return state == FIXED
        # A holder that renews but that nobody reaches serves no trainer.
        cut_off = self.unreached.expired(
            fetch.key, row.fence, self.context.clock.now()
        )
        if state == MISSING or expired or cut_off:
            return await self._take(fetch, row, rows, [], row.epoch)
        return False

    async def _fix_at(self, fetch: _Fetch, row: StepRow) -> str:
        """Return the holder's state, or an empty string without an answer."""
        own = row.holder == self.context.settings.host
        wait_s = max(0.0, fetch.until_s - self.context.clock.now())
        if own or not row.holder:
            return await self.fixing.fix(
                fetch.trainer, fetch.step, row.fence, wait_s
            )
        peer = self.context.peers.by_host.get(row.holder)
        if peer is None:
            return ''
        path = f'/peer/steps/{fetch.trainer}/{fetch.step}/fix'
        message = FixStep(fence=row.fence, wait_ms=int(wait_s * 1000))
        try:
            answer = await call_peer(
                self.context,
                peer,
                'POST',
                path,
                StepFix,
                message,
                wait_s + PEER_MARGIN_S,
            )
        except PeerError as error:
            logger.info('holder of {} not reached: {}', fetch.key, error)
            return ''
        return answer.state

    async def _take(
        self,
        fetch: _Fetch,
        row: StepRow,
        rows: dict[str, Row],
        checks: list[Check],
        epoch: int,
    ) -> bool:
        if self.context.refusal_reason():
            return False
        body = await self.steps.load_body(fetch.trainer, fetch.step, row.body)
        revision = rows[fetch.key].revision
        return await self.steps.take(
            fetch.key, row, revision, body, checks, epoch
        )

    async def _ack(self, request: web.Request) -> web.Response:
        message = await read_message(request, AckBatch)
        trainer = request.match_info['trainer']
        try:
            async with asyncio.timeout(ACK_LIMIT_S):
                while True:
                    response = await self._ack_once(trainer, message)
                    if response is not None:
                        return response
        except (StoreUnavailable, TimeoutError) as error:
            return refusal(503, 'store_unavailable', repr(error))

    async def _ack_once(
        self, trainer: str, message: AckBatch
    ) -> web.Response | None:
        """Move the cursor; None means that it must be tried again."""
        table = self.context.ports['table']
        keys = [step_key(trainer, message.step), cursor_key(trainer)]
        try:
            rows = await table.read(keys)
            cursor = cursor_row(rows[keys[1]])
            fault = _ack_fault(message, step_row(rows[keys[0]]), cursor)
            if fault:
                return refusal(409, 'not_acknowledged', fault)
            if cursor is not None and cursor.step >= message.step:
                return reply(Acked(cursor=cursor.step))
            result = await table.transact(_move_cursor(rows, keys, message))
        except StoreAnswerLost as error:
            logger.warning('answer of the store was lost: {}', error)
            return None
        return reply(Acked(cursor=message.step)) if result.committed else None


def _ack_fault(
    message: AckBatch, row: StepRow | None, cursor: CursorRow | None
) -> str:
    """Return why a batch cannot be acknowledged, or an empty string."""
    wanted = (message.epoch, message.digest)
    if cursor is not None and cursor.step == message.step:
        same = (cursor.epoch, cursor.digest) == wanted
        return '' if same else 'another batch of the step was acknowledged'
    if cursor is not None and cursor.step < message.step - 1:
        return f'cursor is at {cursor.step}'
    if row is None or row.state != FIXED:
        return 'step is not fixed'
    same = (row.epoch, row.batch) == wanted
    return '' if same else f'step is at epoch {row.epoch}'


def _move_cursor(
    rows: dict[str, Row], keys: list[str], message: AckBatch
) -> Transaction:
    cursor = CursorRow(
        step=message.step, epoch=message.epoch, digest=message.digest
    )
    prefix = keys[0].rpartition('/')[0]
    old = message.step - KEPT_STEPS
    return Transaction(
        checks=[Check(key=key, revision=rows[key].revision) for key in keys],
        puts=[Put(key=keys[1], value=row_value(cursor))],
        deletes=[f'{prefix}/{old}'] if old > 0 else [],
    )


def _delivery(fetch: _Fetch, row: StepRow) -> web.Response:
    return web.Response(
        body=fetch.data,
        content_type='application/json',
        headers={
            'X-Step': str(fetch.step),
            'X-Epoch': str(row.epoch),
            'X-Digest': row.batch,
        },
    )
