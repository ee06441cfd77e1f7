"""Inject faults into a site during the demonstration."""

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
SET_FAULTS_ATTEMPTS = 50
POISON = 'poison-7f3a'

Fault = Callable[['FaultInjector'], Awaitable[None]]
SCHEDULED_FAULTS: list[tuple[float, str, Fault]] = []


def register_fault(at_s: float, name: str) -> Callable[[Fault], Fault]:
    """Register a fault at `at_s` seconds after the start of the load."""

    def register(function: Fault) -> Fault:
        SCHEDULED_FAULTS.append((at_s, name, function))
        return function

    return register


class FaultInjector:
    """Inject the registered faults of one run in the order of their times."""

    def __init__(
        self,
        site: Site,
        session: ClientSession,
        record: RunRecord,
        rng: random.Random,
    ) -> None:
        """Use the random generator of the run to choose targets."""
        self.site = site
        self.session = session
        self.record = record
        self.rng = rng
        self.faulted_hosts: set[str] = set()
        self.stopping = False

    async def run(self) -> None:
        """Start every fault at its time and wait until all have ended."""
        started = asyncio.get_running_loop().time()
        pending = []
        for at_s, name, function in sorted(
            SCHEDULED_FAULTS, key=lambda entry: entry[0]
        ):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, started + at_s - now))
            logger.info('fault: {}', name)
            self.record.faults.append({'at_s': time.time(), 'fault': name})
            pending.append(asyncio.create_task(self._inject(function)))
        await asyncio.gather(*pending)

    async def _inject(self, function: Fault) -> None:
        await function(self)

    async def restart_crashed_endpoints(self) -> None:
        """Restart crashed endpoints, as a process supervisor would."""
        while not self.stopping:
            for member in self.site.members.endpoints:
                process = self.site.processes.by_name.get(member.endpoint)
                if process is None or process.returncode is None:
                    continue
                await asyncio.sleep(RESTART_AFTER_S)
                if not self.stopping:
                    await self.site.processes.restart(member.endpoint)
                    await self.enable_poison_crash(member)
            await asyncio.sleep(0.2)

    async def enable_poison_crash(self, member: EndpointMember) -> None:
        """Make the endpoint crash on poison requests, also after a restart."""
        await self.set_endpoint_faults(member, {'crash_on': POISON})

    def pick_host(self, avoid: str = '') -> str:
        """Reserve a host that no fault uses, outside data centre `avoid`."""
        free = sorted(
            host
            for host, settings in self.site.settings_by_host.items()
            if host not in self.faulted_hosts and settings.data_centre != avoid
        )
        host = self.rng.choice(free)
        self.faulted_hosts.add(host)
        return host

    def pick_endpoint(self, kind: str) -> EndpointMember:
        """Return a random endpoint of a kind, neither leaving nor scoring."""
        live = [
            member
            for member in self.site.members.endpoints
            if member.kind == kind
            and member.state != LEAVING
            and member.pool != 'scoring'
        ]
        return self.rng.choice(live)

    async def set_platform_faults(self, faults: dict[str, Any]) -> None:
        """Set fault switches of the platform's stand-in."""
        await self._set_faults('platform', faults)

    async def set_endpoint_faults(
        self, member: EndpointMember, faults: dict[str, Any]
    ) -> None:
        """Set fault switches of an endpoint's stand-in."""
        await self._set_faults(member.endpoint, faults)

    async def _set_faults(self, name: str, faults: dict[str, Any]) -> None:
        """Set fault switches; retry while the process is starting."""
        for _ in range(SET_FAULTS_ATTEMPTS):
            try:
                await self.site.set_faults(self.session, name, faults)
                return
            except (ClientError, OSError):
                await asyncio.sleep(0.1)

    async def put_members(self, members: Members) -> None:
        """Replace the membership list of the platform."""
        await self.session.put(
            f'http://{self.site.platform_address}/members',
            data=encode(members),
        )


@register_fault(2.0, 'an engine crashes in mid-stream')
async def engine_crash(injector: FaultInjector) -> None:
    """Make an engine crash; `restart_crashed_endpoints` restarts it."""
    await injector.set_endpoint_faults(
        injector.pick_endpoint('engine'), {'die_after_tokens': 5}
    )


