"""Faults that strike a site during the demonstration."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import ClientError, ClientSession
from loguru import logger

from anvilcove.demo.records import LeavingRecord, RunRecord
from anvilcove.demo.site import Site
from anvilcove.messages.base import encode
from anvilcove.messages.membership import LEAVING, EndpointMember, Members

RESTART_AFTER_S = 1.5
SWITCH_TRIES = 50
POISON = 'poison-7f3a'

Fault = Callable[['FaultRun'], Awaitable[None]]
FAULTS_BY_TIME: list[tuple[float, str, Fault]] = []


def fault(at_s: float, name: str) -> Callable[[Fault], Fault]:
    """Register a fault at its time in seconds after the load has started."""

    def register(function: Fault) -> Fault:
        FAULTS_BY_TIME.append((at_s, name, function))
        return function

    return register


class FaultRun:
    """Strike the faults of one run in the order of their times."""

    def __init__(
        self,
        site: Site,
        session: ClientSession,
        record: RunRecord,
        rng: random.Random,
    ) -> None:
        """Choose the targets from the generator of the run."""
        self.site = site
        self.session = session
        self.record = record
        self.rng = rng
        self.busy_hosts: set[str] = set()
        self.stopping = False

    async def run(self) -> None:
        """Strike every fault at its time and wait for the last one."""
        started = asyncio.get_running_loop().time()
        pending = []
        for at_s, name, function in sorted(
            FAULTS_BY_TIME, key=lambda entry: entry[0]
        ):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, started + at_s - now))
            logger.info('fault: {}', name)
            self.record.faults.append({'at_s': time.time(), 'fault': name})
            pending.append(asyncio.create_task(self._strike(function)))
        await asyncio.gather(*pending)

    async def _strike(self, function: Fault) -> None:
        await function(self)

    async def keep_endpoints_running(self) -> None:
        """Restart crashed endpoints, as their own supervisors would."""
        while not self.stopping:
            for member in self.site.members.endpoints:
                process = self.site.processes.by_name.get(member.endpoint)
                if process is None or process.returncode is None:
                    continue
                await asyncio.sleep(RESTART_AFTER_S)
                if not self.stopping:
                    await self.site.processes.restart(member.endpoint)
                    await self.restore_faults(member)
            await asyncio.sleep(0.2)

    async def restore_faults(self, member: EndpointMember) -> None:
        """Give a restarted endpoint its lasting switches again."""
        await self.switch_endpoint(member, {'crash_on': POISON})

    def pick_host(self, avoid: str = '') -> str:
        """Return a host that no other fault strikes, outside a data centre."""
        free = sorted(
            host
            for host, settings in self.site.settings_by_host.items()
            if host not in self.busy_hosts and settings.data_centre != avoid
        )
        host = self.rng.choice(free)
        self.busy_hosts.add(host)
        return host

    def pick_endpoint(self, kind: str) -> EndpointMember:
        """Return a live endpoint of a kind."""
        live = [
            member
            for member in self.site.members.endpoints
            if member.kind == kind
            and member.state != LEAVING
            and member.pool != 'scoring'
        ]
        return self.rng.choice(live)

    async def switch_platform(self, faults: dict[str, Any]) -> None:
        """Set switches of the platform's stand-in."""
        await self._switch('platform', faults)

    async def switch_endpoint(
        self, member: EndpointMember, faults: dict[str, Any]
    ) -> None:
        """Set switches of an endpoint's stand-in."""
        await self._switch(member.endpoint, faults)

    async def _switch(self, name: str, faults: dict[str, Any]) -> None:
        """Set switches; a process that is starting is tried again."""
        for _ in range(SWITCH_TRIES):
            try:
                await self.site.set_faults(self.session, name, faults)
                return
            except (ClientError, OSError):
                await asyncio.sleep(0.1)

    async def list_members(self, members: Members) -> None:
        """Replace the platform's membership list."""
        await self.session.put(
            f'http://{self.site.platform_address}/members',
            data=encode(members),
        )


@fault(2.0, 'an engine crashes in mid-stream')
async def engine_crash(run: FaultRun) -> None:
    """Kill an engine; its supervisor starts it again."""
    await run.switch_endpoint(
        run.pick_endpoint('engine'), {'die_after_tokens': 5}
    )


@fault(3.0, 'store answers are lost after the write')
async def lost_answers(run: FaultRun) -> None:
    """Lose the answers of some committed transactions."""
    await run.switch_platform({'lose_answers': 8})


@fault(4.0, 'a daemon is killed and started again')
async def daemon_kill(run: FaultRun) -> None:
    """Kill a daemon without warning."""
    host = run.pick_host()
    await run.site.processes.kill(host)
    await asyncio.sleep(RESTART_AFTER_S)
    await run.site.processes.restart(host)


@fault(6.0, 'the store is down and a daemon is killed meanwhile')
async def store_outage(run: FaultRun) -> None:
    """Take table and objects down and kill a daemon in the outage."""
    await run.switch_platform({'store_down': True})
    host = run.pick_host()
    await asyncio.sleep(0.8)
    await run.site.processes.kill(host)
    await run.site.processes.restart(host)
    await asyncio.sleep(2.2)
    await run.switch_platform({'store_down': None})


@fault(7.0, 'answers come late, crossed and truncated')
async def bad_answers(run: FaultRun) -> None:
    """Spoil answers of services and engines."""
    for kind in ('service', 'engine'):
        member = run.pick_endpoint(kind)
        await run.switch_endpoint(member, {'cross_answers': 3, 'truncate': 3})
    late = run.pick_endpoint('service')
    await run.switch_endpoint(late, {'late_s': 0.3})
    await asyncio.sleep(1.5)
    await run.switch_endpoint(late, {'late_s': None})


@fault(9.0, 'a daemon is paused past its leases')
async def daemon_pause(run: FaultRun) -> None:
    """Stop a daemon with SIGSTOP for longer than a lease."""
    host = run.pick_host()
    run.site.processes.signal(host, signal.SIGSTOP)
    await asyncio.sleep(4.5)
    run.site.processes.signal(host, signal.SIGCONT)


@fault(10.0, 'weight swaps fail partway and tokens lack their version')
async def failing_swaps(run: FaultRun) -> None:
    """Make swaps fail and drop version marks."""
    await run.switch_endpoint(run.pick_endpoint('engine'), {'fail_swaps': 2})
    await run.switch_endpoint(
        run.pick_endpoint('engine'), {'drop_versions': 4}
    )


@fault(11.5, 'two endpoints leave while one data centre sees an old list')
async def endpoints_leave(run: FaultRun) -> None:
    """List an engine and a service as leaving."""
    await run.switch_platform({'members_lag_s': {'127.1.': 10.0}})
    leaving = [run.pick_endpoint('engine'), run.pick_endpoint('service')]
    for member in leaving:
        member.state = LEAVING
    await run.list_members(run.site.members)
    records = [
        LeavingRecord(endpoint=m.endpoint, listed_at_s=time.time())
        for m in leaving
    ]
    run.record.leavings += records


@fault(13.0, 'the store is slow and loses answers')
async def slow_store(run: FaultRun) -> None:
    """Slow every store call down."""
    await run.switch_platform({'store_delay_s': 0.25, 'lose_answers': 4})
    await asyncio.sleep(2.0)
    await run.switch_platform({'store_delay_s': None})


@fault(17.0, 'a data centre is cut off')
async def data_centre_cut(run: FaultRun) -> None:
    """Cut the last data centre off for longer than the window."""
    await run.site.cut(run.session, run.site.shape.data_centres[-1])
    await asyncio.sleep(4.5)
    await run.site.heal(run.session)
