"""Faults of the holder of the usage and of the platform's interface."""

import asyncio
import random
import signal

from msgspec import msgpack

from anvilcove.control.leases import LEASES_TABLE, LeaseRow
from anvilcove.ports.store import RowId
from anvilcove.settings.node import USAGE
from anvilcove.soak.faults import RECLAIMED, SOLD_OUT, fault
from anvilcove.soak.site import ZONE, DaemonProcess, LoopbackSite

# A cut lasts longer than a move of the duty.
CUT_FACTOR = 3.0
# Engines stay sold out for longer than a data centre is left out after a 409.
AVOIDED_S = 10.0


def usage_holder(site: LoopbackSite, rng: random.Random) -> DaemonProcess:
    """Return the daemon that holds the usage, any one if none does."""
    found = site.store.rows.get(RowId(LEASES_TABLE, '', USAGE))
    holder = msgpack.decode(found[0], type=LeaseRow).holder if found else ''
    for daemon in site.daemons:
        if daemon.name == holder:
            return daemon
    return rng.choice(site.daemons)


@fault('holder of the usage killed')
async def kill_holder(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Kill the holder and start it again."""
    daemon = usage_holder(site, rng)
    await daemon.kill()
    await asyncio.sleep(rng.uniform(0.0, for_s))
    await daemon.start()


@fault('holder of the usage paused')
async def pause_holder(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Suspend the holder for longer or shorter than its lease."""
    daemon = usage_holder(site, rng)
    daemon.signal(signal.SIGSTOP)
    await asyncio.sleep(for_s * rng.choice([0.5, 2.0]))
    daemon.signal(signal.SIGCONT)


@fault('holder of the usage cut from the interface')
async def cut_holder(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let calls of the holder fail in one of three ways."""
    faults = site.duties.faults
    sources = rng.choice([faults.resetting, faults.silent, faults.losing])
    daemon = usage_holder(site, rng)
    sources.add(daemon.ip)
    await asyncio.sleep(for_s * CUT_FACTOR)
    sources.discard(daemon.ip)


@fault('interface of the duties away')
async def cut_interface(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let all calls fail, or answer them 50 times slower."""
    faults = site.duties.faults
    if rng.random() < 0.3:
        faults.slow = 50.0
        await asyncio.sleep(for_s * CUT_FACTOR)
        faults.slow = 1.0
        return
    sources = rng.choice([faults.resetting, faults.silent, faults.losing])
    sources.add('*')
    await asyncio.sleep(for_s * CUT_FACTOR)
    sources.discard('*')


@fault(SOLD_OUT)
async def sell_out(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Answer all orders with 409."""
    site.duties.unavailable.add(ZONE)
    await asyncio.sleep(AVOIDED_S + for_s)
    site.duties.unavailable.discard(ZONE)


@fault(RECLAIMED)
async def take_reclaimable(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Take all reclaimable engines back at once, with a notice."""
    await site.take_reclaimable()
