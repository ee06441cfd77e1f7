"""An entry of another writer in the list of servers ends discovery."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'tools'))

from standins import (  # noqa: E402
    TROUBLE,
    ZONES,
    Server,
    call,
    plain_service,
    route,
    run_case,
)

SERVICE = 'account-app'
SERVERS, SLOTS = 4, 6
REQUESTERS = 6
BEFORE_S, DOWN_S, RECOVER_S, AFTER_S = 10.0, 1.0, 12.0, 15.0
# The port of the address has a character that is no digit of a number.
FOREIGN_ADDRESS = '127.0.0.9:80\u00b2'


class AppServer(Server):
    """Plain server with 37.5 ms of work."""

    async def run(self, target, headers, body, writer, attempt):
        await asyncio.sleep(0.0375)
        writer.write(self.answer(attempt, 200, f'body of {attempt}'.encode()))


async def requester(site, number, until_s, outcomes):
    count = 0
    while time.monotonic() < until_s:
        attempt = f'a{number:02d}x{count:04d}'
        daemon = site.daemons[(number + count) % len(site.daemons)]
        count += 1
        sent_s = time.monotonic()
        headers = {'Attempt-Id': attempt, 'Deadline-Ms': '2000'}
        try:
            status, _, _ = await call(
                daemon.frontend, 'POST', f'/view/{attempt}', headers, 2.0, b'x'
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        outcomes.append((sent_s, status))
        site.record.write('client', id=attempt, to=daemon.name, status=status)
        await asyncio.sleep(0.25)


def share_served(outcomes, start_s, end_s):
    found = [s for at_s, s in outcomes if start_s <= at_s < end_s]
    return sum(s == 200 for s in found) / max(len(found), 1), len(found)


async def case(site):
    site.put_config(
        3,
        [
            route(
                'view',
                'safe',
                SERVICE,
                latency_goal_ms=192,
                timeout_ms=2000,
                max_attempts=2,
            )
        ],
        [plain_service(SERVICE)],
    )
    for number in range(SERVERS):
        await site.add_server(
            AppServer(
                site.store,
                site.record,
                f'i-{number:02d}',
                SERVICE,
                ZONES[number % 3],
                SLOTS,
            )
        )
    await site.start()
    outcomes = []
    start_s = time.monotonic()
    fault_s = start_s + BEFORE_S
    until_s = fault_s + DOWN_S + RECOVER_S + AFTER_S
    tasks = [
        asyncio.create_task(requester(site, n, until_s, outcomes))
        for n in range(REQUESTERS)
    ]
    if TROUBLE:
        await asyncio.sleep(BEFORE_S / 2)
        entry = {
            'service': 'other',
            'address': FOREIGN_ADDRESS,
            'zone': ZONES[0],
            'state': 'ready',
            'batch-size': 6,
            'sequence': 1,
        }
        site.store.put('servers', 'i-other', entry)
        site.record.write('foreign-entry', address=FOREIGN_ADDRESS)
    # The final fault, with and without the entry: all processes are killed.
    await asyncio.sleep(max(fault_s - time.monotonic(), 0))
    for daemon in site.daemons:
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
    await asyncio.sleep(DOWN_S)
    for daemon in site.daemons:
        await daemon.start()
    back_s = time.monotonic()
    await asyncio.gather(*tasks)
    before, count = share_served(outcomes, start_s, fault_s)
    after, late_count = share_served(
        outcomes, back_s + RECOVER_S, float('inf')
    )
    print(f'served before the final fault: {before:.2f} of {count}')
    print(f'served later than recover-s after it: {after:.2f} of {late_count}')
    if before < 0.25 or not late_count:
        return 2
    if after < 0.25:
        print('RECOVER: less than a quarter is served')
        return 1
    return 0


run_case(FOLDER, case)
