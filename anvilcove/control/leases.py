"""Lease in the store that elects one daemon for a task."""

import random
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, msgpack

from anvilcove.control.row_values import decode_value
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import (
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StorePort,
)
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch
from anvilcove.telemetry.logs import DECISION

LEASES_TABLE = 'leases'
RENEWAL_PERIOD_S = 0.7
# A lease is valid for this long from the start of the last acknowledged
# renewal.
LEASE_DURATION_S = 2.0
# Added to the time after which a lease is taken over; it covers clock drift
# between hosts and calls in flight.
TAKEOVER_MARGIN_S = 0.3
# Only the first daemons in the takeover order poll the row of another holder
# at the fast period, so that the load on the store hardly grows with the
# number of daemons.
FAST_POLL_RANKS = 3
FAST_POLL_S = 0.3
SLOW_POLL_S = 1.5


class LeaseRow(Struct):
    """Stored lease; an empty `holder` means that it was released.

    `nonce` identifies the process that holds it, `fence` grows with each
    acquisition, and `beat` counts the renewals since then.
    """

    holder: str
    nonce: str
    fence: int
    beat: int


class Lease:
    """Lease that this daemon holds or tries to acquire.

    `handover_gap_s` is the minimum time between the last action of a holder
    and the first one of its successor.
    """

    __slots__ = (
        'name',
        'row',
        'get_rank',
        '_host',
        '_nonce',
        '_handover_gap_s',
        '_store',
        '_clock',
        '_rng',
        '_holder_watch',
        '_released_watch',
        '_version',
        '_valid_until_s',
        '_released',
    )

    def __init__(
        self,
        name: str,
        host: str,
        nonce: str,
        handover_gap_s: float,
        store: StorePort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without the lease; `clock` must count suspended time."""
        self.name = name
        self.row: LeaseRow | None = None
        # Returns how many daemons precede this one in the takeover order.
        self.get_rank: Callable[[], int] = lambda: 0
        self._host = host
        self._nonce = nonce
        self._handover_gap_s = handover_gap_s
        self._store = store
        self._clock = clock
        self._rng = rng
        self._holder_watch = LeaseWatch(
            LEASE_DURATION_S + handover_gap_s + TAKEOVER_MARGIN_S
        )
        # A holder that has released the lease no longer acts under it.
        self._released_watch = LeaseWatch(handover_gap_s + TAKEOVER_MARGIN_S)
        self._version = 0
        self._valid_until_s = float('-inf')
        self._released = False

    def fence(self) -> int | None:
        """Return the fencing token, or None while the lease is not held."""
        if self._clock.now() >= self._valid_until_s or self._released:
            return None
        return self.row.fence if self.row else None

    async def run(self) -> None:
        """Renew or try to acquire the lease until it is released."""
        while not self._released:
            try:
                if self.fence() is not None:
                    await self._renew()
                else:
                    await self._try_acquire()
            except (StoreUnavailable, StoreAnswerLost) as error:
                # Renewals by another holder could not be seen either, so this
                # time does not count against it.
                self._holder_watch.reset()
                self._released_watch.reset()
                logger.bind(lease=self.name, reason=str(error)).info(
                    'lease not renewed'
                )
            held = self.fence() is not None
            await self._clock.sleep(
                RENEWAL_PERIOD_S if held else self._poll_delay_s()
            )

    def _poll_delay_s(self) -> float:
        """Return the randomized time until the next attempt to acquire."""
        delay_s = (
            FAST_POLL_S if self.get_rank() < FAST_POLL_RANKS else SLOW_POLL_S
        )
        return delay_s * self._rng.uniform(1.0, 2.0)

    async def release(self) -> None:
        """Release the lease; a successor still waits for the handover gap."""
        held = self.fence() is not None
        self._released = True
        if not held or self.row is None:
            return
        released = LeaseRow('', '', self.row.fence, self.row.beat + 1)
        try:
            await self._write(released)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(lease=self.name, reason=str(error)).info(
                'lease not released'
            )

    async def _renew(self) -> None:
        assert self.row is not None
        row = self.row
        renewed = LeaseRow(row.holder, row.nonce, row.fence, row.beat + 1)
        if not await self._write_and_hold(renewed):
            self._mark_lost('another daemon wrote the row')

    async def _try_acquire(self) -> None:
        if self.row is not None:
            self._mark_lost('not renewed in time')
        page = await self._store.read_range(
            LEASES_TABLE, '', self.name, self.name + '\0'
        )
        current = decode_value(page.rows[0], LeaseRow) if page.rows else None
        self._version = page.rows[0].version if page.rows else 0
        if current is not None and current.nonce == self._nonce:
            # The row is this process's own write, whose answer was lost: no
            # other daemon holds the lease.
            self.row = current
            await self._renew()
            return
        fence = 0
        if current is not None:
            fence = current.fence
            renewal = (current.fence, current.beat)
            now = self._clock.now()
            # A row of the same host is from an earlier process, which has
            # ended. Orders name the host as their holder, so both
            # processes count as one holder and no wait is needed.
            same_host = current.holder == self._host
            watch = (
                self._holder_watch if current.holder else self._released_watch
            )
            if not watch.expired(self.name, renewal, now) and not same_host:
                return
        acquired = LeaseRow(self._host, self._nonce, fence + 1, 0)
        if await self._write_and_hold(acquired):
            logger.bind(lease=self.name, fence=acquired.fence).log(
                DECISION, 'lease taken'
            )

    async def _write_and_hold(self, row: LeaseRow) -> bool:
        """Write the row; if applied, the lease is valid from the call's start.

        A write whose answer was lost may have been applied long ago, so it
        never extends the lease; the row is written again instead.
        """
        for _ in range(2):
            started_at_s = self._clock.now()
            conflict = await self._write(row)
            if conflict is None:
                self.row = row
                self._valid_until_s = started_at_s + LEASE_DURATION_S
                return True
            if conflict.nonce != self._nonce or conflict.fence != row.fence:
                return False
            row = LeaseRow(row.holder, row.nonce, row.fence, conflict.beat + 1)
        return False

    async def _write(self, row: LeaseRow) -> LeaseRow | None:
        """Write the row; return None, or the stored row that conflicts."""
        row_id = RowId(LEASES_TABLE, '', self.name)
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(row_id, self._version)],
                writes=[RowWrite(row_id, msgpack.encode(row))],
            )
        )
        if outcome.applied:
            self._version = outcome.version
            return None
        for conflict in outcome.conflicts:
            found = decode_value(conflict, LeaseRow)
            if found is not None:
                self._version = conflict.version
                return found
        return LeaseRow('', '', 0, 0)

    def _mark_lost(self, reason: str) -> None:
        self.row = None
        self._valid_until_s = float('-inf')
        logger.bind(lease=self.name, reason=reason).log(DECISION, 'lease lost')
