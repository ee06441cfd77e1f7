"""Trainer library: submit steps, receive batches, publish weights."""

import asyncio
import itertools
import random
import time
from collections.abc import AsyncIterator, Callable
from types import TracebackType

from aiohttp import ClientSession, ClientTimeout
from msgspec import Struct, field
from xxhash import xxh3_128_hexdigest

from anvilcove.client.entries import EntrySelector
from anvilcove.client.keys import ApiKey, key_headers
from anvilcove.client.settings import ClientSettings
from anvilcove.http.sessions import PLAIN_HEADERS, open_session
from anvilcove.messages.base import MessageError, decode, encode
from anvilcove.messages.callers import Entry
from anvilcove.messages.http_errors import CALL_ERRORS
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
    """Raised when a call is rejected, or still fails after `give_up_s`."""

    def __init__(self, reason: str, status: int = 0) -> None:
        """Store the HTTP status, 0 if there was no response."""
        super().__init__(reason)
        self.status = status


class StepConsumedError(TrainerError):
    """Raised when the requested step was already acknowledged."""


class TrainerSettings(Struct, kw_only=True):
    """Settings of one trainer.

    `entries` are addresses `ip:port` of some entry hosts; with `discover`,
    the list of entry hosts is fetched from them. A response that takes longer
    than `response_limit_s` is discarded: if weights were published meanwhile,
    its batch may exceed the staleness bound. A call that no entry host answers
    is retried after `pause_s`, and fails after `give_up_s`. Sites with
    workspaces require the `key` of one, which then owns the trainer's name.
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
    key: ApiKey | None = None


class TrainerBatch:
    """Samples of one step; acknowledge them once they are consumed."""

    __slots__ = ('step', 'epoch', 'digest', 'model', 'samples', '_trainer')

    def __init__(
        self, trainer: 'Trainer', batch: Batch, epoch: int, digest: str
    ) -> None:
        """Copy the fields of a decoded batch."""
        self._trainer = trainer
        self.step = batch.step
        self.epoch = epoch
        self.digest = digest
        self.model = batch.model
        self.samples: list[Sample] = batch.samples

    async def ack(self) -> None:
        """Acknowledge the batch as consumed."""
        await self._trainer.acknowledge(self)


class _Response:
    __slots__ = ('status', 'data', 'headers', 'duration_s')

    def __init__(
        self,
        status: int,
        data: bytes,
        headers: dict[str, str],
        duration_s: float,
    ) -> None:
        self.status = status
        self.data = data
        self.headers = headers
        self.duration_s = duration_s


class Trainer:
    """Client of one trainer; use it as an asynchronous context manager.

    Each step is yielded at most once, even if the service sends it again.
    """

    def __init__(
        self,
        settings: TrainerSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Store the settings; `__aenter__` opens the connection pool."""
        self.settings = settings
        self.taken: set[int] = set()
        self._clock = clock
        self._session: ClientSession | None = None
        self._failure_count = 0
        self._entry: Entry | None = None
        self._selector: EntrySelector | None = None

    async def __aenter__(self) -> 'Trainer':
        """Open the connection pool."""
        settings = self.settings
        self._session = open_session(
            headers={**PLAIN_HEADERS, **settings.headers}
        )
        if settings.discover:
            self._selector = EntrySelector(
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
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()

    async def submit(self, step: int, groups: list[GroupSpec]) -> int:
        """Submit a step and return its epoch; the call is idempotent."""
        message = SubmitStep(
            trainer=self.settings.trainer,
            class_name=self.settings.class_name,
            step=step,
            groups=groups,
        )
        response = await self._call('POST', '/v1/steps', message)
        _require_ok(response)
        return decode(response.data, StepAccepted).epoch

    async def publish(self, model: str, version: int) -> None:
        """Publish a version of the weights of a model.

        Batches delivered after this call returns respect the staleness bound
        relative to this version.
        """
        message = PublishWeights(model=model, version=version)
        _require_ok(await self._call('POST', '/v1/weights', message))

    async def batches(self, after: int) -> AsyncIterator[TrainerBatch]:
        """Yield the batch of each step after `after`, without end."""
        for step in itertools.count(after + 1):
            if step in self.taken:
                continue
            batch = await self._fetch_batch(step)
            self.taken.add(step)
            yield batch

    async def acknowledge(self, batch: TrainerBatch) -> None:
        """Acknowledge a consumed batch.

        If the service has generated the step again under a new epoch, the new
        batch is fetched and acknowledged instead, and its samples are
        discarded.
        """
        while True:
            response = await self._send_ack(batch)
            if response.status != 409:
                _require_ok(response)
                return
            try:
                current = await self._fetch_batch(batch.step)
            except StepConsumedError:
                return
            if current.digest == batch.digest:
                await self._acknowledge_previous(batch, response)
            batch = current

    async def _acknowledge_previous(
        self, batch: TrainerBatch, refusal: _Response
    ) -> None:
        """Acknowledge the previous step.

        A trainer that stopped after it consumed a step and before it
        acknowledged it restarts with that step as `after`. The cursor of the
        service advances one step at a time, so the service refuses the next
        step until this one is acknowledged.
        """
        if batch.step <= 1:
            raise TrainerError(_error_text(refusal), refusal.status)
        try:
            async with asyncio.timeout(self.settings.give_up_s):
                previous = await self._fetch_batch(batch.step - 1)
        except StepConsumedError:
            raise TrainerError(_error_text(refusal), refusal.status) from None
        await self.acknowledge(previous)

    async def _send_ack(self, batch: TrainerBatch) -> _Response:
        message = AckBatch(
            step=batch.step, epoch=batch.epoch, digest=batch.digest
        )
        path = f'/v1/trainers/{self.settings.trainer}/ack'
        return await self._call('POST', path, message)

    async def _fetch_batch(self, step: int) -> TrainerBatch:
        path = (
            f'/v1/trainers/{self.settings.trainer}/batch'
            f'?after={step - 1}&wait_ms={self.settings.wait_ms}'
        )
        while True:
            response = await self._call('GET', path)
            if response.status == 409:
                raise StepConsumedError(_error_text(response), 409)
            if response.status != 204:
                _require_ok(response)
                batch = self._decode_batch(response, step)
                if batch is not None:
                    return batch

    def _decode_batch(
        self, response: _Response, step: int
    ) -> TrainerBatch | None:
        """Decode a batch; return None if it is late, corrupt or misdirected.

        A corrupt body does not match its digest; a misdirected one belongs to
        another trainer or step.
        """
        digest = response.headers.get('X-Digest', '')
        if response.duration_s > self.settings.response_limit_s:
            return None
        if xxh3_128_hexdigest(response.data) != digest:
            return None
        try:
            batch = decode(response.data, Batch)
        except MessageError:
            return None
        if (batch.trainer, batch.step) != (self.settings.trainer, step):
            return None
        return TrainerBatch(self, batch, batch.epoch, digest)

    async def _call(
        self, method: str, path: str, message: object | None = None
    ) -> _Response:
        """Call an entry host; after a failure, retry with another one."""
        deadline_at_s = self._clock() + self.settings.give_up_s
        reason = 'no entry host is configured'
        while self._clock() < deadline_at_s and self.settings.entries:
            entry = await self._choose_entry()
            try:
                response = await self._call_once(method, entry, path, message)
            except CALL_ERRORS as error:
                reason = f'{entry}: {error!r}'
            else:
                if response.status not in RETRIED_STATUSES:
                    return response
                reason = f'{entry}: {_error_text(response)}'
            self._drop_entry()
            await asyncio.sleep(self.settings.pause_s)
        raise TrainerError(reason)

    async def _choose_entry(self) -> str:
        """Return the address of the entry host for the next call.

        With discovery, keep the same host while it is in the list, because
        the host that serves a trainer holds its steps. Without discovery, a
        failure moves on to the next configured host.
        """
        entries = self.settings.entries
        if self._selector is None:
            return entries[self._failure_count % len(entries)]
        chosen = await self._selector.choose(set())
        listed = {entry.address for entry in self._selector.entries}
        if self._entry is None or self._entry.address not in listed:
            self._entry = chosen
        return entries[0] if self._entry is None else self._entry.address

    def _drop_entry(self) -> None:
        self._failure_count += 1
        if self._selector is not None and self._entry is not None:
            self._selector.mark_failed(self._entry)
        self._entry = None

    async def _call_once(
        self, method: str, entry: str, path: str, message: object | None
    ) -> _Response:
        assert self._session is not None, 'use the trainer in `async with`'
        started_s = self._clock()
        timeout_s = self.settings.call_timeout_s
        if method == 'GET':
            timeout_s = self.settings.response_limit_s
        async with self._session.request(
            method,
            f'http://{entry}{path}',
            data=None if message is None else encode(message),
            headers=key_headers(self.settings.key),
            timeout=ClientTimeout(total=timeout_s, sock_connect=1.0),
        ) as response:
            data = await response.read()
            return _Response(
                response.status,
                data,
                dict(response.headers),
                self._clock() - started_s,
            )


def _error_text(response: _Response) -> str:
    return (
        f'status {response.status}: '
        f'{response.data[:200].decode(errors="replace")}'
    )


def _require_ok(response: _Response) -> None:
    if response.status != 200:
        raise TrainerError(_error_text(response), response.status)
