"""Faults of answers: cut heads, errors to resumptions, silent servers."""

import asyncio
import random

from anvilcove.soak.faults import fault
from anvilcove.soak.site import RESUMABLE, STREAMS, LoopbackSite

HEADS_CUT = 'answers break off in the head'
FAILED_RESUMPTIONS = 'servers fail resumptions'
STOPPED_EVENTS = 'answers stop inside an event'
ODD_STATUSES = 'servers answer with odd statuses'
SILENT_STREAMS = 'servers are silent behind streams'
NO_FINAL_STATUSES = ('000', '007', '099', '101', '600', '999')
# A failed run of an item counts; with fewer failures items are not given up.
FAILING_SHARE = 0.5
# Bytes of an event of the stand-in without its end, about.
MAX_STOP_BYTES = 60
# Faults of streams last longer than callers wait for one.
MIN_SILENT_S = 3.0


@fault(HEADS_CUT)
async def cut_heads(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Make some servers close connections in the head of their answers."""
    servers = [*site.servers, *site.engines]
    chosen = rng.sample(servers, rng.randint(1, len(servers) - 1))
    for server in chosen:
        server.faults.head_bytes = rng.randint(1, 80)
    await asyncio.sleep(for_s)
    for server in chosen:
        server.faults.head_bytes = 0


@fault(STOPPED_EVENTS)
async def stop_in_events(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let engines end answers soundly with the first bytes of an event."""
    chosen = rng.sample(site.engines, rng.randint(1, len(site.engines)))
    for engine in chosen:
        engine.faults.stop_after = rng.choice([0, 1, 2, 3])
        engine.faults.stop_bytes = rng.randint(1, MAX_STOP_BYTES)
    await asyncio.sleep(for_s)
    for engine in chosen:
        engine.faults.stop_after = None


@fault(ODD_STATUSES)
async def answer_with_odd_statuses(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let some servers and engines answer with a status that is none."""
    servers = [*site.servers, *site.engines]
    chosen = rng.sample(servers, rng.randint(1, len(servers) - 1))
    for server in chosen:
        server.faults.odd_status = rng.choice(NO_FINAL_STATUSES)
    await asyncio.sleep(for_s)
    for server in chosen:
        server.faults.odd_status = ''


@fault(FAILED_RESUMPTIONS)
async def fail_resumptions(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Break streams off, and answer to some of their resumptions with errors.

    A server answers with one status, which may be that of a refusal that does
    not say that nothing was run.
    """
    for engine in site.engines:
        engine.faults.break_after = rng.choice([1, 2, 3])
        engine.faults.resumption_status = rng.choice([0, 500, 502, 503])
        engine.faults.resumption_share = FAILING_SHARE
    await asyncio.sleep(for_s)
    for engine in site.engines:
        engine.faults.break_after = None
        engine.faults.resumption_status = 0


@fault(SILENT_STREAMS)
async def silence_streams(
    site: LoopbackSite, rng: random.Random, for_s: float
) -> None:
    """Let an engine run the streams of callers without any answer."""
    engine = rng.choice(site.engines)
    engine.faults.silent_prefixes = (STREAMS, RESUMABLE)
    await asyncio.sleep(max(for_s, MIN_SILENT_S))
    engine.faults.silent_prefixes = ()
