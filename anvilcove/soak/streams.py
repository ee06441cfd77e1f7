"""Callers of a soak run that read streams and resume them."""

import asyncio
import itertools
import random

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
)
from msgspec import Struct, field

from anvilcove.platform.standin_wire import (
    StreamEvent,
    read_stream_event,
    request_headers,
    resumption_headers,
)
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    RESUMABLE,
    LoopbackSite,
)

DEADLINE_S = 6.0
MEAN_PAUSE_S = 0.1
# Share of the events after which a caller ends the connection and resumes the
# stream at another daemon.
ABANDONED_SHARE = 0.15
# Tries to resume a stream.
MAX_TRIES = 8


class StreamTry(Struct):
    """One request for a stream, or for the rest of it."""

    request_id: str
    daemon: str
    sent_s: float
    resumed: bool
    # Status of the response, 0 if there was none.
    status: int = 0
    # Whether the response was not valid HTTP.
    malformed: bool = False
    events: int = 0
    # Bytes behind the last event of a response that ended as complete.
    tail: bytes = b''
    # Time from the request to the end of its response.
    took_s: float = 0.0
    # Whether the caller itself ended it.
    abandoned: bool = False


class StreamRecord(Struct):
    """Tries of one stream and what they brought.

    `first_request` brought the first event.
    """

    tries: list[StreamTry] = field(default_factory=list)
    first_request: str = ''
    events: list[StreamEvent] = field(default_factory=list)
    complete: bool = False


class StreamCallers:
    """Callers that request one stream after another."""

    def __init__(self, site: LoopbackSite, rng: random.Random) -> None:
        """Create callers that send nothing before `run`."""
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self.streams: list[StreamRecord] = []

    async def run(self, session: ClientSession) -> None:
        """Read streams until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))
            record = StreamRecord()
            self.streams.append(record)
            await self._read(session, record)

    async def _read(
        self, session: ClientSession, record: StreamRecord
    ) -> None:
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + DEADLINE_S
        for _ in range(MAX_TRIES):
            left_s = ends_at_s - loop.time()
            if left_s <= 0 or record.complete:
                return
            await self._try_once(session, record, left_s)
            await asyncio.sleep(self._rng.uniform(0, MEAN_PAUSE_S))

    async def _try_once(
        self, session: ClientSession, record: StreamRecord, left_s: float
    ) -> None:
        daemon = self._rng.choice(self._site.daemons)
        request_id = f'stream-{next(self._ids)}'
        headers = request_headers(HOST, request_id, left_s)
        headers |= self._site.access_headers(request_id)
        if record.events:
            headers |= resumption_headers(
                record.first_request, record.events[-1].number
            )
        attempt = StreamTry(
            request_id,
            daemon.name,
            asyncio.get_running_loop().time(),
            bool(record.events),
        )
        record.tries.append(attempt)
        url = f'http://{daemon.ip}:{CALLERS_PORT}{RESUMABLE}{request_id}'
        try:
            async with (
                asyncio.timeout(left_s),
                session.post(
                    url, headers=headers, timeout=ClientTimeout(total=left_s)
                ) as response,
            ):
                attempt.status = response.status
                if response.status == 200:
                    await self._read_events(response, record, attempt)
        except (ClientError, TimeoutError, OSError) as error:
            # The stream is resumed, as callers do after a broken connection.
            attempt.malformed = isinstance(error, ClientResponseError)
        finally:
            attempt.took_s = asyncio.get_running_loop().time() - attempt.sent_s

    async def _read_events(
        self,
        response: ClientResponse,
        record: StreamRecord,
        attempt: StreamTry,
    ) -> None:
        lines: list[bytes] = []
        async for line in response.content:
            lines.append(line)
            if line.strip():
                continue
            event = read_stream_event(lines)
            lines = []
            if event is None:
                continue
            record.first_request = record.first_request or attempt.request_id
            record.events.append(event)
            attempt.events += 1
            if self._rng.random() < ABANDONED_SHARE:
                attempt.abandoned = True
                response.close()
                return
        attempt.tail = b''.join(lines)
        record.complete = not lines
