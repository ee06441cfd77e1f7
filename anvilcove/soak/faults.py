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

MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0
LATE_WRITE_DELAY_S = 2.0


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


def plan_faults(seed: int, seconds: float, count: int) -> list[PlannedFault]:
    """Return the faults for a seed, sorted by start; they may overlap."""
    rng = random.Random(seed)
    planned = [
        PlannedFault(
            at_s=rng.uniform(0.5, seconds),
            kind=rng.choice(sorted(FAULTS)),
            for_s=rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
            seed=rng.randrange(2**32),
        )
        for _ in range(count)
    ]
    return sorted(planned, key=lambda planned_fault: planned_fault.at_s)


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
        rng = random.Random(planned_fault.seed)
        work = FAULTS[planned_fault.kind](site, rng, planned_fault.for_s)
        tasks.append(asyncio.ensure_future(work))
    await asyncio.gather(*tasks)


def _sample_daemons(
    site: LoopbackSite, rng: random.Random
) -> list[DaemonProcess]:
    count = rng.randint(1, len(site.daemons))
    return rng.sample(site.daemons, count)


@fault('daemons killed')
async def kill_daemons(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Kill a random set of daemons and restart them."""
    chosen = _sample_daemons(site, rng)
    await asyncio.gather(*(daemon.kill() for daemon in chosen))
    await asyncio.sleep(rng.uniform(0.0, for_s / 2))
    await asyncio.gather(*(daemon.start() for daemon in chosen))


@fault('daemon stopped as planned')
async def stop_daemon(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Stop a daemon gracefully and restart it."""
    daemon = rng.choice(site.daemons)
    await daemon.stop()
    await daemon.start()


@fault('daemon paused')
async def pause_daemon(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Suspend a daemon with SIGSTOP."""
    daemon = rng.choice(site.daemons)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    daemon.signal(signal.SIGCONT)


@fault('store away')
async def disable_store(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make the store fail every call."""
    site.store.faults.away = True
    await asyncio.sleep(for_s)
    site.store.faults.away = False


@fault('store slow')
async def slow_down_store(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Slow down every response of the store."""
    site.store.faults.slow = 60.0
    await asyncio.sleep(for_s)
    site.store.faults.slow = 1.0


@fault('answers of the store lost')
async def lose_store_responses(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Lose some write responses; the writes are applied, maybe late."""
    faults = site.store.faults
    faults.delay_s = rng.choice([0.0, LATE_WRITE_DELAY_S])
    faults.lose = lambda change: rng.random() < 0.3
    await asyncio.sleep(for_s)
    faults.lose = lambda change: False


@fault('history of the store forgotten')
async def drop_store_history(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Discard the change history of the store."""
    site.store.forget_history()


@fault('daemons cut from the store')
async def disturb_store_connections(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Disturb the connections of some daemons to the store."""
    chosen = _sample_daemons(site, rng)
    mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    for daemon in chosen:
        daemon.store_proxy.mode = mode
    await asyncio.sleep(for_s)
    for daemon in chosen:
        daemon.store_proxy.mode = PASS


@fault('link of a server harmed')
async def disturb_server_connections(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Disturb the connections to one server."""
    proxy = rng.choice(list(site.server_proxies.values()))
    proxy.mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    await asyncio.sleep(for_s)
    proxy.mode = PASS


@fault('servers drop idle connections')
async def drop_idle_connections(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make all servers drop connections that have carried a request."""
    servers = [*site.servers, *site.engines]
    for server in servers:
        server.faults.drops_idle = True
    await asyncio.sleep(for_s)
    for server in servers:
        server.faults.drops_idle = False


@fault('answers cut short')
async def truncate_responses(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make servers and engines abort in the middle of responses."""
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
async def fail_server(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make a plain server fail, refuse or not respond."""
    chosen = rng.choice(site.servers)
    name = rng.choice(['silent', 'failing', 'refusing'])
    setattr(chosen.faults, name, True)
    await asyncio.sleep(for_s)
    setattr(chosen.faults, name, False)


@fault('desired states in quick succession')
async def write_desired_states(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Write several desired states that keep or add the extra route."""
    for _ in range(rng.randint(1, 6)):
        version = site.config_version + rng.randint(1, 3)
        extra = site.config_extra or rng.random() < 0.5
        site.write_config(version, extra)
        await asyncio.sleep(0.1)
