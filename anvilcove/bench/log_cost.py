"""CPU time of a log line and its share of the CPU time of a request."""

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

MEASURED_LINES = 5_000
MEASURED_REQUESTS = 2_000
# Far below the rate at which the log budget drops lines.
REQUESTS_PER_S = 80.0
CPU_METRIC = re.compile(r'^anvilcove_processor_seconds\S* (\S+)', re.MULTILINE)
READY_TIMEOUT_S = 20.0


class LogCost(Struct):
    """CPU seconds of a log line and a request; idle load of the daemon."""

    line_s: float
    request_s: float
    idle_core_share: float

    def share(self) -> float:
        """Return the CPU time of a line relative to that of a request."""
        return self.line_s / self.request_s


class _SteppingClock(Clock):
    """Clock that advances 1 s per reading, so that no log line is dropped."""

    def __init__(self) -> None:
        """Start at 0 s."""
        self._now = 0.0

    def now(self) -> float:
        """Advance by 1 s and return the time."""
        self._now += 1.0
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Do nothing; the log writer does not sleep."""


def line_cost() -> float:
    """Return the CPU seconds of the log line of an answered request."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    try:
        LogWriter('h1', _SteppingClock(), descriptor).install()
        _write_lines(MEASURED_LINES // 5)
        started_s = time.process_time()
        _write_lines(MEASURED_LINES)
        return (time.process_time() - started_s) / MEASURED_LINES
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
    """Measure a log line, and requests at a daemon on loopback."""
    site = LoopbackSite(folder, 1, engines=1, servers=2)
    await site.start()
    try:
        async with ClientSession() as session:
            await _wait_until_ready(site, session)
            idle_s = await _measure_daemon_cpu_s(site, session, 0)
            busy_s = await _measure_daemon_cpu_s(
                site, session, MEASURED_REQUESTS
            )
    finally:
        await site.stop()
    return LogCost(
        line_s=line_cost(),
        request_s=(busy_s - idle_s) / MEASURED_REQUESTS,
        idle_core_share=idle_s * REQUESTS_PER_S / MEASURED_REQUESTS,
    )


async def _wait_until_ready(
    site: LoopbackSite, session: ClientSession
) -> None:
    clock = SystemClock()
    deadline_at_s = clock.now() + READY_TIMEOUT_S
    while await _send_request(site, session, 0) != 200:
        if clock.now() > deadline_at_s:
            raise TimeoutError(
                f'the daemon answered no request within {READY_TIMEOUT_S} s'
            )
        await asyncio.sleep(0.2)


async def _measure_daemon_cpu_s(
    site: LoopbackSite, session: ClientSession, requests: int
) -> float:
    """Return the daemon's CPU time while MEASURED_REQUESTS requests are due.

    Only the first `requests` of them are sent, so that an idle and a loaded
    measurement last equally long.
    """
    clock = SystemClock()
    before_s = await _read_cpu_s(site, session)
    started_s = clock.now()
    for number in range(MEASURED_REQUESTS):
        if number < requests:
            await _send_request(site, session, number)
        due_s = started_s + (number + 1) / REQUESTS_PER_S
        await asyncio.sleep(max(due_s - clock.now(), 0.0))
    return await _read_cpu_s(site, session) - before_s


async def _send_request(
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


async def _read_cpu_s(site: LoopbackSite, session: ClientSession) -> float:
    address = f'{site.daemons[0].ip}:{PEERS_PORT + 1}'
    async with session.get(f'http://{address}/metrics') as response:
        found = CPU_METRIC.search(await response.text())
    assert found is not None, '/metrics has no anvilcove_processor_seconds'
    return float(found.group(1))
