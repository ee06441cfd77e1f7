"""One call on its way through entry hosts until its outcome is known."""

import asyncio
import random
import uuid
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Any

from aiohttp import ClientSession

from anvilcove.client.entries import EntryBook
from anvilcove.client.errors import (
    ConnectionBroken,
    EntryRefused,
    EntryUnreachable,
    FailedError,
    NotRunError,
    UnknownOutcomeError,
)
from anvilcove.client.exchange import ask_outcome, post
from anvilcove.messages.callers import (
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    Entry,
    Outcome,
    SubmitRequest,
)
from anvilcove.messages.engines import TokenEvent

FIRST_PAUSE_S = 0.05
LAST_PAUSE_S = 1.0
ATTACH_ROUND_S = 2.0
# Hosts that may refuse a call for reasons of their own before it ends.
REFUSALS = 2


class Call:
    """A request that is sent again as long as that is safe and useful."""

    __slots__ = (
        'session',
        'entries',
        'rng',
        'message',
        'tokens',
        '_deadline_at_s',
        '_may_have_run',
        '_tried',
        '_pause_s',
        '_refusals',
    )

    def __init__(
        self,
        session: ClientSession,
        entries: EntryBook,
        rng: random.Random,
        *,
        class_name: str,
        body: dict[str, Any],
        deadline_ms: int,
        repeatable: bool,
        key: str,
    ) -> None:
        """Start the clock of the deadline."""
        self.session = session
        self.entries = entries
        self.rng = rng
        self.message = SubmitRequest(
            request_id='',
            class_name=class_name,
            caller=entries.settings.caller,
            body=body,
            deadline_ms=deadline_ms,
            repeatable=repeatable,
            key=key,
        )
        # Tokens that were passed on already.
        self.tokens: list[TokenEvent] = []
        self._deadline_at_s = self._now() + deadline_ms / 1000
        self._may_have_run = False
        self._tried: set[str] = set()
        self._pause_s = FIRST_PAUSE_S
        self._refusals = 0

    async def run(self) -> AsyncGenerator[TokenEvent | Outcome, None]:
        """Yield new tokens, then the answered outcome, or raise CallError."""
        while self._left_s() > 0:
            entry = await self.entries.choose(self._tried)
            if entry is None:
                self._tried.clear()
                await self._pause()
                continue
            try:
                async for event in self._send(entry):
                    yield event
                    if isinstance(event, Outcome):
                        return
            except EntryUnreachable:
                self._tried.add(entry.address)
                self.entries.failed(entry)
            except EntryRefused as error:
                self._tried.add(entry.address)
                await self._refused(error)
            except ConnectionBroken:
                self._may_have_run = True
                self._tried.add(entry.address)
                self.entries.failed(entry)
                outcome = await self._attach()
                if outcome is not None:
                    for event in self._events_of(outcome):
                        yield event
                    return
        raise self._too_late()

    async def _send(
        self, entry: Entry
    ) -> AsyncGenerator[TokenEvent | Outcome, None]:
        """Send the request once; end without an outcome to send it again."""
        message = self.message
        if not self._may_have_run or not message.request_id:
            self._new_identifier(entry)
        message.deadline_ms = max(int(self._left_s() * 1000), 1)
        timeout_s = self.entries.settings.connect_timeout_ms / 1000
        exchange = post(self.session, entry, message, timeout_s)
        async with aclosing(exchange) as events:
            async for event in events:
                if isinstance(event, TokenEvent):
                    if self._is_new(event):
                        yield event
                elif self._is_answer(event):
                    for last in self._events_of(event):
                        yield last
                else:
                    await self._ask_again(event)

    async def _ask_again(self, outcome: Outcome) -> None:
        """Prepare to send the same key under a new identifier."""
        self._may_have_run |= outcome.outcome == UNKNOWN
        self.message.request_id = ''
        await self._pause(outcome.retry_after_ms / 1000)

    async def _refused(self, error: EntryRefused) -> None:
        """Return to ask another host, or raise CallError."""
        self._refusals += 1
        if self._may_have_run and self.message.repeatable:
            raise FailedError(str(error), error.retry_after_s)
        if self._may_have_run:
            await self._pause()
        elif self._refusals >= REFUSALS:
            raise NotRunError(str(error), error.retry_after_s)

    def _new_identifier(self, entry: Entry) -> None:
        """Name the host that is asked first, so that others find it."""
        text = uuid.UUID(int=self.rng.getrandbits(128)).hex
        self.message.request_id = (
            f'{entry.host}.{text}' if entry.host else text
        )

    def _is_answer(self, outcome: Outcome) -> bool:
        """Return False to ask again; raise CallError for a final outcome."""
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
        """Ask other hosts for the answer; None to send the request again."""
        settings = self.entries.settings
        while (left_s := self._left_s()) > 0:
            entry = await self.entries.choose(self._tried)
            if entry is None:
                return None
            try:
                found = await ask_outcome(
                    self.session,
                    entry,
                    self.message.request_id,
                    min(left_s, ATTACH_ROUND_S),
                    settings.connect_timeout_ms / 1000,
                )
            except (EntryUnreachable, ConnectionBroken):
                self._tried.add(entry.address)
                self.entries.failed(entry)
                continue
            if found is not True:
                return found if found and found.complete else None
        return None

    def _events_of(self, outcome: Outcome) -> list[TokenEvent | Outcome]:
        """Return the tokens of an answer that were not passed on, and it."""
        events: list[TokenEvent | Outcome] = []
        if self.message.stream:
            texts = outcome.answer['tokens']
            for version in outcome.versions:
                for index in range(version.start, version.end):
                    token = TokenEvent(
                        request_id=outcome.request_id,
                        index=index,
                        text=texts[index],
                        version=version.version,
                    )
                    if self._is_new(token):
                        events.append(token)
        return [*events, outcome]

    def _is_new(self, token: TokenEvent) -> bool:
        """Remember a token; raise FailedError if an earlier one differs."""
        if token.index < len(self.tokens):
            if token.text != self.tokens[token.index].text:
                raise FailedError('the generation was run again differently')
            return False
        if token.index > len(self.tokens):
            raise ConnectionBroken('a token is missing')
        self.tokens.append(token)
        return True

    async def _pause(self, shortest_s: float = 0.0) -> None:
        pause_s = max(self._pause_s, shortest_s)
        self._pause_s = min(2 * self._pause_s, LAST_PAUSE_S)
        await asyncio.sleep(max(min(pause_s, self._left_s()), 0.0))

    def _too_late(self) -> Exception:
        if not self._may_have_run:
            return NotRunError('no entry host was reached before the deadline')
        if self.message.repeatable:
            return FailedError('no answer before the deadline')
        return UnknownOutcomeError('no outcome before the deadline')

    def _left_s(self) -> float:
        return self._deadline_at_s - self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
