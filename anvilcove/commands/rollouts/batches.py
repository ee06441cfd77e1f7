"""Deliver final batches to trainers and record their acknowledgements."""

import asyncio

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.weights import (
    WeightsComponent,
    trainer_classes,
)
from anvilcove.commands.requests.fixing import (
    MAX_FINALIZE_WAIT_MS,
    BatchFinalizer,
)
from anvilcove.commands.rollouts.steps import Steps, unknown_trainer
from anvilcove.commands.rollouts.trainer_owners import (
    may_use,
    owner_keys,
    owner_of,
)
from anvilcove.daemon.auth import workspace_of
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import (
    error_response,
    json_response,
    read_message,
)
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
    decode_cursor_row,
    decode_step_row,
    decode_weights_version,
    encode_row_value,
    step_key,
    weights_key,
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

POLL_PERIOD_S = 0.1
ACK_TIMEOUT_S = 3.0
# Rows of this many acknowledged steps are kept, so that a repeated
# acknowledgement can be answered.
KEPT_ACKED_STEPS = 8
PEER_TIMEOUT_MARGIN_S = 1.0
# A holder that renews its lease in the table but has not answered for this
# many lease times is treated as cut off from the other hosts.
UNREACHABLE_LEASES = 3


class _BatchFetch:
    """A trainer's request for a batch, with the bytes loaded so far.

    `digest` is the hash of the batch in `data`, empty before the load.
    `workspace` is that of the key, None if the site has no workspaces.
    """

    __slots__ = (
        'trainer',
        'step',
        'deadline_at_s',
        'workspace',
        'digest',
        'data',
    )

    def __init__(
        self,
        trainer: str,
        step: int,
        deadline_at_s: float,
        workspace: str | None,
    ) -> None:
        """Start without a loaded batch."""
        self.workspace = workspace
        self.trainer = trainer
        self.step = step
        self.deadline_at_s = deadline_at_s
        self.digest = ''
        self.data = b''

    @property
    def key(self) -> str:
        return step_key(self.trainer, self.step)


