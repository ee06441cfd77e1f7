"""Demonstration sites: addresses, settings and processes."""

import asyncio
import json
from pathlib import Path
from typing import Any

import yaml
from aiohttp import ClientSession
from msgspec import to_builtins

from anvilcove.demo.processes import ProcessGroup, wait_until_ready
from anvilcove.messages.base import encode
from anvilcove.messages.membership import (
    ENGINE,
    SERVICE,
    EndpointMember,
    HostMember,
    Members,
)
from anvilcove.settings.daemon import (
    AdapterSettings,
    DaemonSettings,
    KeySettings,
    PlatformSettings,
    TimingSettings,
)
from anvilcove.standins.loopback import (
    LISTEN_PORT,
    RELAY_PORT,
    LoopbackSubnet,
)
from anvilcove.standins.network import NetworkOptions, Relayed
from anvilcove.standins.service import SCORING

PLATFORM = 'platform'
RELAY = 'relay'
TOKEN_TIME_MS = 5.0
PEER_KEY = 'demo-peer-key'
OPERATOR_KEY = 'demo-operator-key'


class SiteShape:
    """Data centres, pools and sizes of one site."""

    __slots__ = (
        'name',
        'data_centres',
        'hosts',
        'model',
        'engines',
        'app',
        'services',
        'scoring',
    )

    def __init__(
        self,
        name: str,
        data_centres: list[str],
        hosts: int,
        model: tuple[str, int],
        app: tuple[str, int],
        scoring: int = 0,
    ) -> None:
        """Store the sizes; `model` and `app` are (pool, size) pairs."""
        self.name = name
        self.data_centres = data_centres
        self.hosts = hosts
        self.model, self.engines = model
        self.app, self.services = app
        self.scoring = scoring


SHAPES_BY_NAME = {
    'tifawt': SiteShape(
        'tifawt',
        ['casa-ain', 'casa-maarif', 'casa-sidi', 'casa-bouskoura'],
        12,
        ('advisor-llm', 6),
        ('account-app', 4),
        scoring=1,
    ),
    'andrade': SiteShape(
        'andrade',
        ['bodega', 'oficina', 'fabrica'],
        12,
        ('taller-lm', 5),
        ('tienda-app', 7),
        scoring=1,
    ),
}


