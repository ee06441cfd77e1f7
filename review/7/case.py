"""MIXED: a text whose server stopped in the middle of an event is `completed`.

Half of the model servers stop one in fifty of their answers in the middle of
an event: after its line `id`, before its line `data`. The item is listed as
completed, scored, with the events before.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'tools2'))

from site_standins import (  # noqa: E402
    BROKEN,
    HELD,
    Engine,
    Server,
    engine_service,
    items_of,
    job_route,
    main,
    plain_service,
    route,
)

SLOTS = 16
JOBS = 3
GROUPS, SIZE = 13, 8
STEP_S = 12.0
# Limits of `garble` by the pages: a share of 0.5 of the servers spoil or
# break off 0.02 of their answers.
FAULTY_SERVERS = 2
ONE_IN = 50


async def case(site):
    engines = [
        Engine(site, f'm{n}', 'llm', SLOTS, events=20, event_s=0.02)
        for n in range(1, 5)
    ]
    if site.trouble:
        for engine in engines[:FAULTY_SERVERS]:
            engine.stop_one_in = ONE_IN
    site.servers = [
        *engines,
        *(Server(site, f'app{n}', 'app', 12, 0.02) for n in (1, 2)),
    ]
    site.configure(
        7,
        [
            job_route(service='llm'),
            route('r-score', '/score/', 'safe', service='app'),
        ],
        [engine_service('llm', SLOTS), plain_service('app')],
    )
    await site.start()
    await asyncio.sleep(8.0)
    wrong = listed = 0
    for number in range(JOBS):
        job = f'lot7x{number}'
        items = items_of(job, GROUPS, SIZE)
        accepted = await site.submit(site.ips, '/lots/', job, items)
        results = await site.collect(job, len(items), accepted + STEP_S)
        for result in results:
            listed += 1
            if result['state'] != 'completed':
                continue
            whole = engines[0].text(result['id'])
            if result['output'] != whole:
                wrong += 1
                site.record.write(
                    'wrong-output',
                    id=result['id'],
                    events=len(result['output'].split('\n')),
                    of=engines[0].events,
                    score=result['score'],
                )
    site.record.write(
        'summary',
        items=JOBS * GROUPS * SIZE,
        listed=listed,
        stopped=sum(engine.stops for engine in engines),
        completed_with_part_of_the_text=wrong,
    )
    if not site.trouble and listed < JOBS * GROUPS * SIZE:
        return BROKEN
    return BROKEN if wrong else HELD


main(FOLDER, case)
