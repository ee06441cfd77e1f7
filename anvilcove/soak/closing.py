"""Promises that are checked when all faults have ended."""

import asyncio
import signal

from aiohttp import ClientError, ClientSession

from anvilcove.platform.standin_wire import request_headers
from anvilcove.soak.site import (
    CALLERS_PORT,
    EXTRA,
    GRACE_S,
    HOST,
    SHOP,
    DaemonProcess,
    LoopbackSite,
)

# Time in which a desired state must be in force, and for which a server may
# still get requests after it has announced that it leaves.
CONFIG_S = 2.0
DRAIN_S = 2.0
# Time that an exchange on loopback may take on a busy machine.
SLACK_S = 1.0
CALM_S = 3.0
# Servers announce what has changed within this time.
ANNOUNCE_S = 1.0
WORK_S = 0.6
REQUESTS = 8
ANSWERED, REFUSED = 200, 503


async def closing_promises(site: LoopbackSite) -> list[str]:
    """Return a line for each promise that was broken."""
    await asyncio.sleep(CALM_S)
    async with ClientSession() as session:
        return [
            *await _desired_state(site, session),
            *await _draining(site),
            *await _planned_stop(site, session),
        ]


async def _desired_state(
    site: LoopbackSite, session: ClientSession
) -> list[str]:
    """Check that a new desired state is soon in force at every daemon."""
    site.write_config(site.config_version + 1, extra=True)
    await asyncio.sleep(CONFIG_S + SLACK_S)
    found = []
    for daemon in site.daemons:
        status = await _post(session, daemon, EXTRA, 'closing-extra')
        if status != ANSWERED:
            found.append(f'configuration: {daemon.name} answers {status}')
    return found


async def _draining(site: LoopbackSite) -> list[str]:
    """Check that servers get nothing after they have said that they leave.

    The callers and the trainer of the run go on meanwhile.
    """
    leaving = [site.servers[0], site.engines[0]]
    site.draining |= {server.instance for server in leaving}
    await asyncio.sleep(DRAIN_S + SLACK_S)
    before = {server.instance: len(server.runs) for server in leaving}
    await asyncio.sleep(CALM_S)
    found = [
        f'leaving: {server.instance} got {server.runs[-1][0]}'
        for server in leaving
        if len(server.runs) > before[server.instance]
    ]
    site.draining -= {server.instance for server in leaving}
    await asyncio.sleep(ANNOUNCE_S)
    return found


async def _planned_stop(
    site: LoopbackSite, session: ClientSession
) -> list[str]:
    """Check that a daemon answers what it has taken before it ends.

    A refusal is an answer where all servers are full, and must be true.
    """
    daemon = site.daemons[0]
    for server in site.servers:
        server.faults.work_s = WORK_S
    sent = [
        asyncio.create_task(_post(session, daemon, SHOP, f'closing-{n}'))
        for n in range(REQUESTS)
    ]
    await asyncio.sleep(WORK_S / 3)
    daemon.expect_end()
    daemon.signal(signal.SIGTERM)
    statuses = await asyncio.gather(*sent)
    ran = {run[0] for server in site.servers for run in server.runs}
    found = [
        f'planned_stop: {daemon.name} answers {status} to closing-{number}'
        for number, status in enumerate(statuses)
        if status != ANSWERED
        and not (status == REFUSED and f'closing-{number}' not in ran)
    ]
    assert daemon.process is not None
    try:
        async with asyncio.timeout(GRACE_S + SLACK_S):
            await daemon.process.wait()
    except TimeoutError:
        found.append(f'planned_stop: {daemon.name} goes on')
    return found


async def _post(
    session: ClientSession, daemon: DaemonProcess, prefix: str, name: str
) -> int:
    """Return the status of an answer, 0 for none."""
    try:
        async with session.post(
            f'http://{daemon.ip}:{CALLERS_PORT}{prefix}{name}',
            data=b'x',
            headers=request_headers(HOST, name, 2.0),
        ) as response:
            await response.read()
            return response.status
    except (ClientError, TimeoutError, OSError):
        return 0