@register_fault(3.0, 'store answers are lost after the write')
async def lost_answers(injector: FaultInjector) -> None:
    """Drop the responses to some committed transactions."""
    await injector.set_platform_faults({'lose_answers': 8})


@register_fault(4.0, 'a daemon is killed and started again')
async def daemon_kill(injector: FaultInjector) -> None:
    """Kill a daemon with SIGKILL and restart it."""
    host = injector.pick_host()
    await injector.site.processes.kill(host)
    await asyncio.sleep(RESTART_AFTER_S)
    await injector.site.processes.restart(host)


@register_fault(6.0, 'the store is down and a daemon is killed meanwhile')
async def store_outage(injector: FaultInjector) -> None:
    """Make table and object store unavailable; kill a daemon meanwhile."""
    await injector.set_platform_faults({'store_down': True})
    host = injector.pick_host()
    await asyncio.sleep(0.8)
    await injector.site.processes.kill(host)
    await injector.site.processes.restart(host)
    await asyncio.sleep(2.2)
    await injector.set_platform_faults({'store_down': None})


@register_fault(7.0, 'answers come late, crossed and truncated')
async def bad_answers(injector: FaultInjector) -> None:
    """Truncate, exchange and delay answers of services and engines."""
    for kind in ('service', 'engine'):
        member = injector.pick_endpoint(kind)
        await injector.set_endpoint_faults(
            member, {'cross_answers': 3, 'truncate': 3}
        )
    late = injector.pick_endpoint('service')
    await injector.set_endpoint_faults(late, {'late_s': 0.3})
    await asyncio.sleep(1.5)
    await injector.set_endpoint_faults(late, {'late_s': None})


@register_fault(9.0, 'a daemon is paused past its leases')
async def daemon_pause(injector: FaultInjector) -> None:
    """Stop a daemon with SIGSTOP for longer than a lease."""
    host = injector.pick_host()
    injector.site.processes.signal(host, signal.SIGSTOP)
    await asyncio.sleep(4.5)
    injector.site.processes.signal(host, signal.SIGCONT)


@register_fault(
    10.0, 'weight swaps fail partway and tokens lack their version'
)
async def failing_swaps(injector: FaultInjector) -> None:
    """Make weight swaps fail and omit the versions of tokens."""
    await injector.set_endpoint_faults(
        injector.pick_endpoint('engine'), {'fail_swaps': 2}
    )
    await injector.set_endpoint_faults(
        injector.pick_endpoint('engine'), {'drop_versions': 4}
    )


@register_fault(
    11.5, 'two endpoints leave while one data centre sees an old list'
)
async def endpoints_leave(injector: FaultInjector) -> None:
    """List an engine and a service as leaving.

    The first data centre (127.1.) reads the old list for 10 s.
    """
    await injector.set_platform_faults({'members_lag_s': {'127.1.': 10.0}})
    leaving = [
        injector.pick_endpoint('engine'),
        injector.pick_endpoint('service'),
    ]
    for member in leaving:
        member.state = LEAVING
    await injector.put_members(injector.site.members)
    records = [
        LeavingRecord(endpoint=m.endpoint, listed_at_s=time.time())
        for m in leaving
    ]
    injector.record.leavings += records


@register_fault(13.0, 'the store is slow and loses answers')
async def slow_store(injector: FaultInjector) -> None:
    """Delay every store call and drop some responses."""
    await injector.set_platform_faults(
        {'store_delay_s': 0.25, 'lose_answers': 4}
    )
    await asyncio.sleep(2.0)
    await injector.set_platform_faults({'store_delay_s': None})


@register_fault(17.0, 'a data centre is cut off')
async def data_centre_cut(injector: FaultInjector) -> None:
    """Isolate the last data centre for longer than the confirm window."""
    await injector.site.isolate_data_centre(
        injector.session, injector.site.shape.data_centres[-1]
    )
    await asyncio.sleep(4.5)
    await injector.site.reconnect_data_centres(injector.session)
