"""Attribute endpoint crashes to the contents that were in flight."""

import asyncio

from loguru import logger

from anvilcove.commands.control.announce import AnnounceComponent
from anvilcove.daemon.context import Context
from anvilcove.decisions.types import CRASH, OK
from anvilcove.ports.errors import EndpointError, EndpointNotRun
from anvilcove.state.endpoints import EndpointState


class CrashAccounting:
    """Count crashes of endpoints against the contents in flight there.

    A content is the hash of what a request runs: its class and its body.

    All attempts that one crash breaks count as one crash. A broken connection
    alone is not a crash. If the endpoint still responds afterwards, it only
    cut a response short and the crash is taken back. If it cannot be reached,
    it may be behind a network partition, so all such cases of a content
    together count as one crash.
    """

    __slots__ = ('context', '_in_flight', '_crashed_at_s', '_checks')

    def __init__(self, context: Context) -> None:
        """Start with nothing in flight."""
        self.context = context
        self._in_flight: dict[str, dict[str, int]] = {}
        self._crashed_at_s: dict[str, float] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def started(self, endpoint: str, content: str) -> None:
        """Record that a content is in flight at an endpoint."""
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
        """Record a crash once, or clear the crashes of a completed content."""
        last_s = self._crashed_at_s.get(state.endpoint, float('-inf'))
        if outcome == CRASH and started_at_s > last_s:
            self._crashed_at_s[state.endpoint] = now
            self._record_crash(now, state)
        elif outcome == OK:
            self.context.policy('quarantine').finished(now, content)
        contents = self._in_flight.get(state.endpoint, {})
        remaining = contents.get(content, 0) - 1
        if remaining > 0:
            contents[content] = remaining
        else:
            contents.pop(content, None)

    def _record_crash(self, now: float, state: EndpointState) -> None:
        in_flight = self._in_flight.get(state.endpoint, {})
        contents = [content for content in in_flight if content]
        self.context.policy('quarantine').crashed(
            now, state.endpoint, contents
        )
        self.context.component(AnnounceComponent).suspects()
        check = asyncio.create_task(self._check_reachable(state, contents))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check_reachable(
        self, state: EndpointState, contents: list[str]
    ) -> None:
        try:
            await self.context.endpoint_port(state).load()
            reachable = True
        except EndpointError as error:
            reachable = False
            if not (isinstance(error, EndpointNotRun) and error.unreachable):
                logger.info('endpoint {} crashed: {}', state.endpoint, error)
                return
        logger.info(
            'connection to endpoint {} broke; reachable: {}',
            state.endpoint,
            reachable,
        )
        self.context.policy('quarantine').retract_crashes(
            self.context.clock.now(),
            state.endpoint,
            contents,
            reachable=reachable,
        )
