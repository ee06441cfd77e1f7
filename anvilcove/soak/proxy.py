"""Loopback proxy that injects faults into TCP connections."""

import asyncio
import contextlib
import random
from typing import Any

from anvilcove.platform.standin_faults import reset_connection
from anvilcove.standins.network import set_drop_filter

PASS = 'pass'
DELAY = 'delay'
SILENT = 'silent'
ONE_WAY = 'one way'
RESET = 'reset'
SPLIT = 'split'
# Answers are replaced by a body without end.
ENDLESS = 'endless'

CHUNK_BYTES = 65_536
POLL_S = 0.05
DELAY_S = 0.3
MAX_PIECES = 12
PIECE_PAUSE_S = 0.002
ENDLESS_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n'


class FaultProxy:
    """Relay connections to one address with the fault set by `mode`."""

    def __init__(self, listen: str, target: str) -> None:
        """Create a proxy from ip:port to ip:port that does not listen yet."""
        self.listen = listen
        self.target = target
        self.mode = PASS
        # Addresses whose packets are lost, and those whose new connections are
        # lost while open ones live on.
        self.cut_sources: set[str] = set()
        self.closed_sources: set[str] = set()
        self._accepted: set[Any] = set()
        self._source_by_task: dict[asyncio.Task[None], str] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        ip, _, port = self.listen.rpartition(':')
        self._server = await asyncio.start_server(self._relay, ip, int(port))
        self._filter_sources()

    def cut(self, sources: set[str], keep_open: bool) -> None:
        """Lose what some addresses send, or their new connections only."""
        chosen = self.closed_sources if keep_open else self.cut_sources
        chosen |= sources
        self._filter_sources()

    def heal(self, sources: set[str]) -> None:
        """Deliver what some addresses send again."""
        self.cut_sources -= sources
        self.closed_sources -= sources
        self._filter_sources()

    def reset_sources(self, sources: set[str]) -> None:
        """Reset the open connections of some addresses."""
        for task, source in list(self._source_by_task.items()):
            if source in sources:
                task.cancel()

    def _filter_sources(self) -> None:
        if self._server is None:
            return
        lost = sorted(self.cut_sources | self.closed_sources)
        for listening in self._server.sockets:
            set_drop_filter(listening, lost, prefix_bits=32)
        for accepted in list(self._accepted):
            # A reset connection has no socket any more.
            if accepted.fileno() >= 0:
                set_drop_filter(
                    accepted, sorted(self.cut_sources), prefix_bits=32
                )

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
        self._source_by_task[task] = writer.get_extra_info('peername')[0]
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._connect(reader, writer)
        self._tasks.discard(task)
        del self._source_by_task[task]
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
        accepted = writer.get_extra_info('socket')
        self._accepted.add(accepted)
        set_drop_filter(accepted, sorted(self.cut_sources), prefix_bits=32)
        source = writer.get_extra_info('peername')[0]
        forwarders = [
            asyncio.create_task(
                self._forward(reader, target_writer, source, to_target=True)
            ),
            asyncio.create_task(
                self._forward(target_reader, writer, source, to_target=False)
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
            self._accepted.discard(accepted)
            for forwarder in forwarders:
                forwarder.cancel()
            target_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        to_target: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while self._is_blocked(source, to_target):
                await asyncio.sleep(POLL_S)
            if self.mode == RESET:
                return
            if self.mode == DELAY:
                await asyncio.sleep(DELAY_S)
            if not data:
                return
            if self.mode == ENDLESS and not to_target:
                await self._send_without_end(writer)
                return
            for piece in self._split(data):
                writer.write(piece)
                await writer.drain()
                if len(piece) < len(data):
                    await asyncio.sleep(PIECE_PAUSE_S)

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        """Send a body until the receiver closes or the fault ends."""
        writer.write(ENDLESS_HEAD)
        while self.mode == ENDLESS:
            writer.write(b'x' * CHUNK_BYTES)
            await writer.drain()
            await asyncio.sleep(0)

    def _is_blocked(self, source: str, to_target: bool) -> bool:
        if source in self.cut_sources:
            return True
        return self.mode == SILENT or (self.mode == ONE_WAY and not to_target)

    def _split(self, data: bytes) -> list[bytes]:
        """Return the data in the pieces in which they are sent."""
        if self.mode != SPLIT or len(data) < 2:
            return [data]
        count = min(random.randint(2, MAX_PIECES), len(data))
        cuts = sorted(random.sample(range(1, len(data)), count - 1))
        ends = [*cuts, len(data)]
        return [data[a:b] for a, b in zip([0, *cuts], ends, strict=True)]
