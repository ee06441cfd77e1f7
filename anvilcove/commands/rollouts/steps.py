"""Open steps, hold their leases, take them over and hand them over."""

import asyncio
import re
from collections.abc import Coroutine
from typing import Any
from uuid import uuid4

from aiohttp import web
from loguru import logger
from msgspec import structs
from xxhash import xxh3_128_hexdigest

from anvilcove.commands.rollouts.samples import SampleRunner
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import read_message, refusal, reply
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.steps import (
    OPEN,
    StepRow,
    cursor_key,
    cursor_row,
    partial_object,
    row_value,
    step_key,
    step_object,
    step_row,
)
from anvilcove.messages.table import Check, Put, Row, Transaction
from anvilcove.messages.trainers import Sample, StepAccepted, SubmitStep
from anvilcove.ports.errors import (
    ObjectNotFound,
    PlatformError,
    StoreAnswerLost,
)
from anvilcove.settings.classes import TrainerClass
from anvilcove.state.leases import LeaseWatch
from anvilcove.state.steps import StepBook, StepRun

OPEN_LIMIT_S = 3.0
# Three renewals fit into a lease, so that one may be lost.
RENEWALS_PER_LEASE = 3
NAME = re.compile(r'[A-Za-z0-9._-]{1,64}')
MAX_SAMPLES = 65_536


def new_nonce() -> str:
    """Return a value that no other process writes into a row."""
    return uuid4().hex


def step_fault(message: SubmitStep) -> str:
    """Return what is wrong with a step, or an empty string."""
    names = [message.trainer, *(group.group for group in message.groups)]
    wrong = [name for name in names if not NAME.fullmatch(name)]
    if wrong:
        return f'name {wrong[0]!r} does not match {NAME.pattern}'
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


