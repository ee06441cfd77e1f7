"""Processor time of a log line, and its share of a request's."""

import asyncio
import os
import re
import time
from pathlib import Path

from aiohttp import ClientSession
from loguru import logger
from msgspec import Struct

from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    PEERS_PORT,
    SHOP,
    LoopbackSite,
)
from anvilcove.state.clock import Clock, SystemClock
from anvilcove.telemetry.logs import LogWriter

LINES = 5_000
REQUESTS = 2_000
# Far below what the budget of the log leaves out.
REQUESTS_PER_S = 80.0
PROCESSOR = re.compile(r'^anvilcove_processor_seconds\S* (\S+)', re.MULTILINE)
READY_LIMIT_S = 20.0


class LogCost(Struct):
    """Costs in seconds of processor time."""

    line_s: float
    request_s: float
    idle_core_share: float

    def share(self) -> float:
        """Return the share of a request's time that its line takes."""
        return self.line_s / self.request_s


class _UnhurriedClock(Clock):
    """Clock that runs fast, so that the budget leaves no line out."""

    def __init__(self) -> None:
        """Start at zero."""
        self._now = 0.0

    def now(self) -> float:
        """Return a time that is far from the last one."""
        self._now += 1.0
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Not used by the log."""


def line_cost() -> float:
    """Return the processor time of one line of an answered request."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        LogWriter('h1', _UnhurriedClock(), descriptor).install()
        _write_lines(LINES // 5)
        started_s = time.process_time()
        _write_lines(LINES)
        return (time.process_time() - started_s) / LINES
    finally:
        logger.remove()
        os.close(descriptor)


def _write_lines(count: int) -> None:
    for number in range(count):
        logger.bind(
            request=f'request-{number}',
            route='shop',
            service='app',
            tried=['i-0123456789/0'],
            refused=0,
            status=200,
            latency_ms=23,
            left_ms=1977,
            endpoints=16,
            retry_after_s=None,
            refusal='',
            config=12,
            config_age_ms=320,
            endpoints_age_ms=120,
        ).info('request answered')


async def measure(folder: Path) -> LogCost:
    """Compare a line with a request at a real daemon on loopback."""
    site = LoopbackSite(folder, 1, engines=1, servers=2)
    await site.start()
    try:
        async with ClientSession() as session:
            await _wait_ready(site, session)
            idle = await _play(site, session, 0)
            busy = await _play(site, session, REQUESTS)
    finally:
        await site.stop()
    return LogCost(
        line_s=line_cost(),
        request_s=(busy - idle) / REQUESTS,
        idle_core_share=idle * REQUESTS_PER_S / REQUESTS,
    )


async def _wait_ready(site: LoopbackSite, session: ClientSession) -> None:
    clock = SystemClock()
    end_s = clock.now() + READY_LIMIT_S
    while await _post(site, session, 0) != 200:
        if clock.now() > end_s:
            raise TimeoutError('the daemon answers no request')
        await asyncio.sleep(0.2)


async def _play(
    site: LoopbackSite, session: ClientSession, requests: int
) -> float:
    """Return the daemon's processor time over the time of all requests."""
    clock = SystemClock()
    before_s = await _processor_s(site, session)
    started_s = clock.now()
    for number in range(REQUESTS):
        if number < requests:
            await _post(site, session, number)
        due_s = started_s + (number + 1) / REQUESTS_PER_S
        await asyncio.sleep(max(due_s - clock.now(), 0.0))
    return await _processor_s(site, session) - before_s


async def _post(
    site: LoopbackSite, session: ClientSession, number: int
) -> int:
    address = f'{site.daemons[0].ip}:{CALLERS_PORT}'
    try:
        async with session.post(
            f'http://{address}{SHOP}{number}',
            data=b'x' * 600,
            headers=request_headers(HOST, f'log-{number}'),
        ) as response:
            await response.read()
            return response.status
    except OSError:
        return 0


async def _processor_s(site: LoopbackSite, session: ClientSession) -> float:
    address = f'{site.daemons[0].ip}:{PEERS_PORT + 1}'
    async with session.get(f'http://{address}/metrics') as response:
        found = PROCESSOR.search(await response.text())
    assert found is not None, 'the metric of processor time is missing'
    return float(found.group(1))
