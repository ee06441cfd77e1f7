"""Requests whose bodies are encoded by the requester."""

import gzip
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from site3 import HOST, call, route, run_case, service  # noqa: E402

APP = 'account-app'
SAFE, UNSAFE = '/lohu930/', '/pufi791/'
REQUESTS = 30


async def play(site, trouble):
    seen = {}
    for _ in range(4):
        server = site.add(APP)
        server.on_run = lambda request: seen.setdefault(
            request.header('Attempt-Id'), []
        ).append((request.body, request.header('Content-Encoding')))
    site.configure(
        [
            route('r-safe', SAFE, 'safe', APP),
            route('r-unsafe', UNSAFE, 'unsafe', APP),
        ],
        [service(APP)],
    )
    if not await site.start():
        print('the daemons did not become ready')
        return 2
    rng = random.Random()
    changed, statuses = 0, []
    for number in range(REQUESTS):
        attempt = f'{rng.getrandbits(64):016x}'
        text = f'{{"account": {number}, "note": "{"balance " * 100}"}}'
        body = gzip.compress(text.encode()) if trouble else text.encode()
        headers = [('Host', HOST), ('Attempt-Id', attempt)]
        headers += [('Deadline-Ms', '2000'), ('Content-Type', 'text/plain')]
        if trouble:
            headers.append(('Content-Encoding', 'gzip'))
        prefix = UNSAFE if number % 2 else SAFE
        daemon = site.daemons[number % len(site.daemons)]
        status, _, _ = await call(
            daemon.frontend, 'POST', f'{prefix}{attempt[:2]}', headers, body
        )
        statuses.append(status)
        for found, encoding in seen.get(attempt, []):
            changed += found != body
            site.record.line(
                'request', id=attempt, status=status, sent_bytes=len(body),
                ran_with_bytes=len(found), encoding=encoding or '-',
            )
    print(f'{REQUESTS} requests, {changed} runs with another body than sent')
    if changed:
        return 1
    return 0 if statuses == [200] * REQUESTS else 2


run_case(Path(sys.argv[1]), play)
