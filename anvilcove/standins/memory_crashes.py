"""Contents that crash the simulated servers at which they begin to run."""

import asyncio
from collections.abc import Callable

from anvilcove.ports.errors import EndpointCrashed, EndpointNotRun

# Time from the start of a run until it crashes its server, and the time that
# a connection takes.
CRASH_DELAY_S = 0.005
CONNECT_TIME_S = 0.001


class MemoryCrashes:
    """Crashes of simulated servers, caused by the body of a request."""

    def __init__(self) -> None:
        """Start with all servers running and no body that crashes one."""
        self.bodies: set[bytes] = set()
        # Number of servers that a body still crashes before it is sound.
        self.remaining_by_body: dict[bytes, int] = {}
        # Addresses of servers that refuse connections.
        self.down: set[str] = set()
        # Address of each server that crashed, and the body that crashed it.
        self.crashed: list[tuple[str, bytes]] = []
        # Addresses to which the daemons opened a connection to check them.
        self.probed: list[str] = []
        self.on_crash: Callable[[str], None] = lambda address: None
        self._event_by_address: dict[str, asyncio.Event] = {}

    def connect(self, address: str) -> None:
        """Raise EndpointNotRun if a server is down."""
        if address in self.down:
            raise EndpointNotRun('connection refused', unreachable=True)

    async def begin(self, address: str, body: bytes) -> None:
        """Begin to run a request, which may crash its server."""
        remaining = self.remaining_by_body.get(body, 0)
        if remaining:
            self.remaining_by_body[body] = remaining - 1
        if remaining or body in self.bodies:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash(address, body)
            raise EndpointCrashed('server crashed')

    async def work(self, address: str, seconds: float) -> None:
        """Take time; raise EndpointCrashed if the server crashes meanwhile."""
        event = self._event_by_address.setdefault(address, asyncio.Event())
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return
        raise EndpointCrashed('server crashed')

    def crash(self, address: str, body: bytes) -> None:
        """Crash a server unless it is already down."""
        if address in self.down:
            return
        self.down.add(address)
        self.crashed.append((address, body))
        event = self._event_by_address.pop(address, None)
        if event is not None:
            event.set()
        self.on_crash(address)

    async def refuses_connections(self, address: str) -> bool:
        """Open a connection; return whether the server refused it."""
        self.probed.append(address)
        await asyncio.sleep(CONNECT_TIME_S)
        return address in self.down
