"""Faults of the store and of the connections to it."""

import asyncio
import random

from anvilcove.soak.faults import (
    fault,
    sample_daemons,
)
from anvilcove.soak.proxy import DELAY, ENDLESS, ONE_WAY, PASS, RESET, SILENT
from anvilcove.soak.site import LoopbackSite

LATE_WRITE_DELAY_S = 2.0


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


@fault('store sends without end')
async def send_without_end(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let some daemons get answers of the store without end."""
    chosen = sample_daemons(site, rng)
    for daemon in chosen:
        daemon.store_proxy.mode = ENDLESS
    await asyncio.sleep(for_s)
    for daemon in chosen:
        daemon.store_proxy.mode = PASS


@fault('daemons cut from the store')
async def disturb_store_connections(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Disturb the connections of some daemons to the store."""
    chosen = sample_daemons(site, rng)
    mode = rng.choice([DELAY, SILENT, ONE_WAY, RESET])
    for daemon in chosen:
        daemon.store_proxy.mode = mode
    await asyncio.sleep(for_s)
    for daemon in chosen:
        daemon.store_proxy.mode = PASS


@fault('store restarts')
async def restart_store(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Restart the store with another origin of its clock."""
    if rng.random() < 0.3:
        site.store.forget_history()
    await site.restart_store(rng, rng.uniform(0.0, for_s / 2))
