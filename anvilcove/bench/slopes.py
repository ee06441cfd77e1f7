"""Measure the cost of control per daemon and fit lines over the sizes."""

import asyncio
import re
import statistics
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil
from aiohttp import ClientError, ClientSession, TCPConnector
from loguru import logger
from msgspec import Struct, field
from msgspec.structs import replace

from anvilcove.demo.site import OPERATOR_KEY, PEER_KEY, Site, SiteShape
from anvilcove.messages.base import encode
from anvilcove.messages.membership import LEAVING

HEADERS = {'Authorization': f'Bearer {OPERATOR_KEY}'}
WARM_UP_S = 4.0
PROPAGATION_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
METRIC_LINE = re.compile(r'^(anvilcove_\w+?)(\{.*\})? ([0-9.eE+-]+)$')
POOL = 'account-app'
MODEL = 'advisor-llm'


class Point(Struct):
    """Sizes of a measured site and its mean costs per daemon."""

    daemons: int
    servers: int
    classes: int
    requests_per_s: float
    seconds: float
    values: dict[str, float] = field(default_factory=dict)


class Slope(Struct):
    """Linear fit of a value over one size.

    `spread` is the standard deviation of the residuals.
    """

    value: str
    size: str
    per_unit: float
    at_zero: float
    spread: float
    points: list[tuple[float, float]] = field(default_factory=list)


class Plan(Struct):
    """Sizes of one site to measure."""

    daemons: int
    servers: int = 16
    classes: int = 3
    requests_per_s: float = 0.0


def plans(most_daemons: int) -> list[Plan]:
    """Return the sites to measure; each series varies one size."""
    daemons = [n for n in (2, 4, 8, 16, 32, 64) if n <= most_daemons]
    sites = [Plan(daemons=n) for n in daemons]
    sites += [Plan(daemons=4, servers=n) for n in (128, 512, 2048)]
    sites += [Plan(daemons=4, classes=n) for n in (50, 200)]
    sites += [Plan(daemons=4, requests_per_s=n) for n in (40.0, 120.0, 240.0)]
    return sites


async def measure(plan: Plan, folder: Path, seconds: float) -> Point:
    """Start a site, measure its daemons over `seconds`, and stop it."""
    shape = SiteShape(
        'slopes', ['a', 'b', 'c', 'd'], plan.daemons, (MODEL, 1), (POOL, 2)
    )
    site = Site(shape, folder)
    site.plan()
    connector = TCPConnector(limit=0)
    async with ClientSession(connector=connector) as session:
        try:
            await site.start(session)
            return await _measure_site(plan, site, session, seconds)
        finally:
            await site.stop()


async def _measure_site(
    plan: Plan, site: Site, session: ClientSession, seconds: float
) -> Point:
    await _list_extra_servers(plan, site, session)
    values = {
        'revision_s': await _apply_declarations(site, session, plan.classes, 0)
    }
    await asyncio.sleep(WARM_UP_S)
    load = [
        asyncio.create_task(_send_requests(site, session, host, plan, seconds))
        for host in site.settings_by_host
        if plan.requests_per_s
    ]
    before = await _read_totals(site, session)
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_s
    after = await _read_totals(site, session)
    sent = sum(await asyncio.gather(*load))
    values |= {
        name: (after[name] - before[name]) / elapsed_s / plan.daemons
        for name in after
        if name != 'resident_mb'
    }
    values['resident_mb'] = after['resident_mb'] / plan.daemons
    values['revision_s'] = max(
        values['revision_s'],
        await _apply_declarations(site, session, plan.classes, 1),
    )
    values['leaving_s'] = await _mark_endpoint_leaving(site, session)
    return Point(
        daemons=plan.daemons,
        servers=plan.servers,
        classes=plan.classes,
        requests_per_s=sent / elapsed_s / plan.daemons,
        seconds=elapsed_s,
        values=values,
    )


async def _list_extra_servers(
    plan: Plan, site: Site, session: ClientSession
) -> None:
    """List servers without own processes, at addresses of the real ones."""
    real = list(site.members.endpoints)
    for index in range(plan.servers - len(real)):
        member = real[index % len(real)]
        site.members.endpoints.append(
            replace(member, endpoint=f'{member.pool}-x{index}')
        )
    await session.put(
        f'http://{site.platform_address}/members', data=encode(site.members)
    )


def _class_declarations(classes: int, revision: int) -> dict[str, Any]:
    names = [f'class-{index}' for index in range(classes - 1)]
    names.append(f'marker-{revision}')
    return {
        'classes': [
            {
                'kind': 'interactive',
                'name': name,
                'pool': POOL,
                'deadline_ms': 500,
            }
            for name in names
        ]
    }


async def _apply_declarations(
    site: Site, session: ClientSession, classes: int, revision: int
) -> float:
    """Apply declarations; return seconds until they reached all daemons."""
    address = next(iter(site.settings_by_host.values())).listen_address
    body = {
        'expected_revision': revision,
        'document': _class_declarations(classes, revision),
    }
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        while True:
            started_s = time.monotonic()
            async with session.put(
                f'http://{address}/v1/classes', json=body, headers=HEADERS
            ) as response:
                if response.status == 200:
                    break
            await asyncio.sleep(0.2)
        await _wait_for_all(
            site, session, lambda s: s['revision'] == revision + 1
        )
    return time.monotonic() - started_s


