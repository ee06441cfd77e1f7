"""Commit the batch of a step while its trainer waits for it."""

import asyncio

from aiohttp import web
from loguru import logger
from msgspec import structs
from xxhash import xxh3_128_hexdigest

from anvilcove.commands.control.weights import WeightsComponent
from anvilcove.commands.rollouts.steps import Steps
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import json_response, read_message
from anvilcove.messages.base import encode
from anvilcove.messages.steps import (
    FIXED,
    MISSING,
    OPEN,
    FixStep,
    StepFix,
    batch_object,
    decode_weights_version,
    weights_key,
)
from anvilcove.messages.table import Check
from anvilcove.messages.trainers import Batch
from anvilcove.ports.errors import PlatformError
from anvilcove.state.steps import StepRun

MAX_FIX_WAIT_MS = 1_000
RETRY_S = 0.2


@register_component
class BatchFinalizer(Component):
    """Commit the batches of the steps that this daemon holds.

    A fixed step is committed: its batch no longer changes and can be read by
    the trainer.
    """

    def __init__(self, context: Context) -> None:
        """Use the steps that this daemon holds."""
        super().__init__(context)
        self.steps: Steps = context.component(Steps)
        self.weights: WeightsComponent = context.component(WeightsComponent)

    def routes(self) -> list[web.RouteDef]:
        """Return the route for peers."""
        return [web.post('/peer/steps/{trainer}/{step}/fix', self._fix)]

    async def _fix(self, request: web.Request) -> web.Response:
        message = await read_message(request, FixStep)
        step = request.match_info['step']
        number = int(step) if step.isdecimal() else 0
        state = await self.fix(
            request.match_info['trainer'],
            number,
            message.fence,
            min(message.wait_ms, MAX_FIX_WAIT_MS) / 1000,
        )
        return json_response(StepFix(state=state))

    async def fix(
        self, trainer: str, step: int, fence: int, wait_s: float
    ) -> str:
        """Wait for all samples, fix the step and return its state.

        OPEN means that the step was not fixed within `wait_s`. MISSING means
        that this daemon does not hold the step, or holds it with a lower
        fence than `fence`, the one that the requester has read; a higher one
        is accepted.
        """
        run = self.steps.registry.get(trainer, step)
        if run is None or run.row.fence < fence:
            return MISSING
        if run.waiting_since_s is None:
            run.waiting_since_s = self.context.clock.now()
        try:
            async with asyncio.timeout(wait_s):
                while not await self._wait_and_fix(run):
                    await asyncio.sleep(0)
        except TimeoutError:
            return OPEN
        return FIXED if run.row.state == FIXED else MISSING

    async def _wait_and_fix(self, run: StepRun) -> bool:
        """Wait for all samples; return whether the step is done or stopped."""
        await run.complete.wait()
        return await asyncio.shield(
            self.steps.runner.spawn(self._retry_fix(run))
        )

    async def _retry_fix(self, run: StepRun) -> bool:
        while True:
            try:
                return await self._try_fix(run)
            except PlatformError as error:
                logger.warning(
                    'step {} not fixed, will retry: {}', run.step_id, error
                )
                await self.context.clock.sleep(RETRY_S)

    async def _try_fix(self, run: StepRun) -> bool:
        """Fix the step unless samples are stale, which are then restarted.

        Return whether the step is fixed or stopped.
        """
        async with run.lock:
            if run.stopped or run.row.state == FIXED:
                self.steps.stop_work(run, 'fixed')
                return True
            row = run.row
            key = weights_key(row.model)
            weights = (await self.context.ports['table'].read([key]))[key]
            newest = decode_weights_version(weights)
            self.weights.update_newest(row.model, newest)
            stale = run.stale_samples(newest)
            for sample in stale:
                self.steps.runner.restart(run, sample)
            if not run.complete.is_set():
                return False
            digest = await self._store_batch(run)
            oldest = run.oldest()
            fixed = structs.replace(
                row,
                state=FIXED,
                batch=digest,
                oldest=newest if oldest is None else oldest,
            )
            check = Check(key=key, revision=weights.revision)
            if await self.steps.write_row(run, fixed, check):
                self._record_staleness(run, newest)
                self.steps.stop_work(run, 'fixed')
                return True
            return run.stopped

    def _record_staleness(self, run: StepRun, newest: int) -> None:
        """Record the staleness of each sample in the batch."""
        for sample in run.samples:
            if sample.result is not None and sample.result.versions:
                oldest = min(p.version for p in sample.result.versions)
                self.context.metrics.sample_delivered(
                    run.row.class_name, newest - oldest
                )

    async def _store_batch(self, run: StepRun) -> str:
        """Write the batch as an object and return its digest.

        The object is written before the row refers to it.
        """
        body, row = run.body, run.row
        batch = Batch(
            trainer=body.trainer,
            step=body.step,
            epoch=row.epoch,
            model=row.model,
            samples=[s.result for s in run.samples if s.result is not None],
        )
        data = encode(batch)
        digest = xxh3_128_hexdigest(data)
        if run.stored_batch_digest != digest:
            name = batch_object(body.trainer, body.step, row.epoch, digest)
            await self.context.ports['objects'].put(name, data)
            run.stored_batch_digest = digest
        return digest
