"""Checks of guarantees that need a site without active faults."""

import asyncio
import signal
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import json

from anvilcove.node.loop_delay import processor_wait_s
from anvilcove.node.status import STATUS_PATH
from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.site import (
    CALLERS_PORT,
    EXTRA,
    GRACE_S,
    HOST,
    PEERS_PORT,
    SHOP,
    DaemonProcess,
    LoopbackSite,
)

# Time within which daemons must apply a desired state, and time for which a
# server may still get requests after it has announced that it is draining.
CONFIG_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 2.0
# Allowance for a loopback exchange on a busy machine.
SLACK_S = 1.0
OBSERVATION_S = 3.0
# Time within which contents stop crashing servers.
SERVERS_TIMEOUT_S = 60.0
POLL_S = 0.1
# Servers announce changes within this time.
ANNOUNCE_TIMEOUT_S = 1.0
SERVICE_TIME_S = 0.6
REQUEST_COUNT = 8
REQUEST_DEADLINE_S = 2.0
ANSWERED, REFUSED, TIMED_OUT = 200, 503, 504
# Longest time that is added to a limit as a process had no processor.
MAX_ADDED_S = 20.0


class ProcessorWaits:
    """Time for which this process and a daemon had no processor.

    Limits are extended by it: on a machine with five processes per processor
    daemons waited up to 5.3 s without running. Any other delay counts.
    """

    def __init__(
        self,
        process: int,
        wait_s: Callable[[str], float] = processor_wait_s,
    ) -> None:
        """Start at 0."""
        self._names = (str(process), 'self')
        self._wait_s = wait_s
        self._started_s = {name: wait_s(name) for name in self._names}
        self._longest_s = 0.0

    def seconds(self) -> float:
        """Return the sum for both processes since the start."""
        total_s = sum(
            max(self._wait_s(name) - self._started_s[name], 0.0)
            for name in self._names
        )
        # That of a process that has ended reads as 0.
        self._longest_s = max(self._longest_s, total_s)
        return min(self._longest_s, MAX_ADDED_S)


async def wait_with_processor(
    limit_s: float, waits: ProcessorWaits, ended: Callable[[], bool]
) -> bool:
    """Wait until something has ended; return False if it is over its limit.

    The limit does not count time without a processor.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not ended():
        if loop.time() - started_s > limit_s + waits.seconds():
            return False
        await asyncio.sleep(POLL_S)
    return True


async def final_violations(site: LoopbackSite) -> list[str]:
    """Return a line for each violated guarantee."""
    await site.wait_until_ready()
    await _wait_for_servers(site)
    async with ClientSession() as session:
        return [
            *await _check_desired_state(site, session),
            *await _check_draining(site),
            *await _check_planned_stop(site, session),
        ]


async def ended_tasks(site: LoopbackSite) -> list[str]:
    """Return a line for each daemon of which a task has ended.

    Daemons that do not answer, as a fault goes on, are left out.
    """
    violations = []
    async with ClientSession(timeout=ClientTimeout(total=SLACK_S)) as session:
        for daemon in site.daemons:
            url = f'http://{daemon.ip}:{PEERS_PORT}{STATUS_PATH}'
            try:
                async with session.get(url) as response:
                    status = json.decode(await response.read())
            except (ClientError, TimeoutError, OSError):
                continue
            # An earlier build does not tell.
            ended = status.get('background_tasks')
            if ended:
                violations.append(f'tasks: {daemon.name} had {ended}')
    return violations


async def _wait_for_servers(site: LoopbackSite) -> None:
    """Wait until no server has been down for OBSERVATION_S.

    Calls that are owed may crash servers after the last fault has ended.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(SERVERS_TIMEOUT_S):
        quiet_since_s = loop.time()
        while loop.time() - quiet_since_s < OBSERVATION_S:
            await asyncio.sleep(POLL_S)
            if site.crashed:
                quiet_since_s = loop.time()