@register_component
class Batches(Component):
    """Serve the batches of every trainer at every host.

    The state of each step is in the table, so any host can answer.
    """

    def __init__(self, context: Context) -> None:
        """Use the components of this daemon for steps, batches and weights."""
        super().__init__(context)
        self.steps: Steps = context.component(Steps)
        self.finalizer: BatchFinalizer = context.component(BatchFinalizer)
        self.weights: WeightsComponent = context.component(WeightsComponent)
        lease_s = context.settings.timing.lease_ms / 1000
        self.unreachable_watch = LeaseWatch(UNREACHABLE_LEASES * lease_s)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for fetching and acknowledging batches."""
        return [
            web.get('/v1/trainers/{trainer}/batch', self._batch),
            web.post('/v1/trainers/{trainer}/ack', self._ack),
        ]

    async def _batch(self, request: web.Request) -> web.Response:
        after = request.query.get('after', '0')
        wait = request.query.get('wait_ms', '0')
        if not (after.isdecimal() and wait.isdecimal()):
            return error_response(
                400, 'invalid_query', 'after and wait_ms are counts'
            )
        wait_s = min(int(wait), MAX_FINALIZE_WAIT_MS) / 1000
        fetch = _BatchFetch(
            request.match_info['trainer'],
            int(after) + 1,
            self.context.clock.now() + wait_s,
            _workspace_name(request),
        )
        while True:
            try:
                response = await self._try_deliver(fetch)
            except PlatformError as error:
                logger.warning('batch could not be fetched: {}', error)
                self.steps.lease_watch.reset()
                self.unreachable_watch.reset()
                response = None
            if response is not None:
                return response
            remaining_s = fetch.deadline_at_s - self.context.clock.now()
            if remaining_s <= 0:
                return web.Response(status=204)
            await self.context.clock.sleep(min(POLL_PERIOD_S, remaining_s))

    async def _try_deliver(self, fetch: _BatchFetch) -> web.Response | None:
        """Advance the step until its batch or a refusal can be returned.

        Return None if the trainer has to wait.
        """
        while True:
            rows = await self._read_rows(fetch)
            if not may_use(owner_of(fetch.trainer, rows), fetch.workspace):
                return unknown_trainer()
            row = decode_step_row(rows[fetch.key])
            if row is None:
                return None
            cursor = decode_cursor_row(rows[cursor_key(fetch.trainer)])
            if cursor is not None and cursor.step >= fetch.step:
                return error_response(409, 'consumed', 'step was acknowledged')
            if row.state != FIXED:
                if not await self._finalize_or_take_over(fetch, row, rows):
                    return None
            elif not self._within_staleness_bound(row, rows):
                if not await self._reopen(fetch, row, rows):
                    return None
            elif row.batch == fetch.digest:
                return _batch_response(fetch, row)
            else:
                # The loop checks the staleness bound again after the load.
                await self._load_batch(fetch, row)

    async def _read_rows(self, fetch: _BatchFetch) -> dict[str, Row]:
        models = {c.model for c in trainer_classes(self.context)}
        keys = [fetch.key, cursor_key(fetch.trainer)]
        keys += [weights_key(model) for model in sorted(models)]
        keys += owner_keys(fetch.trainer, fetch.workspace)
        table = self.context.ports['table']
        rows: dict[str, Row] = await table.read(keys)
        row = decode_step_row(rows[fetch.key])
        if row is not None and weights_key(row.model) not in rows:
            rows = await table.read([*keys, weights_key(row.model)])
        return rows

    def _within_staleness_bound(
        self, row: StepRow, rows: dict[str, Row]
    ) -> bool:
        newest = decode_weights_version(rows[weights_key(row.model)])
        self.weights.update_newest(row.model, newest)
        target = self.context.config.target(row.class_name)
        bound = row.bound
        if isinstance(target, TrainerClass):
            bound = min(bound, target.max_staleness_versions)
        return newest - row.oldest <= bound

    async def _load_batch(self, fetch: _BatchFetch, row: StepRow) -> None:
        name = batch_object(fetch.trainer, fetch.step, row.epoch, row.batch)
        fetch.data = await self.context.ports['objects'].get(name)
        fetch.digest = row.batch

    async def _reopen(
        self, fetch: _BatchFetch, row: StepRow, rows: dict[str, Row]
    ) -> bool:
        """Reopen a step whose batch is too stale, in a new epoch.

        The transaction checks the cursor, so that a step that has been
        acknowledged meanwhile is not reopened.
        """
        cursor = rows[cursor_key(fetch.trainer)]
        logger.info(
            'batch of {} is too stale, reopening after epoch {}',
            fetch.key,
            row.epoch,
        )
        return await self._take_over(
            fetch,
            row,
            rows,
            [Check(key=cursor.key, revision=cursor.revision)],
            row.epoch + 1,
        )

    async def _finalize_or_take_over(
        self, fetch: _BatchFetch, row: StepRow, rows: dict[str, Row]
    ) -> bool:
        """Ask the holder to make the batch final, or take the step over.

        Return whether the row has changed, so that it is read again at once.
        """
        expired = self.steps.lease_watch.expired(
            fetch.key, (row.fence, row.beat), self.context.clock.now()
        )
        state = await self._request_final_batch(fetch, row)
        if state:
            self.unreachable_watch.forget(fetch.key)
        if state in (FIXED, OPEN):
            return state == FIXED
        # A holder that renews its lease but cannot be reached by other hosts
        # serves no trainer.
        cut_off = self.unreachable_watch.expired(
            fetch.key, row.fence, self.context.clock.now()
        )
        if state == MISSING or expired or cut_off:
            return await self._take_over(fetch, row, rows, [], row.epoch)
        return False

    async def _request_final_batch(
        self, fetch: _BatchFetch, row: StepRow
    ) -> str:
        """Ask the holder to make the batch final; return the step's state.

        Return an empty string if the holder does not answer.
        """
        own = row.holder == self.context.settings.host
        wait_s = max(0.0, fetch.deadline_at_s - self.context.clock.now())
        if own or not row.holder:
            return await self.finalizer.finalize(
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
                wait_s + PEER_TIMEOUT_MARGIN_S,
            )
        except PeerError as error:
            logger.info(
                'request to the holder of {} failed: {}', fetch.key, error
            )
            return ''
        return answer.state

    async def _take_over(
        self,
        fetch: _BatchFetch,
        row: StepRow,
        rows: dict[str, Row],
        checks: list[Check],
        epoch: int,
    ) -> bool:
        if self.context.refusal_reason():
            return False
        body = await self.steps.load_body(fetch.trainer, fetch.step, row.body)
        revision = rows[fetch.key].revision
        return await self.steps.take_over(
            fetch.key,
            row,
            revision,
            body,
            checks,
            epoch,
            owner_of(fetch.trainer, rows),
        )

    async def _ack(self, request: web.Request) -> web.Response:
        message = await read_message(request, AckBatch)
        trainer = request.match_info['trainer']
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                while True:
                    response = await self._ack_once(
                        trainer, message, _workspace_name(request)
                    )
                    if response is not None:
                        return response
        except (StoreUnavailable, TimeoutError) as error:
            return error_response(503, 'store_unavailable', repr(error))

    async def _ack_once(
        self, trainer: str, message: AckBatch, workspace: str | None
    ) -> web.Response | None:
        """Advance the cursor; return None if the caller must try again."""
        table = self.context.ports['table']
        keys = [step_key(trainer, message.step), cursor_key(trainer)]
        try:
            rows = await table.read([*keys, *owner_keys(trainer, workspace)])
            if not may_use(owner_of(trainer, rows), workspace):
                return unknown_trainer()
            cursor = decode_cursor_row(rows[keys[1]])
            conflict = _ack_conflict(
                message, decode_step_row(rows[keys[0]]), cursor
            )
            if conflict:
                return error_response(409, 'not_acknowledged', conflict)
            if cursor is not None and cursor.step >= message.step:
                return json_response(Acked(cursor=cursor.step))
            result = await table.transact(_advance_cursor(rows, keys, message))
        except StoreAnswerLost as error:
            logger.warning('answer of the store was lost: {}', error)
            return None
        return (
            json_response(Acked(cursor=message.step))
            if result.committed
            else None
        )


def _workspace_name(request: web.Request) -> str | None:
    """Return the workspace of a call, None if the site has none."""
    workspace = workspace_of(request)
    return workspace.name if workspace is not None else None


def _ack_conflict(
    message: AckBatch, row: StepRow | None, cursor: CursorRow | None
) -> str:
    """Return why a batch cannot be acknowledged, or an empty string."""
    requested = (message.epoch, message.digest)
    if cursor is not None and cursor.step == message.step:
        same = (cursor.epoch, cursor.digest) == requested
        return '' if same else 'another batch of the step was acknowledged'
    if cursor is not None and cursor.step < message.step - 1:
        return f'cursor is at {cursor.step}'
    if row is None or row.state != FIXED:
        return 'step is not fixed'
    same = (row.epoch, row.batch) == requested
    return '' if same else f'step is at epoch {row.epoch}'


def _advance_cursor(
    rows: dict[str, Row], keys: list[str], message: AckBatch
) -> Transaction:
    cursor = CursorRow(
        step=message.step, epoch=message.epoch, digest=message.digest
    )
    prefix = keys[0].rpartition('/')[0]
    expired_step = message.step - KEPT_ACKED_STEPS
    return Transaction(
        checks=[Check(key=key, revision=rows[key].revision) for key in keys],
        puts=[Put(key=keys[1], value=encode_row_value(cursor))],
        deletes=[f'{prefix}/{expired_step}'] if expired_step > 0 else [],
    )


def _batch_response(fetch: _BatchFetch, row: StepRow) -> web.Response:
    return web.Response(
        body=fetch.data,
        content_type='application/json',
        headers={
            'X-Step': str(fetch.step),
            'X-Epoch': str(row.epoch),
            'X-Digest': row.batch,
        },
    )
