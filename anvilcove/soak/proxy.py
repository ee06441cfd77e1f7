"""Loopback proxy that harms the connections that go through it."""

import asyncio
import contextlib

PASS = 'pass'
DELAY = 'delay'
SILENT = 'silent'
ONE_WAY = 'one way'
RESET = 'reset'

CHUNK_BYTES = 65_536
POLL_S = 0.05
DELAY_S = 0.3


class HarmfulProxy:
    """Relay connections to one address; `mode` says how."""

    def __init__(self, listen: str, target: str) -> None:
        """Relay from ip:port to ip:port once started."""
        self.listen = listen
        self.target = target
        self.mode = PASS
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._relay, ip, int(port))

    async def stop(self) -> None:
        """Close every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._connect(reader, writer)
        self._tasks.discard(task)
        writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == RESET:
            return
        ip, _, port = self.target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, forth=True)),
            asyncio.create_task(self._pump(far_reader, writer, forth=False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # What the other side still sends is delivered first.
            await asyncio.sleep(POLL_S)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forth: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while self._holds(forth):
                await asyncio.sleep(POLL_S)
            if self.mode == RESET:
                return
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            if not data:
                return
            writer.write(data)
            await writer.drain()

    def _holds(self, forth: bool) -> bool:
        return self.mode == SILENT or (self.mode == ONE_WAY and not forth)
