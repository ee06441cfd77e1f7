"""Open training steps, renew their leases, take over and hand over."""

import asyncio
import re
from uuid import uuid4

from aiohttp import web
from loguru import logger
from msgspec import structs
from xxhash import xxh3_128_hexdigest

from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.commands.rollouts.trainer_owners import (
    add_owner,
    may_use,
    owner_keys,
    owner_of,
)
from anvilcove.daemon.auth import workspace_of
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import (
    error_response,
    json_response,
    read_message,
)
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.steps import (
    OPEN,
    StepRow,
    cursor_key,
    decode_cursor_row,
    decode_step_row,
    encode_row_value,
    partial_object,
    step_key,
    step_object,
)
from anvilcove.messages.table import Check, Put, Row, Transaction
from anvilcove.messages.trainers import Sample, StepAccepted, SubmitStep
from anvilcove.ports.errors import (
    ObjectNotFound,
    PlatformError,
    StoreAnswerLost,
)
from anvilcove.settings.classes import TrainerClass
from anvilcove.state.background_tasks import Work
from anvilcove.state.leases import LeaseWatch
from anvilcove.state.steps import StepRegistry, StepRun

OPEN_TIMEOUT_S = 3.0
# Three renewals per lease time, so that one lost renewal does not end the
# lease.
RENEWALS_PER_LEASE = 3
NAME_PATTERN = re.compile(r'[A-Za-z0-9._-]{1,64}')
MAX_SAMPLES = 65_536


def new_nonce() -> str:
    """Return a value that identifies the process that wrote a row."""
    return uuid4().hex


def validation_error(message: SubmitStep) -> str:
    """Return why a submitted step is invalid, or an empty string."""
    names = [message.trainer, *(group.group for group in message.groups)]
    invalid = [name for name in names if not NAME_PATTERN.fullmatch(name)]
    if invalid:
        return f'name {invalid[0]!r} does not match {NAME_PATTERN.pattern}'
    groups = {group.group for group in message.groups}
    if not groups or len(groups) != len(message.groups):
        return 'groups are missing or named twice'
    if message.step < 1:
        return 'step must be at least 1'
    if any(g.samples < 1 or g.max_tokens < 1 for g in message.groups):
        return 'samples and max_tokens must be at least 1'
    if sum(group.samples for group in message.groups) > MAX_SAMPLES:
        return f'a step has at most {MAX_SAMPLES} samples'
    return ''


