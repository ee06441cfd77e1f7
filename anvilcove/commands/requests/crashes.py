"""Account crashes of endpoints to the contents that were in flight."""

import asyncio

from loguru import logger

from anvilcove.commands.control.announce import AnnouncePart
from anvilcove.daemon.context import Context
from anvilcove.decisions.types import CRASH, OK
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.state.endpoints import EndpointState


class CrashAccounting:
    """Contents in flight per endpoint, and the crashes that they met.

    All attempts that a crash breaks belong to one incident. A broken
    connection alone is no crash: an endpoint that still answers afterwards
    ended one answer early, and its contents are forgiven. One that cannot be
    reached may be behind a partition, and all such incidents of a content
    count as one crash.
    """

    __slots__ = ('context', '_in_flight', '_crashed_at_s', '_checks')

    def __init__(self, context: Context) -> None:
        """Start with nothing in flight."""
        self.context = context
        self._in_flight: dict[str, dict[str, int]] = {}
        self._crashed_at_s: dict[str, float] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def started(self, endpoint: str, content: str) -> None:
        """Count a content as in flight."""
        contents = self._in_flight.setdefault(endpoint, {})
        contents[content] = contents.get(content, 0) + 1

    def ended(
        self,
        now: float,
        state: EndpointState,
        content: str,
        started_at_s: float,
        outcome: str,
    ) -> None:
        """Count a crash once, or clear a content that ran to its end."""
        last_s = self._crashed_at_s.get(state.endpoint, float('-inf'))
        if outcome == CRASH and started_at_s > last_s:
            self._crashed_at_s[state.endpoint] = now
            self._count(now, state)
        elif outcome == OK:
            self.context.policy('quarantine').finished(now, content)
        contents = self._in_flight.get(state.endpoint, {})
        left = contents.get(content, 0) - 1
        if left > 0:
            contents[content] = left
        else:
            contents.pop(content, None)

    def _count(self, now: float, state: EndpointState) -> None:
        in_flight = self._in_flight.get(state.endpoint, {})
        contents = [content for content in in_flight if content]
        self.context.policy('quarantine').crashed(
            now, state.endpoint, contents
        )
        self.context.part(AnnouncePart).suspects()
        check = asyncio.create_task(self._check(state, contents))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(self, state: EndpointState, contents: list[str]) -> None:
        try:
            await self.context.endpoint_port(state).load()
            reachable = True
        except EndpointError as error:
            reachable = False
            if not (isinstance(error, EndpointNotRun) and error.unreachable):
                logger.info('{} crashed: {}', state.endpoint, error)
                return
        logger.info(
            '{} broke a connection; reachable: {}', state.endpoint, reachable
        )
        self.context.policy('quarantine').forgive(
            self.context.clock.now(),
            state.endpoint,
            contents,
            reachable=reachable,
        )
