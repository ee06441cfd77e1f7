"""Measure policies with daemon processes and stand-ins of endpoints."""

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

DECLARE_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 10.0
DECLARATION_PROPAGATION_S = 2.0
DEADLINE_S = 2.0
COMPARED_TOPICS = (
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


def policy_settings(variant: str) -> PolicySettings:
    """Return the default policies, or the naive ones where they exist."""
    if variant == 'real':
        return PolicySettings()
    known = {topic: 'naive' for topic in COMPARED_TOPICS if topic in POLICIES}
    return PolicySettings(**known)


class BenchSite:
    """Running site with a client that sends requests to its hosts."""

    def __init__(self, site: Site, session: ClientSession) -> None:
        """Use an open HTTP session for all requests."""
        self.site = site
        self.session = session
        self.hosts = list(site.settings_by_host)

    async def send(self, host: str, class_name: str, body: Any) -> str:
        """Send one request; return its outcome, `lost` without a response."""
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
                timeout=ClientTimeout(total=REQUEST_TIMEOUT_S),
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
        """Send `count` requests at `rate` per second to the hosts in turn."""
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
        """Send requests like `load`; return outcomes and durations in s."""
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

    async def set_faults(self, kind: str, switches: dict[str, Any]) -> None:
        """Set fault switches of every endpoint of a kind."""
        for member in self.site.members.endpoints:
            if member.kind == kind:
                await self.site.set_faults(
                    self.session, member.endpoint, switches
                )

    async def declare_classes(self) -> None:
        """Declare an interactive class per pool and a background class."""
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
        async with asyncio.timeout(DECLARE_TIMEOUT_S):
            while True:
                async with self.session.put(
                    f'http://{address}/v1/classes', json=body, headers=headers
                ) as response:
                    if response.status == 200:
                        break
                await asyncio.sleep(0.2)
        await asyncio.sleep(DECLARATION_PROPAGATION_S)

    def count_events(self, pool: str, event: str) -> dict[str, int]:
        """Count the journal lines of an event by endpoint of a pool."""
        return {
            member.endpoint: sum(
                line['event'] == event
                for line in self.site.read_journal(member.endpoint)
            )
            for member in self.site.members.endpoints
            if member.pool == pool
        }


@asynccontextmanager
async def running_site(
    shape: str, variant: str, seed: int
) -> AsyncIterator[BenchSite]:
    """Run 12 daemons and the stand-ins of a site with one policy variant."""
    with tempfile.TemporaryDirectory(prefix='anvilcove-') as folder:
        site = Site(SHAPES_BY_NAME[shape], Path(folder))
        site.plan()
        for number, settings in enumerate(site.settings_by_host.values()):
            settings.policies = policy_settings(variant)
            settings.seed = 100 * seed + number + 1
            settings.log.level = 'WARNING'
        # No connection limit: requests that queue in the client would not
        # reach the daemons at the planned rate.
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector) as session:
            try:
                await site.start(session)
                bench = BenchSite(site, session)
                await bench.declare_classes()
                yield bench
            finally:
                await site.stop()


async def busiest_to_mean(variant: str, seed: int) -> float:
    """Return the requests at the busiest service relative to the mean.

    Load reports arrive 2 s late.
    """
    async with running_site('andrade', variant, seed) as bench:
        await bench.set_faults('service', {'report_lag_s': 2.0})
        await bench.load('lookup', 1_800, 300, lambda n: {'item': n})
        counts = bench.count_events(bench.site.shape.app, 'received').values()
        return max(counts) * len(counts) / sum(counts)


async def poison_effects(variant: str, seed: int) -> tuple[int, int]:
    """Return the engines crashed and the other requests not answered."""
    async with running_site('tifawt', variant, seed) as bench:
        await bench.set_faults('engine', {'crash_on': 'poison'})
        other_requests = asyncio.create_task(
            bench.load(
                'ask', 60, 15, lambda n: {'prompt': f'q{n}', 'max_tokens': 8}
            )
        )
        for host in ('h1', 'h2', 'h3', 'h4'):
            await bench.send(
                host, 'ask', {'prompt': 'poison', 'max_tokens': 4}
            )
            await asyncio.sleep(0.5)
        outcomes = await other_requests
        crashed = bench.count_events(bench.site.shape.model, 'crashed')
        unanswered = sum(outcome != 'answered' for outcome in outcomes)
        return sum(count > 0 for count in crashed.values()), unanswered


async def prefix_hit_ratio(variant: str, seed: int) -> float:
    """Return the prefix cache hits relative to those of an oracle.

    The caches together can hold all prefixes, so an oracle misses each
    prefix once. Cache events arrive 1 s late and three in ten are missing.
    """
    count, prefixes = 600, 40
    async with running_site('tifawt', variant, seed) as bench:
        await bench.set_faults(
            'engine', {'cache_lag_s': 1.0, 'cache_gaps': 0.3}
        )
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
                for line in bench.site.read_journal(member.endpoint):
                    if line['event'] == 'started':
                        runs += 1
                        hits += line['cached']
        return hits / (runs - len(set(drawn)))


async def interactive_beside_batch(
    variant: str, seed: int
) -> tuple[float, float]:
    """Return the share on time and the p99 latency relative to idle.

    Six engines with 8 slots run 48 postings of 200 tokens in about 1.1 s;
    480 a second are offered, ten times the capacity of the engines.
    """
    async with running_site('tifawt', variant, seed) as bench:

        def ask(number: int) -> Any:
            return {'prompt': f'q{number}', 'max_tokens': 8}

        def posting(number: int) -> Any:
            return {'prompt': f'b{number}', 'max_tokens': 200}

        idle = await bench.timed_load('ask', 120, 20, ask)
        batch = asyncio.create_task(bench.load('posting', 4_800, 480, posting))
        await asyncio.sleep(2.0)
        under_load = await bench.timed_load('ask', 150, 20, ask)
        batch.cancel()
        await asyncio.gather(batch, return_exceptions=True)
        answered_times = [
            t for outcome, t in under_load if outcome == 'answered'
        ]
        share = sum(t <= DEADLINE_S for t in answered_times) / len(under_load)
        times = sorted(t for _, t in under_load)
        idle_times = sorted(t for _, t in idle)
        p99 = times[int(len(times) * 0.99)]
        return share, p99 / idle_times[int(len(idle_times) * 0.99)]
