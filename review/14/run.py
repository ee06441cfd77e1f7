"""A route is split: a tenth to a service of one server, the rest to ten."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'tools3'))
from site3 import Trainer, now, route, run_case, service  # noqa: E402

FIRST, SECOND, APP = 'advisor-llm', 'advisor-llm-b', 'account-app'
ROLLOUT, SCORE = '/pule252/', '/pufi791/'
SLOTS = 12
SECOND_SERVERS = 10
STEP_S, LOST_S = 12.0, 5.0


async def play(site, trouble):
    engines = {
        FIRST: [site.add(FIRST, SLOTS, model=True)],
        SECOND: [site.add(SECOND, SLOTS, model=True) for _ in range(SECOND_SERVERS)],
    }
    at_server = {}
    for engine in engines[FIRST] + engines[SECOND]:
        engine.event_s = 0.15
        engine.on_run = lambda request: at_server.update(
            {request.header('Attempt-Id'): now()}
        )
    for _ in range(5):
        site.add(APP)
    backends = [
        {'service': FIRST, 'weight': 10},
        {'service': SECOND, 'weight': 90},
    ]
    if not trouble:
        backends = SECOND
    site.configure(
        [
            route('r-score', SCORE, 'safe', APP),
            route('r-rollout', ROLLOUT, 'rollout', backends),
        ],
        [service(FIRST, SLOTS), service(SECOND, SLOTS), service(APP)],
    )
    if not await site.start():
        print('the daemons did not become ready')
        return 2
    trainer = Trainer(site, ROLLOUT, SCORE, random.Random())
    trainer.add_items(26, 8)
    if not await trainer.submit(site.daemons):
        return 2
    end_s = trainer.accepted_s + STEP_S
    reading = asyncio.create_task(trainer.read_until(site.daemons, end_s))
    whole = await reading
    listed = {r['id'] for r in trainer.results}
    left = [i['id'] for i in trainer.items if i['id'] not in listed]
    # Nothing is disturbed: an item counts if no server ever had it. The step
    # is longer than the 5 s of the rule.
    lost = [i for i in left if i not in at_server]
    busy = sum(e.running for e in engines[FIRST] + engines[SECOND])
    slots = SLOTS * (1 + SECOND_SERVERS)
    site.record.line(
        'outcome', whole=whole, listed=len(listed), left=len(left),
        at_no_server=len(lost), busy=busy, slots=slots,
    )
    await trainer.end(site.daemons[0])
    print(
        f'{len(listed)} of {len(trainer.items)} items listed in {STEP_S} s, '
        f'{len(lost)} were never at a server, {busy} of {slots} slots busy'
    )
    if whole:
        return 0
    return 1 if lost and STEP_S > LOST_S and 2 * busy < slots else 2


run_case(Path(__file__).parent, play)
