"""Directory of the daemons, built from their announcements."""

import random
from collections.abc import Callable
from sys import maxsize

from loguru import logger
from msgspec import UnsetType

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.node_rows import NodeRow
from anvilcove.control.row_values import decode_value
from anvilcove.decisions.lookups import AllHosts, LookupHost
from anvilcove.decisions.registry import policy_class
from anvilcove.decisions.succession import fallback_owner, takeover_rank
from anvilcove.ports.store import StoredRow
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch

# A daemon without a sign of life for this long gets no new callers.
PEER_TIMEOUT_S = 3.0
# The default owner of new jobs must have sent a heartbeat within this time:
# a job that is given to a dead daemon starts about 1 s late.
OWNER_TIMEOUT_S = 1.8
# The rank in the takeover order is computed from all daemons.
RANK_PERIOD_S = 1.0


class NodeDirectory:
    """Daemons of the service and whether they are alive.

    The holder of the orders lease announces which daemons are lost; whether it
    is alive itself shows in its own row, which it writes at each heartbeat.
    """

    __slots__ = (
        'by_host',
        'lost_by_host',
        'is_known',
        'nonce',
        'rows_read_at',
        'on_cut',
        '_settings',
        '_lookups',
        '_crashes',
        '_clock',
        '_holder_watch',
        '_lost_version',
        '_logged_as_lost',
        '_rank',
        '_ranked_at_s',
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
        # Nonces of the daemons whose heartbeats have stopped.
        self.lost_by_host: dict[str, str] = {}
        # Whether all rows were read once.
        self.is_known = False
        self.nonce = nonce
        self._settings = settings
        self._lookups: AllHosts = policy_class('lookups', settings.lookups)()
        self._clock = clock
        # Returns the time at which the last answered read was sent.
        self.rows_read_at: Callable[[], float] = clock.now
        # Called when another host says that it is cut from all endpoints.
        self.on_cut: Callable[[], None] = lambda: None
        self._holder_watch = LeaseWatch(PEER_TIMEOUT_S)
        # Version of the row that `lost_by_host` was read from.
        self._lost_version = 0
        # Hosts whose loss the log has reported.
        self._logged_as_lost: set[str] = set()
        # No rank before the others are known, as each daemon would be the
        # first; when all start at once, that takes a moment.
        self._rank = maxsize
        self._ranked_at_s = float('inf')

    def on_rows(self, rows: list[StoredRow], full_read: bool) -> None:
        """Apply rows; `full_read` tells that they are the full table."""
        was_cut = self._cut_hosts()
        if full_read:
            self.by_host = {}
            if not self.is_known:
                self.is_known = True
                self._ranked_at_s = self._clock.now()
        for row in rows:
            node = decode_value(row, NodeRow)
            if node is None:
                self.by_host.pop(row.id.key, None)
                continue
            self.by_host[node.host] = node
            self._crashes.merge(node.suspects)
            if node.orders and row.version > self._lost_version:
                self._lost_version = row.version
                self.lost_by_host = node.lost_by_host
        self._record_holders()
        if self._cut_hosts() - was_cut:
            self.on_cut()

    def _cut_hosts(self) -> set[str]:
        return {
            host
            for host, node in self.by_host.items()
            if node.cut and host != self._settings.host
        }

    def reset_heartbeat_timers(self) -> None:
        """Restart all timeouts after a time in which no row could be read."""
        self._holder_watch.reset()
        self._record_holders()

    def _record_holders(self) -> None:
        now = self.rows_read_at()
        for node in self.by_host.values():
            if node.orders:
                self._holder_watch.expired(
                    node.host, (node.nonce, node.beat), now
                )

    def other_hosts(self) -> list[str]:
        """Return the hosts of all other daemons, alive or not."""
        return [host for host in self.by_host if host != self._settings.host]

    def alive(self) -> list[NodeRow]:
        """Return the other daemons that are neither lost nor leaving."""
        found = []
        for node in self.by_host.values():
            if node.host == self._settings.host:
                continue
            lost = self._is_lost(node)
            self._log_liveness(node.host, lost)
            if not lost and not node.leaving:
                found.append(node)
        return found

    def wall_offsets_ms(self) -> dict[str, float]:
        """Return the times of day of other hosts minus the store's clock."""
        return {
            node.host: node.wall_offset_ms
            for node in self.alive()
            if not isinstance(node.wall_offset_ms, UnsetType)
        }

    def _is_lost(self, node: NodeRow) -> bool:
        if self.lost_by_host.get(node.host) == node.nonce:
            return True
        if not node.orders:
            return False
        # Timeouts run only up to the store's last answer: during an outage
        # no heartbeat can be read.
        return self._holder_watch.expired(
            node.host, (node.nonce, node.beat), self.rows_read_at()
        )

    def _log_liveness(self, host: str, lost: bool) -> None:
        if lost == (host in self._logged_as_lost):
            return
        if lost:
            self._logged_as_lost.add(host)
        else:
            self._logged_as_lost.discard(host)
        state = 'lost' if lost else 'regained'
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
            age_s = self._holder_watch.unrenewed_s(node.host, now)
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

    def takeover_rank_estimate(self) -> int:
        """Return the rank in the takeover order, at most RANK_PERIOD_S old."""
        now = self._clock.now()
        if now - self._ranked_at_s >= RANK_PERIOD_S:
            self._rank = self.takeover_rank()
            self._ranked_at_s = now
        return self._rank

    def endpoints_reached(self) -> bool:
        """Tell whether another daemon is not cut from all endpoints."""
        return any(not node.cut for node in self.alive())

    def caller_addresses(
        self, region: str, own_ready: bool, own_cut: bool, rng: random.Random
    ) -> list[str]:
        """Return the listen addresses that callers should use.

        Daemons of the region are preferred; others are returned only if it
        has none. Those that are cut from all endpoints are left out while
        others are not, and weak ones of a part of the answers.
        """
        nodes = self.alive()
        if own_ready and own_cut and any(not node.cut for node in nodes):
            own_ready = False
        if any(not node.cut for node in nodes) or (own_ready and not own_cut):
            nodes = [node for node in nodes if not node.cut]
        nodes = [n for n in nodes if n.region == region] or nodes
        hosts = [
            LookupHost(
                n.host, n.callers, n.data_centre, float(n.capacity or 0.0)
            )
            for n in nodes
        ]
        if own_ready:
            own = self._settings
            hosts.append(
                LookupHost(
                    own.host,
                    own.listeners.callers,
                    own.data_centre,
                    own.limits.capacity,
                )
            )
        return self._lookups.choose(self._clock.now(), hosts, rng)
