"""Run the soak test for one seed."""

import asyncio
import random
import shutil
import tempfile
from importlib import import_module
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout
from msgspec import Struct, field

from anvilcove.soak.callers import Callers
from anvilcove.soak.checks import find_violations, incomplete_jobs
from anvilcove.soak.closing import ended_tasks, final_violations
from anvilcove.soak.faults import inject_faults, plan_faults
from anvilcove.soak.key_ring import KeyRing
from anvilcove.soak.placement_checks import EngineRoom
from anvilcove.soak.settings import SoakSettings
from anvilcove.soak.site import LoopbackSite
from anvilcove.soak.site_crowds import (
    BODY_BYTES,
    MAX_DESCRIPTORS,
    SiteCrowds,
)
from anvilcove.soak.sizes import SizedEngines
from anvilcove.soak.slow_readers import HELD_MB, SlowReaders

# Modules that register faults when they are imported.
FAULT_MODULES = (
    'anvilcove.soak.answer_faults',
    'anvilcove.soak.content_faults',
    'anvilcove.soak.daemon_faults',
    'anvilcove.soak.duty_faults',
    'anvilcove.soak.row_faults',
    'anvilcove.soak.server_faults',
    'anvilcove.soak.step_faults',
    'anvilcove.soak.store_faults',
    'anvilcove.soak.upgrades',
    'anvilcove.soak.version_faults',
)
# Time after the last fault within which accepted jobs must be complete. Time
# in which a server is down does not count: owed calls may crash servers after
# the fault has ended.
COMPLETION_TIMEOUT_S = 15.0
MAX_CRASHES_S = 60.0
POLL_S = 0.5


class SoakOutcome(Struct):
    """Counts and violated guarantees of one run."""

    seed: int
    requests: int
    answered: int
    jobs: int
    results: int
    # Calls that were refused as their key was taken away.
    denied: int = 0
    size_orders: int = 0
    # Orders that were refused as engines were sold out.
    sold_out: int = 0
    # Daemons that were replaced by one of the other build.
    replacements: int = 0
    # Slow readers whose connections the daemons ended.
    slow_ended: int = 0
    # Crowds of clients that came.
    crowds: int = 0
    # Reclaimable engines that were taken, and runs that were cut by it.
    engines_taken: int = 0
    cut_runs: int = 0
    broken: list[str] = field(default_factory=list)
    logs: str = ''


async def soak(settings: SoakSettings) -> SoakOutcome:
    """Run the soak test for one seed and return its outcome."""
    for name in FAULT_MODULES:
        import_module(name)
    folder = Path(tempfile.mkdtemp(prefix='anvilcove-soak-'))
    site = LoopbackSite(
        folder,
        settings.daemons,
        settings.engines,
        settings.servers,
        settings.seed,
        settings.spare_engines,
        settings.build,
        settings.reclaimable_engines,
        HELD_MB if settings.slow_readers else 0.0,
        max_descriptors=MAX_DESCRIPTORS if settings.crowd_clients else 0,
        max_body_bytes=BODY_BYTES if settings.crowd_clients else 0,
        has_splits=settings.has_splits,
    )
    if settings.has_workspaces:
        site.use_keys(KeyRing(random.Random(settings.seed)))
    sizes = SizedEngines(site)
    room = EngineRoom(site)
    callers = Callers(site, random.Random(settings.seed))
    tasks: list[asyncio.Task[None]] = []
    slow_readers = SlowReaders(site, settings.slow_readers)
    crowds = SiteCrowds(
        site, settings.crowd_clients, random.Random(settings.seed)
    )
    broken: list[str] = []
    try:
        await site.start()
        await site.wait_until_ready()
        tasks += [
            asyncio.create_task(callers.run()),
            asyncio.create_task(room.watch()),
        ]
        planned = plan_faults(settings)
        async with slow_readers.running(), crowds.running():
            await asyncio.gather(
                inject_faults(site, planned), asyncio.sleep(settings.seconds)
            )
        broken += await ended_tasks(site)
        if settings.closing:
            broken += await final_violations(site)
        await _await_jobs(site, callers)
    finally:
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        now = asyncio.get_running_loop().time()
        broken += find_violations(site, callers, room, now)
        broken += slow_readers.violations + crowds.violations
        sizes.close()
        await site.stop()
    broken += [f'exactly_once: {line}' for line in incomplete_jobs(callers)]
    keep = settings.keep_logs or bool(broken)
    if not keep:
        shutil.rmtree(folder, ignore_errors=True)
    return SoakOutcome(
        seed=settings.seed,
        requests=len(callers.calls),
        answered=sum(call.status == 200 for call in callers.calls),
        jobs=len(callers.jobs),
        results=sum(len(job.results) for job in callers.jobs),
        denied=sum(
            call.status == 401 for call in callers.keyed_calls.by_id.values()
        ),
        size_orders=sizes.orders,
        sold_out=site.duties.sold_out,
        replacements=site.replacements,
        slow_ended=slow_readers.ended,
        crowds=crowds.count,
        engines_taken=site.taken,
        cut_runs=site.cut_runs,
        broken=broken,
        logs=str(folder) if keep else '',
    )


async def _await_jobs(site: LoopbackSite, callers: Callers) -> None:
    """Read accepted jobs until all are complete or the time is up."""
    callers.trainer_stopped = True
    loop = asyncio.get_running_loop()
    limit = CompletionLimit(loop.time())
    async with ClientSession(timeout=ClientTimeout(total=3)) as session:
        while not limit.is_over(loop.time(), bool(site.crashed)):
            for job in callers.jobs:
                if job.accepted:
                    await callers.read_all(session, job)
            if not incomplete_jobs(callers):
                return
            await asyncio.sleep(POLL_S)


class CompletionLimit:
    """Time for the completion of jobs, without that of crashed servers."""

    def __init__(self, now: float) -> None:
        """Start at a time."""
        self._at_s = now
        self._up_s = 0.0
        self._down_s = 0.0

    def is_over(self, now: float, has_crashed: bool) -> bool:
        """Count the time since the last call; tell whether it is up."""
        elapsed_s, self._at_s = now - self._at_s, now
        if has_crashed and self._down_s < MAX_CRASHES_S:
            self._down_s += elapsed_s
        else:
            self._up_s += elapsed_s
        return self._up_s >= COMPLETION_TIMEOUT_S
