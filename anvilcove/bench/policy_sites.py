"""Measure policies on real daemons and stand-ins."""

import asyncio
import random
import tempfile
import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from anvilcove.decisions.registry import POLICIES
from anvilcove.demo.site import OPERATOR_KEY, SHAPES_BY_NAME, Site
from anvilcove.settings.daemon import PolicySettings

CLASSES_LIMIT_S = 20.0
REQUEST_LIMIT_S = 10.0
SETTLE_S = 2.0
DEADLINE_S = 2.0
OUR_TOPICS = (
    'admission',
    'limits',
    'routing',
    'ejection',
    'retry',
    'hedging',
    'quarantine',
    'entries',
    'placement',
)


def policies(variant: str) -> PolicySettings:
    """Return the defaults, or the naive variants of these policies."""
    if variant == 'real':
        return PolicySettings()
    known = {topic: 'naive' for topic in OUR_TOPICS if topic in POLICIES}
    return PolicySettings(**known)


class BenchSite:
    """A running site and a client that sends to its hosts."""

    def __init__(self, site: Site, session: ClientSession) -> None:
        """Share the session of the run."""
        self.site = site
        self.session = session
        self.hosts = list(site.settings_by_host)

    async def send(self, host: str, class_name: str, body: Any) -> str:
        """Send one request and return its outcome."""
        address = self.site.settings_by_host[host].listen_address
        message = {
            'request_id': f'{host}.{uuid.uuid4().hex}',
            'class_name': class_name,
            'caller': 'bench',
            'body': body,
        }
        try:
            async with self.session.post(
                f'http://{address}/v1/requests',
                json=message,
                timeout=ClientTimeout(total=REQUEST_LIMIT_S),
            ) as response:
                outcome: str = (await response.json())['outcome']
                return outcome
        except (ClientError, OSError, TimeoutError, KeyError):
            return 'lost'

    async def load(
        self,
        class_name: str,
        count: int,
        rate: float,
        body: Callable[[int], Any],
    ) -> list[str]:
        """Send requests at a rate to the hosts in turn."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        tasks = []
        for number in range(count):
            host = self.hosts[number % len(self.hosts)]
            tasks.append(
                asyncio.create_task(self.send(host, class_name, body(number)))
            )
            ahead_s = start_s + number / rate - loop.time()
            await asyncio.sleep(max(ahead_s, 0.0))
        return await asyncio.gather(*tasks)

    async def timed_load(
        self,
        class_name: str,
        count: int,
        rate: float,
        body: Callable[[int], Any],
    ) -> list[tuple[str, float]]:
        """Send requests at a rate; return outcomes and times in seconds."""
        loop = asyncio.get_running_loop()

        async def timed(number: int) -> tuple[str, float]:
            start_s = loop.time()
            host = self.hosts[number % len(self.hosts)]
            outcome = await self.send(host, class_name, body(number))
            return outcome, loop.time() - start_s

        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(timed(number)))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*tasks)

    async def faults(self, kind: str, switches: dict[str, Any]) -> None:
        """Set switches at every endpoint of a kind."""
        for member in self.site.members.endpoints:
            if member.kind == kind:
                await self.site.set_faults(
                    self.session, member.endpoint, switches
                )

    async def declare(self) -> None:
        """Declare an interactive class of each pool."""
        shape = self.site.shape
        classes: list[dict[str, Any]] = [
            {
                'kind': 'interactive',
                'name': name,
                'pool': pool,
                'deadline_ms': int(DEADLINE_S * 1000),
            }
            for name, pool in (('lookup', shape.app), ('ask', shape.model))
        ]
        classes.append(
            {
                'kind': 'background',
                'name': 'posting',
                'pool': shape.model,
                'complete_within_ms': 60_000,
            }
        )
        body = {'expected_revision': 0, 'document': {'classes': classes}}
        address = self.site.settings_by_host['h1'].listen_address
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        async with asyncio.timeout(CLASSES_LIMIT_S):
            while True:
                async with self.session.put(
                    f'http://{address}/v1/classes', json=body, headers=headers
                ) as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.2)
        await asyncio.sleep(SETTLE_S)

    def events(self, pool: str, event: str) -> dict[str, int]:
        """Count an event in the journals of a pool's endpoints."""
        return {
            member.endpoint: sum(
                line['event'] == event
                for line in self.site.journal(member.endpoint)
            )
            for member in self.site.members.endpoints
            if member.pool == pool
        }


