"""Trainer library: submit steps, receive batches, publish weights."""

import asyncio
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from types import TracebackType

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct, field
from xxhash import xxh3_128_hexdigest

from anvilcove.client.entries import EntryBook
from anvilcove.client.settings import ClientSettings
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.callers import Entry
from anvilcove.messages.trainers import (
    AckBatch,
    Batch,
    GroupSpec,
    PublishWeights,
    Sample,
    StepAccepted,
    SubmitStep,
)

RETRIED_STATUSES = (408, 429, 500, 502, 503, 504)


class TrainerError(Exception):
    """Raised when the service refuses a call for good."""

    def __init__(self, reason: str, status: int = 0) -> None:
        """Keep the HTTP status, 0 when there was none."""
        super().__init__(reason)
        self.status = status


class StepConsumedError(TrainerError):
    """Raised when the wanted step was acknowledged earlier."""


class TrainerSettings(Struct, kw_only=True):
    """Settings of one trainer.

    `entries` are addresses `ip:port` of entry hosts to ask first; with
    `discover`, the hosts that they name are used. A response that takes
    longer than `response_limit_s` is dropped: newer weights may have put it
    outside the staleness bound on its way. A call that no entry host answers
    within `give_up_s` fails.
    """

    trainer: str
    class_name: str
    entries: list[str]
    data_centre: str = ''
    discover: bool = True
    wait_ms: int = 1_000
    response_limit_s: float = 2.0
    call_timeout_s: float = 4.0
    give_up_s: float = 120.0
    pause_s: float = 0.1
    outgoing_ip: str = ''
    headers: dict[str, str] = field(default_factory=dict)


class TrainerBatch:
    """Samples of one step; acknowledge them once they are consumed."""

    __slots__ = ('step', 'epoch', 'digest', 'model', 'samples', '_trainer')

    def __init__(
        self, trainer: 'Trainer', batch: Batch, epoch: int, digest: str
    ) -> None:
        """Keep the decoded batch."""
        self._trainer = trainer
        self.step = batch.step
        self.epoch = epoch
        self.digest = digest
        self.model = batch.model
        self.samples: list[Sample] = batch.samples

    async def ack(self) -> None:
        """Tell the service that the batch was consumed."""
        await self._trainer.acknowledge(self)


class _Reply:
    __slots__ = ('status', 'data', 'headers', 'seconds')

    def __init__(
        self, status: int, data: bytes, headers: dict[str, str], seconds: float
    ) -> None:
        self.status = status
        self.data = data
        self.headers = headers
        self.seconds = seconds


