"""Look up requests in flight and recent answers, here and at peers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from urllib.parse import quote

from aiohttp import web
from msgspec import UNSET, UnsetType
from msgspec.structs import replace

from anvilcove.commands.rollouts.job import STATUS_BY_OUTCOME
from anvilcove.daemon.auth import workspace_of
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.daemon.peer_client import PEER_TIMEOUT_S, PeerError, call_peer
from anvilcove.daemon.replies import BadRequest, error_response, json_response
from anvilcove.messages.callers import Outcome
from anvilcove.state.answers import RequestRecord, RequestRegistry
from anvilcove.state.peers import PeerState

# Interval at which a waiting handler checks that its caller is connected.
DISCONNECT_POLL_S = 0.1
# Repeatable work without watchers continues for this long, so that a caller
# whose connection broke can attach to it again.
DETACH_GRACE_S = 1.0
# Longest wait in one call to a peer. Longer waits are split into several
# calls, so that a peer that is paused is noticed.
PEER_POLL_S = 0.5
MAX_PEERS_ASKED = 16
DEFAULT_WAIT_MS = 1_000
MAX_WAIT_MS = 60_000

# Outcome of a request; UNSET if it is in flight, None if it is not known.
LookupResult = Outcome | UnsetType | None


def is_connected(request: web.Request) -> bool:
    """Return whether the connection of the caller is still open."""
    transport = request.transport
    return transport is not None and not transport.is_closing()


def host_of_request_id(request_id: str) -> str:
    """Return the host that a request identifier starts with.

    Identifiers of the form `host.rest` name the host to which the request was
    sent first. Return an empty string for all others.
    """
    host, dot, _ = request_id.partition('.')
    return host if dot else ''


@register_component
class AttachComponent(Component):
    """Look up requests here and at peers and wait for their outcomes."""

    def __init__(self, context: Context) -> None:
        """Create an empty request registry."""
        super().__init__(context)
        self.requests = RequestRegistry(
            context.settings.timing.finished_answer_ms / 1000
        )
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for callers and peers."""
        return [
            web.get('/v1/requests/{request_id}', self._attach),
            web.get('/peer/requests/{request_id}', self._attach_peer),
        ]

    async def _attach(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        wait_s = _parse_wait_s(request)
        workspace = workspace_of(request)
        name = workspace.name if workspace else None
        found = await self.wait_locally(request_id, wait_s, request, name)
        if found is None:
            found = await self._wait_at_peers(request_id, wait_s, name)
        return _lookup_reply(found, request_id)

    async def _attach_peer(self, request: web.Request) -> web.Response:
        request_id = request.match_info['request_id']
        record = self.requests.find(self.context.clock.now(), request_id)
        by_key = record is not None and request_id not in record.aliases
        if record is None or (by_key and not record.claim_held):
            # Only the holder of a claim knows the outcome of its key.
            return _lookup_reply(None, request_id)
        workspace = request.query.get('workspace')
        if workspace is None and not by_key and self._has_workspaces():
            # The peer does not know yet that there are workspaces, so that it
            # has asked for no key.
            workspace = ''
        found = await self.wait_locally(
            request_id, _parse_wait_s(request), request, workspace
        )
        response = _lookup_reply(found, request_id)
        if isinstance(found, Outcome):
            response.set_status(200)
        return response

    def _has_workspaces(self) -> bool:
        return self.context.config.workspaces is not None

    async def wait_locally(
        self,
        request_id: str,
        wait_s: float,
        request: web.Request | None = None,
        workspace: str | None = None,
    ) -> LookupResult:
        """Wait for the outcome of a request.

        None if it is not known here, or is not one of `workspace`.
        """
        now = self.context.clock.now()
        record = self.requests.find(now, request_id)
        if record is None or not record.belongs_to(workspace):
            return None
        return await self.wait_for_record(record, wait_s, request)

    async def wait_for_record(
        self,
        record: RequestRecord,
        wait_s: float,
        request: web.Request | None = None,
    ) -> Outcome | UnsetType:
        """Wait for an outcome while the caller is connected.

        Return UNSET after `wait_s` or if the caller has disconnected.
        """
        clock = self.context.clock
        deadline_at_s = clock.now() + wait_s
        with self.count_watcher(record):
            while record.outcome is None:
                remaining_s = min(
                    deadline_at_s - clock.now(), DISCONNECT_POLL_S
                )
                disconnected = request is not None and not is_connected(
                    request
                )
                if remaining_s <= 0 or disconnected:
                    return UNSET
                try:
                    async with asyncio.timeout(remaining_s):
                        await record.finished.wait()
                except TimeoutError:
                    continue
        return record.outcome

    @contextmanager
    def count_watcher(self, record: RequestRecord) -> Iterator[None]:
        """Count a watcher of a request.

        Repeatable work that has no watchers left is cancelled after
        DETACH_GRACE_S.
        """
        record.watchers += 1
        try:
            yield
        finally:
            record.watchers -= 1
            if _is_unwatched(record):
                task = asyncio.create_task(self._cancel_if_unwatched(record))
                self._cancel_tasks.add(task)
                task.add_done_callback(self._cancel_tasks.discard)

    async def _cancel_if_unwatched(self, record: RequestRecord) -> None:
        await self.context.clock.sleep(DETACH_GRACE_S)
        if _is_unwatched(record) and record.task is not None:
            record.task.cancel()

    async def wait_at_host(
        self,
        host: str,
        request_id: str,
        deadline_at_s: float,
        workspace: str | None = None,
    ) -> Outcome | None:
        """Wait for an outcome at a host.

        Return None if the host is unknown, does not know the request, does
        not answer or has no outcome before the deadline.
        """
        if host == self.context.settings.host:
            remaining_s = deadline_at_s - self.context.clock.now()
            found = await self.wait_locally(
                request_id, remaining_s, workspace=workspace
            )
            return found if isinstance(found, Outcome) else None
        peer = self.context.peers.by_host.get(host)
        if peer is None:
            return None
        found = UNSET
        while found is UNSET:
            remaining_s = deadline_at_s - self.context.clock.now()
            if remaining_s <= 0:
                return None
            found = await self._query_peer(
                peer, request_id, remaining_s, workspace
            )
        return found if isinstance(found, Outcome) else None

    async def wait_at_holder(
        self, alias: str, deadline_at_s: float
    ) -> LookupResult:
        """Wait for the outcome of a key at the peer that holds its claim.

        Return UNSET if a peer knows the request but gives no outcome before
        the deadline, None if no peer that was asked knows the key.
        """
        others = self.context.peers.others()
        count = min(len(others), MAX_PEERS_ASKED)
        peers = self.context.rng.sample(others, count)
        peer, found = await self._query_peers(peers, alias)
        if isinstance(found, Outcome) or peer is None:
            return found
        return (
            await self.wait_at_host(peer.host, alias, deadline_at_s) or UNSET
        )

    async def _query_peer(
        self,
        peer: PeerState,
        request_id: str,
        wait_s: float,
        workspace: str | None = None,
    ) -> LookupResult:
        """Query a peer once; None if it does not know or does not answer."""
        poll_s = min(wait_s, PEER_POLL_S)
        path = f'/peer/requests/{request_id}?wait_ms={int(poll_s * 1000)}'
        if workspace is not None:
            path += f'&workspace={quote(workspace, safe="")}'
        try:
            return await call_peer(
                self.context,
                peer,
                'GET',
                path,
                Outcome,
                timeout_s=poll_s + PEER_TIMEOUT_S,
            )
        except PeerError as error:
            return UNSET if error.status == 202 else None

    async def _wait_at_peers(
        self, request_id: str, wait_s: float, workspace: str | None
    ) -> LookupResult:
        """Query the host that the identifier names, then random peers.

        Poll the first that knows the request until `wait_s` has passed.
        """
        clock = self.context.clock
        deadline_at_s = clock.now() + wait_s
        peers = self.context.peers
        peer = peers.by_host.get(host_of_request_id(request_id))
        others = peers.others()
        if peer in others:
            others.remove(peer)
            found = await self._query_peer(peer, request_id, wait_s, workspace)
        else:
            found = None
        if found is None:
            count = min(len(others), MAX_PEERS_ASKED)
            others = self.context.rng.sample(others, count)
            peer, found = await self._query_peers(
                others, request_id, workspace
            )
        while found is UNSET and peer and clock.now() < deadline_at_s:
            found = await self._query_peer(
                peer, request_id, deadline_at_s - clock.now(), workspace
            )
        return found

    async def _query_peers(
        self,
        peers: list[PeerState],
        request_id: str,
        workspace: str | None = None,
    ) -> tuple[PeerState | None, LookupResult]:
        answers = await asyncio.gather(
            *(
                self._query_peer(peer, request_id, 0.0, workspace)
                for peer in peers
            )
        )
        for peer, found in zip(peers, answers, strict=True):
            if found is not None:
                return peer, found
        return None, None


def _is_unwatched(record: RequestRecord) -> bool:
    return (
        record.repeatable and record.watchers == 0 and record.outcome is None
    )


def _parse_wait_s(request: web.Request) -> float:
    text = request.query.get('wait_ms', str(DEFAULT_WAIT_MS))
    if not text.isdecimal() or int(text) > MAX_WAIT_MS:
        reason = f'wait_ms must be from 0 to {MAX_WAIT_MS}'
        raise BadRequest(error_response(400, 'invalid_query', reason))
    return int(text) / 1000


def _lookup_reply(found: LookupResult, request_id: str) -> web.Response:
    if found is None:
        return error_response(404, 'not_known', 'no host knows the request')
    if isinstance(found, UnsetType):
        return error_response(
            202, 'in_flight', 'the request has no outcome yet'
        )
    outcome = replace(found, request_id=request_id)
    return json_response(outcome, STATUS_BY_OUTCOME[outcome.outcome])
