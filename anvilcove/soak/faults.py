"""Faults of a soak run, planned from its seed."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from loguru import logger
from msgspec import Struct

from anvilcove.soak.proxy import DELAY, ONE_WAY, PASS, RESET, SILENT
from anvilcove.soak.site import DaemonProcess, LoopbackSite

Fault = Callable[[LoopbackSite, random.Random, float], Awaitable[None]]
FAULTS: dict[str, Fault] = {}

SHORTEST_S, LONGEST_S = 0.5, 4.0
LATE_S = 2.0


class PlannedFault(Struct):
    """A fault, when it begins and how long it lasts."""

    at_s: float
    kind: str
    for_s: float
    seed: int


def fault(kind: str) -> Callable[[Fault], Fault]:
    """Register a kind of fault."""

    def register(function: Fault) -> Fault:
        FAULTS[kind] = function
        return function

    return register


def plan(seed: int, seconds: float, count: int) -> list[PlannedFault]:
    """Return the faults of a seed; they overlap and come in series."""
    rng = random.Random(seed)
    planned = [
        PlannedFault(
            at_s=rng.uniform(0.5, seconds),
            kind=rng.choice(sorted(FAULTS)),
            for_s=rng.uniform(SHORTEST_S, LONGEST_S),
            seed=rng.randrange(2**32),
        )
        for _ in range(count)
    ]
    return sorted(planned, key=lambda one: one.at_s)


async def play(site: LoopbackSite, planned: list[PlannedFault]) -> None:
    """Play the faults at their times and wait for their ends."""
    started_s = asyncio.get_running_loop().time()
    tasks = []
    for one in planned:
        elapsed_s = asyncio.get_running_loop().time() - started_s
        await asyncio.sleep(max(one.at_s - elapsed_s, 0.0))
        logger.info('fault {} for {:.1f} s', one.kind, one.for_s)
        rng = random.Random(one.seed)
        work = FAULTS[one.kind](site, rng, one.for_s)
        tasks.append(asyncio.ensure_future(work))
    await asyncio.gather(*tasks)


def _some(site: LoopbackSite, rng: random.Random) -> list[DaemonProcess]:
    count = rng.randint(1, len(site.daemons))
    return rng.sample(site.daemons, count)


@fault('daemons killed')
async def kill(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Kill daemons and start them again."""
    chosen = _some(site, rng)
    await asyncio.gather(*(daemon.kill() for daemon in chosen))
    await asyncio.sleep(rng.uniform(0.0, for_s / 2))
    await asyncio.gather(*(daemon.start() for daemon in chosen))


@fault('daemon stopped as planned')
async def stop(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Stop a daemon and start it again."""
    daemon = rng.choice(site.daemons)
    await daemon.stop()
    await daemon.start()


@fault('daemon paused')
async def pause(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Stop a daemon's processor for a while."""
    daemon = rng.choice(site.daemons)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    daemon.signal(signal.SIGCONT)


@fault('store away')
async def away(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Let the store refuse every call."""
    site.store.faults.away = True
    await asyncio.sleep(for_s)
    site.store.faults.away = False


@fault('store slow')
async def slow(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Let the store answer slowly."""
    site.store.faults.slow = 60.0
    await asyncio.sleep(for_s)
    site.store.faults.slow = 1.0


@fault('answers of the store lost')
async def lost(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Lose answers of writes, which are applied at once or late."""
    faults = site.store.faults
    faults.delay_s = rng.choice([0.0, LATE_S])
    faults.lose = lambda change: rng.random() < 0.3
    await asyncio.sleep(for_s)
    faults.lose = lambda change: False


@fault('history of the store forgotten')
async def forget(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Let the store forget its changes."""
    site.store.forget_history()


@fault('daemons cut from the store')
async def cut(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Harm the way of some daemons to the store."""
    chosen = _some(site, rng)
    mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    for daemon in chosen:
        daemon.store.mode = mode
    await asyncio.sleep(for_s)
    for daemon in chosen:
        daemon.store.mode = PASS


@fault('link of a server harmed')
async def link(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Harm the connections to one server."""
    proxy = rng.choice(list(site.links.values()))
    proxy.mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    await asyncio.sleep(for_s)
    proxy.mode = PASS


@fault('servers drop idle connections')
async def forget_idle(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let all servers drop connections that have carried a request."""
    servers = [*site.servers, *site.engines]
    for one in servers:
        one.faults.drops_idle = True
    await asyncio.sleep(for_s)
    for one in servers:
        one.faults.drops_idle = False


@fault('answers cut short')
async def cut_short(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let servers and engines break off within their answers."""
    for server in site.servers:
        server.faults.cutting = rng.random() < 0.5
    for engine in site.engines:
        engine.faults.break_after = rng.choice([None, 1, 2])
    await asyncio.sleep(for_s)
    for server in site.servers:
        server.faults.cutting = False
    for engine in site.engines:
        engine.faults.break_after = None


@fault('server fails')
async def server(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Let a plain server fail, refuse or keep its answers."""
    chosen = rng.choice(site.servers)
    name = rng.choice(['silent', 'failing', 'refusing'])
    setattr(chosen.faults, name, True)
    await asyncio.sleep(for_s)
    setattr(chosen.faults, name, False)


@fault('desired states in quick succession')
async def storm(site: LoopbackSite, rng: random.Random, for_s: float) -> None:
    """Write desired states; they keep or add the additional route."""
    for _ in range(rng.randint(1, 6)):
        version = site.config_version + rng.randint(1, 3)
        extra = site.config_extra or rng.random() < 0.5
        site.write_config(version, extra)
        await asyncio.sleep(0.1)
