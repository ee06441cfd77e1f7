"""A site in one process whose clock and table the tests control."""

import asyncio
import contextlib

from aiohttp import ClientSession, web
from loguru import logger

from anvilcove.daemon.app import Daemon
from anvilcove.messages.base import encode
from anvilcove.messages.membership import (
    SERVICE,
    EndpointMember,
    HostMember,
    Members,
)
from anvilcove.ports.errors import StoreAnswerLost
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
    PolicySettings,
    TimingSettings,
)
from anvilcove.standins.loopback import LISTEN_PORT, LoopbackSubnet
from anvilcove.standins.platform import PlatformStandin
from anvilcove.standins.service import ServiceOptions, ServiceStandin


class JumpClock:
    """Clock that can jump ahead, as it does for a process that was paused."""

    def __init__(self):
        """Start without an offset to the clock of the running loop."""
        self.ahead_s = 0.0

    def now(self):
        """Return monotonic seconds."""
        return asyncio.get_running_loop().time() + self.ahead_s

    async def sleep(self, seconds):
        """Wait for a number of seconds."""
        await asyncio.sleep(seconds)


class HookedTable:
    """Table port that can delay claims or simulate a pause after one.

    The hook is empty, 'delay', 'pause' or 'pause and outage'.
    """

    def __init__(self, table, clock, platform):
        """Forward all calls until a hook is set."""
        self.table = table
        self.clock = clock
        self.platform = platform
        self.hook = ''
        self.delayed = []
        self.claim_writes = 0

    def __getattr__(self, name):
        """Forward everything that is not hooked."""
        return getattr(self.table, name)

    async def transact(self, change):
        """Apply a transaction; if it writes a claim, run the hook.

        A delayed transaction is not applied and its response is lost. A pause
        sets the clock 1 s ahead after the claim has been written.
        """
        claims = any(p.value.get('state') == 'claimed' for p in change.puts)
        self.claim_writes += claims
        if not claims or not self.hook:
            return await self.table.transact(change)
        if self.hook == 'delay':
            self.delayed.append(change)
            raise StoreAnswerLost('delayed by the test')
        hook, self.hook = self.hook, ''
        result = await self.table.transact(change)
        self.clock.ahead_s += 1.0
        if hook == 'pause and outage':
            self.platform.set_faults({'store_down': True})
        return result

    async def apply_delayed(self):
        """Remove the hook and apply the delayed transactions."""
        self.hook = ''
        for change in self.delayed:
            await self.table.transact(change)


class InProcessSite:
    """Daemons and stand-ins on one loop, reached over TCP."""

    def __init__(self):
        """Create the platform stand-in; start nothing."""
        self.platform = PlatformStandin()
        self.members = Members()
        self._subnet = LoopbackSubnet()
        self._addresses = (
            f'{self._subnet.ip(number)}:{LISTEN_PORT}'
            for number in range(1, 100)
        )
        self.platform_address = next(self._addresses)
        self.settings_by_host = {}
        self.daemon_by_host = {}
        self.table_by_host = {}
        self.service_by_id = {}
        self._runners = []
        self._stopping = asyncio.Event()

    async def start(self, hosts, services):
        """Start the stand-ins, then the daemons."""
        logger.disable('anvilcove')
        await self._serve(self.platform.app(), self.platform_address)
        for number in range(services):
            await self._start_service(f's{number + 1}')
        for number in range(hosts):
            self._add_host(f'h{number + 1}')
        await self._publish()
        for host in self.settings_by_host:
            await self.start_host(host)

    async def start_host(self, host):
        """Start a daemon; the state in memory of an earlier one is lost."""
        daemon = Daemon(self.settings_by_host[host])
        context = await daemon.start()
        self.daemon_by_host[host] = daemon
        context.clock = JumpClock()
        table = HookedTable(
            context.ports['table'], context.clock, self.platform
        )
        context.ports['table'] = self.table_by_host[host] = table

    async def stop_host(self, host):
        """Stop a daemon."""
        await self.daemon_by_host.pop(host).stop()

    async def stop(self):
        """Stop everything."""
        self.platform.set_faults({'store_down': None})
        self._stopping.set()
        await asyncio.gather(*map(self.stop_host, list(self.daemon_by_host)))
        for runner in self._runners:
            await runner.cleanup()
        self._subnet.release()
        logger.enable('anvilcove')

    async def mark_leaving(self, endpoint):
        """Publish an endpoint as leaving in the membership."""
        for member in self.members.endpoints:
            if member.endpoint == endpoint:
                member.state = 'leaving'
        await self._publish()

    async def _publish(self):
        url = f'http://{self.platform_address}/members'
        async with ClientSession() as session:
            await session.put(url, data=encode(self.members))

    async def _sleep(self, seconds):
        """Sleep, but return early when the site stops."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._stopping.wait()

    async def _start_service(self, endpoint):
        address = next(self._addresses)
        service = ServiceStandin(ServiceOptions(endpoint=endpoint))
        service.sleep = self._sleep
        self.service_by_id[endpoint] = service
        await self._serve(service.app(), address)
        self.members.endpoints.append(
            EndpointMember(
                endpoint=endpoint,
                address=address,
                data_centre='d1',
                pool='account-app',
                kind=SERVICE,
            )
        )

    def _add_host(self, host):
        address = next(self._addresses)
        adapter = AdapterSettings(
            address=self.platform_address, timeout_ms=300
        )
        self.settings_by_host[host] = DaemonSettings(
            host=host,
            data_centre='d1',
            listen_address=address,
            platform=PlatformSettings(
                table=adapter,
                objects=adapter,
                weights=adapter,
                membership=adapter,
            ),
            keys=KeySettings(peer='peer', operator='demo-operator-key'),
            timing=TimingSettings(entry_ttl_ms=1, drain_limit_ms=2_000),
            policies=PolicySettings(limits='naive', ejection='naive'),
        )
        self.members.hosts.append(
            HostMember(host=host, address=address, data_centre='d1')
        )

    async def _serve(self, app, address):
        ip, _, port = address.rpartition(':')
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, ip, int(port)).start()
        self._runners.append(runner)
