"""Contents that crash or fail the servers that run them."""

import asyncio
import random
from collections import Counter

from anvilcove.platform.standin_faults import (
    CRASHING,
    EARLY_CRASH_COUNT,
    EARLY_CRASHES,
    FAILING,
    FAILING_CONTENTS,
    REJECTED,
    content_marker,
)
from anvilcove.soak.faults import (
    fault,
)
from anvilcove.soak.site import (
    GROUP_SIZE,
    UNSCORED,
    HarmfulJob,
    LoopbackSite,
)

CONTENTS_FAIL = 'contents fail at each run'

# Callers send a harmful content for this multiple of a fault's duration.
HARMFUL_FACTOR = 4.0
FAILURE_POLL_S = 0.05
KILLING_FAILURES = 2
# Several lives of an owner.
OWNERS_KILLED_S = 13.0
# Longest time of such items after their job's submission, and the number of
# paths of the items and reward calls of one job.
MAX_EARLY_CRASHES_S = 30.0
EARLY_CRASH_PATHS = 4


@fault('contents crash servers')
async def crash_servers(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Send a request again and again that crashes the servers that run it."""
    content = f'{CRASHING}{rng.randrange(10**6)}'
    site.crashing_contents.add(content)
    await asyncio.sleep(HARMFUL_FACTOR * for_s)
    site.crashing_contents.discard(content)


@fault('engines crash under items')
async def crash_engines(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Crash the first engines that run certain items, which are owed.

    The servers of their reward calls crash likewise. The fault lasts until all
    crashes have happened.
    """
    known = set(site.crash_count_by_path)
    await _submit_harmful(site, EARLY_CRASHES, for_s)
    deadline_at_s = asyncio.get_running_loop().time() + MAX_EARLY_CRASHES_S
    while asyncio.get_running_loop().time() < deadline_at_s:
        counts = [
            count
            for path, count in site.crash_count_by_path.items()
            if path not in known and content_marker(path) == EARLY_CRASHES
        ]
        if (
            len(counts) == EARLY_CRASH_PATHS
            and min(counts) >= EARLY_CRASH_COUNT
        ):
            return
        await asyncio.sleep(FAILURE_POLL_S)


@fault('items fail')
async def fail_items(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Submit items that fail, are rejected or are never scored."""
    prefixes = (FAILING, REJECTED, UNSCORED)
    await asyncio.gather(
        *(_submit_harmful(site, prefix, for_s) for prefix in prefixes)
    )


@fault(CONTENTS_FAIL)
async def fail_contents(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Send items, reward calls and requests that fail at each run.

    Half of the items of their jobs are sound.
    """
    marker = rng.choice(FAILING_CONTENTS)
    site.failing_markers.add(marker)
    await asyncio.gather(
        _submit_harmful(site, marker, for_s, spacing=2),
        _submit_harmful(site, f'{UNSCORED}{marker}', for_s, spacing=2),
    )
    site.failing_markers.discard(marker)


@fault('owners of failing items killed')
async def kill_owners_of_failing_items(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Kill all daemons whenever an item has failed twice under its owner."""
    submitted = asyncio.create_task(
        _submit_harmful(site, FAILING, OWNERS_KILLED_S / HARMFUL_FACTOR)
    )
    counted = Counter[str]()
    while not submitted.done():
        await asyncio.sleep(FAILURE_POLL_S)
        failures = Counter[str]()
        for engine in site.engines:
            for (item, _), count in engine.failures.items():
                failures[item] += count
        if max((failures - counted).values(), default=0) >= KILLING_FAILURES:
            await asyncio.gather(*(daemon.kill() for daemon in site.daemons))
            await asyncio.gather(*(daemon.start() for daemon in site.daemons))
            counted = failures


async def _submit_harmful(
    site: LoopbackSite, prefix: str, for_s: float, spacing: int = GROUP_SIZE
) -> None:
    """Have a job with harmful items submitted, and ended later."""
    job = HarmfulJob(prefix, HARMFUL_FACTOR * for_s, spacing)
    await site.harmful_items.put(job)
    await asyncio.sleep(HARMFUL_FACTOR * for_s)
