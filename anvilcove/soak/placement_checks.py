"""Check that items under which engines crashed are soon placed again."""

import asyncio
import itertools

from msgspec import Struct

from anvilcove.platform.standin_faults import EARLY_CRASHES, content_marker
from anvilcove.soak.callers import Callers, JobRecord
from anvilcove.soak.content_faults import CONTENTS_FAIL
from anvilcove.soak.site import LoopbackSite

SAMPLE_PERIOD_S = 0.05
# Nothing is known of a longer time between two samples: this process, which
# is also that of the engines, did not run.
MAX_SAMPLE_PERIOD_S = 0.25
# Longest time without a run of an item that is neither completed nor ended,
# while an engine had room for it. It includes the delay after a crash, at most
# 3 s, and the time until daemons know an engine that is back.
MAX_UNPLACED_S = 5.0
# Time after a fault in which no time bound holds.
CONTACT_S = 3.0
CONTENT_FAULTS = ('contents crash servers', 'engines crash under items')
# Faults of contents that leave the servers as they are.
FAILING_FAULTS = ('items fail', CONTENTS_FAIL)


class RoomPeriod(Struct):
    """Time in which an engine had room, and the newest version of these."""

    started_s: float
    ended_s: float
    version: int


class EngineRoom:
    """Samples of whether engines have a free slot."""

    def __init__(self, site: LoopbackSite) -> None:
        """Start without samples."""
        self._site = site
        self.periods: list[RoomPeriod] = []

    async def watch(self) -> None:
        """Sample the engines until cancelled."""
        loop = asyncio.get_running_loop()
        before, before_s = self._versions_with_room(), loop.time()
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            found, now = self._versions_with_room(), loop.time()
            names = before.keys() & found.keys()
            if names and now - before_s <= MAX_SAMPLE_PERIOD_S:
                version = max(before[name] for name in names)
                self.periods.append(RoomPeriod(before_s, now, version))
            before, before_s = found, now

    def free_s(self, from_s: float, to_s: float, min_version: int) -> float:
        """Return for how long an engine of a version had room, in seconds."""
        return sum(
            min(period.ended_s, to_s) - max(period.started_s, from_s)
            for period in self.periods
            if period.version >= min_version
            and period.started_s < to_s
            and period.ended_s > from_s
        )

    def _versions_with_room(self) -> dict[str, int]:
        away = self._site.crashed | self._site.spare
        return {
            engine.name: engine.version
            for engine in self._site.engines
            if engine.name not in away
            and not engine.loading
            and engine.running < engine.slots
        }


def check_owed_items(
    site: LoopbackSite, callers: Callers, room: EngineRoom
) -> list[str]:
    """Return a line for each time that an item waited in vain."""
    return [
        line
        for job in callers.jobs
        for item_id in job.item_ids
        if item_id.startswith(EARLY_CRASHES)
        for line in _check_item(site, room, job, item_id)
    ]


def check_first_runs(
    site: LoopbackSite, callers: Callers, room: EngineRoom, now: float
) -> list[str]:
    """Return a line for each sound item that waited in vain for its first run.

    Contents that fail at each run must not keep engines from others.
    """
    first_run_s: dict[str, float] = {}
    for engine in site.engines:
        for run, at_s in zip(engine.runs, engine.run_at_s, strict=True):
            first_run_s[run[0]] = min(at_s, first_run_s.get(run[0], at_s))
    return [
        line
        for job in callers.jobs
        if job.accepted
        for item_id in job.item_ids
        if not content_marker(item_id)
        for line in _check_wait(
            site,
            room,
            job,
            item_id,
            job.accepted_s,
            min(first_run_s.get(item_id, now), job.ended_s),
            FAILING_FAULTS,
        )
    ]


def _check_item(
    site: LoopbackSite, room: EngineRoom, job: JobRecord, item_id: str
) -> list[str]:
    runs_s = sorted(
        at_s
        for engine in site.engines
        for run, at_s in zip(engine.runs, engine.run_at_s, strict=True)
        if run[0] == item_id
    )
    return [
        line
        for before_s, after_s in itertools.pairwise(runs_s)
        for line in _check_wait(
            site, room, job, item_id, before_s, after_s, CONTENT_FAULTS
        )
    ]


def _check_wait(
    site: LoopbackSite,
    room: EngineRoom,
    job: JobRecord,
    item_id: str,
    from_s: float,
    to_s: float,
    harmless: tuple[str, ...],
) -> list[str]:
    """Return a line if engines had room for too long while an item waited.

    Faults of other kinds than the `harmless` ones excuse it.
    """
    free_s = room.free_s(from_s, to_s, job.min_version)
    if free_s <= MAX_UNPLACED_S or any(
        p.started_s <= to_s and from_s <= p.ended_s + CONTACT_S
        for p in site.fault_periods
        if p.kind not in harmless
    ):
        return []
    return [
        f'lost: {item_id} was at no engine for {to_s - from_s:.1f} s, '
        f'{free_s:.1f} s of it with room'
    ]
