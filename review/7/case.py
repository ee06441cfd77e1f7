"""LOST: requests that a stopping daemon takes late end without an answer.

A daemon gets SIGTERM. Requesters still use the channels that they have kept
to it. Their requests last for 1.6 s, within their deadline of 2 s. The
daemon reads them and passes them on to servers, and closes their channels
before the servers answer.
"""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'tools2'))

from site_standins import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    Engine,
    Server,
    engine_service,
    main,
    plain_service,
    route,
)

DAEMON = 'edge-1'
CHANNELS = 12
SHORT_S, LONG_S = 0.04, 1.6
DEADLINE_MS = 2000
# Callers keep the answer of a lookup for `ttl-s` (2 s), some for three times
# as long, and use their open channels until then.
FIRST_S, LAST_S = 5.2, 5.95


class VaryingServer(Server):
    """Server whose requests differ in length."""

    async def run(self, request, attempt, body):
        if request.raw_path.endswith('/long'):
            await asyncio.sleep(LONG_S - SHORT_S)
        return await super().run(request, attempt, body)


class Channel:
    """Channel that a requester keeps open."""

    def __init__(self, site, number):
        self.site, self.number, self.count = site, number, 0

    async def open(self):
        ip, _, port = self.site.frontend(DAEMON).rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))

    async def send(self, kind):
        """Send a request; return its id, and the status, 0 for none."""
        self.count += 1
        request_id = f'{self.number:02d}{self.count:03d}{kind}'
        head = (
            f'GET /view/{kind} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Attempt-Id: {request_id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n'
        )
        self.site.record.write('sent', id=request_id)
        status = 0
        try:
            self.writer.write(head.encode())
            await self.writer.drain()
            answer = await asyncio.wait_for(self.read(), DEADLINE_MS / 1000)
            status = answer
        except TimeoutError:
            # The deadline is over; the channel is still open.
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.site.record.write('answer', id=request_id, status=status)
        return request_id, status

    async def read(self):
        """Read a whole answer; return its status."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        lines = head.decode().lower().split('\r\n')
        length = next(
            int(line.partition(':')[2])
            for line in lines
            if line.startswith('content-length:')
        )
        await self.reader.readexactly(length)
        return int(lines[0].split()[1])


async def case(site):
    servers = [
        VaryingServer(site, f'app{n}', 'app', 6, SHORT_S) for n in range(1, 7)
    ]
    # Streams that go on for longer than a stop may take.
    talker = Engine(site, 'm1', 'llm', 8, events=400, event_s=0.05)
    site.servers = [*servers, talker]
    site.configure(
        7,
        [
            route('r-view', '/view/', 'safe', service='app'),
            route(
                'r-talk',
                '/talk/',
                'streaming',
                service='llm',
                **{'timeout-ms': 30000},
            ),
        ],
        [plain_service('app'), engine_service('llm', 8)],
    )
    await site.start()
    await asyncio.sleep(8.0)
    channels = [Channel(site, number) for number in range(CHANNELS)]
    for channel in channels:
        await channel.open()
        for _ in range(6):
            await channel.send('short')
            await asyncio.sleep(0.02)
    talking = asyncio.create_task(
        site.call(
            'POST',
            f'http://{site.frontend(DAEMON)}/talk/1',
            {'Host': HOST, 'Attempt-Id': 'talk1', 'Deadline-Ms': '30000'},
            limit_s=12.0,
        )
    )
    await asyncio.sleep(1.0)
    if site.trouble:
        site.signal(DAEMON, signal.SIGTERM)
    stopped = site.record.now()

    async def late(channel):
        share = channel.number / (CHANNELS - 1)
        at = stopped + FIRST_S + share * (LAST_S - FIRST_S)
        await asyncio.sleep(at - site.record.now())
        return await channel.send('long')

    answers = await asyncio.gather(*(late(channel) for channel in channels))
    talking.cancel()
    for channel in channels:
        channel.writer.close()
    ran = {run[1] for server in servers for run in server.runs}
    cut = [a for a, status in answers if status == 0 and a in ran]
    site.record.write(
        'summary',
        sent=len(answers),
        answered_200=sum(s == 200 for _, s in answers),
        refused=sum(s == 503 for _, s in answers),
        passed_on_and_cut=len(cut),
    )
    if not site.trouble and any(status != 200 for _, status in answers):
        return BROKEN
    return BROKEN if cut else HELD


main(FOLDER, case)
