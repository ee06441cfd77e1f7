"""Faults of daemons: kills, stops, pauses and loss of power."""

import asyncio
import random
import signal

from anvilcove.soak.faults import (
    POWER_LOSS,
    fault,
    sample_daemons,
)
from anvilcove.soak.proxy import DELAY, ONE_WAY, PASS, RESET, SILENT
from anvilcove.soak.site import (
    CALLERS_PORT,
    DaemonProcess,
    KeptStop,
    LoopbackSite,
)

STOPPED_UNDER_SLOW_REQUESTS = 'daemon stopped under slow requests'
STOPPED_UNDER_LONGER_REQUESTS = 'daemon stopped under longer requests'
SLOW_WORK_S, WORK_S = 0.8, 0.02


@fault('daemons killed')
async def kill_daemons(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Kill a random set of daemons and restart them."""
    chosen = sample_daemons(site, rng)
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


@fault(STOPPED_UNDER_SLOW_REQUESTS)
async def stop_under_slow_requests(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Stop a daemon gracefully while requests take long.

    Callers use connections that they opened before, until the daemon closes
    them.
    """
    async with site.slow_requests:
        daemon = rng.choice(site.daemons)
        for server in site.servers:
            server.faults.work_s = SLOW_WORK_S
        # Callers open their connections, and the daemon learns how long
        # requests take.
        site.kept_stop = KeptStop(
            f'{daemon.ip}:{CALLERS_PORT}',
            asyncio.get_running_loop().time() + 2 * SLOW_WORK_S,
        )
        await asyncio.sleep(2 * SLOW_WORK_S)
        await daemon.stop()
        for server in site.servers:
            server.faults.work_s = WORK_S
        await daemon.start()


@fault(STOPPED_UNDER_LONGER_REQUESTS)
async def stop_under_longer_requests(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Stop a daemon gracefully while late requests take longer than others.

    What it has learned of the requests before is wrong for those that come
    late in its grace period, on connections that were open before.
    """
    async with site.slow_requests:
        daemon = rng.choice(site.daemons)
        site.kept_stop = KeptStop(
            f'{daemon.ip}:{CALLERS_PORT}',
            asyncio.get_running_loop().time() + 2 * SLOW_WORK_S,
            longer=True,
        )
        await asyncio.sleep(2 * SLOW_WORK_S)
        await daemon.stop()
        await daemon.start()


@fault('daemons stopped in turn')
async def stop_daemons_in_turn(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Stop each daemon before the one before it is back."""

    async def stop_and_start(daemon: DaemonProcess) -> None:
        await daemon.stop()
        await daemon.start()

    tasks = []
    for daemon in sample_daemons(site, rng):
        tasks.append(asyncio.create_task(stop_and_start(daemon)))
        await asyncio.sleep(rng.uniform(0.3, 1.5))
    await asyncio.gather(*tasks)


@fault('daemon paused')
async def pause_daemon(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Suspend a daemon with SIGSTOP."""
    daemon = rng.choice(site.daemons)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s)
    daemon.signal(signal.SIGCONT)


@fault('daemon without processor')
async def withhold_processor(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Suspend and resume several daemons in quick succession."""
    chosen = sample_daemons(site, rng)
    end_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < end_s:
        for daemon in chosen:
            daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.02, 0.3))
        for daemon in chosen:
            daemon.signal(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0.005, 0.1))


@fault('daemons paused while rows change')
async def pause_daemons_during_changes(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Suspend daemons so that changes of rows wait in their sockets."""
    chosen = sample_daemons(site, rng)
    for daemon in chosen:
        daemon.signal(signal.SIGSTOP)
    await write_desired_states(site, rng, for_s)
    await asyncio.sleep(for_s)
    await write_desired_states(site, rng, for_s)
    for daemon in chosen:
        daemon.signal(signal.SIGCONT)


@fault(POWER_LOSS)
async def lose_power(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Kill and restart all daemons, with an undisturbed store or without."""
    disturbance = rng.choice(['none', 'away', 'slow', 'restart'])
    faults = site.store.faults
    faults.away = disturbance == 'away'
    faults.slow = 60.0 if disturbance == 'slow' else 1.0
    await asyncio.gather(*(daemon.kill() for daemon in site.daemons))

    async def restart(daemon: DaemonProcess) -> None:
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        await daemon.start()

    tasks = [asyncio.create_task(restart(d)) for d in site.daemons]
    if disturbance == 'restart':
        await site.restart_store(rng, rng.uniform(0.2, 1.5))
    await asyncio.gather(*tasks, asyncio.sleep(rng.uniform(0.5, 2.0)))
    faults.away, faults.slow = False, 1.0


@fault('daemons restarted with a disturbed store link')
async def restart_disturbed(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Restart daemons whose connections to the store are disturbed."""
    chosen = sample_daemons(site, rng)
    await asyncio.gather(*(daemon.kill() for daemon in chosen))
    for daemon in chosen:
        daemon.store_proxy.mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    await asyncio.gather(*(daemon.start() for daemon in chosen))
    await asyncio.sleep(for_s)
    for daemon in chosen:
        daemon.store_proxy.mode = PASS


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


@fault('daemons restarted while parts of the store are silent')
async def restart_with_silent_parts(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Restart daemons while the store answers no reads of jobs."""
    chosen = sample_daemons(site, rng)
    silent = site.store.faults.silent_partitions
    await asyncio.gather(*(daemon.kill() for daemon in chosen))
    # The rows of operators and servers are in the part without a name.
    silent |= {(row.table, row.part) for row in site.store.rows if row.part}
    await asyncio.gather(*(daemon.start() for daemon in chosen))
    await asyncio.sleep(for_s)
    silent.clear()