async def _mark_endpoint_leaving(site: Site, session: ClientSession) -> float:
    """Mark an endpoint as leaving; return seconds until all daemons know."""
    member = site.members.endpoints[-1]
    member.state = LEAVING
    started_s = time.monotonic()
    await session.put(
        f'http://{site.platform_address}/members', data=encode(site.members)
    )
    await _wait_for_all(
        site,
        session,
        lambda s: s['endpoints'][member.endpoint].get('leaving', False),
    )
    return time.monotonic() - started_s


async def _wait_for_all(
    site: Site,
    session: ClientSession,
    condition: Callable[[dict[str, Any]], bool],
) -> None:
    """Poll the status of each daemon until it meets the condition."""
    waiting = list(site.settings_by_host.values())
    async with asyncio.timeout(PROPAGATION_TIMEOUT_S):
        while waiting:
            settings = waiting[0]
            async with session.get(
                f'http://{settings.listen_address}/v1/status', headers=HEADERS
            ) as response:
                if condition(await response.json()):
                    waiting.pop(0)
                    continue
            await asyncio.sleep(POLL_INTERVAL_S)


async def _send_requests(
    site: Site, session: ClientSession, host: str, plan: Plan, seconds: float
) -> int:
    """Send requests to a daemon at a steady rate; count the answered."""
    address = site.settings_by_host[host].listen_address
    pause_s = 1 / plan.requests_per_s
    count = int(seconds * plan.requests_per_s)
    calls = []
    for index in range(count):
        message = {
            'request_id': f'{host}.{index}',
            'class_name': 'class-0',
            'caller': 'slopes',
            'body': {'index': index},
            'deadline_ms': 500,
        }
        calls.append(
            asyncio.create_task(_send_request(session, address, message))
        )
        await asyncio.sleep(pause_s)
    return sum(await asyncio.gather(*calls))


async def _send_request(
    session: ClientSession, address: str, message: dict[str, Any]
) -> int:
    try:
        async with session.post(
            f'http://{address}/v1/requests', json=message
        ) as response:
            await response.read()
            return int(response.status == 200)
    except (ClientError, OSError):
        return 0


async def _read_totals(site: Site, session: ClientSession) -> dict[str, float]:
    """Sum the control counters, CPU times and memory of all daemons."""
    totals = {
        'control_bytes': 0.0,
        'control_messages': 0.0,
        'store_reads': 0.0,
        'store_writes': 0.0,
        'processor': 0.0,
        'resident_mb': 0.0,
    }
    for host, settings in site.settings_by_host.items():
        async with session.get(
            f'http://{settings.listen_address}/metrics',
            headers={'Authorization': f'Bearer {PEER_KEY}'},
        ) as response:
            _add_metrics(totals, await response.text())
        process = psutil.Process(site.processes.by_name[host].pid)
        times = process.cpu_times()
        totals['processor'] += times.user + times.system
        totals['resident_mb'] += process.memory_info().rss / 1e6
    return totals


def _add_metrics(totals: dict[str, float], text: str) -> None:
    for line in text.splitlines():
        match = METRIC_LINE.match(line)
        if match is None:
            continue
        name, labels, value = match[1], match[2] or '', float(match[3])
        if name == 'anvilcove_control_bytes_total':
            totals['control_bytes'] += value
        elif name == 'anvilcove_control_messages_total':
            totals['control_messages'] += value
        elif name == 'anvilcove_store_calls_total':
            kind = 'reads' if 'operation="read"' in labels else 'writes'
            totals[f'store_{kind}'] += value


SIZE_GETTERS: dict[str, Callable[[Point], float]] = {
    'daemons': lambda p: p.daemons,
    'servers': lambda p: p.servers,
    'classes': lambda p: p.classes,
    'requests_per_s': lambda p: p.requests_per_s,
}


def varies_only(point: Point, size: str) -> bool:
    """Whether a point belongs to the series that varies only `size`."""
    base = {'servers': 16, 'classes': 3}
    others = {
        name: getattr(point, name) == value
        for name, value in base.items()
        if name != size
    }
    load_matches = size == 'requests_per_s' or point.requests_per_s == 0
    daemons_match = size == 'daemons' or point.daemons == 4
    return all(others.values()) and load_matches and daemons_match


def fit(points: list[Point]) -> list[Slope]:
    """Fit a line to each measured value over each size."""
    slopes = []
    for size, size_of in SIZE_GETTERS.items():
        series = [point for point in points if varies_only(point, size)]
        for value in series[0].values:
            pairs = [(float(size_of(p)), p.values[value]) for p in series]
            slopes.append(_fit_line(value, size, pairs))
    return slopes


def _fit_line(
    value: str, size: str, pairs: list[tuple[float, float]]
) -> Slope:
    xs, ys = [x for x, _ in pairs], [y for _, y in pairs]
    line = statistics.linear_regression(xs, ys)
    residuals = [y - line.slope * x - line.intercept for x, y in pairs]
    return Slope(
        value=value,
        size=size,
        per_unit=line.slope,
        at_zero=line.intercept,
        spread=statistics.pstdev(residuals),
        points=pairs,
    )


async def measure_all(
    folder: Path, most_daemons: int, seconds: float
) -> list[Point]:
    """Measure the planned sites one after another."""
    points = []
    for index, plan in enumerate(plans(most_daemons)):
        logger.info('measuring site: {}', plan)
        point = await measure(plan, folder / str(index), seconds)
        logger.info('measured values: {}', point.values)
        points.append(point)
    return points
