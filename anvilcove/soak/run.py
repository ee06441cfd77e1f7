"""Play one seed of the soak."""

import asyncio
import random
import shutil
import tempfile
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout
from msgspec import Struct, field

from anvilcove.soak.callers import Callers
from anvilcove.soak.checks import broken_promises, unfinished
from anvilcove.soak.closing import closing_promises
from anvilcove.soak.faults import plan, play
from anvilcove.soak.site import LoopbackSite

START_S = 4.0
# Time after the last fault in which every accepted job must become whole.
CALM_S = 15.0
POLL_S = 0.5


class SoakSettings(Struct):
    """Size of a run and of its site."""

    seed: int
    seconds: float = 10.0
    faults: int = 8
    daemons: int = 4
    engines: int = 3
    servers: int = 3
    keep_logs: bool = False


class SoakOutcome(Struct):
    """What one run showed."""

    seed: int
    requests: int
    answered: int
    jobs: int
    results: int
    broken: list[str] = field(default_factory=list)
    logs: str = ''


async def soak(settings: SoakSettings) -> SoakOutcome:
    """Play one seed and return what was broken."""
    folder = Path(tempfile.mkdtemp(prefix='anvilcove-soak-'))
    site = LoopbackSite(
        folder, settings.daemons, settings.engines, settings.servers
    )
    callers = Callers(site, random.Random(settings.seed))
    calling: asyncio.Task[None] | None = None
    broken: list[str] = []
    try:
        await site.start()
        await asyncio.sleep(START_S)
        calling = asyncio.create_task(callers.run())
        planned = plan(settings.seed, settings.seconds, settings.faults)
        await asyncio.gather(
            play(site, planned), asyncio.sleep(settings.seconds)
        )
        broken += await closing_promises(site)
        await _settle(callers)
    finally:
        if calling is not None:
            calling.cancel()
            await asyncio.wait([calling])
        broken += broken_promises(site, callers)
        await site.stop()
    broken += [f'exactly_once: {line}' for line in unfinished(callers)]
    keep = settings.keep_logs or bool(broken)
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)
    return SoakOutcome(
        seed=settings.seed,
        requests=len(callers.seen),
        answered=sum(seen.status == 200 for seen in callers.seen),
        jobs=len(callers.jobs),
        results=sum(len(job.results) for job in callers.jobs),
        broken=broken,
        logs=str(folder) if keep else '',
    )


async def _settle(callers: Callers) -> None:
    """Read every accepted job until it is whole or the time is up."""
    callers.trainer_stopped = True
    end_s = asyncio.get_running_loop().time() + CALM_S
    async with ClientSession(timeout=ClientTimeout(total=3)) as session:
        while asyncio.get_running_loop().time() < end_s:
            for job in callers.jobs:
                if job.accepted:
                    await callers.read_all(session, job)
            if not unfinished(callers):
                return
            await asyncio.sleep(POLL_S)
