"""Steps and routes of unusual kinds: large, with odd headers, split."""

import asyncio
import random

from anvilcove.soak.faults import LARGE_STEPS, ODD_HEADERS, fault
from anvilcove.soak.settings import SPLITS
from anvilcove.soak.site import ExtraJob, LoopbackSite

# Items whose bodies take more than one part of a submission. They are few, so
# that the engines of a small site still have room for others.
LARGE_ITEMS, LARGE_BODY_BYTES = 32, 150_000
LARGE_PAUSE_S = 3.0
STEP_PAUSE_S = 1.5
ODD_ITEMS = 16
# Headers that frame a body, that the service sets, or that harm its answer.
HEADERS = (
    {'Transfer-Encoding': 'chunked'},
    {'transfer-encoding': 'gzip, chunked'},
    {'Content-Length': '6'},
    {'CONTENT-LENGTH': '0'},
    {'Connection': 'close, Model, Attempt-Id'},
    {'Last-Event-Id': '2'},
    {'last-event-id': '7'},
    {'Deadline-Ms': '1'},
    {'attempt-id': 'other'},
    {'Expect-Instance': 'other'},
    {'Expect': '100-continue'},
    {'Accept-Encoding': 'gzip'},
    {'Urgency': '9'},
    {'X-Text': 'grüße'},
)
WEIGHTS = ((50, 50), (90, 10), (10, 90), (1, 99))
CHANGE_PAUSE_S = (0.2, 1.0)


@fault(LARGE_STEPS)
async def submit_large_steps(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Submit steps that are stored in parts, two at the same time."""
    ends_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < ends_s:
        for _ in range(2):
            site.extra_jobs.put_nowait(
                ExtraJob(LARGE_ITEMS, LARGE_BODY_BYTES, ({},))
            )
        await asyncio.sleep(LARGE_PAUSE_S)


@fault(ODD_HEADERS)
async def submit_odd_headers(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Submit steps whose items list such headers."""
    ends_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < ends_s:
        headers = tuple(rng.sample(HEADERS, len(HEADERS)))
        site.extra_jobs.put_nowait(ExtraJob(ODD_ITEMS, 0, headers))
        await asyncio.sleep(STEP_PAUSE_S)


@fault(SPLITS)
async def change_splits(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Change the weights of all split routes again and again."""
    ends_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < ends_s:
        site.weights = rng.choice(WEIGHTS)
        site.write_config(site.config_version + 1, site.config_extra)
        await asyncio.sleep(rng.uniform(*CHANGE_PAUSE_S))
