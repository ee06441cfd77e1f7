"""Sites of the size of today and the settings of their processes."""

import asyncio
from pathlib import Path
from typing import Any

import yaml
from aiohttp import ClientSession
from msgspec import to_builtins

from anvilcove.demo.processes import (
    ProcessGroup,
    free_port,
    wait_until_ready,
)
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

PEER_KEY = 'demo-peer-key'
OPERATOR_KEY = 'demo-operator-key'


class SiteShape:
    """Sizes of one site."""

    __slots__ = (
        'name',
        'data_centres',
        'hosts',
        'model',
        'engines',
        'app',
        'services',
    )

    def __init__(
        self,
        name: str,
        data_centres: list[str],
        hosts: int,
        model: tuple[str, int],
        app: tuple[str, int],
    ) -> None:
        """Keep the sizes; model and app are pool names with their sizes."""
        self.name = name
        self.data_centres = data_centres
        self.hosts = hosts
        self.model, self.engines = model
        self.app, self.services = app


SHAPES_BY_NAME = {
    'tifawt': SiteShape(
        'tifawt',
        ['casa-ain', 'casa-maarif', 'casa-sidi', 'casa-bouskoura'],
        12,
        ('advisor-llm', 6),
        ('account-app', 4),
    ),
    'andrade': SiteShape(
        'andrade',
        ['bodega', 'oficina', 'fabrica'],
        12,
        ('taller-lm', 5),
        ('tienda-app', 7),
    ),
}


class Site:
    """Processes of one site, one loopback prefix per data centre."""

    def __init__(self, shape: SiteShape, folder: Path) -> None:
        """Plan the addresses; nothing runs yet."""
        self.shape = shape
        self.folder = folder
        self.processes = ProcessGroup(folder / 'logs')
        self.members = Members()
        self.platform_address = f'127.0.0.1:{free_port()}'
        self.timing = TimingSettings()
        self.settings_by_host: dict[str, DaemonSettings] = {}

    def plan(self) -> None:
        """Fill the membership list and the settings of every daemon."""
        shape = self.shape
        for index in range(shape.hosts):
            self._plan_host(index)
        for index in range(shape.engines):
            self._plan_endpoint(ENGINE, shape.model, index)
        for index in range(shape.services):
            self._plan_endpoint(SERVICE, shape.app, index)

    def _data_centre(self, index: int) -> tuple[str, str]:
        position = index % len(self.shape.data_centres)
        ip = f'127.{position + 1}.0.{index // len(self.shape.data_centres)}'
        return self.shape.data_centres[position], ip

    def _plan_host(self, index: int) -> None:
        data_centre, base = self._data_centre(index)
        prefix, _, last = base.rpartition('.')
        ip = f'{prefix}.{int(last) + 1}'
        host = f'h{index + 1}'
        address = f'{ip}:{free_port(ip)}'
        platform = AdapterSettings(address=self.platform_address)
        self.settings_by_host[host] = DaemonSettings(
            host=host,
            data_centre=data_centre,
            listen_address=address,
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
        data_centre, base = self._data_centre(index)
        prefix, _, last = base.rpartition('.')
        ip = f'{prefix}.{int(last) + (101 if kind == ENGINE else 151)}'
        self.members.endpoints.append(
            EndpointMember(
                endpoint=f'{pool}-{index + 1}',
                address=f'{ip}:{free_port(ip)}',
                data_centre=data_centre,
                pool=pool,
                kind=kind,
            )
        )

    async def start(self, session: ClientSession) -> None:
        """Start the stand-ins, then the daemons, and wait for all."""
        await self.processes.start(
            'platform',
            ['standin', 'platform', f'--address={self.platform_address}'],
        )
        base = f'http://{self.platform_address}'
        await wait_until_ready(session, f'{base}/members')
        await session.put(f'{base}/members', data=encode(self.members))
        for member in self.members.endpoints:
            await self.start_endpoint(member)
        for host in self.settings_by_host:
            await self.start_host(host)
        urls = [
            f'http://{member.address}/load'
            for member in self.members.endpoints
        ]
        urls += [
            f'http://{member.address}/healthz' for member in self.members.hosts
        ]
        await asyncio.gather(*(wait_until_ready(session, u) for u in urls))

    async def start_endpoint(self, member: EndpointMember) -> None:
        """Start the stand-in of an endpoint."""
        await self.processes.start(
            member.endpoint,
            [
                'standin',
                member.kind,
                f'--address={member.address}',
                f'--endpoint={member.endpoint}',
                f'--model={member.pool}',
            ],
        )

    async def start_host(self, host: str) -> None:
        """Write the settings file of a host and start its daemon."""
        path = self.folder / f'{host}.yaml'
        data: dict[str, Any] = settings_data(self.settings_by_host[host])
        path.write_text(yaml.safe_dump(data))
        await self.processes.start(host, ['serve', str(path)])

    async def stop(self) -> None:
        """Stop everything."""
        await self.processes.stop_all()


def settings_data(settings: DaemonSettings) -> dict[str, Any]:
    """Return settings as plain data for YAML."""
    data: dict[str, Any] = to_builtins(settings)
    return data
