"""TCP relay that simulates latency and partitions of data centres."""

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
MIN_PROBE_GAP_S = 0.005
MAX_PRECISE_WAIT_S = 0.01
LINGER_ZERO = struct.pack('ii', 1, 0)
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# Classic BPF of Linux: load the source address (offset 12 of the IP header,
# which starts at SKF_NET_OFF), keep two octets, compare.
BPF_LOAD_SOURCE = (0x20, 0, 0, 0xFFF00000 + 12)
BPF_AND = 0x54
BPF_JUMP_EQUAL, BPF_RETURN = 0x15, 0x06
ACCEPT, DROP = 0xFFFFFFFF, 0


class PreciseSelector(selectors.EpollSelector):
    """Epoll with waits below a millisecond, which epoll_wait rounds up."""

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait with select() on the epoll descriptor if the wait is short."""
        if timeout is not None and 0 < timeout < MAX_PRECISE_WAIT_S:
            select([self.fileno()], [], [], timeout)
            timeout = 0
        return super().select(timeout)


class Relayed(Message):
    """Addresses of one relayed server.

    An empty data centre places the server outside all data centres.
    """

    advertised: str
    real: str
    data_centre: str = ''


class NetworkOptions(Message):
    """Data centres, relayed servers and latencies of a network.

    Data centre N (from 0) uses addresses 127.(N+1).x.x, clients 127.0.x.x.
    """

    data_centres: list[str]
    listeners: list[Relayed]
    latency_s: float = 0.0005
    client_latency_s: float = 0.001


class Network(Standin):
    """Relay of all servers; the switch `cut` lists isolated data centres."""

    def __init__(self, options: NetworkOptions) -> None:
        """Create the relays without starting to listen."""
        super().__init__()
        self.options = options
        self.listeners = [Listener(self, r) for r in options.listeners]

    def app(self) -> web.Application:
        """Return the application that serves the fault switches."""
        app = super().app()
        app.on_startup.append(lambda _: self.start())
        app.on_cleanup.append(lambda _: self.stop())
        return app

    async def start(self) -> None:
        """Start relaying for every server that accepts connections."""
        for listener in self.listeners:
            listener.start()

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for listener in self.listeners:
            listener.stop()

    def cut(self, data_centre: str) -> None:
        """Isolate a data centre from everything outside it."""
        cut = {*self.faults.get('cut', ()), data_centre}
        self.set_faults({'cut': sorted(cut)})

    def heal(self) -> None:
        """End the isolation of all data centres."""
        self.set_faults({'cut': None})

    def set_faults(self, switches: dict[str, Any]) -> None:
        """Update the fault switches and reset connections that are now cut."""
        super().set_faults(switches)
        for listener in self.listeners:
            listener.apply_cuts()

    def data_centre(self, ip: str) -> str:
        """Return the data centre of a source address, empty for clients."""
        number = int(ip.split('.')[1])
        return self.options.data_centres[number - 1] if number else ''

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two data centres cannot reach each other."""
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
    """Relay in front of one server that listens only while the server does.

    It must not accept a connection that a stopped server would refuse:
    callers would treat a request that was not run as one that may have run.
    """

    def __init__(self, network: Network, relayed: Relayed) -> None:
        """Create a relay that does not listen yet."""
        self.network = network
        self.data_centre = relayed.data_centre
        self.advertised = split_address(relayed.advertised)
        self.real = split_address(relayed.real)
        self.pairs: set[ConnectionPair] = set()
        self._server: asyncio.Server | None = None
        self._probe_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start opening and closing the listener together with the server."""
        self._probe_requested.set()
        self._task = asyncio.create_task(self._mirror_server_state())

    def stop(self) -> None:
        """Close the listener and its connections."""
        if self._task is not None:
            self._task.cancel()
        self._close()
        for pair in list(self.pairs):
            pair.abort()

    def is_open(self) -> bool:
        """Return whether the relay accepts connections."""
        return self._server is not None

    def request_probe(self) -> None:
        """Schedule a probe of whether the server accepts connections."""
        self._probe_requested.set()

    async def _mirror_server_state(self) -> None:
        while True:
            await self._probe_requested.wait()
            self._probe_requested.clear()
            if not await self._server_accepts():
                self._close()
                await asyncio.sleep(PROBE_PERIOD_S)
                self._probe_requested.set()
                continue
            if self._server is None:
                await self._open()
            # Limits the probe rate when a server closes many connections.
            await asyncio.sleep(MIN_PROBE_GAP_S)

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
                lambda: ConnectionPair(self).client,
                *self.advertised,
                backlog=512,
            )
        except OSError:
            # An outgoing connection occupies the port; try again later.
            await asyncio.sleep(PROBE_PERIOD_S)
            self._probe_requested.set()
            return
        self.apply_cuts()

    def _close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def apply_cuts(self) -> None:
        """Drop connection attempts from cut-off sources, reset connections."""
        for server_socket in self._server.sockets if self._server else ():
            set_drop_filter(server_socket, self._cut_prefixes())
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


class ConnectionPair:
    """Relayed connection: one end to the source, one to the server."""

    def __init__(self, listener: Listener) -> None:
        """Create both ends; the source connects to `client`."""
        self.listener = listener
        self.source = ''
        self.client = PairEnd(self)
        self.server = PairEnd(self)
        self.client.peer, self.server.peer = self.server, self.client

    async def connect(self, ip: str) -> None:
        """Connect to the server from the IP address of the source."""
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
            self.listener.request_probe()

    def abort(self) -> None:
        """Reset both connections."""
        self.listener.pairs.discard(self)
        self.client.reset()
        self.server.reset()


class PairEnd(asyncio.Protocol):
    """One connection of a pair; sends data to its peer after `latency_s`."""

    peer: 'PairEnd'

    def __init__(self, pair: ConnectionPair) -> None:
        """Create an end that is not connected yet."""
        self.pair = pair
        self.latency_s = 0.0
        self.transport: Any = None
        self.ended = False
        self._delayed: deque[tuple[float, bytes]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the server, or forward data that arrived earlier."""
        self.transport = transport
        if self is self.pair.client:
            ip = transport.get_extra_info('peername')[0]
            self._connecting = self._loop.create_task(self.pair.connect(ip))
        elif self.peer.transport.is_closing():
            self.reset()
        else:
            self.peer.flush()

    def data_received(self, data: bytes) -> None:
        """Queue data for the peer, due after the latency."""
        self._delayed.append((self._loop.time() + self.latency_s, data))
        if self._timer is None:
            self.flush()

    def flush(self) -> None:
        """Forward the data that is due and schedule the rest."""
        self._timer = None
        if self.peer.transport is None:
            return
        now = self._loop.time()
        while self._delayed and self._delayed[0][0] <= now:
            self.peer.transport.write(self._delayed.popleft()[1])
        if self._delayed:
            self._timer = self._loop.call_at(self._delayed[0][0], self.flush)
        elif self.ended:
            self.peer.transport.close()

    def pause_writing(self) -> None:
        """Pause reading from the peer while this write buffer is full."""
        self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the peer."""
        if not self.peer.ended:
            self.peer.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Reset the peer after an error, else close it after its last data."""
        self.ended = True
        if self is self.pair.server:
            self.pair.listener.request_probe()
        if self.peer.ended:
            self.pair.listener.pairs.discard(self.pair)
        if error is not None:
            self.peer.reset()
        elif self._timer is None:
            self.flush()

    def reset(self) -> None:
        """Reset this connection; a normal close would signal end of stream."""
        if self.transport is None:
            return
        with suppress(OSError):
            self.transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
            )
        self.transport.abort()


def set_drop_filter(
    server_socket: Any, prefixes: list[str], prefix_bits: int = 16
) -> None:
    """Drop packets from networks, of a /16 by default, without a response.

    On a listening socket these are connection attempts. This simulates a lost
    link; an empty list removes the filter.
    """
    if not prefixes:
        with suppress(OSError):
            server_socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        return
    mask = -1 << (32 - prefix_bits) & 0xFFFFFFFF
    code = [BPF_LOAD_SOURCE, (BPF_AND, 0, 0, mask)]
    for prefix in prefixes:
        code.append((BPF_JUMP_EQUAL, 0, 1, int(IPv4Address(prefix))))
        code.append((BPF_RETURN, 0, 0, DROP))
    code.append((BPF_RETURN, 0, 0, ACCEPT))
    data = b''.join(struct.pack('HBBI', *step) for step in code)
    buffer = ctypes.create_string_buffer(data)
    program = struct.pack('HP', len(code), ctypes.addressof(buffer))
    server_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def split_address(address: str) -> tuple[str, int]:
    """Split `ip:port` into its parts."""
    ip, _, port = address.rpartition(':')
    return ip, int(port)
