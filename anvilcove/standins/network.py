"""TCP relay that adds latency between data centres and cuts them off."""

import asyncio
import ctypes
import selectors
import socket
import struct
from collections import deque
from contextlib import suppress
from ipaddress import IPv4Address
from select import select
from typing import Any

from aiohttp import web

from anvilcove.messages.base import Message
from anvilcove.standins.faults import Standin

PROBE_PERIOD_S = 0.05
PROBE_GAP_S = 0.005
PRECISE_BELOW_S = 0.01
LINGER_NONE = struct.pack('ii', 1, 0)
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# Classic BPF of Linux: load the source address (offset 12 of the IP header,
# which starts at SKF_NET_OFF), keep two octets, compare.
BPF_LOAD_SOURCE = (0x20, 0, 0, 0xFFF00000 + 12)
BPF_MASK = (0x54, 0, 0, 0xFFFF0000)
BPF_JUMP_EQUAL, BPF_RETURN = 0x15, 0x06
ACCEPT, DROP = 0xFFFFFFFF, 0


class PreciseSelector(selectors.EpollSelector):
    """Epoll with waits below a millisecond, which epoll_wait rounds up."""

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait with select() on the epoll descriptor if the wait is short."""
        if timeout is not None and 0 < timeout < PRECISE_BELOW_S:
            select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


class Relayed(Message):
    """One listener; no data centre means outside of all."""

    advertised: str
    real: str
    data_centre: str = ''


class NetworkOptions(Message):
    """Data centre N has the prefix 127.N+1.; clients have 127.0."""

    data_centres: list[str]
    listeners: list[Relayed]
    latency_s: float = 0.0005
    client_latency_s: float = 0.001


class Network(Standin):
    """Relay; the switch `cut` lists the data centres that are cut off."""

    def __init__(self, options: NetworkOptions) -> None:
        """Keep the plan; nothing listens yet."""
        super().__init__()
        self.options = options
        self.listeners = [Listener(self, r) for r in options.listeners]

    def app(self) -> web.Application:
        """Return the application that takes the switches."""
        app = super().app()
        app.on_startup.append(lambda _: self.start())
        app.on_cleanup.append(lambda _: self.stop())
        return app

    async def start(self) -> None:
        """Listen for every server that accepts connections."""
        for listener in self.listeners:
            listener.start()

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for listener in self.listeners:
            listener.stop()

    def cut(self, data_centre: str) -> None:
        """Cut a data centre off from everything outside it."""
        cut = {*self.faults.get('cut', ()), data_centre}
        self.set_faults({'cut': sorted(cut)})

    def heal(self) -> None:
        """Connect all data centres again."""
        self.set_faults({'cut': None})

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Merge switches and break the connections that are cut."""
        super().set_faults(switches)
        for listener in self.listeners:
            listener.apply_cuts()

    def data_centre(self, ip: str) -> str:
        """Return the data centre of a source, empty for clients."""
        number = int(ip.split('.')[1])
        return self.options.data_centres[number - 1] if number else ''

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two data centres cannot reach each other."""
        cut = self.faults.get('cut', ())
        return one != other and (one in cut or other in cut)

    def latency(self, source: str, target: str) -> float:
        """Return the one-way latency in seconds."""
        if source == target:
            return 0.0
        if not source:
            return self.options.client_latency_s
        return self.options.latency_s


class Listener:
    """Relay in front of one server; it listens while the server does.

    A connection that a dead server would refuse must not be accepted here:
    callers would take "not run" for "may have run".
    """

    def __init__(self, network: Network, relayed: Relayed) -> None:
        """Keep the addresses."""
        self.network = network
        self.data_centre = relayed.data_centre
        self.advertised = split(relayed.advertised)
        self.real = split(relayed.real)
        self.pairs: set[Pair] = set()
        self._server: asyncio.Server | None = None
        self._check = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Follow whether the server accepts connections."""
        self._check.set()
        self._task = asyncio.create_task(self._follow())

    def stop(self) -> None:
        """Close the listener and its connections."""
        if self._task is not None:
            self._task.cancel()
        self._close()
        for pair in list(self.pairs):
            pair.abort()

    def is_open(self) -> bool:
        """Tell whether connections are accepted."""
        return self._server is not None

    def check(self) -> None:
        """Find out soon whether the server still accepts connections."""
        self._check.set()

    async def _follow(self) -> None:
        while True:
            await self._check.wait()
            self._check.clear()
            if not await self._server_accepts():
                self._close()
                await asyncio.sleep(PROBE_PERIOD_S)
                self._check.set()
                continue
            if self._server is None:
                await self._open()
            # Bounds the probes when a server closes many connections.
            await asyncio.sleep(PROBE_GAP_S)

    async def _server_accepts(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(*self.real)
        except OSError:
            return False
        writer.close()
        return True

    async def _open(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: Pair(self).client, *self.advertised, backlog=512
            )
        except OSError:
            # An outgoing connection has the port; it is tried again.
            await asyncio.sleep(PROBE_PERIOD_S)
            self._check.set()
            return
        self.apply_cuts()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def apply_cuts(self) -> None:
        """Drop connection attempts that are cut; break such connections."""
        for server_socket in self._server.sockets if self._server else ():
            set_filter(server_socket, self._cut_prefixes())
        for pair in list(self.pairs):
            if self.network.is_cut(pair.source, self.data_centre):
                pair.abort()

    def _cut_prefixes(self) -> list[str]:
        names = ['', *self.network.options.data_centres]
        return [
            f'127.{number}.0.0'
            for number, name in enumerate(names)
            if self.network.is_cut(name, self.data_centre)
        ]


class Pair:
    """Connection from a source and the one on to the server."""

    def __init__(self, listener: Listener) -> None:
        """Wait for the connection of the source."""
        self.listener = listener
        self.source = ''
        self.client = Side(self)
        self.server = Side(self)
        self.client.peer, self.server.peer = self.server, self.client

    async def connect(self, ip: str) -> None:
        """Connect on to the server with the address of the source."""
        network = self.listener.network
        self.source = network.data_centre(ip)
        latency_s = network.latency(self.source, self.listener.data_centre)
        self.client.latency_s = self.server.latency_s = latency_s
        self.listener.pairs.add(self)
        if network.is_cut(self.source, self.listener.data_centre):
            self.abort()
            return
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: self.server, *self.listener.real, local_addr=(ip, 0)
            )
        except OSError:
            self.abort()
            self.listener.check()

    def abort(self) -> None:
        """Reset both connections."""
        self.listener.pairs.discard(self)
        self.client.reset()
        self.server.reset()


