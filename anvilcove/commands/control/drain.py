"""Start a graceful shutdown."""

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.announce import AnnounceComponent
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.replies import json_response, read_message
from anvilcove.messages.operators import Drain
from anvilcove.messages.peers import Announce


async def start_draining(context: Context) -> None:
    """Announce the drain, then wait until callers' entry lists expire.

    Until then callers may still send requests to this host.
    """
    if context.draining:
        return
    context.draining = True
    timing = context.settings.timing
    context.closes_at_s = (
        context.clock.now()
        + (timing.entry_ttl_ms + timing.drain_limit_ms) / 1000
    )
    logger.info('draining started')
    await context.component(AnnounceComponent).send(
        Announce(
            host=context.settings.host,
            draining=True,
            beat=context.peers.next_beat(context.clock.now()),
        )
    )
    await context.clock.sleep(context.settings.timing.entry_ttl_ms / 1000)


@register_component
class DrainComponent(Component):
    """Handle `POST /v1/drain`, which stops the daemon."""

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the operator API."""
        return [web.post('/v1/drain', self._drain)]

    async def _drain(self, request: web.Request) -> web.Response:
        if request.can_read_body:
            await read_message(request, Drain)
        self.context.stop.set()
        return json_response({'draining': True})
