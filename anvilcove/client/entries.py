"""Entry hosts that a caller uses, asked again after their time to live."""

import asyncio
import random
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout

from anvilcove.client.settings import ClientSettings
from anvilcove.messages.base import MessageError, decode
from anvilcove.messages.callers import Entry, EntryList

# A host that could not be reached is not used for this time.
AVOID_S = 2.0
# The configured addresses are used this long when no host names entries.
FALLBACK_TTL_S = 1.0


class EntryBook:
    """Entries in use, with those that failed recently left out."""

    __slots__ = (
        'settings',
        'session',
        'entries',
        '_now',
        '_rng',
        '_expires_at_s',
        '_avoid_until_s_by_address',
        '_refreshing',
        '_named',
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
        self.entries = _configured(settings)
        self._now = now
        self._rng = rng
        self._expires_at_s = float('-inf')
        self._avoid_until_s_by_address: dict[str, float] = {}
        self._refreshing: asyncio.Task[None] | None = None
        # Whether a host has named the entries in use.
        self._named = False

    async def choose(self, tried: set[str]) -> Entry | None:
        """Return an entry that was not tried yet, None if there is none."""
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

    def failed(self, entry: Entry) -> None:
        """Leave an entry out for a while and ask for others."""
        until_s = self._now() + AVOID_S
        self._avoid_until_s_by_address[entry.address] = until_s
        self._expires_at_s = float('-inf')

    async def _start_refresh(self) -> None:
        """Ask for entries; calls go on with those in use meanwhile."""
        if self._refreshing is None or self._refreshing.done():
            self._refreshing = asyncio.create_task(self._refresh())
        if not self._named:
            await asyncio.shield(self._refreshing)

    async def close(self) -> None:
        """Stop asking."""
        if self._refreshing is not None:
            self._refreshing.cancel()
            await asyncio.gather(self._refreshing, return_exceptions=True)

    async def _refresh(self) -> None:
        for address in self._addresses():
            answer = await self._ask(address)
            if answer is not None and answer.entries:
                self.entries = answer.entries
                self._expires_at_s = self._now() + answer.ttl_s
                self._named = True
                return
        self.entries = self._with_configured()
        self._expires_at_s = self._now() + FALLBACK_TTL_S

    def _addresses(self) -> list[str]:
        """Return the addresses to ask, those that failed last."""
        addresses = [entry.address for entry in self._with_configured()]
        self._rng.shuffle(addresses)
        avoid = self._avoid_until_s_by_address
        now = self._now()
        return sorted(addresses, key=lambda a: avoid.get(a, 0.0) > now)

    def _with_configured(self) -> list[Entry]:
        """Add the configured addresses to the entries in use."""
        known = {entry.address for entry in self.entries}
        configured = _configured(self.settings)
        return self.entries + [e for e in configured if e.address not in known]

    async def _ask(self, address: str) -> EntryList | None:
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
        except (ClientError, OSError, TimeoutError, MessageError):
            return None


def _configured(settings: ClientSettings) -> list[Entry]:
    return [
        Entry(host='', address=address, data_centre='')
        for address in settings.addresses
    ]
