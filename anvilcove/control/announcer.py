"""Announcements and heartbeats of this daemon."""

import asyncio
from collections.abc import Callable

from loguru import logger
from msgspec import UNSET, UnsetType, msgpack
from xxhash import xxh32_intdigest

from anvilcove.control.crashes import ContentCrashes
from anvilcove.control.node_rows import (
    NODES_TABLE,
    Heartbeat,
    NodeRow,
    heartbeat_row_id,
    node_row_id,
)
from anvilcove.control.nodes import NodeDirectory
from anvilcove.control.row_values import decode_value
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import RowId, RowTransaction, RowWrite, StorePort
from anvilcove.settings.node import NodeSettings
from anvilcove.state.clock import Clock

HEARTBEAT_PERIOD_S = 1.0
HEARTBEAT_RETRY_S = 0.3
# Every daemon reads every announcement, so all of them together write no more
# than this many a second, but for changes that others must know at once.
ANNOUNCEMENTS_PER_S = 20.0
# An announcement without changes is written again after this time. All daemons
# together refresh no more than REFRESHES_PER_S.
REFRESH_PERIOD_S = 60.0
REFRESHES_PER_S = 2.0
# Differences of the time of day below this are not announced. Clocks that are
# kept by a time server differ by less.
OFFSET_STEP_MS = 20.0

# Version of the desired state and counts of crashes.
SharedState = tuple[int, frozenset[tuple[str, str, int]]]


class Announcer:
    """Write the heartbeats of this daemon, and its announcement at changes."""

    __slots__ = (
        '_row',
        '_settings',
        '_store',
        '_clock',
        '_crashes',
        '_nodes',
        '_due_event',
        '_holds_orders_lease',
        '_desired_state',
        '_is_cut',
        '_must_announce',
        '_scheduled_state',
        '_refresh_at_s',
        'unable_duties',
        'wall_offset_ms',
    )

    def __init__(
        self,
        settings: NodeSettings,
        nonce: str,
        store: StorePort,
        crashes: ContentCrashes,
        nodes: NodeDirectory,
        clock: Clock,
        holds_orders_lease: Callable[[], bool],
        desired_state: Callable[[], tuple[int, float]],
        is_cut: Callable[[], bool],
    ) -> None:
        """Prepare the row; nothing is written before `run`.

        `desired_state` returns the current version and the seconds since it
        was last confirmed by a read, `is_cut` whether this host is cut from
        all endpoints.
        """
        self._is_cut = is_cut
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
            capacity=settings.limits.capacity or UNSET,
            job_memory=_job_memory(settings),
        )
        self._settings = settings
        self._holds_orders_lease = holds_orders_lease
        self._desired_state = desired_state
        self._store = store
        self._crashes = crashes
        self._nodes = nodes
        self._due_event = asyncio.Event()
        self._clock = clock
        # Whether the next write must be an announcement.
        self._must_announce = True
        # Shared state that the next refresh will announce.
        self._scheduled_state: SharedState = (0, frozenset())
        self._refresh_at_s = 0.0
        # Return the duties whose calls fail here, and the time of day minus
        # the store's clock. Nothing is announced while they return None.
        self.unable_duties: Callable[[], list[str] | None] = lambda: None
        self.wall_offset_ms: Callable[[], float | None] = lambda: None

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

    def announce_soon(self) -> None:
        """Write the announcement as soon as the last write has ended."""
        self._must_announce = True
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
        """Write a sign of life; return whether it was acknowledged."""
        self._row.beat += 1
        self._row.orders = self._holds_orders_lease()
        self._row.cut = self._is_cut()
        self._set_duty_fields()
        # Changes when the settings are read again.
        self._row.capacity = self._settings.limits.capacity or UNSET
        self._row.job_memory = _job_memory(self._settings)
        if self._announcement_due():
            return await self._announce()
        heartbeat = Heartbeat(self._row.nonce, self._row.beat)
        row_id = heartbeat_row_id(self._row.host)
        return await self._write(row_id, msgpack.encode(heartbeat))

    def _set_duty_fields(self) -> None:
        unable, offset_ms = self.unable_duties(), self.wall_offset_ms()
        self._row.unable = UNSET if unable is None else unable
        self._row.wall_offset_ms = UNSET
        if offset_ms is not None:
            self._row.wall_offset_ms = round(offset_ms, 1)

    def _announcement_due(self) -> bool:
        row = self._row
        if self._must_announce or row.orders:
            return True
        # The store may apply an older write later, or the row was removed.
        stored = self._nodes.by_host.get(row.host)
        if stored is None or not _agree(stored, row):
            return True
        now = self._clock.now()
        if self._shared_state() != self._scheduled_state:
            self._scheduled_state = self._shared_state()
            self._refresh_at_s = min(
                self._refresh_at_s, now + self._spread_delay_s()
            )
        return now >= self._refresh_at_s

    def _shared_state(self) -> SharedState:
        """Return what all daemons share and may announce a little later."""
        version, _ = self._desired_state()
        counts = {
            (digest.content, digest.endpoint, digest.crashes)
            for digest in self._crashes.digests()
        }
        return version, frozenset(counts)

    def _spread_delay_s(self) -> float:
        """Return this daemon's delay, which differs between the daemons."""
        longest_s = len(self._nodes.by_host) / ANNOUNCEMENTS_PER_S
        digest: int = xxh32_intdigest(self._row.host.encode())
        return digest / 2**32 * longest_s

    async def _announce(self) -> bool:
        row = self._row
        row.suspects = self._crashes.digests()
        row.lost_by_host = self._nodes.lost_by_host if row.orders else {}
        version, age_s = self._desired_state()
        row.desired_state = version
        row.desired_state_age_s = round(age_s, 2)
        self._scheduled_state = self._shared_state()
        self._refresh_at_s = self._clock.now() + max(
            REFRESH_PERIOD_S, len(self._nodes.by_host) / REFRESHES_PER_S
        )
        self._must_announce = False
        written = await self._write(node_row_id(row.host), msgpack.encode(row))
        if not written:
            self._must_announce = True
        return written

    async def _write(self, row_id: RowId, value: bytes) -> bool:
        try:
            await self._store.transact(
                RowTransaction(writes=[RowWrite(row_id, value)])
            )
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(reason=str(error)).debug('heartbeat not acknowledged')
            return False
        return True


def _job_memory(settings: NodeSettings) -> int | UnsetType:
    """Return the memory for jobs where that of the host is known."""
    return settings.job_bound_bytes() if settings.memory_mb else UNSET


def _agree(stored: NodeRow, row: NodeRow) -> bool:
    """Tell whether a stored announcement says what others must know."""
    return (
        stored.nonce,
        stored.leaving,
        stored.orders,
        stored.cut,
        stored.unable,
        stored.capacity,
        stored.job_memory,
    ) == (
        row.nonce,
        row.leaving,
        row.orders,
        row.cut,
        row.unable,
        row.capacity,
        row.job_memory,
    ) and _offsets_agree(stored.wall_offset_ms, row.wall_offset_ms)


def _offsets_agree(
    stored: float | UnsetType, current: float | UnsetType
) -> bool:
    if isinstance(stored, UnsetType) or isinstance(current, UnsetType):
        return stored == current
    return abs(stored - current) <= OFFSET_STEP_MS
