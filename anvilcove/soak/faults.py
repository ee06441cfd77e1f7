"""Faults of a soak run, planned from its seed."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from loguru import logger
from msgspec import Struct

from anvilcove.soak.settings import SPLITS, SoakSettings
from anvilcove.soak.site import (
    DaemonProcess,
    FaultPeriod,
    LoopbackSite,
)

Fault = Callable[[LoopbackSite, random.Random, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}

MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0
POWER_LOSS = 'power lost on all hosts'
UPGRADE = 'upgrade'
SOLD_OUT = 'engines sold out'
RECLAIMED = 'reclaimable engines taken'
LARGE_STEPS = 'large steps'
ODD_HEADERS = 'odd headers of items'
# Drawn on their own, so that the other faults of a seed stay as they are.
STEP_KINDS = (LARGE_STEPS, ODD_HEADERS, SPLITS)
# The upgrade begins when callers and the trainer are at work.
UPGRADE_AT_S = 1.0
# Share of the draws that are a series, whose faults overlap.
SERIES_SHARE = 0.3
SERIES_PAUSE_S = (0.2, 1.2)
LAST_POWER_LOSS_SHARE = 0.25
SERIES = (
    ('daemons killed', 'store slow', 'daemon stopped as planned'),
    ('daemons stopped in turn', 'store restarts', 'daemon paused'),
    ('store restarts', POWER_LOSS),
    ('daemons paused while rows change', 'store away', 'daemons killed'),
    (
        'engines crash under items',
        'daemon stopped as planned',
        'daemons killed',
    ),
    ('contents crash servers', 'daemons killed'),
    ('contents fail at each run', 'daemons killed'),
    ('servers fail most runs', 'contents fail at each run'),
    ('odd entries of servers', 'daemons killed', 'odd entries of servers'),
    ('servers fail resumptions', 'daemons killed'),
    (
        'daemon stopped under slow requests',
        'daemon stopped under slow requests',
    ),
    ('daemon stopped under longer requests', 'store slow'),
    ('servers answer twice', 'bytes split', 'daemon without processor'),
    (POWER_LOSS, 'daemon stopped as planned', POWER_LOSS),
    ('servers of two versions', 'daemons killed', 'answers cut short'),
    (
        'hosts cut from all servers',
        'daemon stopped as planned',
        'hosts cut from all servers',
    ),
)


class PlannedFault(Struct):
    """Kind, start time and duration of a fault, and the seed of its draws."""

    at_s: float
    kind: str
    for_s: float
    seed: int


def fault(kind: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a function as a kind of fault."""

    def register(function: Fault) -> Fault:
        FAULTS[kind] = function
        return function

    return register


def plan_faults(settings: SoakSettings) -> list[PlannedFault]:
    """Return the faults for a seed, sorted by start; they may overlap."""
    rng = random.Random(settings.seed)
    kinds = settings.kinds or sorted(set(FAULTS) - _left_out(settings))
    planned: list[PlannedFault] = []

    def add(at_s: float, kind: str) -> None:
        for_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        planned.append(PlannedFault(at_s, kind, for_s, rng.randrange(2**32)))

    while len(planned) < settings.faults:
        at_s = rng.uniform(0.5, settings.seconds)
        if settings.kinds or rng.random() > SERIES_SHARE:
            add(at_s, rng.choice(kinds))
            continue
        for kind in rng.choice(SERIES):
            add(at_s, kind)
            at_s += rng.uniform(*SERIES_PAUSE_S)
    if planned and not settings.kinds and rng.random() < LAST_POWER_LOSS_SHARE:
        add(settings.seconds, POWER_LOSS)
    if settings.build:
        # Drawn last, so that the other faults are those of the seed alone.
        add(UPGRADE_AT_S, UPGRADE)
    if settings.step_faults and not settings.kinds:
        own = random.Random(f'{settings.seed} steps')
        for kind in STEP_KINDS:
            at_s = own.uniform(0.5, settings.seconds)
            for_s = own.uniform(MIN_DURATION_S, MAX_DURATION_S)
            seed = own.randrange(2**32)
            planned.append(PlannedFault(at_s, kind, for_s, seed))
    return sorted(planned, key=lambda planned_fault: planned_fault.at_s)


def _left_out(settings: SoakSettings) -> set[str]:
    """Return the kinds that a run cannot have, or that are drawn on their own.

    Runs without engines to order keep the faults of their seeds.
    """
    left_out = {UPGRADE, *STEP_KINDS}
    if not settings.spare_engines + settings.reclaimable_engines:
        left_out.add(SOLD_OUT)
    if not settings.reclaimable_engines:
        left_out.add(RECLAIMED)
    return left_out


def sample_daemons(
    site: LoopbackSite, rng: random.Random
) -> list[DaemonProcess]:
    """Return a random set of daemons, at least one."""
    count = rng.randint(1, len(site.daemons))
    return rng.sample(site.daemons, count)


async def inject_faults(
    site: LoopbackSite, planned: list[PlannedFault]
) -> None:
    """Start each fault at its time and wait until all have ended."""
    started_s = asyncio.get_running_loop().time()
    tasks = []
    for planned_fault in planned:
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(max(planned_fault.at_s - elapsed_s, 0.0))
        logger.info(
            'fault {} for {:.1f} s', planned_fault.kind, planned_fault.for_s
        )
        tasks.append(asyncio.create_task(_inject(site, planned_fault)))
    await asyncio.gather(*tasks)


async def _inject(site: LoopbackSite, planned: PlannedFault) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    period = FaultPeriod(planned.kind, started_s)
    site.fault_periods.append(period)
    rng = random.Random(planned.seed)
    await FAULTS[planned.kind](site, rng, planned.for_s)
    period.ended_s = loop.time()
