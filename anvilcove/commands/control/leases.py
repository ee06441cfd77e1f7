"""Acquire and renew leases on work that one daemon does at a time."""

import asyncio

from loguru import logger
from msgspec import convert, structs

from anvilcove.commands.rollouts.steps import new_nonce
from anvilcove.daemon.context import Component, Context
from anvilcove.daemon.parts import register_component
from anvilcove.messages.base import Message
from anvilcove.messages.steps import encode_row_value
from anvilcove.messages.table import Check, Put, Row, Transaction
from anvilcove.ports.errors import PlatformError, StoreAnswerLost
from anvilcove.state.background_tasks import Work
from anvilcove.state.leases import LeaseWatch

RENEWALS_PER_LEASE = 3
# The holder acts only for this share of the lease time, so that its clock may
# run slower than that of the daemon that takes the lease over.
VALID_SHARE = 0.7


class LeaseRow(Message):
    """Value of row `lease/<name>`; the lease is free if `holder` is empty."""

    holder: str
    nonce: str
    fence: int
    beat: int


class _Lease:
    __slots__ = ('key', 'row', 'revision', 'valid_until_s')

    def __init__(self, key: str) -> None:
        self.key = key
        self.row: LeaseRow | None = None
        self.revision = 0
        self.valid_until_s = float('-inf')


@register_component
class LeaseKeeper(Component):
    """Acquire, renew and release the leases that this daemon wants."""

    control = True

    def __init__(self, context: Context) -> None:
        """Start without leases."""
        super().__init__(context)
        self.lease_s = context.settings.timing.lease_ms / 1000
        self.watch = LeaseWatch(self.lease_s)
        self.released = False
        self._by_name: dict[str, _Lease] = {}

    def tasks(self) -> list[Work]:
        """Return the loop that renews and acquires leases."""
        return [self._loop]

    def want(self, name: str) -> None:
        """Try from now on to acquire a lease and to keep it."""
        if name not in self._by_name:
            self._by_name[name] = _Lease(f'lease/{name}')

    def fence(self, name: str) -> int | None:
        """Return the fencing token while the lease is valid, else None."""
        lease = self._by_name.get(name)
        if lease is None or lease.row is None or self.released:
            return None
        if self.context.clock.now() >= lease.valid_until_s:
            return None
        return lease.row.fence

    async def _loop(self) -> None:
        while True:
            await self.renew_or_acquire_all()
            await self.context.sleep_until_tick(
                self.lease_s / RENEWALS_PER_LEASE
            )

    async def renew_or_acquire_all(self) -> None:
        """Renew held leases and try to acquire free or expired ones."""
        await asyncio.gather(
            *(
                self._renew_or_acquire(lease)
                for lease in self._by_name.values()
            )
        )

    async def _renew_or_acquire(self, lease: _Lease) -> None:
        if self.released:
            return
        try:
            if lease.row is not None:
                beat = lease.row.beat + 1
                await self._write(lease, structs.replace(lease.row, beat=beat))
            else:
                await self._try_acquire(lease)
        except PlatformError as error:
            self.watch.reset()
            logger.warning('lease {} not renewed: {}', lease.key, error)

    async def _try_acquire(self, lease: _Lease) -> None:
        row = (await self.context.ports['control_table'].read([lease.key]))[
            lease.key
        ]
        current = None if row.value is None else convert(row.value, LeaseRow)
        fence = 0
        if current is not None:
            fence = current.fence
            expired = self.watch.expired(
                lease.key,
                (current.fence, current.beat),
                self.context.clock.now(),
            )
            if current.holder and not expired:
                return
        lease.revision = row.revision
        own = LeaseRow(
            holder=self.context.settings.host,
            nonce=new_nonce(),
            fence=fence + 1,
            beat=0,
        )
        if await self._write(lease, own):
            logger.info('took {} with fence {}', lease.key, own.fence)

    async def _write(self, lease: _Lease, row: LeaseRow) -> bool:
        """Write the row if its revision is unchanged, else drop the lease."""
        started_s = self.context.clock.now()
        table = self.context.ports['control_table']
        change = Transaction(
            checks=[Check(key=lease.key, revision=lease.revision)],
            puts=[Put(key=lease.key, value=encode_row_value(row))],
        )
        try:
            result = await table.transact(change)
        except StoreAnswerLost:
            current = (await table.read([lease.key]))[lease.key]
        else:
            if result.committed:
                revision = result.revisions[lease.key]
                self._set_held(
                    lease, row, revision, self._valid_until_s(started_s)
                )
                return True
            current = result.conflicts[0]
        return self._resolve_conflict(lease, row, current, started_s)

    def _resolve_conflict(
        self, lease: _Lease, row: LeaseRow, current: Row, started_s: float
    ) -> bool:
        found = (
            None if current.value is None else convert(current.value, LeaseRow)
        )
        if found is not None and found.nonce == row.nonce and found.holder:
            # An earlier write of this daemon took effect, but its response was
            # lost. Its start time is unknown, so the lease is extended only
            # if the row is the one just written.
            valid_until_s = lease.valid_until_s
            if found == row:
                valid_until_s = self._valid_until_s(started_s)
            self._set_held(lease, found, current.revision, valid_until_s)
            return True
        lease.row = None
        lease.valid_until_s = float('-inf')
        return False

    def _valid_until_s(self, started_s: float) -> float:
        return started_s + VALID_SHARE * self.lease_s

    def _set_held(
        self, lease: _Lease, row: LeaseRow, revision: int, valid_until_s: float
    ) -> None:
        lease.row = row
        lease.revision = revision
        lease.valid_until_s = valid_until_s

    async def drain(self) -> None:
        """Release the leases; other daemons may then acquire them at once."""
        self.released = True
        await asyncio.gather(
            *(
                self._release(lease)
                for lease in self._by_name.values()
                if lease.row is not None
            )
        )

    async def _release(self, lease: _Lease) -> None:
        assert lease.row is not None
        try:
            await self._write(lease, structs.replace(lease.row, holder=''))
        except PlatformError as error:
            logger.warning('lease {} not released: {}', lease.key, error)