class Trainer:
    """Connection of one trainer to the service.

    Each step is handed out at most once, whatever the service sends.
    """

    def __init__(
        self,
        settings: TrainerSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the settings; nothing is connected yet."""
        self.settings = settings
        self.taken: set[int] = set()
        self._clock = clock
        self._session: ClientSession | None = None
        self._failures = 0
        self._entry: Entry | None = None
        self._book: EntryBook | None = None

    async def __aenter__(self) -> 'Trainer':
        """Open the connections."""
        settings = self.settings
        self._session = ClientSession(headers=settings.headers)
        if settings.discover:
            self._book = EntryBook(
                ClientSettings(
                    caller=settings.trainer,
                    addresses=settings.entries,
                    data_centre=settings.data_centre,
                ),
                self._session,
                self._clock,
                random.Random(),
            )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def submit(self, step: int, groups: list[GroupSpec]) -> int:
        """Submit a step and return its epoch; repeating it is harmless."""
        message = SubmitStep(
            trainer=self.settings.trainer,
            class_name=self.settings.class_name,
            step=step,
            groups=groups,
        )
        reply = await self._call('POST', '/v1/steps', message)
        _require_ok(reply)
        return decode(reply.data, StepAccepted).epoch

    async def publish(self, model: str, version: int) -> None:
        """Announce weights; returns once every later batch respects them."""
        message = PublishWeights(model=model, version=version)
        _require_ok(await self._call('POST', '/v1/weights', message))

    async def batches(self, after: int) -> AsyncIterator[TrainerBatch]:
        """Yield the batch of each step after the given one, for ever."""
        for step in itertools.count(after + 1):
            if step in self.taken:
                continue
            batch = await self._fetch(step)
            self.taken.add(step)
            yield batch

    async def acknowledge(self, batch: TrainerBatch) -> None:
        """Acknowledge a consumed batch.

        If the service generated the step again meanwhile, the new epoch is
        fetched, dropped and acknowledged in place of the consumed one.
        """
        while True:
            reply = await self._send_ack(batch)
            if reply.status != 409:
                _require_ok(reply)
                return
            try:
                current = await self._fetch(batch.step)
            except StepConsumedError:
                return
            if current.digest == batch.digest:
                await self._acknowledge_earlier(batch, reply)
            batch = current

    async def _acknowledge_earlier(
        self, batch: TrainerBatch, refusal: _Reply
    ) -> None:
        """Acknowledge the step before, which `after` declared as consumed.

        A trainer that ended between consuming and acknowledging a step starts
        again after it, and the cursor does not skip a step.
        """
        if batch.step <= 1:
            raise TrainerError(_reason(refusal), refusal.status)
        try:
            async with asyncio.timeout(self.settings.give_up_s):
                earlier = await self._fetch(batch.step - 1)
        except StepConsumedError:
            raise TrainerError(_reason(refusal), refusal.status) from None
        await self.acknowledge(earlier)

    async def _send_ack(self, batch: TrainerBatch) -> _Reply:
        message = AckBatch(
            step=batch.step, epoch=batch.epoch, digest=batch.digest
        )
        path = f'/v1/trainers/{self.settings.trainer}/ack'
        return await self._call('POST', path, message)

    async def _fetch(self, step: int) -> TrainerBatch:
        path = (
            f'/v1/trainers/{self.settings.trainer}/batch'
            f'?after={step - 1}&wait_ms={self.settings.wait_ms}'
        )
        while True:
            reply = await self._call('GET', path)
            if reply.status == 409:
                raise StepConsumedError(_reason(reply), 409)
            if reply.status != 204:
                _require_ok(reply)
                batch = self._checked(reply, step)
                if batch is not None:
                    return batch

    def _checked(self, reply: _Reply, step: int) -> TrainerBatch | None:
        """Return the batch unless it is late, damaged or another one."""
        digest = reply.headers.get('X-Digest', '')
        if reply.seconds > self.settings.response_limit_s:
            return None
        if xxh3_128_hexdigest(reply.data) != digest:
            return None
        try:
            batch = decode(reply.data, Batch)
        except MessageError:
            return None
        if (batch.trainer, batch.step) != (self.settings.trainer, step):
            return None
        return TrainerBatch(self, batch, batch.epoch, digest)

    async def _call(
        self, method: str, path: str, message: object | None = None
    ) -> _Reply:
        """Call an entry host; after a failure, the next one."""
        end_s = self._clock() + self.settings.give_up_s
        reason = 'no entry host is configured'
        while self._clock() < end_s and self.settings.entries:
            entry = await self._choose_entry()
            try:
                reply = await self._call_once(method, entry, path, message)
            except (ClientError, OSError, TimeoutError) as error:
                reason = f'{entry}: {error!r}'
            else:
                if reply.status not in RETRIED_STATUSES:
                    return reply
                reason = f'{entry}: {_reason(reply)}'
            self._leave_entry()
            await asyncio.sleep(self.settings.pause_s)
        raise TrainerError(reason)

    async def _choose_entry(self) -> str:
        """Stay with one host, which then holds the steps, while it is named.

        Without discovery the configured hosts are used in turn.
        """
        entries = self.settings.entries
        if self._book is None:
            return entries[self._failures % len(entries)]
        chosen = await self._book.choose(set())
        named = {entry.address for entry in self._book.entries}
        if self._entry is None or self._entry.address not in named:
            self._entry = chosen
        return entries[0] if self._entry is None else self._entry.address

    def _leave_entry(self) -> None:
        self._failures += 1
        if self._book is not None and self._entry is not None:
            self._book.failed(self._entry)
        self._entry = None

    async def _call_once(
        self, method: str, entry: str, path: str, message: object | None
    ) -> _Reply:
        assert self._session is not None, 'use the trainer in `async with`'
        started_s = self._clock()
        limit_s = self.settings.call_timeout_s
        if method == 'GET':
            limit_s = self.settings.response_limit_s
        async with self._session.request(
            method,
            f'http://{entry}{path}',
            data=None if message is None else encode(message),
            timeout=ClientTimeout(total=limit_s, sock_connect=1.0),
        ) as response:
            data = await response.read()
            return _Reply(
                response.status,
                data,
                dict(response.headers),
                self._clock() - started_s,
            )


def _reason(reply: _Reply) -> str:
    return (
        f'status {reply.status}: {reply.data[:200].decode(errors="replace")}'
    )


def _require_ok(reply: _Reply) -> None:
    if reply.status != 200:
        raise TrainerError(_reason(reply), reply.status)
