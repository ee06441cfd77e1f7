"""Detection of daemons whose heartbeats have stopped."""

from collections.abc import Callable, Iterable

from loguru import logger
from msgspec import Struct

from anvilcove.control.node_rows import Heartbeat, NodeRow
from anvilcove.control.nodes import PEER_TIMEOUT_S, NodeDirectory
from anvilcove.control.row_values import decode_value
from anvilcove.ports.store import StoredRow
from anvilcove.state.clock import Clock

CHECK_PERIOD_S = 0.2


class LastSign(Struct):
    """Newest sign of life of a daemon.

    `renewed` tells whether a change was seen since the daemon is watched.
    """

    nonce: str
    beat: int
    heartbeat: Heartbeat | None
    seen_at_s: float
    renewed: bool = False


class FailureDetector:
    """Follow the heartbeats of all daemons and find those that stopped.

    The holder of the orders lease publishes what it finds, so that the other
    daemons need not read each heartbeat. The next daemons in the takeover
    order follow the heartbeats too and can go on at once.
    """

    __slots__ = (
        'on_change',
        'rows_read_at',
        '_clock',
        '_nodes',
        '_publishes',
        '_heartbeat_by_host',
        '_sign_by_host',
    )

    def __init__(
        self,
        nodes: NodeDirectory,
        clock: Clock,
        publishes: Callable[[], bool],
    ) -> None:
        """Start without heartbeats; `publishes` tells who publishes."""
        # Called when the set of lost daemons has changed.
        self.on_change: Callable[[], None] = lambda: None
        # Returns the time at which the last answered read was sent.
        self.rows_read_at: Callable[[], float] = clock.now
        self._clock = clock
        self._nodes = nodes
        self._publishes = publishes
        self._heartbeat_by_host: dict[str, Heartbeat] = {}
        self._sign_by_host: dict[str, LastSign] = {}

    async def run(self) -> None:
        """Publish changes while this daemon does so, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_PERIOD_S)
            if self._publishes():
                self.check()

    def on_rows(self, rows: list[StoredRow], full_read: bool) -> None:
        """Apply heartbeats; `full_read` tells that they are the full table."""
        if full_read:
            self._heartbeat_by_host = {}
        for row in rows:
            heartbeat = decode_value(row, Heartbeat)
            if heartbeat is None:
                self._heartbeat_by_host.pop(row.id.key, None)
            else:
                self._heartbeat_by_host[row.id.key] = heartbeat
        self._record_signs()

    def reset(self) -> None:
        """Restart all timeouts after a time in which nothing was read.

        They run from the next rows on: older ones tell nothing any more.
        """
        self._sign_by_host.clear()

    def check(self) -> None:
        """Update the lost daemons in the directory."""
        lost = {node.host: node.nonce for node in self._find_lost()}
        if lost != self._nodes.lost_by_host:
            logger.bind(lost=sorted(lost)).info('lost daemons changed')
            self._nodes.lost_by_host = lost
            self.on_change()

    def silent_hosts(self, silent_s: float) -> list[str]:
        """Return the hosts that have shown no sign of life for so long."""
        return [
            host
            for host in self._nodes.other_hosts()
            if self.silent_for_s(host) >= silent_s
        ]

    def silent_for_s(self, host: str) -> float:
        """Return the seconds since a sign of life, 0 if it is not watched."""
        sign = self._sign_by_host.get(host)
        # Timeouts run only up to the store's last answer: during an outage
        # no heartbeat can be read.
        return self.rows_read_at() - sign.seen_at_s if sign else 0.0

    def _find_lost(self) -> Iterable[NodeRow]:
        for host in self._nodes.other_hosts():
            node, sign = (
                self._nodes.by_host[host],
                self._sign_by_host.get(host),
            )
            known_as_lost = self._nodes.lost_by_host.get(host) == node.nonce
            renewed = sign is not None and sign.renewed
            timed_out = self.silent_for_s(host) >= PEER_TIMEOUT_S
            if timed_out or (known_as_lost and not renewed):
                yield node

    def _record_signs(self) -> None:
        now, by_host = self.rows_read_at(), self._nodes.by_host
        for host in [h for h in self._sign_by_host if h not in by_host]:
            del self._sign_by_host[host]
        for host, node in by_host.items():
            heartbeat = self._heartbeat_by_host.get(host)
            sign = self._sign_by_host.get(host)
            if sign is None:
                self._sign_by_host[host] = LastSign(
                    node.nonce, node.beat, heartbeat, now
                )
                continue
            # A daemon of an older version counts heartbeats in its row.
            changed = (sign.nonce, sign.beat) != (node.nonce, node.beat)
            if sign.heartbeat != heartbeat:
                # The first heartbeat that is read may be an old one.
                changed |= sign.heartbeat is not None
                sign.heartbeat = heartbeat
            if changed:
                sign.nonce, sign.beat = node.nonce, node.beat
                sign.seen_at_s, sign.renewed = now, True
