"""Lease in the store for work that one daemon does at a time."""

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
RENEW_S = 0.7
# The holder acts this long after it started its last acknowledged renewal.
ACTING_S = 2.0
# Added to the time after which a lease is taken over, for clocks that run
# at different rates and calls that are on their way.
MARGIN_S = 0.3
# Those first in line look at the row of another holder often, the others
# rarely, so that the calls don't grow with the number of daemons.
FIRST_IN_LINE = 3
LOOK_S = 0.3
RARE_LOOK_S = 1.5


class LeaseRow(Struct):
    """Value of a lease; an empty holder means that it was given back."""

    holder: str
    nonce: str
    fence: int
    beat: int


class Lease:
    """One lease that this daemon wants.

    `quiet_s` is the time that must pass between the last act of a holder and
    the first one of its successor.
    """

    __slots__ = (
        'name',
        'row',
        'rank',
        '_host',
        '_nonce',
        '_quiet_s',
        '_store',
        '_clock',
        '_rng',
        '_watch',
        '_free_watch',
        '_version',
        '_acting_until_s',
        '_released',
    )

    def __init__(
        self,
        name: str,
        host: str,
        nonce: str,
        quiet_s: float,
        store: StorePort,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Want the lease; `clock` must count suspension."""
        self.name = name
        self.row: LeaseRow | None = None
        # Returns how many daemons are before this one in line.
        self.rank: Callable[[], int] = lambda: 0
        self._host = host
        self._nonce = nonce
        self._quiet_s = quiet_s
        self._store = store
        self._clock = clock
        self._rng = rng
        self._watch = LeaseWatch(ACTING_S + quiet_s + MARGIN_S)
        # Whoever has given the lease back acts no longer.
        self._free_watch = LeaseWatch(quiet_s + MARGIN_S)
        self._version = 0
        self._acting_until_s = float('-inf')
        self._released = False

    def fence(self) -> int | None:
        """Return the generation number while this daemon may act."""
        if self._clock.now() >= self._acting_until_s or self._released:
            return None
        return self.row.fence if self.row else None

    async def run(self) -> None:
        """Renew what is held, and take what is free, for ever."""
        while not self._released:
            held = self.fence() is not None
            try:
                if held:
                    await self._renew()
                else:
                    await self._try_take()
            except (StoreUnavailable, StoreAnswerLost) as error:
                # No renewal of another holder could be seen either.
                self._watch.restart()
                self._free_watch.restart()
                logger.bind(lease=self.name, reason=str(error)).info(
                    'lease not renewed'
                )
            await self._clock.sleep(RENEW_S if held else self._look_s())

    def _look_s(self) -> float:
        """Return the time until the next look at another's lease."""
        look_s = LOOK_S if self.rank() < FIRST_IN_LINE else RARE_LOOK_S
        return look_s * self._rng.uniform(1.0, 2.0)

    async def release(self) -> None:
        """Give the lease back; the successor still keeps the quiet time."""
        held = self.fence() is not None
        self._released = True
        if not held or self.row is None:
            return
        free = LeaseRow('', '', self.row.fence, self.row.beat + 1)
        try:
            await self._write(free)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(lease=self.name, reason=str(error)).info(
                'lease not given back'
            )

    async def _renew(self) -> None:
        assert self.row is not None
        row = self.row
        renewed = LeaseRow(row.holder, row.nonce, row.fence, row.beat + 1)
        if not await self._act_after(renewed):
            self._lose('another daemon wrote the row')

    async def _try_take(self) -> None:
        if self.row is not None:
            self._lose('not renewed in time')
        page = await self._store.read_range(
            LEASES_TABLE, '', self.name, self.name + '\0'
        )
        current = decode_value(page.rows[0], LeaseRow) if page.rows else None
        self._version = page.rows[0].version if page.rows else 0
        if current is not None and current.nonce == self._nonce:
            # A write of our own whose answer was lost: nobody else holds it.
            self.row = current
            await self._renew()
            return
        fence = 0
        if current is not None:
            fence = current.fence
            mark = (current.fence, current.beat)
            now = self._clock.now()
            # An earlier start of this daemon has ended, and a host that goes
            # on with its own orders is one holder.
            own = current.holder == self._host
            watch = self._watch if current.holder else self._free_watch
            if not watch.expired(self.name, mark, now) and not own:
                return
        taken = LeaseRow(self._host, self._nonce, fence + 1, 0)
        if await self._act_after(taken):
            logger.bind(lease=self.name, fence=taken.fence).log(
                DECISION, 'lease taken'
            )

    async def _act_after(self, row: LeaseRow) -> bool:
        """Write the row and act from the start of that write on.

        A write whose answer was lost may have been applied long ago, so it
        never extends the time to act; the row is written again instead.
        """
        for _ in range(2):
            started_s = self._clock.now()
            conflict = await self._write(row)
            if conflict is None:
                self.row = row
                self._acting_until_s = started_s + ACTING_S
                return True
            if conflict.nonce != self._nonce or conflict.fence != row.fence:
                return False
            row = LeaseRow(row.holder, row.nonce, row.fence, conflict.beat + 1)
        return False

    async def _write(self, row: LeaseRow) -> LeaseRow | None:
        """Write the row; return the one that stands there instead."""
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

    def _lose(self, reason: str) -> None:
        self.row = None
        self._acting_until_s = float('-inf')
        logger.bind(lease=self.name, reason=reason).log(DECISION, 'lease lost')
