"""Start a graceful shutdown."""

from aiohttp import web
from loguru import logger

from anvilcove.commands.control.announce import AnnouncePart
from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.replies import read_message, reply
from anvilcove.messages.operators import Drain
from anvilcove.messages.peers import Announce


async def start_draining(context: Context) -> None:
    """Announce the drain, then wait until callers' entry lists expire.

    Until then callers may still send requests to this host.
    """
    if context.draining:
        return
    context.draining = True
    logger.info('draining started')
    await context.part(AnnouncePart).send(
        Announce(
            host=context.settings.host,
            draining=True,
            beat=context.peers.next_beat(context.clock.now()),
        )
    )
    await context.clock.sleep(context.settings.timing.entry_ttl_ms / 1000)


@part
class DrainPart(Part):
    """Handle `POST /v1/drain`, which stops the daemon."""

    def routes(self) -> list[web.RouteDef]:
        """Return the route of the operator API."""
        return [web.post('/v1/drain', self._drain)]

    async def _drain(self, request: web.Request) -> web.Response:
        if request.can_read_body:
            await read_message(request, Drain)
        self.context.stop.set()
        return reply({'draining': True})