@part
class Steps(Part):
    """Steps that this daemon holds, each under a lease in its row."""

    def __init__(self, context: Context) -> None:
        """Hold nothing."""
        super().__init__(context)
        self.book = StepBook()
        lease_s = context.settings.timing.lease_ms / 1000
        self.watch = LeaseWatch(lease_s)
        self.renew_period_s = lease_s / RENEWALS_PER_LEASE
        self.released = False
        self.runner: SampleRunner = context.part(SampleRunner)
        self.runner.book = self.book

    def routes(self) -> list[web.RouteDef]:
        """Return the trainers' route."""
        return [web.post('/v1/steps', self._submit)]

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the loop that renews the leases."""
        return [self._renew_loop()]

    async def _submit(self, request: web.Request) -> web.Response:
        message = await read_message(request, SubmitStep)
        fault = step_fault(message)
        if fault:
            return refusal(400, 'invalid_body', fault)
        reason = self.context.refusal_reason()
        if reason or self.released:
            return refusal(503, 'not_run', reason or 'daemon is stopping')
        target = self.context.config.target(message.class_name)
        if not isinstance(target, TrainerClass):
            return refusal(
                400, 'unknown_class', 'no trainer class of that name'
            )
        try:
            async with asyncio.timeout(OPEN_LIMIT_S):
                return await self._open(message, target)
        except (PlatformError, TimeoutError) as error:
            return refusal(503, 'store_unavailable', repr(error))

    async def _open(
        self, message: SubmitStep, target: TrainerClass
    ) -> web.Response:
        """Insert the row, resolving lost answers by reading it back."""
        data = encode(message)
        row = self._new_row(target, xxh3_128_hexdigest(data))
        key = step_key(message.trainer, message.step)
        cursor = cursor_key(message.trainer)
        name = step_object(message.trainer, message.step, row.body)
        table = self.context.ports['table']
        while True:
            rows = await table.read([key, cursor])
            existing = step_row(rows[key])
            if existing is not None:
                return self._existing(message, row, existing, rows[key])
            consumed = cursor_row(rows[cursor])
            if consumed is not None and message.step <= consumed.step:
                return refusal(409, 'consumed', 'step was acknowledged')
            try:
                await self.context.ports['objects'].put(name, data)
                result = await table.transact(insert(key, 0, row))
            except StoreAnswerLost as error:
                logger.warning('answer of the store was lost: {}', error)
                continue
            if result.committed:
                self._hold(message, row, result.revisions[key])
                return reply(StepAccepted(step=message.step, epoch=row.epoch))

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

    def _existing(
        self, message: SubmitStep, own: StepRow, existing: StepRow, row: Row
    ) -> web.Response:
        if existing.body != own.body:
            return refusal(409, 'other_body', 'step has another body')
        if existing.nonce == own.nonce:
            self._hold(message, existing, row.revision)
        return reply(StepAccepted(step=message.step, epoch=existing.epoch))

    def _hold(
        self,
        body: SubmitStep,
        row: StepRow,
        revision: int,
        samples: list[Sample] | None = None,
    ) -> StepRun:
        now = self.context.clock.now()
        run = StepRun(body, row, revision, now)
        run.adopt(samples or [])
        self.book.add(run)
        self.watch.forget(step_key(*run.step_id))
        self.runner.start(run)
        return run

    async def take(
        self,
        key: str,
        row: StepRow,
        revision: int,
        body: SubmitStep,
        checks: list[Check],
        epoch: int,
    ) -> bool:
        """Become the holder with the next fence, or return False.

        Another daemon that takes the same revision makes this one fail.
        """
        if self.released:
            return False
        samples = await self._handed_over(row, body, epoch)
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
        change = insert(key, revision, own, checks)
        table = self.context.ports['table']
        try:
            result = await table.transact(change)
            if not result.committed:
                return False
            revision = result.revisions[key]
        except StoreAnswerLost:
            current = (await table.read([key]))[key]
            found = step_row(current)
            if found is None or found.nonce != own.nonce:
                return False
            revision = current.revision
        logger.info('took {} with fence {} epoch {}', key, own.fence, epoch)
        self._hold(body, own, revision, samples)
        return True

    async def _handed_over(
        self, row: StepRow, body: SubmitStep, epoch: int
    ) -> list[Sample]:
        """Read the finished samples of a holder that was stopped."""
        if not row.partial or epoch != row.epoch:
            return []
        name = partial_object(body.trainer, body.step, row.partial)
        try:
            data = await self.context.ports['objects'].get(name)
            return decode(data, list[Sample])
        except (ObjectNotFound, MessageError) as error:
            logger.warning('finished samples {} not used: {}', name, error)
            return []

    async def load_body(
        self, trainer: str, step: int, digest: str
    ) -> SubmitStep:
        """Read the body of a step from the object store."""
        name = step_object(trainer, step, digest)
        return decode(
            await self.context.ports['objects'].get(name), SubmitStep
        )

    def drop(self, run: StepRun, reason: str) -> None:
        """Stop working on a step that is fixed or no longer ours."""
        if run.dropped:
            return
        self.book.remove(run)
        self.runner.stop(run)
        logger.info('dropped step {}: {}', run.step_id, reason)

    async def write(self, run: StepRun, row: StepRow, *checks: Check) -> bool:
        """Replace the row of a held step; the caller has its lock.

        Return False when a check failed; the step is dropped when its row is
        no longer ours. Raises StoreUnavailable when nothing was written.
        """
        key = step_key(*run.step_id)
        change = insert(key, run.revision, row, list(checks))
        table = self.context.ports['table']
        try:
            result = await table.transact(change)
        except StoreAnswerLost:
            current = (await table.read([key]))[key]
        else:
            if result.committed:
                self._written(run, row, result.revisions[key])
                return True
            conflicts = {c.key: c for c in result.conflicts}
            if key not in conflicts:
                return False
            current = conflicts[key]
        return self._resolve(run, row, current)

    def _resolve(self, run: StepRun, wanted: StepRow, current: Row) -> bool:
        found = step_row(current)
        if found is None or found.nonce != run.row.nonce:
            self.drop(run, 'another daemon holds it')
            return False
        self._written(run, found, current.revision)
        return found == wanted

    def _written(self, run: StepRun, row: StepRow, revision: int) -> None:
        run.row = row
        run.revision = revision
        run.renewed_at_s = self.context.clock.now()

    async def _renew_loop(self) -> None:
        while True:
            await self.context.clock.sleep(self.renew_period_s)
            await asyncio.gather(
                *(self._renew(run) for run in list(self.book.by_id.values()))
            )

    async def _renew(self, run: StepRun) -> None:
        async with run.lock:
            if run.dropped or run.row.state != OPEN:
                return
            row = structs.replace(run.row, beat=run.row.beat + 1)
            try:
                await self.write(run, row)
            except PlatformError as error:
                logger.warning('lease not renewed: {}', error)

    async def drain(self) -> None:
        """Hand the steps over; the next daemon asked takes them at once."""
        self.released = True
        await asyncio.gather(
            *(self._release(run) for run in list(self.book.by_id.values()))
        )
        await self.runner.close()

    async def _release(self, run: StepRun) -> None:
        async with run.lock:
            if run.dropped:
                return
            try:
                partial = await self._store_finished(run)
                row = structs.replace(run.row, holder='', partial=partial)
                await self.write(run, row)
            except PlatformError as error:
                logger.warning('step not handed over: {}', error)
            self.drop(run, 'daemon is stopping')

    async def _store_finished(self, run: StepRun) -> str:
        """Store the finished samples for the next holder."""
        samples = [s.result for s in run.samples if s.result is not None]
        if not samples:
            return ''
        data = encode(samples)
        digest = xxh3_128_hexdigest(data)
        name = partial_object(*run.step_id, digest)
        await self.context.ports['objects'].put(name, data)
        return digest


def insert(
    key: str, revision: int, row: StepRow, checks: list[Check] | None = None
) -> Transaction:
    """Return the transaction that writes a step's row on one revision."""
    return Transaction(
        checks=[Check(key=key, revision=revision), *(checks or [])],
        puts=[Put(key=key, value=row_value(row))],
    )
