"""Faults of servers and of the connections to them."""

import asyncio
import random

from anvilcove.platform.standin import ServerStandin
from anvilcove.platform.standin_answers import ENDLESS_PARTS
from anvilcove.platform.standin_faults import (
    ABORTING,
    FAILING,
    LATE_ABORTING,
    MALFORMED,
    NO_ID,
    OTHER_ID,
    SAME_ID,
)
from anvilcove.soak.faults import (
    fault,
)
from anvilcove.soak.proxy import DELAY, ONE_WAY, PASS, RESET, SILENT, SPLIT
from anvilcove.soak.site import LoopbackSite, NamedLimit

SERVERS_FAIL = 'servers fail most runs'
# Time in which a server that leaves may still get requests.
DRAIN_S = 2.0
# Limits last longer than the time from which they have to be kept.
LIMITED_FACTOR = 3.0


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


@fault(SERVERS_FAIL)
async def fail_most_runs(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make one server of a service, or half of them, fail most runs."""
    pool = rng.choice([site.servers, site.engines])
    count = rng.choice([1, max(len(pool) // 2, 1)])
    chosen = rng.sample(pool, count)
    marker = rng.choice([FAILING, ABORTING, LATE_ABORTING, MALFORMED])
    for server in chosen:
        server.faults.failing_as = marker
        server.faults.failing_share = rng.choice([0.7, 1.0])
    await asyncio.sleep(for_s)
    for server in chosen:
        server.faults.failing_share = 0.0


@fault('server leaves by its answers')
async def leave_by_answers(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let a server say in its answers only that it leaves, then restart it."""
    server = rng.choice([*site.servers, *site.engines])
    server.faults.leaving = True
    await asyncio.sleep(DRAIN_S + for_s)
    await site.restart_server(server)
    server.faults.leaving = False


@fault('servers name limits')
async def name_limits(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let servers and engines name the requests a second that they take."""
    backends = [*site.servers, *site.engines]
    sampled = rng.sample(backends, rng.randint(1, len(backends)))
    chosen = [s for s in sampled if not s.faults.limit_per_s]
    loop = asyncio.get_running_loop()
    limits = []
    for server in chosen:
        limit_per_s = rng.uniform(2.0, 6.0)
        server.faults.limit_per_s = limit_per_s
        limits.append(NamedLimit(server.instance, limit_per_s, loop.time()))
    site.limits += limits
    await asyncio.sleep(LIMITED_FACTOR * for_s)
    for server, limit in zip(chosen, limits, strict=True):
        server.faults.limit_per_s = 0.0
        limit.ended_s = loop.time()


@fault('servers send without end')
async def send_without_end(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let plain servers send bodies without end."""
    chosen = rng.sample(site.servers, rng.randint(1, len(site.servers)))
    await _set_server_fault(chosen, 'endless', 'body', '', for_s)


@fault('servers send a part without end')
async def send_part_without_end(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let servers and engines send one part of each answer without end."""
    servers = [*site.servers, *site.engines]
    chosen = rng.sample(servers, rng.randint(1, len(servers)))
    part = rng.choice(list(ENDLESS_PARTS))
    await _set_server_fault(chosen, 'endless', part, '', for_s)


@fault('bytes split')
async def split_bytes(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Deliver the bytes of servers and of the store in small pieces."""
    proxies = [
        *site.server_proxies.values(),
        *(daemon.store_proxy for daemon in site.daemons),
    ]
    chosen = [p for p in proxies if p.mode == PASS and rng.random() < 0.7]
    for proxy in chosen:
        proxy.mode = SPLIT
    await asyncio.sleep(for_s)
    for proxy in chosen:
        proxy.mode = PASS


async def _set_server_fault(
    servers: list[ServerStandin],
    name: str,
    value: object,
    off: object,
    for_s: float,
) -> None:
    for server in servers:
        setattr(server.faults, name, value)
    await asyncio.sleep(for_s)
    for server in servers:
        setattr(server.faults, name, off)


@fault('servers answer twice')
async def answer_twice(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make servers send a late second response on the same connection."""
    late_id = rng.choice([SAME_ID, OTHER_ID, NO_ID])
    # The stand-in doesn't send a stream a second time.
    engines = site.engines if late_id != SAME_ID else []
    servers = [*site.servers, *engines]
    await _set_server_fault(servers, 'late_id', late_id, '', for_s)


@fault('connections reset after responses')
async def reset_after_responses(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Reset connections after the last byte of each response."""
    servers = [*site.servers, *site.engines]
    await _set_server_fault(servers, 'resets_after', True, False, for_s)


@fault('connections break during runs')
async def break_during_runs(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Break connections of plain servers whose request runs on."""
    after_s = rng.uniform(0.02, 0.05)
    await _set_server_fault(site.servers, 'break_after_s', after_s, 0.0, for_s)
