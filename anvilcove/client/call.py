"""Send one call to entry hosts until its outcome is known."""

import asyncio
import random
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from aiohttp import ClientSession
from msgspec import Raw

from anvilcove.client.entries import EntrySelector
from anvilcove.client.errors import (
    ConnectionBroken,
    EntryRefused,
    EntryUnreachable,
    FailedError,
    NotRunError,
    UnknownOutcomeError,
)
from anvilcove.client.exchange import fetch_outcome, submit
from anvilcove.messages.base import encode
from anvilcove.messages.callers import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Entry,
    Outcome,
    SubmitRequest,
)
from anvilcove.messages.engines import TokenEvent

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
# Longest wait of one poll for the outcome of a request.
ATTACH_POLL_S = 2.0
# A call that has certainly not run fails after this many refusals.
MAX_REFUSALS = 2


class Call:
    """Request that is retried at other hosts while that is safe.

    A request that may have run is sent again under its key or identifier.
    """

    __slots__ = (
        'session',
        'entries',
        'rng',
        'message',
        'tokens',
        '_deadline_at_s',
        '_may_have_run',
        '_tried_addresses',
        '_backoff_s',
        '_refusal_count',
    )

    def __init__(
        self,
        session: ClientSession,
        entries: EntrySelector,
        rng: random.Random,
        *,
        class_name: str,
        body: dict[str, Any],
        deadline_ms: int,
        repeatable: bool,
        key: str,
    ) -> None:
        """Start the deadline, which counts from the creation of the call."""
        self.session = session
        self.entries = entries
        self.rng = rng
        self.message = SubmitRequest(
            request_id='',
            class_name=class_name,
            caller=entries.settings.caller,
            body=Raw(encode(body)),
            deadline_ms=deadline_ms,
            repeatable=repeatable,
            key=key,
        )
        # Tokens that were yielded already.
        self.tokens: list[TokenEvent] = []
        self._deadline_at_s = self._now() + deadline_ms / 1000
        self._may_have_run = False
        self._tried_addresses: set[str] = set()
        self._backoff_s = INITIAL_BACKOFF_S
        self._refusal_count = 0

    async def run(self) -> AsyncGenerator[TokenEvent | Outcome, None]:
        """Yield each token once, then the outcome, or raise CallError."""
        while self._remaining_s() > 0:
            entry = await self.entries.choose(self._tried_addresses)
            if entry is None:
                self._tried_addresses.clear()
                await self._back_off()
                continue
            try:
                async for event in self._send(entry):
                    yield event
                    if isinstance(event, Outcome):
                        return
            except EntryUnreachable:
                self._tried_addresses.add(entry.address)
                self.entries.mark_failed(entry)
            except EntryRefused as error:
                self._tried_addresses.add(entry.address)
                await self._handle_refusal(error)
            except ConnectionBroken:
                self._may_have_run = True
                self._tried_addresses.add(entry.address)
                self.entries.mark_failed(entry)
                outcome = await self._attach()
                if outcome is not None:
                    for event in self._undelivered_events(outcome):
                        yield event
                    return
        raise self._deadline_error()

    async def _send(
        self, entry: Entry
    ) -> AsyncGenerator[TokenEvent | Outcome, None]:
        """Send the request once and yield new tokens and the final outcome.

        If no outcome is yielded, the caller sends the request again.
        """
        message = self.message
        if not self._may_have_run or not message.request_id:
            self._assign_request_id(entry)
        message.deadline_ms = max(int(self._remaining_s() * 1000), 1)
        settings = self.entries.settings
        timeout_s = settings.connect_timeout_ms / 1000
        exchange = submit(
            self.session, entry, message, timeout_s, settings.key
        )
        async with aclosing(exchange) as events:
            async for event in events:
                if isinstance(event, TokenEvent):
                    if self._add_token(event):
                        yield event
                elif self._is_answered(event):
                    for undelivered in self._undelivered_events(event):
                        yield undelivered
                else:
                    await self._prepare_retry(event)

    async def _prepare_retry(self, outcome: Outcome) -> None:
        """Clear the identifier, but not the key, and back off."""
        self._may_have_run |= outcome.outcome == UNKNOWN
        self.message.request_id = ''
        await self._back_off(outcome.retry_after_ms / 1000)

    async def _handle_refusal(self, error: EntryRefused) -> None:
        """Return if another host may be tried, else raise CallError."""
        self._refusal_count += 1
        if self._may_have_run and self.message.repeatable:
            raise FailedError(str(error), error.retry_after_s)
        if self._may_have_run:
            await self._back_off()
        elif self._refusal_count >= MAX_REFUSALS:
            raise NotRunError(str(error), error.retry_after_s)

    def _assign_request_id(self, entry: Entry) -> None:
        """Assign an identifier that starts with the name of the host.

        Other hosts read from it which host holds the outcome.
        """
        text = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.message.request_id = (
            f'{entry.host}.{text}' if entry.host else text
        )

    def _is_answered(self, outcome: Outcome) -> bool:
        """Return True for an answer and False for a retry.

        Raise CallError if the call failed for good.
        """
        retry_after_s = outcome.retry_after_ms / 1000
        if outcome.outcome == ANSWERED:
            if not outcome.complete:
                raise ConnectionBroken('the answer is incomplete')
            return True
        if outcome.outcome == NOT_RUN and not self._may_have_run:
            raise NotRunError(outcome.reason, retry_after_s)
        if self.message.repeatable:
            raise FailedError(outcome.reason, retry_after_s)
        if outcome.outcome == UNKNOWN and not outcome.retry_after_ms:
            raise UnknownOutcomeError(outcome.reason)
        return False

    async def _attach(self) -> Outcome | None:
        """Poll other hosts for the outcome of the request that was sent.

        Return None if the request has to be sent again.
        """
        settings = self.entries.settings
        while (remaining_s := self._remaining_s()) > 0:
            entry = await self.entries.choose(self._tried_addresses)
            if entry is None:
                return None
            try:
                found = await fetch_outcome(
                    self.session,
                    entry,
                    self.message.request_id,
                    min(remaining_s, ATTACH_POLL_S),
                    settings.connect_timeout_ms / 1000,
                    settings.key,
                )
            except (EntryUnreachable, ConnectionBroken):
                self._tried_addresses.add(entry.address)
                self.entries.mark_failed(entry)
                continue
            if found is not True:
                return found if found and found.complete else None
        return None

    def _undelivered_events(
        self, outcome: Outcome
    ) -> list[TokenEvent | Outcome]:
        """Return the tokens not yielded yet, followed by the outcome."""
        events: list[TokenEvent | Outcome] = []
        if self.message.stream:
            texts = outcome.answer['tokens']
            for version_range in outcome.versions:
                for index in range(version_range.start, version_range.end):
                    token = TokenEvent(
                        request_id=outcome.request_id,
                        index=index,
                        text=texts[index],
                        version=version_range.version,
                    )
                    if self._add_token(token):
                        events.append(token)
        return [*events, outcome]

    def _add_token(self, token: TokenEvent) -> bool:
        """Return whether a token is new, and store it if so.

        Raise FailedError if the text differs from that of the token yielded
        at this index, ConnectionBroken if a token before it is missing.
        """
        if token.index < len(self.tokens):
            if token.text != self.tokens[token.index].text:
                raise FailedError(
                    'a repeated generation produced other tokens'
                )
            return False
        if token.index > len(self.tokens):
            raise ConnectionBroken('a token is missing')
        self.tokens.append(token)
        return True

    async def _back_off(self, min_pause_s: float = 0.0) -> None:
        pause_s = max(self._backoff_s, min_pause_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
        await asyncio.sleep(max(min(pause_s, self._remaining_s()), 0.0))

    def _deadline_error(self) -> Exception:
        if not self._may_have_run:
            return NotRunError('no entry host was reached before the deadline')
        if self.message.repeatable:
            return FailedError('no answer before the deadline')
        return UnknownOutcomeError('no outcome before the deadline')

    def _remaining_s(self) -> float:
        return self._deadline_at_s - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