class Side(asyncio.Protocol):
    """One connection of a pair; what it receives goes to its peer, late."""

    peer: 'Side'

    def __init__(self, pair: Pair) -> None:
        """Start without a connection."""
        self.pair = pair
        self.latency_s = 0.0
        self.transport: Any = None
        self.ended = False
        self._late: deque[tuple[float, bytes]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect on, or pass on what came before this connection."""
        self.transport = transport
        if self is self.pair.client:
            ip = transport.get_extra_info('peername')[0]
            self._connecting = self._loop.create_task(self.pair.connect(ip))
        elif self.peer.transport.is_closing():
            self.reset()
        else:
            self.peer.flush()

    def data_received(self, data: bytes) -> None:
        """Pass data on after the latency."""
        self._late.append((self._loop.time() + self.latency_s, data))
        if self._timer is None:
            self.flush()

    def flush(self) -> None:
        """Pass on what is due and wait for the rest."""
        self._timer = None
        if self.peer.transport is None:
            return
        now = self._loop.time()
        while self._late and self._late[0][0] <= now:
            self.peer.transport.write(self._late.popleft()[1])
        if self._late:
            self._timer = self._loop.call_at(self._late[0][0], self.flush)
        elif self.ended:
            self.peer.transport.close()

    def pause_writing(self) -> None:
        """Stop reading from the peer while this side is slow."""
        self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        if not self.peer.ended:
            self.peer.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """End the peer as this side ended: reset, or closed after the data."""
        self.ended = True
        if self is self.pair.server:
            self.pair.listener.check()
        if self.peer.ended:
            self.pair.listener.pairs.discard(self.pair)
        if error is not None:
            self.peer.reset()
        elif self._timer is None:
            self.flush()

    def reset(self) -> None:
        """Reset this connection; a plain close would look like an end."""
        if self.transport is None:
            return
        with suppress(OSError):
            self.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )
        self.transport.abort()


def set_filter(server_socket: Any, prefixes: list[str]) -> None:
    """Drop connection attempts from some /16 networks, as a lost link does."""
    if not prefixes:
        with suppress(OSError):
            server_socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    code = [BPF_LOAD_SOURCE, BPF_MASK]
    for prefix in prefixes:
        code.append((BPF_JUMP_EQUAL, 0, 1, int(IPv4Address(prefix))))
        code.append((BPF_RETURN, 0, 0, DROP))
    code.append((BPF_RETURN, 0, 0, ACCEPT))
    data = b''.join(struct.pack('HBBI', *step) for step in code)
    buffer = ctypes.create_string_buffer(data)
    program = struct.pack('HP', len(code), ctypes.addressof(buffer))
    server_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def split(address: str) -> tuple[str, int]:
    """Split `ip:port`."""
    ip, _, port = address.rpartition(':')
    return ip, int(port)
