"""Lease in the store that elects one daemon for a task."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger
from msgspec import Struct, field, msgpack
from msgspec.structs import replace

from anvilcove.control.row_values import decode_value
from anvilcove.ports.errors import StoreAnswerLost, StoreUnavailable
from anvilcove.ports.store import (
    RowCheck,
    RowId,
    RowTransaction,
    RowWrite,
    StoredRow,
    StorePort,
)
from anvilcove.state.clock import Clock
from anvilcove.state.leases import LeaseWatch
from anvilcove.state.store_clock import StoreClock
from anvilcove.telemetry.logs import DECISION

LEASES_TABLE = 'leases'
RENEWAL_PERIOD_S = 0.7
# A lease is valid for this long from the start of the last acknowledged
# renewal.
LEASE_DURATION_S = 2.0
# Added to the time after which a lease is taken over; it covers clock drift
# between hosts and calls in flight.
TAKEOVER_MARGIN_S = 0.3
# A holder whose loop failed neither renews nor acquires for this time, so that
# a daemon whose loop works takes the lease over.
FAILURE_REST_S = 2 * (LEASE_DURATION_S + TAKEOVER_MARGIN_S)
# Only the first daemons in the takeover order poll the row of another holder
# at the fast period, so that the load on the store hardly grows with the
# number of daemons.
FAST_POLL_RANKS = 3
FAST_POLL_S = 0.3
SLOW_POLL_S = 1.5
# The holder starts to act on a resource within this time after it announced
# that, and ends within the second time after that.
USE_WINDOW_S = 0.5
USE_DURATION_S = 0.8
# Tries to announce; an answer that contradicts the known time of the store
# makes another one necessary.
ANNOUNCEMENT_TRIES = 3


class ResourceUse(Struct, array_like=True):
    """Announcement that a holder is about to act on a resource."""

    holder: str
    # Upper bound of its time on the store's clock, in milliseconds.
    announced_ms: float
    # Lower bound of its age when the row was written. Unlike a time of the
    # store's clock, it remains right when the store restarts.
    age_s: float = 0.0


class KnownUse:
    """Announcement, with the latest local time at which it can be made."""

    __slots__ = ('holder', 'announced_at_s')

    def __init__(self, holder: str, announced_at_s: float) -> None:
        """Store the announcement of a holder."""
        self.holder = holder
        self.announced_at_s = announced_at_s


class LeaseRow(Struct):
    """Stored lease; an empty `holder` means that it was released.

    `nonce` identifies the process that holds it, `fence` grows with each
    acquisition, and `beat` counts the renewals since then. `use_by_resource`
    holds the recent announcements of this holder and of earlier ones.
    """

    holder: str
    nonce: str
    fence: int
    beat: int
    use_by_resource: dict[str, ResourceUse] = field(default_factory=dict)


class Lease:
    """Lease that this daemon holds or tries to acquire.

    `handover_gap_s` is the minimum time between the last action of a holder on
    a resource and the first one of its successor. A holder announces the
    resources in the row before it acts on them, so that a successor need not
    wait for the others.
    """

    __slots__ = (
        'name',
        'row',
        'seen_holder',
        'get_rank',
        'may_hold',
        '_host',
        '_nonce',
        '_handover_gap_s',
        '_store',
        '_clock',
        '_rng',
        '_holder_watch',
        '_version',
        '_valid_until_s',
        '_released',
        '_use_by_resource',
        '_announced_at_s',
        '_store_clock',
        '_seen_renewal',
        '_write_lock',
        '_rests_until_s',
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
        # Holder that this daemon has last read or been; '' if it was released.
        self.seen_holder = ''
        # Returns how many daemons precede this one in the takeover order.
        self.get_rank: Callable[[], int] = lambda: 0
        # Tells whether this daemon can do what the lease is for.
        self.may_hold: Callable[[], bool] = lambda: True
        self._host = host
        self._nonce = nonce
        self._handover_gap_s = handover_gap_s
        self._store = store
        self._clock = clock
        self._rng = rng
        self._holder_watch = LeaseWatch(LEASE_DURATION_S + TAKEOVER_MARGIN_S)
        self._version = 0
        self._valid_until_s = float('-inf')
        self._released = False
        self._use_by_resource: dict[str, KnownUse] = {}
        # Times of this holder's own announcements.
        self._announced_at_s: dict[str, float] = {}
        self._store_clock = StoreClock()
        # Renewal of another holder that `_use_by_resource` was read from.
        self._seen_renewal: tuple[str, int, int] | None = None
        self._write_lock = asyncio.Lock()
        self._rests_until_s = float('-inf')

    def fence(self) -> int | None:
        """Return the fencing token, or None while the lease is not held."""
        now = self._clock.now()
        if now >= self._valid_until_s or self._released:
            return None
        if now < self._rests_until_s:
            # A renewal that was under way when the loop failed may have been
            # acknowledged since.
            return None
        return self.row.fence if self.row else None

    async def announce(self, resources: list[str]) -> bool:
        """Write that this holder is about to act on resources.

        Returns whether it still holds the lease. Raises StoreUnavailable or
        StoreAnswerLost.
        """
        for _ in range(ANNOUNCEMENT_TRIES):
            announced_at_s = self._clock.now()
            restarts = self._store_clock.restarts
            for resource in resources:
                self._use_by_resource[resource] = KnownUse(
                    self._host, announced_at_s
                )
            if self.fence() is None or not await self._renew():
                return False
            if self._store_clock.restarts == restarts:
                self._announced_at_s.update(
                    dict.fromkeys(resources, announced_at_s)
                )
                return True
            # The row bears times of the store's former clock, which a
            # successor would misread. The next one bears ages only.
            self._store_clock.forget()
        return False

    def may_act_on(self, resource: str) -> bool:
        """Tell whether the holder may act on an announced resource now."""
        announced_at_s = self._announced_at_s.get(resource, float('-inf'))
        return (
            self.fence() is not None
            and self._clock.now() - announced_at_s <= USE_WINDOW_S
        )

    def blocked_s(self, resource: str) -> float:
        """Return for how long earlier holders keep this one off a resource."""
        use = self._use_by_resource.get(resource)
        if use is None or use.holder == self._host:
            return 0.0
        age_s = self._clock.now() - use.announced_at_s
        return max(self._use_block_s() - age_s, 0.0)

    def _use_block_s(self) -> float:
        longest_use_s = USE_WINDOW_S + USE_DURATION_S
        return longest_use_s + self._handover_gap_s + TAKEOVER_MARGIN_S

    def _recent_uses(self) -> dict[str, ResourceUse]:
        """Return the announcements that a successor must still respect."""
        now = self._clock.now()
        return {
            resource: ResourceUse(
                use.holder,
                self._store_clock.latest_ms(use.announced_at_s),
                now - use.announced_at_s,
            )
            for resource, use in self._use_by_resource.items()
            if now - use.announced_at_s < self._use_block_s()
        }

    def _read_uses(self, row: LeaseRow, read_at_s: float) -> None:
        """Relate the announcements in a row to the local clock.

        Each announcement has two latest possible times: one by its age when
        the row was written, which was before it was read, and one by the
        store's clock. The earlier one holds.
        """
        renewal = (row.nonce, row.fence, row.beat)
        known = self._use_by_resource if renewal == self._seen_renewal else {}
        self._seen_renewal = renewal
        self._use_by_resource = {}
        for resource, use in row.use_by_resource.items():
            announced_at_s = min(
                read_at_s - max(use.age_s, 0.0),
                self._store_clock.latest_local_s(use.announced_ms),
            )
            if resource in known:
                announced_at_s = min(
                    announced_at_s, known[resource].announced_at_s
                )
            self._use_by_resource[resource] = KnownUse(
                use.holder, announced_at_s
            )

    async def run(self) -> None:
        """Renew or try to acquire the lease until it is released."""
        while not self._released:
            try:
                await self._run_round()
            except (StoreUnavailable, StoreAnswerLost) as error:
                # Renewals by another holder could not be seen either, so this
                # time does not count against it.
                self._holder_watch.reset()
                logger.bind(lease=self.name, reason=str(error)).info(
                    'lease not renewed'
                )
            except Exception:
                logger.bind(lease=self.name).exception('lease loop failed')
                self._stop_acting()
            held = self.fence() is not None
            await self._clock.sleep(
                RENEWAL_PERIOD_S if held else self._poll_delay_s()
            )

    async def _run_round(self) -> None:
        if self._clock.now() < self._rests_until_s:
            return
        if not self.may_hold():
            await self.give_back()
        elif self.fence() is not None:
            await self._renew()
        else:
            await self._try_acquire()

    def _stop_acting(self) -> None:
        """Leave the lease to its expiry after an unexpected error."""
        if self.row is None:
            return
        self._rests_until_s = self._clock.now() + FAILURE_REST_S
        self._mark_lost('its loop failed')

    def _poll_delay_s(self) -> float:
        """Return the randomized time until the next attempt to acquire."""
        delay_s = (
            FAST_POLL_S if self.get_rank() < FAST_POLL_RANKS else SLOW_POLL_S
        )
        return delay_s * self._rng.uniform(1.0, 2.0)

    async def release(self) -> None:
        """Release the lease; announced resources stay blocked for a while."""
        held = self.fence() is not None
        self._released = True
        if not held:
            return
        try:
            await self._write_released()
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.bind(lease=self.name, reason=str(error)).info(
                'lease not released'
            )

    async def give_back(self) -> None:
        """Release a lease that this daemon may take again later.

        It ends here first: the write may be applied without an answer.
        """
        if self.fence() is None:
            return
        self._valid_until_s = float('-inf')
        try:
            await self._write_released()
        finally:
            self._mark_lost('the host cannot do what it is for')

    async def _write_released(self) -> None:
        async with self._write_lock:
            if self.row is None:
                return
            await self._write(
                replace(
                    self.row,
                    holder='',
                    nonce='',
                    beat=self.row.beat + 1,
                    use_by_resource=self._recent_uses(),
                )
            )

    async def _renew(self) -> bool:
        async with self._write_lock:
            if self.row is None:
                return False
            renewed = replace(
                self.row,
                beat=self.row.beat + 1,
                use_by_resource=self._recent_uses(),
            )
            if await self._write_and_hold(renewed):
                return True
            self._mark_lost('another daemon wrote the row')
            return False

    async def _try_acquire(self) -> None:
        if self.row is not None:
            self._mark_lost('not renewed in time')
        sent_at_s = self._clock.now()
        page = await self._store.read_range(
            LEASES_TABLE, '', self.name, self.name + '\0'
        )
        read_at_s = self._clock.now()
        self._store_clock.record(sent_at_s, read_at_s, page.store_ms)
        current = self._read_row(page.rows[0]) if page.rows else None
        self._version = page.rows[0].version if page.rows else 0
        if current is not None and current.nonce == self._nonce:
            # The row is this process's own write, whose answer was lost: no
            # other daemon holds the lease.
            self.row = current
            await self._renew()
            return
        fence = 0
        if current is not None:
            self.seen_holder = current.holder
            self._read_uses(current, read_at_s)
            fence = current.fence
            renewal = (current.fence, current.beat)
            # A row of the same host is from an earlier process, which has
            # ended. Orders name the host as their holder, so both
            # processes count as one holder and no wait is needed.
            same_host = current.holder == self._host
            expired = self._holder_watch.expired(self.name, renewal, read_at_s)
            if current.holder and not expired and not same_host:
                return
        acquired = LeaseRow(
            self._host, self._nonce, fence + 1, 0, self._recent_uses()
        )
        async with self._write_lock:
            taken = await self._write_and_hold(acquired)
        if taken:
            logger.bind(lease=self.name, fence=acquired.fence).log(
                DECISION, 'lease taken'
            )

    @staticmethod
    def _read_row(stored: StoredRow) -> LeaseRow | None:
        """Return the lease, held by an unknown holder if it is unreadable.

        Each acquisition writes the row, so no fence exceeds its version.
        """
        row = decode_value(stored, LeaseRow)
        if row is None and stored.value is not None:
            return LeaseRow('?', '', stored.version, 0)
        return row

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
                self.seen_holder = row.holder
                self._valid_until_s = started_at_s + LEASE_DURATION_S
                return True
            if conflict.nonce != self._nonce or conflict.fence != row.fence:
                return False
            row = replace(row, beat=conflict.beat + 1)
        return False

    async def _write(self, row: LeaseRow) -> LeaseRow | None:
        """Write the row; return None, or the stored row that conflicts."""
        row_id = RowId(LEASES_TABLE, '', self.name)
        sent_at_s = self._clock.now()
        outcome = await self._store.transact(
            RowTransaction(
                checks=[RowCheck(row_id, self._version)],
                writes=[RowWrite(row_id, msgpack.encode(row))],
            )
        )
        self._store_clock.record(
            sent_at_s, self._clock.now(), outcome.store_ms
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
