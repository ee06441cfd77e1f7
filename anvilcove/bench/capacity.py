"""Generate the capacity page from the slopes of a sweep."""

from pathlib import Path

import msgspec

from anvilcove.bench.subsets import SubsetLoss
from anvilcove.reports.sweep import (
    CONNECTIONS,
    MEMORY_MB,
    PROCESSOR_PERCENT,
    Series,
    Sweep,
)

TEMPLATE = Path(__file__).with_name('capacity_page.md')
# Limits of the smallest host that is in use, and budgets of the direction, in
# the unit of the quantity.
LIMIT_BY_QUANTITY = {
    PROCESSOR_PERCENT: (51.6, 'the smallest host has 0.516 of a core'),
    MEMORY_MB: (64.0, 'budget for control'),
    CONNECTIONS: (3900.0, 'the smallest host has 4,100 descriptors'),
}


class Measurements(msgspec.Struct):
    """Contents of capacity.json."""

    command: str
    date: str
    sweep: Sweep
    subsets: list[SubsetLoss]
    subset_seeds: list[int]


def write_page(source: Path, target: Path) -> None:
    """Generate the page `target` from capacity.json."""
    measured = msgspec.json.decode(source.read_bytes(), type=Measurements)
    text = TEMPLATE.read_text().format(
        command=measured.command,
        date=measured.date,
        served_table='\n'.join(_served_table(measured.sweep)),
        slope_table='\n'.join(_slope_table(measured.sweep)),
        subset_table='\n'.join(_subset_table(measured.subsets)),
        subset_seeds=', '.join(str(seed) for seed in measured.subset_seeds),
    )
    target.write_text(text)


def verdict(series: Series) -> str:
    """Compare the value at the target size with its limit, if it has one."""
    if series.quantity not in LIMIT_BY_QUANTITY:
        return '-'
    limit, reason = LIMIT_BY_QUANTITY[series.quantity]
    state = 'over' if series.at_target > limit else 'within'
    return f'{state} {_format(limit)}: {reason}'


def _served_table(sweep: Sweep) -> list[str]:
    hosts = sorted(sweep.served_by_hosts)
    rows = [
        ('hosts', [f'{size:,}' for size in hosts]),
        ('servers', [f'{sweep.servers_by_hosts[size]:,}' for size in hosts]),
        ('served', [f'{sweep.served_by_hosts[size]:.3f}' for size in hosts]),
    ]
    lines = [f'| {name} | ' + ' | '.join(cells) + ' |' for name, cells in rows]
    return [lines[0], '|---' * (len(hosts) + 1) + '|', *lines[1:]]


def _slope_table(sweep: Sweep) -> list[str]:
    lines = [
        '| figure | '
        + ' | '.join(f'{size} hosts' for size in sweep.sizes)
        + f' | power | busiest at {sweep.target:,} | verdict |',
        '|---' * (len(sweep.sizes) + 4) + '|',
    ]
    for series in sweep.series:
        cells = [
            f'{_format(middle)} / {_format(busiest)}'
            for middle, busiest in zip(
                series.middle, series.busiest, strict=True
            )
        ]
        lines.append(
            f'| {series.name} | '
            + ' | '.join(cells)
            + f' | {series.power:.2f} | {_format(series.at_target)} | '
            + f'{verdict(series)} |'
        )
    return lines


def _subset_table(subsets: list[SubsetLoss]) -> list[str]:
    return [
        '| servers known to a daemon | busiest server to the mean | spread |',
        '|---|---|---|',
        *(
            f'| {loss.known} | {_format(loss.busiest_to_mean)} | '
            f'{_format(loss.spread)} |'
            for loss in subsets
        ),
    ]


def _format(value: float) -> str:
    if value == 0:
        return '0'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'
