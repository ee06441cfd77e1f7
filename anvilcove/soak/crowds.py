"""Crowds of clients that use up what a daemon has, each within its limits.

A client sends what the kind of its crowd yields and stays open. Kinds are
registered by decorator.
"""

import asyncio
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, suppress
from gzip import compress

from msgspec import Struct

# Window of a client that hardly reads.
SLOW_RECEIVE_BYTES = 4096
SEND_BYTES = 65_536
READ_BYTES = 65_536
SMALL_CHUNK = b'1\r\nx\r\n'
BLOCK = b'x' * SEND_BYTES


class Target(Struct, frozen=True):
    """Request that the clients of a crowd send, and its largest body.

    `headers` returns the lines of the head of a client, by its number,
    besides those of the framing.
    """

    path: str
    headers: Callable[[int], Iterable[str]]
    body_bytes: int
    method: str = 'POST'

    def head(self, number: int, *framing: str) -> bytes:
        """Return the head of the request of a client."""
        lines = [f'{self.method} {self.path}{number} HTTP/1.1']
        lines += self.headers(number)
        return '\r\n'.join([*lines, *framing, '', '']).encode()


class CrowdKind(Struct, frozen=True):
    """What a client sends, and whether it reads what it gets.

    Clients come at once, or one after another at an interval.
    """

    pieces: Callable[[Target, int], Iterator[bytes]]
    reads: bool = True
    interval_s: float = 0.0


KINDS: dict[str, CrowdKind] = {}


def crowd_kind(
    name: str, reads: bool = True, interval_s: float = 0.0
) -> Callable[
    [Callable[[Target, int], Iterator[bytes]]],
    Callable[[Target, int], Iterator[bytes]],
]:
    """Register what the clients of a crowd send."""

    def register(
        pieces: Callable[[Target, int], Iterator[bytes]],
    ) -> Callable[[Target, int], Iterator[bytes]]:
        KINDS[name] = CrowdKind(pieces, reads, interval_s)
        return pieces

    return register


def _blocks(count: int, size: int = SEND_BYTES) -> Iterator[bytes]:
    for start in range(0, count, size):
        yield BLOCK[: min(size, count - start)]


def _sized(
    target: Target, number: int, sent: int, size: int
) -> Iterator[bytes]:
    yield target.head(number, f'Content-Length: {size}')
    yield from _blocks(sent)


@crowd_kind('whole bodies')
def whole_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Send the largest body and keep the connection."""
    return _sized(target, number, target.body_bytes, target.body_bytes)


@crowd_kind('whole bodies in pieces')
def whole_bodies_in_pieces(target: Target, number: int) -> Iterator[bytes]:
    """Send the largest body in writes of 1,000 bytes."""
    yield target.head(number, f'Content-Length: {target.body_bytes}')
    yield from _blocks(target.body_bytes, 1000)


@crowd_kind('bodies without their last byte')
def cut_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Stop one byte before the end of the largest body."""
    return _sized(target, number, target.body_bytes - 1, target.body_bytes)


@crowd_kind('small bodies without their last byte')
def cut_small_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Stop one byte before the end of a body of 64 KiB."""
    return _sized(target, number, 65_535, 65_536)


@crowd_kind('small bodies')
def small_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Send a body of 64 KiB and keep the connection."""
    return _sized(target, number, 65_536, 65_536)