class Site:
    """Processes of one site, with one loopback prefix per data centre.

    With `relay`, the membership list and the settings contain addresses of
    the relay, while the processes listen at `listen_address_by_name`. With
    `mixed_speeds`, every second engine takes twice the time for a token.
    Each site reserves a subnet (third number of the addresses) until it is
    stopped, so that sites which run at the same time share no address.
    """

    def __init__(
        self,
        shape: SiteShape,
        folder: Path,
        relay: bool = False,
        mixed_speeds: bool = False,
    ) -> None:
        """Reserve the addresses; no process is started."""
        self.shape = shape
        self.folder = folder
        self.relay = relay
        self.mixed_speeds = mixed_speeds
        self.subnet = LoopbackSubnet()
        self.listen_address_by_name: dict[str, str] = {}
        self.relayed_listeners: list[Relayed] = []
        self.processes = ProcessGroup(
            folder / 'logs', self.subnet.descriptors()
        )
        self.members = Members()
        self._platform_advertised = self._plan_address(
            PLATFORM, self.subnet.ip(1), ''
        )
        self.platform_address = self.listen_address_by_name[PLATFORM]
        self.listen_address_by_name[RELAY] = (
            f'{self.subnet.ip(2)}:{LISTEN_PORT}'
        )
        self.timing = TimingSettings()
        self.settings_by_host: dict[str, DaemonSettings] = {}

    def plan(self) -> None:
        """Create the membership list and the settings of every daemon."""
        shape = self.shape
        for index in range(shape.hosts):
            self._plan_host(index)
        for index in range(shape.engines):
            self._plan_endpoint(ENGINE, shape.model, index)
        for index in range(shape.services):
            self._plan_endpoint(SERVICE, shape.app, index)
        for index in range(shape.scoring):
            self._plan_endpoint(SERVICE, SCORING, index)

    def _plan_address(self, name: str, ip: str, data_centre: str) -> str:
        """Choose a listen address; return the advertised address."""
        real = f'{ip}:{LISTEN_PORT}'
        self.listen_address_by_name[name] = real
        if not self.relay:
            return real
        advertised = f'{ip}:{RELAY_PORT}'
        self.relayed_listeners.append(
            Relayed(advertised=advertised, real=real, data_centre=data_centre)
        )
        return advertised

    def _data_centre_and_ip(self, index: int, first: int) -> tuple[str, str]:
        """Return data centre and IP of the process at an index.

        `first` is the last number of the IP of index 0.
        """
        position = index % len(self.shape.data_centres)
        host = first + index // len(self.shape.data_centres)
        ip = self.subnet.ip(host, data_centre=position + 1)
        return self.shape.data_centres[position], ip

    def _plan_host(self, index: int) -> None:
        data_centre, ip = self._data_centre_and_ip(index, 1)
        host = f'h{index + 1}'
        address = self._plan_address(host, ip, data_centre)
        platform = AdapterSettings(address=self._platform_advertised)
        self.settings_by_host[host] = DaemonSettings(
            host=host,
            data_centre=data_centre,
            listen_address=self.listen_address_by_name[host],
            advertise_address=address,
            outgoing_ip=ip,
            platform=PlatformSettings(
                table=platform,
                objects=platform,
                weights=platform,
                membership=platform,
            ),
            keys=KeySettings(peer=PEER_KEY, operator=OPERATOR_KEY),
            timing=self.timing,
        )
        self.members.hosts.append(
            HostMember(host=host, address=address, data_centre=data_centre)
        )

    def _plan_endpoint(self, kind: str, pool: str, index: int) -> None:
        first = {ENGINE: 101, SERVICE: 151}[kind]
        if pool == SCORING:
            first = 201
        data_centre, ip = self._data_centre_and_ip(index, first)
        endpoint = f'{pool}-{index + 1}'
        self.members.endpoints.append(
            EndpointMember(
                endpoint=endpoint,
                address=self._plan_address(endpoint, ip, data_centre),
                data_centre=data_centre,
                pool=pool,
                kind=kind,
            )
        )

    async def start(self, session: ClientSession) -> None:
        """Start the stand-ins, then the daemons; wait until all are ready."""
        (self.folder / 'journals').mkdir(parents=True, exist_ok=True)
        if self.relay:
            await self._start_relay(session)
        await self._start_standin(PLATFORM, 'platform')
        base = f'http://{self.platform_address}'
        await wait_until_ready(session, f'{base}/members')
        await session.put(f'{base}/members', data=encode(self.members))
        for member in self.members.endpoints:
            await self.start_endpoint(member)
        for host in self.settings_by_host:
            await self.start_host(host)
        names = [member.endpoint for member in self.members.endpoints]
        await asyncio.gather(
            *(
                self.wait_for(session, name)
                for name in (*names, *self.settings_by_host)
            )
        )

    async def wait_for(self, session: ClientSession, name: str) -> None:
        """Wait until a process is ready at its advertised address."""
        for member in self.members.endpoints:
            if member.endpoint == name:
                url = f'http://{member.address}/load'
        for host in self.members.hosts:
            if host.host == name:
                url = f'http://{host.address}/healthz'
        await wait_until_ready(session, url)

    async def restart(self, session: ClientSession, name: str) -> None:
        """Restart an endpoint or host and wait until it is ready."""
        await self.processes.restart(name)
        await self.wait_for(session, name)

    async def _start_relay(self, session: ClientSession) -> None:
        path = self.folder / 'network.json'
        options = NetworkOptions(
            data_centres=self.shape.data_centres,
            listeners=self.relayed_listeners,
        )
        path.write_bytes(encode(options))
        await self._start_standin(RELAY, 'network', f'--network_file={path}')
        url = f'http://{self.listen_address_by_name[RELAY]}/journal'
        await wait_until_ready(session, url)

    async def _start_standin(self, name: str, *arguments: str) -> None:
        await self.processes.start(
            name,
            [
                'standin',
                *arguments,
                f'--address={self.listen_address_by_name[name]}',
                f'--journal_file={self._journal_path(name)}',
            ],
        )

    def _journal_path(self, name: str) -> Path:
        return self.folder / 'journals' / f'{name}.jsonl'

    def read_journal(self, name: str) -> list[dict[str, Any]]:
        """Return the journal of a stand-in, also after it was killed."""
        text = self._journal_path(name).read_text()
        # A killed process may leave an incomplete last line.
        complete_lines = text[: text.rfind('\n') + 1]
        return [json.loads(line) for line in complete_lines.splitlines()]

    async def set_faults(
        self, session: ClientSession, name: str, switches: dict[str, Any]
    ) -> None:
        """Set fault switches of an endpoint, the platform or the relay."""
        url = f'http://{self.listen_address_by_name[name]}/faults'
        async with session.put(url, json=switches) as response:
            response.raise_for_status()

    async def isolate_data_centre(
        self, session: ClientSession, data_centre: str
    ) -> None:
        """Block all connections between a data centre and the others."""
        await self.set_faults(session, RELAY, {'cut': [data_centre]})

    async def reconnect_data_centres(self, session: ClientSession) -> None:
        """Remove the isolation of data centres."""
        await self.set_faults(session, RELAY, {'cut': None})

    async def start_endpoint(self, member: EndpointMember) -> None:
        """Start the stand-in of an endpoint."""
        arguments = [member.kind, f'--endpoint={member.endpoint}']
        if member.kind == ENGINE:
            slow = self.mixed_speeds and member.endpoint[-1] in '02468'
            arguments += [
                f'--model={member.pool}',
                f'--weights_address={self._platform_advertised}',
                f'--token_time_ms={TOKEN_TIME_MS * (1 + slow)}',
            ]
        else:
            arguments.append(f'--pool={member.pool}')
        await self._start_standin(member.endpoint, *arguments)

    async def start_host(self, host: str) -> None:
        """Write the settings file of a host and start its daemon."""
        path = self.folder / f'{host}.yaml'
        data: dict[str, Any] = settings_data(self.settings_by_host[host])
        path.write_text(yaml.safe_dump(data))
        await self.processes.start(host, ['serve', str(path)])

    async def stop(self) -> None:
        """Kill all processes of the site and release its addresses."""
        await self.processes.stop_all()
        self.subnet.release()


def settings_data(settings: DaemonSettings) -> dict[str, Any]:
    """Convert settings to built-in types for YAML."""
    data: dict[str, Any] = to_builtins(settings)
    return data
