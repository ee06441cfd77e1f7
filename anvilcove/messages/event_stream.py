"""Framing of server-sent events, whatever their fields mean.

Source: https://html.spec.whatwg.org/multipage/server-sent-events.html
"""

import asyncio
from collections.abc import AsyncIterable, AsyncIterator

from aiohttp import ClientPayloadError, StreamReader

EVENT_STREAM = 'text/event-stream'
# Lines of a stream from one event to the next, and lines that were read ahead
# after which other tasks go on.
MAX_EVENT_LINES = 10_000
MAX_LINE_BYTES = 1 << 19
LINES_AT_ONCE = 500


class EventStreamError(ClientPayloadError):
    """Base class of the errors of a body that is no sound event stream."""


class EventCut(EventStreamError):
    """Raised for a body that ends inside an event."""


class TooManyLines(EventStreamError):
    """Raised for a body that has too many lines without an event."""


async def read_lines(content: StreamReader) -> AsyncIterator[bytes]:
    """Yield the lines of a body; raises ValueError for one that is too long.

    Lines may be longer than what is read ahead.
    """
    while line := await content.readline(max_line_length=MAX_LINE_BYTES):
        yield line


class EventBlocks:
    """Blocks of lines, each ended by an empty line, of an event stream.

    What follows the last empty line belongs to an event that was cut off:
    only an empty line ends an event, not the end of the body.
    """

    __slots__ = ('_lines', '_lines_left')

    def __init__(self, lines: AsyncIterable[bytes]) -> None:
        """Read from `lines`, which keep their ends."""
        self._lines = lines
        self._lines_left = MAX_EVENT_LINES

    async def __aiter__(self) -> AsyncIterator[list[bytes]]:
        """Yield the lines of each block, the empty one included.

        Raises EventCut or TooManyLines.
        """
        block: list[bytes] = []
        async for line in self._lines:
            self._lines_left -= 1
            if not self._lines_left % LINES_AT_ONCE:
                await asyncio.sleep(0)
            if self._lines_left < 0:
                raise TooManyLines('too many lines without an event')
            block.append(line)
            if not line.strip(b'\r\n') and line.endswith(b'\n'):
                yield block
                block = []
        if block:
            raise EventCut('stream ended inside an event')

    def allow_lines(self) -> None:
        """Count the lines anew, as a block was an event."""
        self._lines_left = MAX_EVENT_LINES


def event_name_and_data(block: list[bytes]) -> tuple[str, bytes]:
    """Return the fields `event` and `data` of a block, empty if absent."""
    name, data = '', []
    for line in block:
        field, _, value = line.strip().partition(b':')
        if field == b'event':
            name = value.strip().decode(errors='replace')
        elif field == b'data':
            data.append(value.strip())
    return name, b'\n'.join(data)