@crowd_kind('large chunks without an end')
def large_chunks(target: Target, number: int) -> Iterator[bytes]:
    """Send the largest body in chunks of 64 KiB without the last one."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    for block in _blocks(target.body_bytes):
        yield b'%x\r\n%s\r\n' % (len(block), block)


@crowd_kind('one chunk without its end')
def one_chunk(target: Target, number: int) -> Iterator[bytes]:
    """Send most of one chunk that is as large as the largest body."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    yield b'%x\r\n' % target.body_bytes
    yield from _blocks(target.body_bytes * 7 // 8)


@crowd_kind('small chunks without an end')
def small_chunks(target: Target, number: int) -> Iterator[bytes]:
    """Send chunks of one byte, up to 64 KiB with their framing removed."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    for _ in range(8):
        yield SMALL_CHUNK * 8000


@crowd_kind('many small chunks without an end')
def many_small_chunks(target: Target, number: int) -> Iterator[bytes]:
    """Send 400,000 chunks of one byte."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    for _ in range(50):
        yield SMALL_CHUNK * 8000


@crowd_kind('chunk extensions without an end')
def chunk_extensions(target: Target, number: int) -> Iterator[bytes]:
    """Send an extension of a chunk that has no end."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    yield b'5;'
    yield from _blocks(target.body_bytes)


@crowd_kind('trailers without an end')
def trailers(target: Target, number: int) -> Iterator[bytes]:
    """Send trailers that have no end."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    yield b'0\r\n'
    for _ in range(target.body_bytes // len(BLOCK)):
        yield b'X: ' + BLOCK[:8000] + b'\r\n'


@crowd_kind('heads without their end')
def heads(target: Target, number: int) -> Iterator[bytes]:
    """Send 120 header lines of 16 KB, and no empty line."""
    yield target.head(number)[:-2]
    for line in range(120):
        yield b'X%d: %s\r\n' % (line, BLOCK[:16_000])


@crowd_kind('heads below the limit')
def long_heads(target: Target, number: int) -> Iterator[bytes]:
    """Send 60,000 bytes of header lines, and no empty line."""
    yield target.head(number)[:-2]
    for line in range(15):
        yield b'X%d: %s\r\n' % (line, BLOCK[:4000])


@crowd_kind('chunks of 64 bytes without an end')
def chunks_of_64_bytes(target: Target, number: int) -> Iterator[bytes]:
    """Send chunks whose framing is short, up to the largest body."""
    yield target.head(number, 'Transfer-Encoding: chunked')
    chunks = b'40\r\n%s\r\n' % BLOCK[:64] * 1000
    for _ in range(target.body_bytes // 64_000):
        yield chunks


@crowd_kind('one header without its end')
def one_header(target: Target, number: int) -> Iterator[bytes]:
    """Send a header line that has no end."""
    yield target.head(number)[:-2] + b'X: '
    yield from _blocks(target.body_bytes)


@crowd_kind('pipelined requests', reads=False)
def pipelined(target: Target, number: int) -> Iterator[bytes]:
    """Send requests with bodies of 64 KiB, without reading the answers."""
    for _ in range(max(target.body_bytes // 65_536, 64)):
        yield target.head(number, 'Content-Length: 65536')
        yield BLOCK


@crowd_kind('pipelined heads', reads=False)
def pipelined_heads(target: Target, number: int) -> Iterator[bytes]:
    """Send requests with 16 KB of headers, without reading the answers."""
    header = f'X: {"x" * 16_000}'
    for _ in range(512):
        yield target.head(number, header, 'Content-Length: 0')


@crowd_kind('answers that are not read', reads=False)
def unread_answers(target: Target, number: int) -> Iterator[bytes]:
    """Ask for an answer and read nothing of it."""
    yield target.head(number, 'Content-Length: 0')


@crowd_kind('many answers that are not read', reads=False)
def many_unread_answers(target: Target, number: int) -> Iterator[bytes]:
    """Ask for one answer after another and read nothing."""
    for _ in range(64):
        yield target.head(number, 'Content-Length: 0')


@crowd_kind('answers on kept connections')
def kept_connections(target: Target, number: int) -> Iterator[bytes]:
    """Ask for an answer, read it and keep the connection."""
    yield target.head(number, 'Content-Length: 0')


@crowd_kind('idle connections')
def idle_connections(target: Target, number: int) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


@crowd_kind('compressed bodies without an end')
def compressed_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Send a short body that is decoded to twice the largest one."""
    packed = compress(b'x' * (target.body_bytes * 2))
    yield target.head(
        number, f'Content-Length: {len(packed) + 1}', 'Content-Encoding: gzip'
    )
    yield packed


@crowd_kind('compressed bodies')
def whole_compressed_bodies(target: Target, number: int) -> Iterator[bytes]:
    """Send a short body that is decoded to the largest one."""
    packed = compress(b'x' * target.body_bytes)
    yield target.head(
        number, f'Content-Length: {len(packed)}', 'Content-Encoding: gzip'
    )
    yield packed


@crowd_kind('bodies that wait for 100 Continue', reads=False)
def expecting(target: Target, number: int) -> Iterator[bytes]:
    """Announce the largest body, and send it without waiting."""
    yield target.head(
        number, f'Content-Length: {target.body_bytes}', 'Expect: 100-continue'
    )
    yield from _blocks(target.body_bytes - 1)


class Crowd:
    """Clients of one kind at some addresses, in turn."""

    __slots__ = ('_kind', '_addresses', '_target', '_count', '_sending')

    def __init__(
        self,
        kind: str,
        addresses: list[tuple[str, int]],
        target: Target,
        count: int,
    ) -> None:
        """Create clients that connect in `running`."""
        self._kind = KINDS[kind]
        self._addresses = addresses
        self._target = target
        self._count = count
        self._sending: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Keep the clients open within the context."""
        addresses = itertools.cycle(self._addresses)
        clients = [
            asyncio.create_task(self._run(number, next(addresses)))
            for number in range(self._count)
        ]
        self._sending.update(clients)
        try:
            yield
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def sent(self, limit_s: float) -> None:
        """Wait until all clients have sent what they can, or a time."""
        loop = asyncio.get_running_loop()
        deadline_at_s = loop.time() + limit_s
        while self._sending and loop.time() < deadline_at_s:
            await asyncio.sleep(0.05)

    async def _run(self, number: int, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        with socket.socket() as client:
            client.setblocking(False)
            if not self._kind.reads:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BYTES
                )
            reading: asyncio.Task[None] | None = None
            try:
                await asyncio.sleep(number * self._kind.interval_s)
                with suppress(OSError):
                    await loop.sock_connect(client, address)
                    if self._kind.reads:
                        reading = loop.create_task(_read_all(client))
                    for piece in self._kind.pieces(self._target, number):
                        await loop.sock_sendall(client, piece)
                self._sending.discard(task)
                await asyncio.Event().wait()
            finally:
                self._sending.discard(task)
                if reading is not None:
                    reading.cancel()


async def _read_all(client: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        while await loop.sock_recv(client, READ_BYTES):
            pass
