"""Check of an address by one TCP connection."""

import asyncio

from anvilcove.platform.connections import CONNECT_TIMEOUT_S


class ConnectionProbe:
    """Opener of single connections, which are closed at once."""

    __slots__ = ('_source',)

    def __init__(self, source_ip: str = '') -> None:
        """Connect from `source_ip`; the system chooses it if empty."""
        self._source = (source_ip, 0) if source_ip else None

    async def refuses_connections(self, address: str) -> bool:
        """Open a connection; return whether the address refused it.

        A connection that fails for another reason, such as a time-out, is not
        a refusal: the address may be behind a network partition.
        """
        ip, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    ip, int(port), local_addr=self._source
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    async def accepts_connections(self, address: str) -> bool:
        """Open a connection; return whether the address accepted it."""
        ip, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(
                    ip, int(port), local_addr=self._source
                )
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True
