"""Select entry hosts from a list that is refreshed when it expires."""

import asyncio
import random
from collections.abc import Callable

from aiohttp import ClientSession, ClientTimeout

from anvilcove.client.settings import ClientSettings
from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.callers import Entry, EntryList
from anvilcove.messages.http_errors import CALL_ERRORS

# A host that failed is avoided for this time.
AVOID_S = 2.0
# If no host returns a list of entry hosts, the next attempt is made after
# this time; until then the configured addresses are used as well.
FALLBACK_TTL_S = 1.0


class EntrySelector:
    """Choose random entry hosts and avoid those that failed recently."""

    __slots__ = (
        'settings',
        'session',
        'entries',
        '_now',
        '_rng',
        '_expires_at_s',
        '_avoid_until_s_by_address',
        '_refresh_task',
        '_discovered',
    )

    def __init__(
        self,
        settings: ClientSettings,
        session: ClientSession,
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start with the configured addresses."""
        self.settings = settings
        self.session = session
        self.entries = _configured_entries(settings)
        self._now = now
        self._rng = rng
        self._expires_at_s = float('-inf')
        self._avoid_until_s_by_address: dict[str, float] = {}
        self._refresh_task: asyncio.Task[None] | None = None
        # Whether `entries` has come from a host, not from the settings.
        self._discovered = False

    async def choose(self, tried: set[str]) -> Entry | None:
        """Return an entry whose address is not in `tried`, or None.

        If all of them failed recently, return one of those.
        """
        if self._now() >= self._expires_at_s:
            await self._start_refresh()
        now = self._now()
        untried = [e for e in self.entries if e.address not in tried]
        usable = [
            entry
            for entry in untried
            if self._avoid_until_s_by_address.get(entry.address, 0.0) <= now
        ]
        if not usable and not untried:
            return None
        return self._rng.choice(usable or untried)

    def mark_failed(self, entry: Entry) -> None:
        """Avoid an entry for AVOID_S and let the list expire."""
        avoid_until_s = self._now() + AVOID_S
        self._avoid_until_s_by_address[entry.address] = avoid_until_s
        self._expires_at_s = float('-inf')

    async def _start_refresh(self) -> None:
        """Refresh the list in the background.

        Wait for the refresh only while no host has returned a list yet.
        """
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._refresh())
        if not self._discovered:
            await asyncio.shield(self._refresh_task)

    async def close(self) -> None:
        """Cancel a refresh that is running."""
        if self._refresh_task is not None:
            self._refresh_task.cancel()
            await asyncio.gather(self._refresh_task, return_exceptions=True)

    async def _refresh(self) -> None:
        for address in self._addresses_to_query():
            fetched = await self._fetch_entries(address)
            if fetched is not None and fetched.entries:
                self.entries = fetched.entries
                self._expires_at_s = self._now() + fetched.ttl_s
                self._discovered = True
                return
        self.entries = self._with_configured()
        self._expires_at_s = self._now() + FALLBACK_TTL_S

    def _addresses_to_query(self) -> list[str]:
        """Return all known addresses in random order, failed ones last."""
        addresses = [entry.address for entry in self._with_configured()]
        self._rng.shuffle(addresses)
        avoid = self._avoid_until_s_by_address
        now = self._now()
        return sorted(addresses, key=lambda a: avoid.get(a, 0.0) > now)

    def _with_configured(self) -> list[Entry]:
        """Return the entries in use and the configured ones."""
        known = {entry.address for entry in self.entries}
        configured = _configured_entries(self.settings)
        return self.entries + [e for e in configured if e.address not in known]

    async def _fetch_entries(self, address: str) -> EntryList | None:
        query = {
            'caller': self.settings.caller,
            'data_centre': self.settings.data_centre,
        }
        timeout_s = self.settings.entry_timeout_ms / 1000
        try:
            async with self.session.get(
                f'http://{address}/v1/entries',
                params=query,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                if response.status != 200:
                    return None
                return decode(await response.read(), EntryList)
        except (*CALL_ERRORS, MessageError):
            return None


def _configured_entries(settings: ClientSettings) -> list[Entry]:
    return [
        Entry(host='', address=address, data_centre='')
        for address in settings.addresses
    ]
