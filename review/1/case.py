"""A stream that breaks off is resumed at a server that answers with 500."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'tools'))

from standins import (  # noqa: E402
    HOST,
    TROUBLE,
    Channel,
    Server,
    model_service,
    route,
    run_case,
)

MODEL = 'daka510000'
SERVICE = 'advisor-llm'
SERVERS, SLOTS = 7, 12
EVENTS, INTERVAL_S = 30, 0.1
REQUESTERS = 56
TRAFFIC_S = 64.0
ROUNDS, FIRST_AT_S, PERIOD_S = 7, 4.0, 8.0
# In each round one server of seven (0.14) answers 40% of the requests that it
# runs with its own 500 for 6 s (`srv_grey`, errors), and another one is down
# for 4.5 s (`srv_crash`).
FAILING_SHARE, FAILING_S = 0.4, 6.0
CRASH_AFTER_S, DOWN_S = 1.0, 4.5


class StreamServer(Server):
    """Model server whose texts have EVENTS events."""

    failing_share = 0.0
    rng = None

    async def run(self, target, headers, body, writer, attempt):
        after = int(headers.get('last-event-id', '0'))
        if self.rng.random() < self.failing_share:
            await asyncio.sleep(0.05)
            writer.write(self.answer(attempt, 500, b'internal error'))
            return
        await self.stream(writer, attempt, after, EVENTS, INTERVAL_S)


class Verdict:
    """Outcomes of the streams as their requesters saw them."""

    def __init__(self, record):
        self.record = record
        self.counts = {}
        self.broken = []

    def add(self, outcome, attempt, detail=''):
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        self.record.write('client', id=attempt, outcome=outcome, data=detail)
        if outcome == 'BROKEN':
            self.broken.append(attempt)


async def one_stream(site, address, attempt, verdict):
    channel = Channel(address)
    body = b''
    try:
        async with asyncio.timeout(12.0):
            await channel.open()
            site.record.write('client-send', id=attempt, to=address)
            await channel.send(
                'POST',
                f'/chat/{attempt}',
                {
                    'Host': HOST,
                    'Attempt-Id': attempt,
                    'Deadline-Ms': '12000',
                    'Model': MODEL,
                    'Token-Count': '16,30',
                },
                b'{}',
            )
            status, headers = await channel.receive_head()
            if status != 200:
                verdict.add(f'status {status}', attempt)
                return
            while True:
                line = await channel.reader.readuntil(b'\n')
                size = int(line.split(b';')[0], 16)
                body += await channel.reader.readexactly(size)
                await channel.reader.readuntil(b'\n')
                if not size:
                    break
    except (OSError, EOFError, TimeoutError) as error:
        verdict.add(f'ended early ({type(error).__name__})', attempt)
        return
    finally:
        channel.close()
    expected = b''.join(
        f'id: {n}\ndata: {attempt}:{n}\n\n'.encode()
        for n in range(1, EVENTS + 1)
    )
    if body == expected:
        verdict.add('complete', attempt)
    else:
        pieces = body.count(b'id: ')
        tail = body[body.rfind(b'\n\n') + 2 :].decode('latin-1')
        verdict.add(
            'BROKEN', attempt, f'events:{pieces}/{EVENTS} tail:{tail!r}'
        )


async def requester(site, number, until_s, verdict):
    await asyncio.sleep(number * 0.08)
    count = 0
    while time.monotonic() < until_s:
        daemon = site.daemons[(number + count) % len(site.daemons)]
        attempt = f'a{number:02d}x{count:04d}'
        await one_stream(site, daemon.frontend, attempt, verdict)
        count += 1
        await asyncio.sleep(0.2)


async def disrupt(site):
    """Let a server fail and another one crash, in several rounds."""
    started_s = time.monotonic()
    failing = site.servers[-1]
    for number in range(ROUNDS):
        at_s = started_s + FIRST_AT_S + number * PERIOD_S
        await asyncio.sleep(max(at_s - time.monotonic(), 0))
        site.record.write('fails', server=failing.instance)
        failing.failing_share = FAILING_SHARE
        await asyncio.sleep(CRASH_AFTER_S)
        crashing = site.servers[number % (SERVERS - 1)]
        await crashing.kill()
        await asyncio.sleep(DOWN_S)
        await crashing.revive(number + 2)
        await asyncio.sleep(FAILING_S - CRASH_AFTER_S - DOWN_S)
        failing.failing_share = 0.0
        site.record.write('fails-no-more', server=failing.instance)


async def case(site):
    site.put_config(
        3,
        [
            route(
                'chat',
                'streaming',
                SERVICE,
                resumable=True,
                latency_goal_ms=400,
                timeout_ms=10000,
            )
        ],
        [model_service(SERVICE, SLOTS, [MODEL])],
    )
    for number in range(SERVERS):
        zone = ('casa-ain', 'casa-maarif', 'casa-sidi')[number % 3]
        server = StreamServer(
            site.store,
            site.record,
            f'i-{number:02d}',
            SERVICE,
            zone,
            SLOTS,
            [MODEL],
        )
        server.rng = site.rng
        await site.add_server(server)
    await site.start()
    verdict = Verdict(site.record)
    until_s = time.monotonic() + TRAFFIC_S
    tasks = [
        asyncio.create_task(requester(site, n, until_s, verdict))
        for n in range(REQUESTERS)
    ]
    if TROUBLE:
        tasks.append(asyncio.create_task(disrupt(site)))
    await asyncio.gather(*tasks)
    print(verdict.counts)
    if not verdict.counts.get('complete'):
        return 2
    for attempt in verdict.broken:
        print(f'ORDER: {attempt} ended as complete, but was not whole')
    return 1 if verdict.broken else 0


run_case(FOLDER, case)
