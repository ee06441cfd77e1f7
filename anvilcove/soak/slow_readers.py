"""Callers of a soak run that hardly read the streams that they ask for."""

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from aiohttp import ClientError, ClientSession, ClientTimeout

from anvilcove.platform.standin_faults import LONG
from anvilcove.platform.standin_wire import read_held_bytes, request_headers
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    PEERS_PORT,
    STREAMS,
    DaemonProcess,
    LoopbackSite,
)

# Bound of each daemon. Two readers of a stream of up to 0.9 MB reach it.
HELD_MB = 0.5
RECEIVE_BUFFER_BYTES = 4096
READ_PERIOD_S = 1.0
PAUSE_S = 0.2
POLL_S = 0.2
STREAM_DEADLINE_S = 30.0
SCRAPE_TIMEOUT_S = 1.0


class SlowReaders:
    """Callers that read one byte per second, and a check of the bound."""

    def __init__(self, site: LoopbackSite, count: int) -> None:
        """Create callers that send nothing before `running`."""
        self._site = site
        self._count = count
        self._ids = itertools.count()
        # Streams that began and whose connection a daemon reset.
        self.ended = 0
        self.violations: list[str] = []

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Read slowly within the context."""
        work = [self._read_streams(n) for n in range(self._count)]
        if work:
            work.append(self._watch_bound())
        tasks = [asyncio.create_task(part) for part in work]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    self.violations.append(f'slow reader: {result!r}')

    async def _read_streams(self, number: int) -> None:
        """Ask for one stream after another, each at the next daemon."""
        daemons = itertools.cycle(self._site.daemons)
        for _ in range(number):
            next(daemons)
        for daemon in daemons:
            with suppress(OSError):
                await self._read_stream(daemon)
            await asyncio.sleep(PAUSE_S)

    async def _read_stream(self, daemon: DaemonProcess) -> None:
        loop = asyncio.get_running_loop()
        name = f'slow-{next(self._ids)}'
        headers = request_headers(HOST, name, STREAM_DEADLINE_S)
        headers |= self._site.access_headers(name)
        lines = [f'POST {STREAMS}{LONG}{name} HTTP/1.1', 'Content-Length: 0']
        lines += [f'{key}: {value}' for key, value in headers.items()]
        with socket.socket() as caller:
            caller.setblocking(False)
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            await loop.sock_connect(caller, (daemon.ip, CALLERS_PORT))
            await loop.sock_sendall(
                caller, '\r\n'.join([*lines, '', '']).encode()
            )
            starts = daemon.starts
            while await loop.sock_recv(caller, 1):
                await asyncio.sleep(READ_PERIOD_S)
                # What arrived before the reset can still be read.
                if caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    self.ended += starts == daemon.starts
                    return

    async def _watch_bound(self) -> None:
        """Record daemons that hold more than they may."""
        timeout = ClientTimeout(total=SCRAPE_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.sleep(POLL_S)
                for daemon in self._site.daemons:
                    url = f'http://{daemon.ip}:{PEERS_PORT + 1}/metrics'
                    with suppress(ClientError, TimeoutError, OSError):
                        async with session.get(url) as response:
                            self._check(daemon, await response.text())

    def _check(self, daemon: DaemonProcess, metrics: str) -> None:
        held_bytes, bound_bytes = read_held_bytes(metrics)
        if held_bytes > bound_bytes:
            self.violations.append(
                f'memory: {daemon.name} holds {held_bytes:.0f} of'
                f' {bound_bytes:.0f} bytes for slow readers'
            )
