"""Measure control traffic, CPU time and memory of an idle site."""

import asyncio
import sys
import tempfile
from pathlib import Path

import psutil
import yaml
from aiohttp import ClientSession

from anvilcove.demo.site import OPERATOR_KEY, Site, SiteShape

SETTLE_S = 6.0
WINDOW_S = 20.0
ROOT = Path(__file__).resolve().parent.parent


async def read_counters(session, address):
    """Return the counters of a daemon by name and labels."""
    async with session.get(f'http://{address}/metrics') as response:
        lines = (await response.text()).splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line[0] != '#')
    return {name: float(value) for name, value in pairs}


def rates(before, after, prefix):
    """Return the rate per second of each counter with a name prefix."""
    return {
        name.removeprefix(prefix): round(
            (value - before.get(name, 0)) / WINDOW_S, 3
        )
        for name, value in after.items()
        if name.startswith(prefix)
    }


async def measure(folder):
    """Run 12 hosts without load and print the figures of the daemons."""
    shape = SiteShape(
        'tifawt',
        ['casa-ain', 'casa-maarif', 'casa-sidi', 'casa-bouskoura'],
        12,
        ('advisor-llm', 6),
        ('account-app', 4),
    )
    site = Site(shape, folder)
    site.plan()
    async with ClientSession() as session:
        try:
            await site.start(session)
            await apply_declarations(session, site)
            await asyncio.sleep(SETTLE_S)
            await report(session, site)
        finally:
            await site.stop()


async def apply_declarations(session, site):
    """Apply the class declarations of the tifawt example."""
    text = (ROOT / 'examples/tifawt-classes.yaml').read_text()
    body = {'expected_revision': 0, 'document': yaml.safe_load(text)}
    url = f'http://{site.members.hosts[0].address}/v1/classes'
    headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
    async with session.put(url, json=body, headers=headers) as response:
        print('apply', response.status, await response.text())


async def report(session, site):
    """Print rates over one window by host, then mean and maximum."""
    hosts = site.members.hosts
    before = {h.host: await read_counters(session, h.address) for h in hosts}
    await asyncio.sleep(WINDOW_S)
    after = {h.host: await read_counters(session, h.address) for h in hosts}
    figures = []
    for member in hosts:
        host = member.host
        bytes_s = sum(
            rates(
                before[host], after[host], 'anvilcove_control_bytes'
            ).values()
        )
        name = 'anvilcove_processor_seconds'
        cpu = (after[host][name] - before[host][name]) / WINDOW_S
        control = sum(
            rates(
                before[host], after[host], 'anvilcove_control_processor'
            ).values()
        )
        pid = site.processes.by_name[host].pid
        rss = psutil.Process(pid).memory_info().rss / 2**20
        figures.append((bytes_s, cpu, rss))
        print(
            f'{host}: {bytes_s / 1000:.2f} kB/s, processor {cpu:.2%}, '
            f'control loops {control:.2%}, resident {rss:.1f} MiB'
        )
    for column in zip(*figures, strict=True):
        print('mean', sum(column) / len(column), 'max', max(column))
    for prefix in ('anvilcove_control_messages', 'anvilcove_control_bytes'):
        for name, rate in rates(before['h1'], after['h1'], prefix).items():
            print(prefix, name, rate)


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as path:
        asyncio.run(measure(Path(path)))
        if '--logs' in sys.argv:
            print((Path(path) / 'logs/h1.log').read_text()[:3000])
