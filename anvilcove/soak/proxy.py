"""Loopback proxy that injects faults into TCP connections."""

import asyncio
import contextlib
import random

from anvilcove.platform.standin_faults import reset_connection

PASS = 'pass'
DELAY = 'delay'
SILENT = 'silent'
ONE_WAY = 'one way'
RESET = 'reset'
SPLIT = 'split'

CHUNK_BYTES = 65_536
POLL_S = 0.05
DELAY_S = 0.3
MAX_PIECES = 12
PIECE_PAUSE_S = 0.002


class FaultProxy:
    """Relay connections to one address with the fault set by `mode`."""

    def __init__(self, listen: str, target: str) -> None:
        """Create a proxy from ip:port to ip:port that does not listen yet."""
        self.listen = listen
        self.target = target
        self.mode = PASS
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        ip, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._relay, ip, int(port))

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        tasks = self.reset_connections()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reset_connections(self) -> list[asyncio.Task[None]]:
        """Reset every connection and return the tasks that do it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._connect(reader, writer)
        self._tasks.discard(task)
        # An abort without unread data would look like an ordinary end.
        if self.mode == RESET or task.cancelling():
            reset_connection(writer.transport)
        writer.transport.abort()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == RESET:
            return
        ip, _, port = self.target.rpartition(':')
        target_reader, target_writer = await asyncio.open_connection(
            ip, int(port)
        )
        forwarders = [
            asyncio.create_task(
                self._forward(reader, target_writer, to_target=True)
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, to_target=False)
            ),
        ]
        try:
            done, _ = await asyncio.wait(
                forwarders, return_when=asyncio.FIRST_COMPLETED
            )
            if any(forwarder.exception() for forwarder in done):
                reset_connection(writer.transport)
            # Leave time to deliver what the other side still sends.
            await asyncio.sleep(POLL_S)
        finally:
            for forwarder in forwarders:
                forwarder.cancel()
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while self._is_blocked(to_target):
                await asyncio.sleep(POLL_S)
            if self.mode == RESET:
                return
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            if not data:
                return
            for piece in self._split(data):
                writer.write(piece)
                await writer.drain()
                if len(piece) < len(data):
                    await asyncio.sleep(PIECE_PAUSE_S)

    def _is_blocked(self, to_target: bool) -> bool:
        return self.mode == SILENT or (self.mode == ONE_WAY and not to_target)

    def _split(self, data: bytes) -> list[bytes]:
        """Return the data in the pieces in which they are sent."""
        if self.mode != SPLIT or len(data) < 2:
            return [data]
        count = min(random.randint(2, MAX_PIECES), len(data))
        cuts = sorted(random.sample(range(1, len(data)), count - 1))
        ends = [*cuts, len(data)]
        return [data[a:b] for a, b in zip([0, *cuts], ends, strict=True)]
