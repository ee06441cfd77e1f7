"""Faults that come with releases and with lost ways of single hosts."""

import asyncio
import math
import random

from anvilcove.soak.faults import fault, sample_daemons
from anvilcove.soak.site import LoopbackSite
from anvilcove.soak.stream_checks import HOSTS_CUT, TWO_VERSIONS

# Time after a cut from which callers of the hosts have to be served.
CONTACT_S = 3.0
RELEASE_PAUSE_S = (0.2, 0.8)
CUT_FACTOR = 3.0


@fault(TWO_VERSIONS)
async def serve_two_versions(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Start some servers and engines again with another software version."""
    version = f'v{rng.randrange(2, 5)}'
    for servers in (site.engines, site.servers):
        for server in rng.sample(servers, max(len(servers) // 2, 1)):
            server.next_software = version
            await site.restart_server(server)
            await asyncio.sleep(rng.uniform(*RELEASE_PAUSE_S))
    await asyncio.sleep(for_s)


@fault(HOSTS_CUT)
async def cut_hosts(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Lose the ways of some hosts to all servers."""
    chosen = sample_daemons(site, rng)
    if len(chosen) == len(site.daemons) and rng.random() < 0.8:
        chosen.pop()
    sources = {daemon.ip for daemon in chosen}
    for period in site.fault_periods:
        if period.kind == HOSTS_CUT and period.ended_s == math.inf:
            period.sources = period.sources or sources
    keep_open = rng.random() < 0.3
    resets = rng.random() < 0.3
    for proxy in site.server_proxies.values():
        proxy.cut(sources, keep_open)
        if resets:
            proxy.reset_sources(sources)
    # Long enough for the requests that the check needs.
    await asyncio.sleep(CONTACT_S + CUT_FACTOR * for_s)
    for proxy in site.server_proxies.values():
        proxy.heal(sources)
