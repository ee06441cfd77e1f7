"""Announcements of the daemons and the directory that is built of them."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, field, msgpack

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.row_values import decode_value
from anvilcove.decisions.succession import fallback_owner, takeover_rank
from anvilcove.messages.peers import SuspectDigest
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import (
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
    StorePort,
)
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch

NODES_TABLE = 'nodes'
HEARTBEAT_PERIOD_S = 1.0
HEARTBEAT_RETRY_S = 0.3
# A daemon whose row has not changed for this long gets no new callers.
PEER_TIMEOUT_S = 3.2
# The default owner of new jobs must have sent a heartbeat within this time:
# a job that is given to a dead daemon starts about 1 s late.
OWNER_TIMEOUT_S = 1.8
# Heartbeats for which a daemon counts as recently restarted.
RECENT_HEARTBEATS = 300
# Callers accept up to this many addresses in a lookup answer.
MAX_ADDRESSES = 64


class NodeRow(Struct):
    """Announcement of a daemon.

    `nonce` identifies the process, `beat` counts its heartbeats; `callers`
    and `peers` are addresses that it listens on.
    """

    host: str
    nonce: str
    data_centre: str
    region: str
    callers: str
    peers: str
    beat: int
    leaving: bool
    # Whether the daemon holds the lease for orders to engines.
    orders: bool
    # Version of its desired state, and how long ago it last read the table.
    desired_state: int = 0
    desired_state_age_s: float = 0.0
    # Whether the process before this one on the host had left as planned.
    planned_restart: bool = False
    # Crashes of endpoints by content, of all daemons as far as known here.
    suspects: list[SuspectDigest] = field(default_factory=list)

    @property
    def recently_restarted(self) -> bool:
        """Tell whether the daemon was stopped and started a while ago."""
        return self.planned_restart and self.beat <= RECENT_HEARTBEATS


class NodeDirectory:
    """Daemons of the service and whether they are alive."""

    __slots__ = (
        'by_host',
        'nonce',
        'rows_read_at',
        '_settings',
        '_crashes',
        '_heartbeat_watch',
        '_timed_out_hosts',
    )

    def __init__(
        self,
        settings: NodeSettings,
        crashes: ContentCrashes,
        clock: Clock,
        nonce: str,
    ) -> None:
        """Start without other daemons."""
        self._crashes = crashes
        self.by_host: dict[str, NodeRow] = {}
        self.nonce = nonce
        self._settings = settings
        # Returns the time at which the last answered read was sent.
        self.rows_read_at: Callable[[], float] = clock.now
        self._heartbeat_watch = LeaseWatch(PEER_TIMEOUT_S)
        self._timed_out_hosts: set[str] = set()

    def on_rows(self, rows: list[StoredRow], full_read: bool) -> None:
        """Apply rows; `full_read` tells that they are the full table."""
        if full_read:
            self.by_host = {}
        for row in rows:
            node = decode_value(row, NodeRow)
            if node is None:
                self.by_host.pop(row.id.key, None)
            else:
                self.by_host[node.host] = node
                self._crashes.merge(node.suspects)
        self._record_heartbeats()

    def reset_heartbeat_timers(self) -> None:
        """Restart all timeouts after a time in which no row could be read."""
        self._heartbeat_watch.reset()
        self._record_heartbeats()

    def _record_heartbeats(self) -> None:
        """Restart the timeout of each daemon whose row has changed."""
        now = self.rows_read_at()
        for node in self.by_host.values():
            self._heartbeat_watch.expired(
                node.host, (node.nonce, node.beat), now
            )

    def alive(self) -> list[NodeRow]:
        """Return the other daemons that are neither timed out nor leaving."""
        # Timeouts run only up to the store's last answer: during an outage
        # no heartbeat can be read.
        now = self.rows_read_at()
        found = []
        for node in self.by_host.values():
            if node.host == self._settings.host:
                continue
            heartbeat = (node.nonce, node.beat)
            timed_out = self._heartbeat_watch.expired(
                node.host, heartbeat, now
            )
            self._log_liveness(node.host, timed_out)
            if not timed_out and not node.leaving:
                found.append(node)
        return found

    def silent_hosts(self, silent_s: float) -> list[str]:
        """Return the other hosts whose rows have not changed for so long."""
        now = self.rows_read_at()
        return [
            host
            for host in self.by_host
            if host != self._settings.host
            and self._heartbeat_watch.unrenewed_s(host, now) >= silent_s
        ]

    def heartbeat_age_s(self, host: str, now: float) -> float:
        """Return the seconds since a daemon's row last changed."""
        return round(self._heartbeat_watch.unrenewed_s(host, now), 2)

    def _log_liveness(self, host: str, timed_out: bool) -> None:
        if timed_out == (host in self._timed_out_hosts):
            return
        if timed_out:
            self._timed_out_hosts.add(host)
        else:
            self._timed_out_hosts.discard(host)
        state = 'lost' if timed_out else 'regained'
        logger.bind(peer=host, silent_s=PEER_TIMEOUT_S).info(f'peer {state}')

    def relay_addresses(self) -> list[str]:
        """Return the addresses of peers that may relay store calls.

        These are the configured seeds while no other daemon is known.
        """
        known = [node.peers for node in self.alive()]
        if known:
            return known
        return [
            f'{ip}:{self._settings.peer_port}'
            for ip in self._settings.seed_ips
            if ip != self._settings.ip
        ]

    def default_owner(self) -> NodeRow | None:
        """Return the default owner of new batch jobs.

        It is the daemon that holds the orders lease, because it knows which
        engines are loading weights and has connections to them. If it can't
        reach the store, its peers relay its calls. Return None if no
        other daemon holds the lease or its last heartbeat is too old.
        """
        now = self.rows_read_at()
        for node in self.alive():
            age_s = self._heartbeat_watch.unrenewed_s(node.host, now)
            if node.orders and age_s < OWNER_TIMEOUT_S:
                return node
        return None

    def substitute_owner(
        self, excluded_host: str = '', include_self: bool = True
    ) -> NodeRow | None:
        """Return the substitute owner, used while there is no default owner.

        All daemons with the same view choose the same one. The host
        `excluded_host` is excluded, and so is this daemon unless
        `include_self` is set. Return None if this daemon is chosen or no other
        one is left.
        """
        by_host = {n.host: n for n in self.alive() if n.host != excluded_host}
        hosts = (
            [*by_host, self._settings.host] if include_self else list(by_host)
        )
        return by_host.get(fallback_owner(hosts, self._restarted_hosts()))

    def _restarted_hosts(self) -> set[str]:
        return {
            host
            for host, node in self.by_host.items()
            if node.recently_restarted and not node.leaving
        }

    def takeover_rank(self, excluded_host: str = '') -> int:
        """Return how many daemons precede this one in taking work over.

        The host `excluded_host`, the former owner of the work, does not count.
        """
        alive = [node for node in self.alive() if node.host != excluded_host]
        preferred = next((node.host for node in alive if node.orders), '')
        own = self._settings.host
        return takeover_rank(
            own,
            preferred,
            (node.host for node in alive),
            self._restarted_hosts(),
        )

    def caller_addresses(
        self, region: str, own_ready: bool, rng: random.Random
    ) -> list[str]:
        """Return the listen addresses that callers should use.

        Daemons of the region are preferred; others are returned only if it
        has none.
        """
        nodes = self.alive()
        addresses = [n.callers for n in nodes if n.region == region] or [
            n.callers for n in nodes
        ]
        if own_ready:
            addresses.append(self._settings.listeners.callers)
        if len(addresses) > MAX_ADDRESSES:
            addresses = rng.sample(addresses, MAX_ADDRESSES)
        return sorted(addresses)