@asynccontextmanager
async def running(
    shape: str, variant: str, seed: int
) -> AsyncIterator[BenchSite]:
    """Run 12 daemons and the stand-ins of a site with one set of policies."""
    with tempfile.TemporaryDirectory(prefix='anvilcove-') as folder:
        site = Site(SHAPES_BY_NAME[shape], Path(folder))
        site.plan()
        for number, settings in enumerate(site.settings_by_host.values()):
            settings.policies = policies(variant)
            settings.seed = 100 * seed + number + 1
            settings.log.level = 'WARNING'
        # The client must not queue what the daemons are to be measured by.
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            try:
                await site.start(session)
                bench = BenchSite(site, session)
                await bench.declare()
                yield bench
            finally:
                await site.stop()


async def busiest_to_mean(variant: str, seed: int) -> float:
    """Return the calls of the busiest service over the mean."""
    async with running('andrade', variant, seed) as bench:
        await bench.faults('service', {'report_lag_s': 2.0})
        await bench.load('lookup', 1_800, 300, lambda n: {'item': n})
        counts = bench.events(bench.site.shape.app, 'received').values()
        return max(counts) * len(counts) / sum(counts)


async def poisoned_engines(variant: str, seed: int) -> tuple[int, int]:
    """Return the engines that one prompt crashed and innocents not run."""
    async with running('tifawt', variant, seed) as bench:
        await bench.faults('engine', {'crash_on': 'poison'})
        others = asyncio.create_task(
            bench.load(
                'ask', 60, 15, lambda n: {'prompt': f'q{n}', 'max_tokens': 8}
            )
        )
        for host in ('h1', 'h2', 'h3', 'h4'):
            await bench.send(
                host, 'ask', {'prompt': 'poison', 'max_tokens': 4}
            )
            await asyncio.sleep(0.5)
        outcomes = await others
        crashed = bench.events(bench.site.shape.model, 'crashed')
        refused = sum(outcome != 'answered' for outcome in outcomes)
        return sum(count > 0 for count in crashed.values()), refused


async def prefix_hits(variant: str, seed: int) -> float:
    """Return the prefix cache hits over those of an oracle.

    The caches together hold all prefixes, so an oracle misses each prefix
    once. Events come 1 s late and three in ten are missing.
    """
    count, prefixes = 600, 40
    async with running('tifawt', variant, seed) as bench:
        await bench.faults('engine', {'cache_lag_s': 1.0, 'cache_gaps': 0.3})
        rng = random.Random(seed)
        drawn = [rng.randrange(prefixes) for _ in range(count)]
        await bench.load(
            'ask',
            count,
            60,
            lambda n: {'prompt': f's{drawn[n]}|{n}', 'max_tokens': 8},
        )
        hits = runs = 0
        for member in bench.site.members.endpoints:
            if member.pool == bench.site.shape.model:
                for line in bench.site.journal(member.endpoint):
                    if line['event'] == 'started':
                        runs += 1
                        hits += line['cached']
        return hits / (runs - len(set(drawn)))


async def beside_batch(variant: str, seed: int) -> tuple[float, float]:
    """Return the share on time and the p99 against the idle system.

    Six engines with 8 slots run 48 postings of 200 tokens in about 1.1 s;
    480 a second are offered, ten times their capacity.
    """
    async with running('tifawt', variant, seed) as bench:

        def ask(number: int) -> Any:
            return {'prompt': f'q{number}', 'max_tokens': 8}

        def posting(number: int) -> Any:
            return {'prompt': f'b{number}', 'max_tokens': 200}

        idle = await bench.timed_load('ask', 120, 20, ask)
        batch = asyncio.create_task(bench.load('posting', 4_800, 480, posting))
        await asyncio.sleep(2.0)
        beside = await bench.timed_load('ask', 150, 20, ask)
        batch.cancel()
        await asyncio.gather(batch, return_exceptions=True)
        on_time = [t for outcome, t in beside if outcome == 'answered']
        share = sum(t <= DEADLINE_S for t in on_time) / len(beside)
        times = sorted(t for _, t in beside)
        idle_times = sorted(t for _, t in idle)
        slow = times[int(len(times) * 0.99)]
        return share, slow / idle_times[int(len(idle_times) * 0.99)]
