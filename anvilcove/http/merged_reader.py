"""Reader of a body that keeps small chunks together.

The reader of aiohttp keeps an object, and the position of its end, for each
chunk, and asks the parser for more bytes after each one that is read.
"""

from collections import deque
from typing import Any

from aiohttp import StreamReader

# Pieces below this size are appended to the one before.
SMALL_PIECE_BYTES = 1024
# Size up to which small pieces are appended.
MERGED_PIECE_BYTES = 16_384


class MergedReader(StreamReader):
    """Body whose small chunks cost little more than their bytes.

    `readchunk` does not tell where chunks end.
    """

    # The class of an open reader is changed, so that its layout must be the
    # same.
    __slots__ = ()

    def feed_data(self, data: bytes, size: int = 0) -> bool:
        """Keep a piece, a small one together with the one before."""
        if len(data) >= SMALL_PIECE_BYTES:
            return super().feed_data(data, size)
        last = self._buffer[-1] if self._buffer else None
        if (
            isinstance(last, bytearray)
            and len(last) < MERGED_PIECE_BYTES
            # Its reader was woken up when it was kept.
            and self._waiter is None
        ):
            last += data
            self._size += len(data)
            self.total_bytes += len(data)
            if self._size > self._high_water:
                self._protocol.pause_reading()
            return False
        kept: Any = bytearray(data)
        return super().feed_data(kept, size)

    def begin_http_chunk_receiving(self) -> None:
        """Keep no positions of chunks."""

    def end_http_chunk_receiving(self) -> None:
        """Keep no positions of chunks."""

    def _read_nowait_chunk(self, n: int) -> bytes:
        # The method of the base class makes the parser go on, also where it
        # has not stopped.
        protocol = self._protocol
        if protocol._reading_paused:
            return bytes(super()._read_nowait_chunk(n))
        first, offset = self._buffer[0], self._buffer_offset
        left = len(first) - offset
        if n == -1 or left <= n:
            self._buffer.popleft()
            self._buffer_offset, count = 0, left
        else:
            self._buffer_offset, count = offset + n, n
        self._size -= count
        self._cursor += count
        return bytes(first[offset : offset + count])


def merge_chunks(body: StreamReader) -> None:
    """Let a body that begins to arrive keep its small chunks together."""
    if type(body) is not StreamReader:
        return
    body.__class__ = MergedReader
    body._http_chunk_splits = None
    if len(body._buffer) > 1:
        merged: Any = bytearray(b''.join(body._buffer))
        body._buffer = deque([merged])