async def _check_desired_state(
    site: LoopbackSite, session: ClientSession
) -> list[str]:
    """Check that every daemon applies a new desired state in time."""
    loop = asyncio.get_running_loop()
    waits_by_name = {d.name: _waits_of(d) for d in site.daemons}
    site.write_config(site.config_version + 1, extra=True)
    due_at_s = loop.time() + CONFIG_TIMEOUT_S + SLACK_S
    violations = []
    for daemon in site.daemons:
        waits = waits_by_name[daemon.name]
        while loop.time() < due_at_s + waits.seconds():
            await asyncio.sleep(POLL_S)
        status = await _post(site, session, daemon, EXTRA, 'closing-extra')
        if status != ANSWERED:
            violations.append(f'configuration: {daemon.name} answers {status}')
    return violations


async def _check_draining(site: LoopbackSite) -> list[str]:
    """Check that draining servers get no more requests.

    The callers and the trainer of the run continue meanwhile.
    """
    draining_servers = [site.servers[0], site.engines[0]]
    draining = {server.instance for server in draining_servers}
    site.draining |= draining
    await asyncio.sleep(DRAIN_TIMEOUT_S + SLACK_S)
    before = {server.instance: len(server.runs) for server in draining_servers}
    await asyncio.sleep(OBSERVATION_S)
    # A server that crashed meanwhile is back as a start that does not drain.
    violations = [
        f'leaving: {server.instance} got {server.runs[-1][0]}'
        for server in draining_servers
        if server.instance in draining
        and len(server.runs) > before[server.instance]
    ]
    site.draining -= draining
    await asyncio.sleep(ANNOUNCE_TIMEOUT_S)
    return violations


async def _check_planned_stop(
    site: LoopbackSite, session: ClientSession
) -> list[str]:
    """Check that a daemon answers all accepted requests before it exits."""
    daemon = site.daemons[0]
    waits = _waits_of(daemon)
    for server in site.servers:
        server.faults.work_s = SERVICE_TIME_S
    requests = [
        asyncio.create_task(_post(site, session, daemon, SHOP, f'closing-{n}'))
        for n in range(REQUEST_COUNT)
    ]
    await asyncio.sleep(SERVICE_TIME_S / 3)
    daemon.expect_exit()
    daemon.signal(signal.SIGTERM)
    statuses = await asyncio.gather(*requests)
    waited_s = waits.seconds()
    ran = {run[0] for server in site.servers for run in server.runs}
    violations = [
        f'planned_stop: {daemon.name} answers {status} to closing-{number}'
        for number, status in enumerate(statuses)
        if not is_answer(status, f'closing-{number}' in ran, waited_s)
    ]
    process = daemon.process
    assert process is not None
    if not await wait_with_processor(
        GRACE_S + SLACK_S, waits, lambda: process.returncode is not None
    ):
        violations.append(f'planned_stop: {daemon.name} goes on')
    return violations


def is_answer(status: int, has_run: bool, waited_s: float) -> bool:
    """Tell whether a status is what a stopping daemon may answer.

    A refusal is, if the request has not run: all servers may be full. So is
    the end of the deadline, if the time without a processor left less of it
    than two runs take, as a first one may have broken off.
    """
    if status == TIMED_OUT:
        return waited_s > REQUEST_DEADLINE_S - 2 * SERVICE_TIME_S
    return status == ANSWERED or (status == REFUSED and not has_run)


def _waits_of(daemon: DaemonProcess) -> ProcessorWaits:
    assert daemon.process is not None
    return ProcessorWaits(daemon.process.pid)


async def _post(
    site: LoopbackSite,
    session: ClientSession,
    daemon: DaemonProcess,
    prefix: str,
    name: str,
) -> int:
    """Post a request and return the response status, 0 for no response."""
    try:
        async with session.post(
            f'http://{daemon.ip}:{CALLERS_PORT}{prefix}{name}',
            data=b'x',
            headers=request_headers(HOST, name, REQUEST_DEADLINE_S)
            | site.access_headers(name),
        ) as response:
            await response.read()
            return response.status
    except (ClientError, TimeoutError, OSError):
        return 0
