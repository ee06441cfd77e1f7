"""Record decision traces of host h1 in a site with faults.

Run from the root: python tools/record_traces.py FOLDER [NAME ...]
"""

import asyncio
import gzip
import random
import sys
import tempfile
import uuid
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

from anvilcove.demo.site import OPERATOR_KEY, SHAPES_BY_NAME, Site
from anvilcove.messages.base import encode

SEED = 7
OPERATOR = {'Authorization': f'Bearer {OPERATOR_KEY}'}


class Recording:
    """Running site of one recording, with helpers for load and faults."""

    def __init__(self, site, session):
        self.site = site
        self.session = session
        self.model = site.shape.model
        self.app = site.shape.app
        self.rng = random.Random(SEED)

    async def apply_classes(self):
        """Declare one interactive class per pool."""
        classes = [
            interactive_class('lookup', self.app, 1000),
            interactive_class('ask', self.model, 2000),
        ]
        body = {'expected_revision': 0, 'document': {'classes': classes}}
        address = self.site.settings_by_host['h1'].listen_address
        for _ in range(50):
            async with self.session.put(
                f'http://{address}/v1/classes', json=body, headers=OPERATOR
            ) as response:
                if response.status == 200:
                    await asyncio.sleep(1.5)
                    return
            await asyncio.sleep(0.2)
        raise RuntimeError('the class declarations were not accepted')

    async def send(self, host, class_name, body, **fields):
        """Send one request and ignore its outcome."""
        address = self.site.settings_by_host[host].listen_address
        message = {
            'request_id': f'{host}.{uuid.uuid4().hex}',
            'class_name': class_name,
            'caller': 'recorder',
            'body': body,
            **fields,
        }
        try:
            async with self.session.post(
                f'http://{address}/v1/requests',
                json=message,
                timeout=ClientTimeout(total=5),
            ) as response:
                await response.read()
        except (ClientError, OSError, TimeoutError):
            pass

    async def load(self, class_name, count, rate, body, hosts=('h1',)):
        """Send `count` requests at `rate` per second to hosts in turn."""
        tasks = []
        for number in range(count):
            host = hosts[number % len(hosts)]
            tasks.append(
                asyncio.create_task(self.send(host, class_name, body(number)))
            )
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    async def set_faults(self, kind, switches):
        """Set fault switches of every endpoint of a kind."""
        for member in self.site.members.endpoints:
            if member.kind == kind:
                await self.site.set_faults(
                    self.session, member.endpoint, switches
                )

    def hosts(self):
        """Return the names of all hosts."""
        return tuple(self.site.settings_by_host)


def interactive_class(name, pool, deadline_ms):
    """Return the declaration of an interactive class."""
    return {
        'kind': 'interactive',
        'name': name,
        'pool': pool,
        'deadline_ms': deadline_ms,
    }


def lookup_body(number):
    """Return the body of a lookup."""
    return {'account': number}


def generation_body(number, tokens=8):
    """Return the body of a generation."""
    return {'prompt': f'q{number}', 'max_tokens': tokens}


async def engine_crash(run):
    """Crash one engine during its generations."""
    await run.site.set_faults(
        run.session, f'{run.model}-1', {'die_after_tokens': 20}
    )
    await run.load('ask', 80, 40, generation_body)


async def poison(run):
    """Repeat a prompt that crashes engines among ordinary prompts."""
    await run.set_faults('engine', {'crash_on': 'poison'})
    background = asyncio.create_task(run.load('ask', 60, 15, generation_body))
    for host in ('h1', 'h1', 'h2', 'h1'):
        await asyncio.sleep(0.7)
        await run.send(host, 'ask', {'prompt': 'poison', 'max_tokens': 4})
    await background


async def late_reports(run):
    """Send from all hosts while load reports are 2 s late."""
    await run.set_faults('service', {'report_lag_s': 2.0})
    await run.load('lookup', 2400, 600, lookup_body, run.hosts())


async def overload(run):
    """Offer three times the capacity of the engines from all hosts."""
    # 40 tokens take 0.2 s; six engines with 8 slots run 240 a second.
    await run.load(
        'ask', 2880, 720, lambda n: generation_body(n, 40), run.hosts()
    )


async def store_outage(run):
    """Send a burst of requests after a store outage."""
    switch = {'store_down': True}
    await run.site.set_faults(run.session, 'platform', switch)
    await run.load('lookup', 50, 25, lookup_body)
    await run.site.set_faults(run.session, 'platform', {'store_down': None})
    await run.load('lookup', 200, 400, lookup_body)


async def leaving(run):
    """Mark one service as leaving in the membership list."""
    task = asyncio.create_task(run.load('lookup', 200, 50, lookup_body))
    await asyncio.sleep(1.0)
    run.site.members.endpoints[-2].state = 'leaving'
    await run.session.put(
        f'http://{run.site.platform_address}/members',
        data=encode(run.site.members),
    )
    await task


async def slow_outlier(run):
    """Make one service thirty times slower than the others."""
    await run.site.set_faults(run.session, f'{run.app}-1', {'late_s': 0.3})
    await run.load('lookup', 300, 75, lookup_body)


async def retry_storm(run):
    """Truncate every answer of every service."""
    await run.set_faults('service', {'truncate': 100_000})
    await run.load('lookup', 300, 100, lookup_body)


async def prefix_cache(run):
    """Send prompts with shared prefixes; half of the cache events are lost."""
    await run.set_faults('engine', {'cache_lag_s': 1.0, 'cache_gaps': 0.5})
    await run.load(
        'ask',
        200,
        50,
        lambda n: {'prompt': f'system{n % 12}|{n}', 'max_tokens': 8},
    )


RECORDINGS = {
    'engine_crash': ('tifawt', engine_crash),
    'poison': ('andrade', poison),
    'late_reports': ('andrade', late_reports),
    'overload': ('tifawt', overload),
    'store_outage': ('tifawt', store_outage),
    'leaving': ('andrade', leaving),
    'slow_outlier': ('tifawt', slow_outlier),
    'retry_storm': ('andrade', retry_storm),
    'prefix_cache': ('tifawt', prefix_cache),
}


async def record(name, folder):
    """Run one recording and write its trace to the folder."""
    shape, scenario = RECORDINGS[name]
    with tempfile.TemporaryDirectory() as work:
        site = Site(SHAPES_BY_NAME[shape], Path(work))
        site.plan()
        path = Path(work) / 'trace.jsonl'
        for settings in site.settings_by_host.values():
            settings.log.level = 'WARNING'
        site.settings_by_host['h1'].recorder_file = str(path)
        site.settings_by_host['h1'].seed = SEED
        async with ClientSession() as session:
            try:
                await site.start(session)
                run = Recording(site, session)
                await run.apply_classes()
                await scenario(run)
            finally:
                await site.stop()
        packed = folder / f'{name}.trace.jsonl.gz'
        # Without a modification time, equal traces give equal bytes.
        packed.write_bytes(gzip.compress(path.read_bytes(), mtime=0))
        print(f'{packed}: {packed.stat().st_size} bytes', flush=True)


def main():
    """Record the named traces, or all of them."""
    folder = Path(sys.argv[1])
    for name in sys.argv[2:] or RECORDINGS:
        asyncio.run(record(name, folder))


if __name__ == '__main__':
    main()