class Announcer:
    """Write the announcement of this daemon periodically."""

    __slots__ = (
        '_row',
        '_store',
        '_clock',
        '_crashes',
        '_due_event',
        '_holds_orders_lease',
        '_desired_state',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        store: StorePort,
        crashes: ContentCrashes,
        clock: Clock,
        holds_orders_lease: Callable[[], bool],
        desired_state: Callable[[], tuple[int, float]],
    ) -> None:
        """Prepare the row; nothing is written before `run`.

        `desired_state` returns the current version and the seconds since it
        was last confirmed by a read.
        """
        self._row = NodeRow(
            host=settings.host,
            nonce=nonce,
            data_centre=settings.data_centre,
            region=settings.region,
            callers=settings.listeners.callers,
            peers=settings.listeners.peers,
            beat=0,
            leaving=False,
            orders=False,
        )
        self._holds_orders_lease = holds_orders_lease
        self._desired_state = desired_state
        self._store = store
        self._crashes = crashes
        self._due_event = asyncio.Event()
        self._clock = clock

    async def run(self) -> None:
        """Write a heartbeat every HEARTBEAT_PERIOD_S, without end."""
        await self._read_former_row()
        while True:
            self._due_event.clear()
            written = await self.write_heartbeat()
            period_s = HEARTBEAT_PERIOD_S if written else HEARTBEAT_RETRY_S
            try:
                async with asyncio.timeout(period_s):
                    await self._due_event.wait()
            except TimeoutError:
                continue

    def write_soon(self) -> None:
        """Write the next heartbeat as soon as the last one has ended."""
        self._due_event.set()

    async def _read_former_row(self) -> None:
        """Continue from the row of the process before this one."""
        host = self._row.host
        try:
            page = await self._store.read_range(
                NODES_TABLE, '', host, host + '\0'
            )
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).info('former row not read')
            return
        former = decode_value(page.rows[0], NodeRow) if page.rows else None
        if former is not None:
            self._row.planned_restart = former.leaving
            self._crashes.merge(former.suspects)

    async def leave(self) -> None:
        """Announce that this daemon is leaving; try up to twice."""
        self._row.leaving = True
        if not await self.write_heartbeat():
            await self.write_heartbeat()

    async def write_heartbeat(self) -> bool:
        """Write the row once; return whether it was acknowledged."""
        self._row.beat += 1
        self._row.suspects = self._crashes.digests()
        self._row.orders = self._holds_orders_lease()
        version, age_s = self._desired_state()
        self._row.desired_state = version
        self._row.desired_state_age_s = round(age_s, 2)
        row_id = RowId(NODES_TABLE, '', self._row.host)
        value = msgpack.encode(self._row)
        try:
            await self._store.transact(
                RowTransaction(writes=[RowWrite(row_id, value)])
            )
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).debug('heartbeat not acknowledged')
            return False
        return True
