"""Crowds of clients at the daemons of a soak run, and their bounds."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import psutil

from anvilcove.platform.standin_faults import LARGE, LONG
from anvilcove.platform.standin_wire import lookup_path, request_headers
from anvilcove.soak.crowds import KINDS, Crowd, Target
from anvilcove.soak.process_usage import MIB, measure
from anvilcove.soak.site import (
    CALLERS_PORT,
    HOST,
    JOBS,
    LOOKUP_PORT,
    PEERS_PORT,
    READY_PORT,
    SHOP,
    STREAMS,
    DaemonProcess,
    LoopbackSite,
)

BODY_BYTES = 1 << 20
MAX_DESCRIPTORS = 600
# Time for which a crowd stays, and pause before the next one.
STAY_S = (0.2, 1.5)
PAUSE_S = 0.2
POLL_S = 0.2
DEADLINE_S = 3.0
# Ports, and starts of paths, to which crowds send.
TARGETS = (
    (CALLERS_PORT, f'{SHOP}crowd-'),
    (CALLERS_PORT, f'{SHOP}{LARGE}'),
    (CALLERS_PORT, f'{STREAMS}{LONG}crowd-'),
    (CALLERS_PORT, f'{JOBS}crowd-'),
    (CALLERS_PORT, '/unknown/'),
    (READY_PORT, '/ready?'),
    (LOOKUP_PORT, f'{lookup_path(HOST)}&n='),
    (PEERS_PORT, '/relay?'),
    (PEERS_PORT + 1, '/metrics?'),
)


class SiteCrowds:
    """Crowds of random kinds, one after another, and a check of bounds."""

    __slots__ = ('_site', '_clients', '_rng', 'count', 'violations')

    def __init__(
        self, site: LoopbackSite, clients: int, rng: random.Random
    ) -> None:
        """Send crowds of some clients in `running`, none for 0."""
        self._site = site
        self._clients = clients
        self._rng = rng
        # Crowds that came.
        self.count = 0
        self.violations: list[str] = []

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Send crowds within the context."""
        work = [self._send_crowds(), self._watch()] if self._clients else []
        tasks = [asyncio.create_task(part) for part in work]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            for result in await asyncio.gather(*tasks, return_exceptions=True):
                if isinstance(result, Exception):
                    self.violations.append(f'crowds: {result!r}')

    async def _send_crowds(self) -> None:
        while True:
            kind = self._rng.choice(sorted(KINDS))
            port, path = self._rng.choice(TARGETS)
            daemons = self._site.daemons
            crowd = Crowd(
                kind,
                [(daemon.ip, port) for daemon in daemons],
                self._target(path),
                self._clients * len(daemons),
            )
            async with crowd.running():
                await crowd.sent(self._rng.uniform(*STAY_S))
            self.count += 1
            await asyncio.sleep(PAUSE_S)

    def _target(self, path: str) -> Target:
        crowd = f'crowd-{self.count}'

        def headers(number: int) -> list[str]:
            request_id = f'{crowd}-{number}'
            fields = request_headers(HOST, request_id, DEADLINE_S)
            fields |= self._site.access_headers(request_id)
            return [f'{name}: {text}' for name, text in fields.items()]

        return Target(path, headers, BODY_BYTES)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(POLL_S)
            for daemon in self._site.daemons:
                self._check(daemon)

    def _check(self, daemon: DaemonProcess) -> None:
        """Record a daemon that uses more than it may."""
        process = daemon.process
        if process is None or process.returncode is not None:
            return
        try:
            usage = measure(psutil.Process(process.pid), daemon.ip)
        except psutil.Error:
            return
        if usage.memory_bytes > self._site.memory_mb * MIB:
            self.violations.append(
                f'memory: {daemon.name} has {usage.memory_bytes / MIB:.0f}'
                f' MiB, {usage.unread_bytes / MIB:.0f} of it not read'
            )
        if usage.descriptors > self._site.max_descriptors:
            self.violations.append(
                f'descriptors: {daemon.name} has {usage.descriptors}'
            )
