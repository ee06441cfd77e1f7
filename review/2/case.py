"""Streams on kept channels are cut during a planned stop."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'tools'))

from standins import (  # noqa: E402
    HOST,
    TROUBLE,
    ZONES,
    Channel,
    Server,
    call,
    model_service,
    route,
    run_case,
)

MODEL = 'daka510000'
SERVICE = 'advisor-llm'
SERVERS, SLOTS = 6, 12
# A text of 2.7 s; the pages allow pauses of 150 ms.
EVENTS, INTERVAL_S = 27, 0.1
DEADLINE_MS, TIMEOUT_MS = 12000, 10000
# Requesters of the daemon that is stopped, and the time between two of them.
REQUESTERS, STEP_S = 28, 0.2
# A lookup counts for `ttl-s`, for some requesters three times as long.
PATIENCE = 3
GRACE_S = 8.0


class StreamServer(Server):
    """Model server whose texts have EVENTS events."""

    async def run(self, target, headers, body, writer, attempt):
        await self.stream(writer, attempt, 0, EVENTS, INTERVAL_S)


async def stream(site, channel, attempt, stopped):
    """Send a request on a channel; return what became of it."""
    site.record.write('client-send', id=attempt, to=channel.address)
    headers = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': str(DEADLINE_MS),
        'Model': MODEL,
        'Token-Count': '16,27',
    }
    await channel.send('POST', f'/chat/{attempt}', headers, b'{}')
    sent_s = time.monotonic()
    events = 0
    outcome = ''
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status, head = await channel.receive_head()
            if status != 200:
                # Read the body, if any, so that the channel can be kept.
                await channel.reader.readexactly(
                    int(head.get('content-length', 0))
                )
                outcome = f'status {status}'
            while not outcome:
                line = await channel.reader.readuntil(b'\n')
                size = int(line.split(b';')[0], 16)
                data = await channel.reader.readexactly(size)
                events += data.count(b'id: ')
                await channel.reader.readuntil(b'\n')
                if not size:
                    outcome = 'complete' if events == EVENTS else 'cut'
    except (OSError, EOFError) as error:
        outcome = f'cut ({type(error).__name__})'
    except TimeoutError:
        outcome = 'deadline'
    ended_s = time.monotonic()
    since = f'{sent_s - stopped[0]:.2f}' if stopped else '-'
    until = f'{ended_s - stopped[0]:.2f}' if stopped else '-'
    site.record.write(
        'client',
        id=attempt,
        outcome=outcome.replace(' ', '-'),
        events=events,
        sent_after_sigterm_s=since,
        ended_after_sigterm_s=until,
    )
    channel.used_at_s = ended_s
    return outcome, sent_s, ended_s


class Requester:
    """Requester with a kept channel to the daemon that will be stopped."""

    def __init__(self, site, number):
        self.site = site
        self.number = number
        self.channel = None
        self.addresses = []
        self.valid_until_s = 0.0

    async def look_up(self):
        """Ask a daemon that is not stopped where to connect."""
        _, _, body = await call(
            self.site.daemons[1].registry,
            'GET',
            f'/-/lookup?name={HOST}&region=casa&zone={ZONES[0]}',
            {},
            1.0,
        )
        data = json.loads(body)
        ttl_s = min(data['ttl-s'], 5) * PATIENCE
        self.addresses = data['addresses']
        self.valid_until_s = time.monotonic() + ttl_s

    async def prepare(self, address):
        """Open the channel and use it once."""
        self.channel = Channel(address)
        await self.channel.open()
        attempt = f'w{self.number:04d}'
        return await stream(self.site, self.channel, attempt, None)

    async def send_at(self, at_s, stopped):
        await asyncio.sleep(max(at_s - time.monotonic(), 0))
        channel = self.channel
        attempt = f's{self.number:04d}'
        if time.monotonic() > self.valid_until_s:
            self.site.record.write('not-sent', id=attempt, why='lookup-old')
            return None
        if channel.address not in self.addresses or channel.closed():
            self.site.record.write('not-sent', id=attempt, why='closed')
            return None
        result = await stream(self.site, channel, attempt, stopped)
        return attempt, result


async def case(site):
    site.put_config(
        3,
        [
            route(
                'chat',
                'streaming',
                SERVICE,
                latency_goal_ms=400,
                timeout_ms=TIMEOUT_MS,
            )
        ],
        [model_service(SERVICE, SLOTS, [MODEL])],
    )
    for number in range(SERVERS):
        await site.add_server(
            StreamServer(
                site.store,
                site.record,
                f'i-{number:02d}',
                SERVICE,
                ZONES[number % 3],
                SLOTS,
                [MODEL],
            )
        )
    await site.start()
    target = site.daemons[0]
    requesters = [Requester(site, n) for n in range(REQUESTERS)]
    # Each requester uses its channel once, and keeps it.
    warm = await asyncio.gather(
        *(r.prepare(target.frontend) for r in requesters)
    )
    if any(outcome != 'complete' for outcome, _, _ in warm):
        print('no stream before the stop was complete')
        return 2
    await asyncio.gather(*(r.look_up() for r in requesters))
    if any(target.frontend not in r.addresses for r in requesters):
        print('the daemon is not in the lookups')
        return 2
    stopped = [time.monotonic()]
    if TROUBLE:
        target.signal(signal.SIGTERM)
    results = await asyncio.gather(
        *(
            r.send_at(stopped[0] + (n + 1) * STEP_S, stopped)
            for n, r in enumerate(requesters)
        )
    )
    if TROUBLE:
        # The platform kills what has not ended by then.
        try:
            async with asyncio.timeout(
                max(stopped[0] + GRACE_S - time.monotonic(), 0.1)
            ):
                await target.process.wait()
            site.record.write('daemon-end', daemon=target.name)
        except TimeoutError:
            target.signal(signal.SIGKILL)
    counts = {}
    broken = []
    for result in results:
        if result is None:
            continue
        attempt, (outcome, sent_s, ended_s) = result
        counts[outcome] = counts.get(outcome, 0) + 1
        if not outcome.startswith('cut'):
            continue
        after_s = sent_s - stopped[0]
        used = ended_s - sent_s
        in_last_sixth = ended_s - stopped[0] > GRACE_S * 5 / 6
        if in_last_sixth and after_s <= 3.0:
            continue
        if used >= 0.7 * min(TIMEOUT_MS, DEADLINE_MS) / 1000:
            continue
        broken.append(attempt)
        print(
            f'LOST: {attempt} sent {after_s:.2f} s after SIGTERM, its channel '
            f'ended {used:.2f} s later without a complete answer'
        )
    print(counts)
    if not counts.get('complete'):
        return 2
    return 1 if broken else 0


run_case(FOLDER, case)
