"""Send urgent news to every peer at once."""

import asyncio

from aiohttp import web
from loguru import logger

from anvilcove.daemon.context import Context, Part
from anvilcove.daemon.parts import part
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import read_message, reply
from anvilcove.messages.peers import Announce, Announced
from anvilcove.settings.classes import declaration_errors
from anvilcove.state.peers import PeerState

# The scaled-up form uses relays (docs/CAPACITY.md); the present sites have 13
# hosts at most.
ANNOUNCE_TIMEOUT_S = 1.0


@part
class AnnouncePart(Part):
    """Send and receive leaving marks, suspects, draining, revisions."""

    def __init__(self, context: Context) -> None:
        """Start with nothing to send."""
        super().__init__(context)
        self._sending: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the route that peers call."""
        return [web.post('/peer/announce', self._receive)]

    async def send(
        self, news: Announce, to: list[PeerState] | None = None
    ) -> list[Announced]:
        """Send news to all peers, or to some, and return their answers."""
        peers = self.context.peers.others() if to is None else to
        answers = await asyncio.gather(*(self._call(p, news) for p in peers))
        return [answer for answer in answers if answer is not None]

    def send_soon(self, news: Announce) -> None:
        """Send news to all peers without waiting for the answers."""
        task = self.context.control_task(self._send_all(news))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def suspects(self) -> None:
        """Tell all peers the suspected contents, right after a crash."""
        context = self.context
        now = context.clock.now()
        digests = context.policy('quarantine').digests(now)
        if digests:
            self.send_soon(
                Announce(host=context.settings.host, suspects=digests)
            )

    async def drain(self) -> None:
        """Wait until the last news were sent."""
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def _send_all(self, news: Announce) -> None:
        await self.send(news)

    async def _call(self, peer: PeerState, news: Announce) -> Announced | None:
        try:
            return await call_peer(
                self.context,
                peer,
                'POST',
                '/peer/announce',
                Announced,
                news,
                ANNOUNCE_TIMEOUT_S,
            )
        except PeerError as error:
            logger.debug('announcement not delivered: {}', error)
            return None

    async def _receive(self, request: web.Request) -> web.Response:
        news = await read_message(request, Announce)
        context = self.context
        now = context.clock.now()
        peer = context.peers.by_host.get(news.host)
        if peer is not None and news.draining:
            peer.draining = True
            peer.beat = max(peer.beat, news.beat)
        context.endpoints.merge_marks(news.leaving, now)
        if news.suspects:
            context.policy('quarantine').merge(now, news.suspects)
        if news.document is not None and not declaration_errors(news.document):
            context.config.adopt(news.revision, news.document, now)
        return reply(
            Announced(
                host=context.settings.host, revision=context.config.revision
            )
        )
