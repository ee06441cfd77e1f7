"""Daemons of the service: how they announce themselves and find others."""

import random
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, msgpack

from anvilcove.control.row_values import decode_value
from anvilcove.decisions.succession import first_in_line, succession_rank
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
BEAT_S = 1.0
RETRY_S = 0.3
# A daemon whose row has stood still this long gets no new callers.
SILENT_S = 3.2
# The home of new jobs must have beaten within this time: a job that is given
# to a lost daemon starts about a second late.
HOME_BEAT_S = 1.8
# Callers accept up to this many addresses in an answer.
MAX_ADDRESSES = 64


class NodeRow(Struct):
    """What a daemon announces; `nonce` tells its starts apart."""

    host: str
    nonce: str
    data_centre: str
    region: str
    callers: str
    peers: str
    beat: int
    leaving: bool
    # Whether the daemon gives the orders to the engines.
    orders: bool
    # Version of the desired state in force, and the age of that knowledge.
    desired_state: int = 0
    desired_state_age_s: float = 0.0


class NodeDirectory:
    """The daemons that are alive, as this one knows them."""

    __slots__ = (
        'by_host',
        'nonce',
        'known_at',
        '_settings',
        '_watch',
        '_lost',
    )

    def __init__(
        self, settings: NodeSettings, clock: Clock, nonce: str
    ) -> None:
        """Know no other daemon."""
        self.by_host: dict[str, NodeRow] = {}
        self.nonce = nonce
        self._settings = settings
        # Returns up to when the rows are known.
        self.known_at: Callable[[], float] = clock.now
        self._watch = LeaseWatch(SILENT_S)
        self._lost: set[str] = set()

    def on_rows(self, rows: list[StoredRow], whole: bool) -> None:
        """Adopt announced rows."""
        if whole:
            self.by_host = {}
        for row in rows:
            node = decode_value(row, NodeRow)
            if node is None:
                self.by_host.pop(row.id.key, None)
            else:
                self.by_host[node.host] = node
        self._note_beats()

    def store_was_away(self) -> None:
        """Start every watch again: no beat could be seen meanwhile."""
        self._watch.restart()
        self._note_beats()

    def _note_beats(self) -> None:
        """Let the time of every daemon count from what it wrote last."""
        now = self.known_at()
        for node in self.by_host.values():
            self._watch.expired(node.host, (node.nonce, node.beat), now)

    def alive(self) -> list[NodeRow]:
        """Return the other daemons that beat and are not leaving."""
        # Silence counts only up to the last answer of the store.
        now = self.known_at()
        found = []
        for node in self.by_host.values():
            if node.host == self._settings.host:
                continue
            mark = (node.nonce, node.beat)
            silent = self._watch.expired(node.host, mark, now)
            self._note(node.host, silent)
            if not silent and not node.leaving:
                found.append(node)
        return found

    def silent_s(self, host: str, now: float) -> float:
        """Return for how long a daemon's row has stood still."""
        return round(self._watch.stood_s(host, now), 2)

    def _note(self, host: str, silent: bool) -> None:
        if silent == (host in self._lost):
            return
        if silent:
            self._lost.add(host)
        else:
            self._lost.discard(host)
        state = 'lost' if silent else 'regained'
        logger.bind(peer=host, silent_s=SILENT_S).info(f'peer {state}')

    def relays(self) -> list[str]:
        """Return the addresses of peers that may relay store calls."""
        known = [node.peers for node in self.alive()]
        if known:
            return known
        return [
            f'{ip}:{self._settings.peer_port}'
            for ip in self._settings.seed_ips
            if ip != self._settings.ip
        ]

    def home(self) -> NodeRow | None:
        """Return the daemon that should run new batch jobs.

        It is the one that gives the orders to the engines: it knows which of
        them load, and has connections to them. One that is cut off from the
        store goes on through its peers. None is known for a while after that
        daemon was lost.
        """
        now = self.known_at()
        for node in self.alive():
            beat_s = self._watch.stood_s(node.host, now)
            if node.orders and beat_s < HOME_BEAT_S:
                return node
        return None

    def stand_in(self, lost: str = '', own: bool = True) -> NodeRow | None:
        """Return the daemon that runs new jobs while there is no home.

        All daemons choose the same one, but for the host `lost`. None stands
        for this daemon, which is left out unless `own` is set.
        """
        by_host = {n.host: n for n in self.alive() if n.host != lost}
        hosts = [*by_host, self._settings.host] if own else list(by_host)
        return by_host.get(first_in_line(hosts))

    def succession_rank(self, left_by: str = '') -> int:
        """Return how many daemons are before this one in taking over.

        The host `left_by` that has left the work is not in line.
        """
        alive = [node for node in self.alive() if node.host != left_by]
        home = next((node.host for node in alive if node.orders), '')
        own = self._settings.host
        return succession_rank(own, home, (node.host for node in alive))

    def caller_addresses(
        self, region: str, own_ready: bool, rng: random.Random
    ) -> list[str]:
        """Return the addresses that callers should use."""
        nodes = self.alive()
        near = [n.callers for n in nodes if n.region == region] or [
            n.callers for n in nodes
        ]
        if own_ready:
            near.append(self._settings.listeners.callers)
        if len(near) > MAX_ADDRESSES:
            near = rng.sample(near, MAX_ADDRESSES)
        return sorted(near)


class Announcer:
    """Write the row of this daemon."""

    __slots__ = ('_row', '_store', '_clock', '_gives_orders', '_desired_state')

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        store: StorePort,
        clock: Clock,
        gives_orders: Callable[[], bool],
        desired_state: Callable[[], tuple[int, float]],
    ) -> None:
        """Announce nothing before `run`.

        `desired_state` returns the version in force and the age of that
        knowledge in seconds.
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
        self._gives_orders = gives_orders
        self._desired_state = desired_state
        self._store = store
        self._clock = clock

    async def run(self) -> None:
        """Beat for ever."""
        while True:
            written = await self.beat()
            await self._clock.sleep(BEAT_S if written else RETRY_S)

    async def leave(self) -> None:
        """Announce that this daemon takes no new callers."""
        self._row.leaving = True
        if not await self.beat():
            await self.beat()

    async def beat(self) -> bool:
        """Write the row once; return whether it was acknowledged."""
        self._row.beat += 1
        self._row.orders = self._gives_orders()
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
            logger.bind(reason=str(error)).debug('beat not acknowledged')
            return False
        return True
