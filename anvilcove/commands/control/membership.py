"""Poll the membership list of the platform."""

from loguru import logger

from anvilcove.commands.control.announce import AnnounceComponent
from anvilcove.daemon.context import Component
from anvilcove.daemon.parts import register_component
from anvilcove.messages.peers import Announce
from anvilcove.ports.errors import PlatformError
from anvilcove.state.background_tasks import Work


@register_component
class MembershipPoller(Component):
    """Update the known hosts and endpoints from the membership list."""

    control = True

    def tasks(self) -> list[Work]:
        """Return the polling loop."""
        return [self._poll]

    async def _poll(self) -> None:
        period_s = self.context.settings.timing.membership_period_ms / 1000
        while True:
            await self.refresh()
            await self.context.sleep_until_tick(period_s)

    async def refresh(self) -> None:
        """Read the list once; keep the last one if it cannot be read."""
        context = self.context
        asked_at_s = context.clock.now()
        try:
            members = await context.ports['membership'].members()
        except PlatformError as error:
            logger.warning('membership list not available: {}', error)
            return
        context.peers.update(members.hosts, asked_at_s)
        leaving_endpoints = context.endpoints.update(
            members.endpoints, asked_at_s
        )
        context.confirmation.record_members_read(asked_at_s)
        if leaving_endpoints:
            logger.info('endpoints are leaving: {}', leaving_endpoints)
            context.component(AnnounceComponent).send_soon(
                Announce(host=context.settings.host, leaving=leaving_endpoints)
            )
