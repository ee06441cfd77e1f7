"""Steps whose submissions are large, but within the limits of the operator."""

import asyncio
import json
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'tools3'))
from site3 import HOST, MODEL, Trainer, call, now, route  # noqa: E402
from site3 import run_case, service  # noqa: E402

LLM, APP = 'taller-lm', 'tienda-app'
ROLLOUT, SCORE = '/pule252/', '/pufi791/'
SLOTS = 16
# Machines of the small deployment.
MEMORY_MB = 180
# Groups of 8 samples in a step, with 1,200 bytes of prompt each: 31 MB, or 4 MB.
LARGE, SMALL, PROMPT_BYTES = 2048, 256, 1_200
MAX_BODY_BYTES = 33_554_432
STEPS, STEP_PERIOD_S, RESTART_S, POLL_S = 10, 4.0, 1.0, 0.05
# Rule "Fault": so often on so many machines.
ENDS, MACHINES = 3, 2


def peak_mb(process):
    """Return the peak of the resident memory of a process."""
    try:
        text = Path(f'/proc/{process.pid}/status').read_text()
    except OSError:
        return 0.0
    lines = [x for x in text.splitlines() if x.startswith('VmHWM:')]
    return int(lines[0].split()[1]) / 1024 if lines else 0.0


class Platform:
    """Kill processes that exceed their memory, and start them again."""

    def __init__(self, site):
        self.site, self.ends = site, {d.name: 0 for d in site.daemons}
        self.peaks = {d.name: 0.0 for d in site.daemons}

    async def watch(self, daemon):
        while True:
            await asyncio.sleep(POLL_S)
            if daemon.process.returncode is None:
                peak = peak_mb(daemon.process)
                self.peaks[daemon.name] = max(peak, self.peaks[daemon.name])
                if peak <= MEMORY_MB:
                    continue
                daemon.process.kill()
                why = f'{peak:.0f} MB of {MEMORY_MB}'
            else:
                why = f'exit {daemon.process.returncode}'
            await daemon.process.wait()
            self.ends[daemon.name] += 1
            self.site.record.line('ended', name=daemon.name, why=why)
            await asyncio.sleep(RESTART_S)
            await daemon.start()


async def submit(site, number, groups, rng):
    """Submit a step; try once more at another daemon."""
    trainer = Trainer(site, ROLLOUT, SCORE, rng)
    trainer.add_items(groups, 8, body=lambda _: b'x' * PROMPT_BYTES)
    body = json.dumps(
        {
            'step': number,
            'model': MODEL,
            'min-version': 1,
            'target-groups': groups,
            'requests': trainer.items,
        }
    ).encode()
    assert len(body) <= MAX_BODY_BYTES
    headers = [('Host', HOST), ('Attempt-Id', trainer.job)]
    headers.append(('Content-Type', 'application/json'))
    for daemon in rng.sample(site.daemons, 2):
        try:
            status, _, _ = await call(
                daemon.frontend, 'POST', f'{ROLLOUT}{trainer.job[:6]}',
                headers, body, 5.0,
            )
        except (OSError, TimeoutError) as error:
            status = type(error).__name__
        site.record.line(
            'submit', step=number, daemon=daemon.name, status=status,
            bytes=len(body),
        )
        if status == 202:
            return trainer
        await asyncio.sleep(0.3)
    return None


async def play(site, trouble):
    rng = random.Random()
    for _ in range(5):
        engine = site.add(LLM, SLOTS, model=True)
        engine.event_s = 0.01
    for _ in range(7):
        site.add(APP)
    site.memory_mb = MEMORY_MB
    site.configure(
        [
            route('r-score', SCORE, 'safe', APP),
            route(
                'r-rollout', ROLLOUT, 'rollout', LLM, **{'timeout-ms': 4000}
            ),
        ],
        [service(LLM, SLOTS), service(APP)],
    )
    if not await site.start():
        print('the daemons did not become ready')
        return 2
    platform = Platform(site)
    watches = [asyncio.create_task(platform.watch(d)) for d in site.daemons]
    size, accepted = LARGE if trouble else SMALL, 0
    for number in range(STEPS):
        started_s = now()
        trainer = await submit(site, number, size, rng)
        accepted += trainer is not None
        await asyncio.sleep(max(started_s + STEP_PERIOD_S - now(), 0))
        if trainer is not None:
            await trainer.end(rng.choice(site.daemons))
    for watch in watches:
        watch.cancel()
    site.record.line(
        'outcome', accepted=accepted, steps=STEPS, ends=platform.ends,
        peak_mb={n: round(p) for n, p in platform.peaks.items()},
    )
    often = sum(count >= ENDS for count in platform.ends.values())
    print(
        f'{accepted} of {STEPS} steps accepted; ends for memory: '
        f'{sorted(platform.ends.values())} on 3 machines'
    )
    if often >= MACHINES:
        return 1
    return 0 if not any(platform.ends.values()) else 2


run_case(Path(__file__).parent, play)
