"""Sizes of the requests of one connection that are arriving or served."""

from collections import deque
from collections.abc import Sequence

from aiohttp import StreamReader
from aiohttp.http import RawRequestMessage
from aiohttp.streams import EmptyStreamReader

from anvilcove.http.merged_reader import merge_chunks

# A head is kept as bytes, as text and in a dictionary.
HEAD_COPIES = 3
# Heads up to this size are within the memory of an idle connection.
SMALL_HEAD_BYTES = 1024

# The parsed heads of requests, each with its body.
Messages = Sequence[tuple[object, StreamReader]]


class RequestSizes:
    """Bytes of heads and bodies that a connection keeps.

    The head of the last request is kept until the next one arrives.
    """

    __slots__ = (
        'head_bytes',
        'keeps_body',
        '_heads',
        '_idle_head_bytes',
        '_arriving',
        '_served',
        '_body_bytes',
        '_body_ended',
    )

    def __init__(self) -> None:
        """Start without a request."""
        # Bytes of a head that is not complete, of extensions of chunks or of
        # trailers.
        self.head_bytes = 0
        # Whether the handler keeps what it has read of the body.
        self.keeps_body = True
        # Sizes of the heads of the requests that are not answered.
        self._heads: deque[int] = deque()
        self._idle_head_bytes = 0
        # Body that arrives or arrived last, and that of the request served.
        self._arriving: StreamReader | None = None
        self._served: StreamReader | None = None
        # Bytes of that body without its framing, and whether it was whole,
        # at the last read.
        self._body_bytes = 0
        self._body_ended = True

    def take_heads(self, arrived: Messages, read_bytes: int) -> None:
        """Count the heads that a read of some bytes has completed."""
        for message, body in arrived:
            merge_chunks(body)
            self._heads.append(_head_bytes(message, read_bytes))
        self.head_bytes = 0
        self._arriving = arrived[-1][1]
        self._body_bytes = self._arriving.total_bytes
        self._body_ended = self._arriving.is_eof()

    def take_bytes(self, read_bytes: int) -> int:
        """Count a read that has completed no head; return its framing.

        Bytes that complete neither a head nor a part of a body count as a
        head. They are no framing, which is forgotten once it is parsed.
        """
        body = self._arriving
        if body is None or self._body_ended:
            self.head_bytes += read_bytes
            return 0
        grown_bytes = body.total_bytes - self._body_bytes
        self._body_bytes = body.total_bytes
        self._body_ended = body.is_eof()
        if not grown_bytes and not self._body_ended:
            self.head_bytes += read_bytes
            return 0
        self.head_bytes = 0
        return max(read_bytes - grown_bytes, 0)

    def begin(self, body: StreamReader) -> None:
        """Start to serve the oldest request."""
        self._served = body
        self.keeps_body = True
        self._idle_head_bytes = 0

    def finish(self) -> None:
        """Keep nothing of the request that was served but its head."""
        self._served = None
        if self._heads:
            self._idle_head_bytes = self._heads.popleft()

    def has_requests(self) -> bool:
        """Tell whether requests with whole heads are not answered yet."""
        return bool(self._heads)

    def is_idle(self) -> bool:
        """Tell whether no request is arriving or served."""
        body = self._arriving
        return (
            not self._heads
            and not self.head_bytes
            and (body is None or body.is_eof())
        )

    def is_served(self) -> bool:
        """Tell whether a whole request waits for its answer."""
        body = self._served or self._arriving
        return bool(self._heads) and (body is None or body.is_eof())

    def keeps_large_head(self) -> bool:
        """Tell whether the head of the last request is kept and is large."""
        return self._idle_head_bytes > SMALL_HEAD_BYTES

    def kept_heads_bytes(self) -> int:
        """Return the memory for all heads."""
        heads = self.head_bytes + sum(self._heads) + self._idle_head_bytes
        return HEAD_COPIES * heads

    def kept_body_bytes(self) -> int:
        """Return the bytes kept of the body that arrives or is served."""
        body = self._served
        if body is not None and self.keeps_body:
            return body.total_bytes
        # What is left of a body whose request was answered is read, too.
        body = body or self._arriving
        if body is None or isinstance(body, EmptyStreamReader):
            return 0
        return body._size


def _head_bytes(message: object, read_bytes: int) -> int:
    """Return the size of a head that ended in a read of some bytes."""
    if read_bytes <= SMALL_HEAD_BYTES:
        return read_bytes
    if not isinstance(message, RawRequestMessage):
        return 0
    fields = sum(len(name) + len(text) for name, text in message.raw_headers)
    return len(message.path) + fields
