"""Client for callers: calls and streams with failover."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import aclosing
from types import TracebackType
from typing import Any

from aiohttp import ClientSession, ClientTimeout
from msgspec import Struct

from anvilcove.client.call import Call
from anvilcove.client.entries import EntrySelector
from anvilcove.client.settings import ClientSettings
from anvilcove.http.sessions import open_session
from anvilcove.messages.callers import Outcome, VersionRange
from anvilcove.messages.engines import TokenEvent


class Answer(Struct):
    """Complete answer of a call.

    `versions` gives the weight version that generated each range of tokens.
    """

    request_id: str
    value: Any
    versions: list[VersionRange]


class Client:
    """Client of the service; use it as an asynchronous context manager."""

    def __init__(
        self, settings: ClientSettings, rng: random.Random | None = None
    ) -> None:
        """Store the settings; `__aenter__` opens the connection pool."""
        self.settings = settings
        self._rng = rng or random.Random()
        self._session: ClientSession | None = None
        self._entries: EntrySelector | None = None

    async def __aenter__(self) -> 'Client':
        """Open the connection pool."""
        self._session = open_session(timeout=ClientTimeout(total=None))
        now = asyncio.get_running_loop().time
        self._entries = EntrySelector(
            self.settings, self._session, now, self._rng
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connection pool."""
        if self._entries is not None:
            await self._entries.close()
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        class_name: str,
        body: dict[str, Any],
        *,
        deadline_ms: int = 0,
        repeatable: bool = True,
        key: str = '',
    ) -> Answer:
        """Return the answer of a call.

        Raise NotRunError, FailedError or UnknownOutcomeError.
        """
        call = self._new_call(class_name, body, deadline_ms, repeatable, key)
        async with aclosing(call.run()) as events:
            async for event in events:
                if isinstance(event, Outcome):
                    return _to_answer(event)
        raise AssertionError('the call ended without an outcome')

    async def stream(
        self, class_name: str, body: dict[str, Any], *, deadline_ms: int = 0
    ) -> AsyncIterator[TokenEvent | Answer]:
        """Yield the tokens of a generation in order, then its answer.

        Each token is yielded once, even if the connection breaks meanwhile.
        """
        call = self._new_call(class_name, body, deadline_ms, True, '')
        call.message.stream = True
        async with aclosing(call.run()) as events:
            async for event in events:
                if isinstance(event, Outcome):
                    yield _to_answer(event)
                else:
                    yield event

    def _new_call(
        self,
        class_name: str,
        body: dict[str, Any],
        deadline_ms: int,
        repeatable: bool,
        key: str,
    ) -> Call:
        if self._session is None or self._entries is None:
            raise RuntimeError('use the client in an `async with` statement')
        if not repeatable and not key:
            raise ValueError('a call that is not repeatable needs a key')
        return Call(
            self._session,
            self._entries,
            self._rng,
            class_name=class_name,
            body=body,
            deadline_ms=deadline_ms or self.settings.deadline_ms,
            repeatable=repeatable,
            key=key,
        )


def _to_answer(outcome: Outcome) -> Answer:
    return Answer(
        request_id=outcome.request_id,
        value=outcome.answer,
        versions=outcome.versions,
    )
