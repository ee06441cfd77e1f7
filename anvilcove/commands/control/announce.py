"""Send urgent state changes directly to every peer."""

import asyncio

from aiohttp import web
from loguru import logger

from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.peer_client import PeerError, call_peer
from anvilcove.daemon.replies import json_response, read_message
from anvilcove.messages.peers import Announce, Announced
from anvilcove.settings.classes import declaration_errors
from anvilcove.state.peers import PeerState

# Announcements go to each peer directly, since the present sites have at most
# 13 hosts. Larger sites would use relays, see docs/CAPACITY.md.
ANNOUNCE_TIMEOUT_S = 1.0


@register_component
class AnnounceComponent(Component):
    """Send and receive announcements.

    They carry endpoints that are leaving, suspected contents, draining hosts
    and new revisions of the class declarations.
    """

    def __init__(self, context: Context) -> None:
        """Start without announcements in flight."""
        super().__init__(context)
        self._sending: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the route that peers call."""
        return [web.post('/peer/announce', self._receive)]

    async def send(
        self, announcement: Announce, to: list[PeerState] | None = None
    ) -> list[Announced]:
        """Send to all peers, or to those in `to`; return the answers."""
        peers = self.context.peers.others() if to is None else to
        answers = await asyncio.gather(
            *(self._call(p, announcement) for p in peers)
        )
        return [answer for answer in answers if answer is not None]

    def send_soon(self, announcement: Announce) -> None:
        """Send to all peers without waiting for the answers."""
        task = self.context.control_task(self._send_all(announcement))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def suspects(self) -> None:
        """Announce the suspected contents, right after a crash."""
        context = self.context
        now = context.clock.now()
        digests = context.policy('quarantine').digests(now)
        if digests:
            self.send_soon(
                Announce(host=context.settings.host, suspects=digests)
            )

    async def drain(self) -> None:
        """Wait until the last announcements were sent."""
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def _send_all(self, announcement: Announce) -> None:
        await self.send(announcement)

    async def _call(
        self, peer: PeerState, announcement: Announce
    ) -> Announced | None:
        try:
            return await call_peer(
                self.context,
                peer,
                'POST',
                '/peer/announce',
                Announced,
                announcement,
                ANNOUNCE_TIMEOUT_S,
            )
        except PeerError as error:
            logger.debug('announcement not delivered: {}', error)
            return None

    async def _receive(self, request: web.Request) -> web.Response:
        announcement = await read_message(request, Announce)
        context = self.context
        now = context.clock.now()
        peer = context.peers.by_host.get(announcement.host)
        if peer is not None and announcement.draining:
            peer.draining = True
            peer.beat = max(peer.beat, announcement.beat)
        context.endpoints.merge_leaving(announcement.leaving, now)
        if announcement.suspects:
            context.policy('quarantine').merge(now, announcement.suspects)
        if announcement.document is not None and not declaration_errors(
            announcement.document
        ):
            context.config.apply(
                announcement.revision, announcement.document, now
            )
        return json_response(
            Announced(
                host=context.settings.host, revision=context.config.revision
            )
        )
