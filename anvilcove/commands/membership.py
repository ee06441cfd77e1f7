"""Poll the membership list and adopt it."""

from collections.abc import Coroutine
from typing import Any

from loguru import logger

from anvilcove.daemon.context import Part
from anvilcove.daemon.parts import part
from anvilcove.platform.errors import PlatformError


@part
class MembershipPoller(Part):
    """Keep the known hosts and endpoints near the platform's list."""

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the polling loop."""
        return [self._poll()]

    async def _poll(self) -> None:
        period_s = self.context.settings.timing.membership_period_ms / 1000
        while True:
            await self.refresh()
            await self.context.clock.sleep(period_s)

    async def refresh(self) -> None:
        """Read the list once; the last list stays when it cannot be read."""
        try:
            members = await self.context.ports['membership'].members()
        except PlatformError as error:
            logger.warning('membership list not available: {}', error)
            return
        self.context.peers.update(members.hosts)
        self.context.endpoints.update(members.endpoints)
