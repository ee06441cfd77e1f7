"""Replacement of the daemons of one build by those of another."""

import asyncio
import random

from aiohttp import ClientSession
from loguru import logger

from anvilcove.soak.faults import UPGRADE, fault
from anvilcove.soak.site import LoopbackSite, is_ready

# A daemon that is not ready after this time, as during an outage of the store,
# does not delay the next replacement.
READY_WAIT_S = 3.0
POLL_S = 0.1
PAUSE_S = (0.2, 1.0)


@fault(UPGRADE)
async def upgrade(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Replace all daemons in turn: forward, back and forward again.

    The run ends with daemons of this build, which the closing checks concern.
    """
    for build in ('', site.build, ''):
        for daemon in rng.sample(site.daemons, len(site.daemons)):
            await daemon.replace(build)
            async with ClientSession() as session:
                await _wait_until_ready(session, daemon.ready_url)
            site.replacements += 1
            logger.info('{} runs build {}', daemon.name, build or 'of this')
            await asyncio.sleep(rng.uniform(*PAUSE_S))


async def _wait_until_ready(session: ClientSession, url: str) -> None:
    try:
        async with asyncio.timeout(READY_WAIT_S):
            while not await is_ready(session, url):
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        logger.info('{} is not ready after {} s', url, READY_WAIT_S)