@register_component
class Steps(Component):
    """Steps that this daemon holds, each under a lease in its row."""

    def __init__(self, context: Context) -> None:
        """Start without steps."""
        super().__init__(context)
        self.registry = StepRegistry()
        lease_s = context.settings.timing.lease_ms / 1000
        self.lease_watch = LeaseWatch(lease_s)
        self.renew_period_s = lease_s / RENEWALS_PER_LEASE
        self.handing_over = False
        self.runner: SampleRunner = context.component(SampleRunner)
        self.runner.registry = self.registry

    def routes(self) -> list[web.RouteDef]:
        """Return the route that submits a step."""
        return [web.post('/v1/steps', self._submit)]

    def tasks(self) -> list[Work]:
        """Return the loop that renews the leases."""
        return [self._renew_loop]

    async def _submit(self, request: web.Request) -> web.Response:
        message = await read_message(request, SubmitStep)
        error_text = validation_error(message)
        if error_text:
            return error_response(400, 'invalid_body', error_text)
        reason = self.context.refusal_reason()
        if reason or self.handing_over:
            return error_response(
                503, 'not_run', reason or 'daemon is stopping'
            )
        target = self.context.config.target(message.class_name)
        if not isinstance(target, TrainerClass):
            return error_response(
                400, 'unknown_class', 'no trainer class of that name'
            )
        known = workspace_of(request)
        workspace = known.name if known is not None else None
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                return await self._open(message, target, workspace)
        except (PlatformError, TimeoutError) as error:
            return error_response(503, 'store_unavailable', repr(error))

    async def _open(
        self, message: SubmitStep, target: TrainerClass, workspace: str | None
    ) -> web.Response:
        """Insert the step's row and start its samples.

        A trainer of another workspace is answered with 404.
        If the response of the store is lost, the row is read back to see
        whether it was written.
        """
        data = encode(message)
        row = self._new_row(target, xxh3_128_hexdigest(data))
        key = step_key(message.trainer, message.step)
        cursor = cursor_key(message.trainer)
        name = step_object(message.trainer, message.step, row.body)
        table = self.context.ports['table']
        while True:
            rows = await table.read(
                [key, cursor, *owner_keys(message.trainer, workspace)]
            )
            owner = owner_of(message.trainer, rows)
            if not may_use(owner, workspace):
                logger.bind(trainer=message.trainer, workspace=workspace).info(
                    'submission refused: a trainer of another workspace'
                )
                return unknown_trainer()
            existing = decode_step_row(rows[key])
            if existing is not None:
                return self._accept_existing(
                    message, row, existing, rows[key], owner
                )
            consumed = decode_cursor_row(rows[cursor])
            if consumed is not None and message.step <= consumed.step:
                return error_response(409, 'consumed', 'step was acknowledged')
            try:
                await self.context.ports['objects'].put(name, data)
                change = row_update(key, 0, row)
                add_owner(change, message.trainer, workspace, rows)
                result = await table.transact(change)
            except StoreAnswerLost as error:
                logger.warning('answer of the store was lost: {}', error)
                continue
            if result.committed:
                self._start_holding(
                    message, row, result.revisions[key], workspace or ''
                )
                return json_response(
                    StepAccepted(step=message.step, epoch=row.epoch)
                )

    def _new_row(self, target: TrainerClass, digest: str) -> StepRow:
        return StepRow(
            state=OPEN,
            epoch=1,
            fence=1,
            holder=self.context.settings.host,
            nonce=new_nonce(),
            beat=0,
            class_name=target.name,
            model=target.model,
            bound=target.max_staleness_versions,
            body=digest,
        )

    def _accept_existing(
        self,
        message: SubmitStep,
        own: StepRow,
        existing: StepRow,
        row: Row,
        owner: str,
    ) -> web.Response:
        """Accept a repeated submission; refuse it with another body.

        The same nonce shows that an earlier write of this call succeeded.
        """
        if existing.body != own.body:
            return error_response(409, 'other_body', 'step has another body')
        if existing.nonce == own.nonce:
            self._start_holding(message, existing, row.revision, owner)
        return json_response(
            StepAccepted(step=message.step, epoch=existing.epoch)
        )

    def _start_holding(
        self,
        body: SubmitStep,
        row: StepRow,
        revision: int,
        workspace: str,
        samples: list[Sample] | None = None,
    ) -> StepRun:
        now = self.context.clock.now()
        run = StepRun(body, row, revision, now, workspace)
        run.apply_results(samples or [])
        self.registry.add(run)
        self.lease_watch.forget(step_key(*run.step_id))
        self.runner.start(run)
        return run

    async def take_over(
        self,
        key: str,
        row: StepRow,
        revision: int,
        body: SubmitStep,
        checks: list[Check],
        epoch: int,
        owner: str = '',
    ) -> bool:
        """Become the holder with the next fencing token, or return False.

        The step belongs to the workspace `owner`, '' for none.
        The write fails if another daemon took the same revision first.
        """
        if self.handing_over:
            return False
        samples = await self._load_finished(row, body, epoch)
        own = structs.replace(
            row,
            state=OPEN,
            epoch=epoch,
            fence=row.fence + 1,
            holder=self.context.settings.host,
            nonce=new_nonce(),
            beat=0,
            batch='',
            oldest=0,
            partial='',
        )
        change = row_update(key, revision, own, checks)
        table = self.context.ports['table']
        try:
            result = await table.transact(change)
            if not result.committed:
                return False
            revision = result.revisions[key]
        except StoreAnswerLost:
            current = (await table.read([key]))[key]
            found = decode_step_row(current)
            if found is None or found.nonce != own.nonce:
                return False
            revision = current.revision
        logger.info('took {} with fence {} epoch {}', key, own.fence, epoch)
        self._start_holding(body, own, revision, owner, samples)
        return True

    async def _load_finished(
        self, row: StepRow, body: SubmitStep, epoch: int
    ) -> list[Sample]:
        """Load the finished samples that the previous holder stored.

        Samples of an earlier epoch are not used.
        """
        if not row.partial or epoch != row.epoch:
            return []
        name = partial_object(body.trainer, body.step, row.partial)
        try:
            data = await self.context.ports['objects'].get(name)
            return decode(data, list[Sample])
        except (ObjectNotFound, MessageError) as error:
            logger.warning(
                'finished samples {} could not be loaded: {}', name, error
            )
            return []

    async def load_body(
        self, trainer: str, step: int, digest: str
    ) -> SubmitStep:
        """Load the submitted step from the object store."""
        name = step_object(trainer, step, digest)
        return decode(
            await self.context.ports['objects'].get(name), SubmitStep
        )

    def stop_work(self, run: StepRun, reason: str) -> None:
        """Stop work on a step that is final here or held elsewhere."""
        if run.stopped:
            return
        self.registry.remove(run)
        self.runner.stop(run)
        logger.info('stopped work on {}: {}', run.step_id, reason)

    async def write_row(
        self, run: StepRun, row: StepRow, *checks: Check
    ) -> bool:
        """Replace the row of a held step; the caller must hold `run.lock`.

        Return False if a check failed; work on the step is stopped if another
        daemon holds it. Raise StoreUnavailable if nothing was written.
        """
        key = step_key(*run.step_id)
        change = row_update(key, run.revision, row, list(checks))
        table = self.context.ports['table']
        try:
            result = await table.transact(change)
        except StoreAnswerLost:
            current = (await table.read([key]))[key]
        else:
            if result.committed:
                self._record_write(run, row, result.revisions[key])
                return True
            conflicts = {c.key: c for c in result.conflicts}
            if key not in conflicts:
                return False
            current = conflicts[key]
        return self._reconcile(run, row, current)

    def _reconcile(self, run: StepRun, wanted: StepRow, current: Row) -> bool:
        """Apply a row that was read back, and return whether it is `wanted`.

        Work on the step is stopped if another daemon holds it.
        """
        found = decode_step_row(current)
        if found is None or found.nonce != run.row.nonce:
            self.stop_work(run, 'another daemon holds it')
            return False
        self._record_write(run, found, current.revision)
        return found == wanted

    def _record_write(self, run: StepRun, row: StepRow, revision: int) -> None:
        run.row = row
        run.revision = revision
        run.renewed_at_s = self.context.clock.now()

    async def _renew_loop(self) -> None:
        while True:
            await self.context.clock.sleep(self.renew_period_s)
            await asyncio.gather(
                *(
                    self._renew(run)
                    for run in list(self.registry.by_id.values())
                )
            )

    async def _renew(self, run: StepRun) -> None:
        async with run.lock:
            if run.stopped or run.row.state != OPEN:
                return
            row = structs.replace(run.row, beat=run.row.beat + 1)
            try:
                await self.write_row(run, row)
            except PlatformError as error:
                logger.warning('lease not renewed: {}', error)

    async def drain(self) -> None:
        """Hand over all steps before the daemon stops.

        Another daemon can take them over without waiting for their leases.
        """
        self.handing_over = True
        await asyncio.gather(
            *(
                self._hand_over(run)
                for run in list(self.registry.by_id.values())
            )
        )
        await self.runner.close()

    async def _hand_over(self, run: StepRun) -> None:
        async with run.lock:
            if run.stopped:
                return
            try:
                partial = await self._store_finished(run)
                row = structs.replace(run.row, holder='', partial=partial)
                await self.write_row(run, row)
            except PlatformError as error:
                logger.warning('step could not be handed over: {}', error)
            self.stop_work(run, 'daemon is stopping')

    async def _store_finished(self, run: StepRun) -> str:
        """Store the finished samples for the next holder.

        Return their hash, or an empty string if there are none.
        """
        samples = [s.result for s in run.samples if s.result is not None]
        if not samples:
            return ''
        data = encode(samples)
        digest = xxh3_128_hexdigest(data)
        name = partial_object(*run.step_id, digest)
        await self.context.ports['objects'].put(name, data)
        return digest


def unknown_trainer() -> web.Response:
    """Return the answer to a call for a trainer of another workspace."""
    return error_response(404, 'unknown_trainer', 'no such trainer')


def row_update(
    key: str, revision: int, row: StepRow, checks: list[Check] | None = None
) -> Transaction:
    """Return a transaction that writes a row if its revision is unchanged."""
    return Transaction(
        checks=[Check(key=key, revision=revision), *(checks or [])],
        puts=[Put(key=key, value=encode_row_value(row))],
    )
