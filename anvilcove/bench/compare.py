"""Compare the real policies with the naive ones."""

import asyncio
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from anvilcove.bench.policy_sites import (
    beside_batch,
    busiest_to_mean,
    poisoned_engines,
    prefix_hits,
)
from anvilcove.bench.routing_time import SIZES, measure
from anvilcove.settings.daemon import PolicySettings

SEEDS = (1, 2, 3)
ROUNDS = 4
VARIANTS = ('naive', 'real')
# Measures of design 1.7 that this program does not run yet.
NOT_RUN = {
    'goodput during 3-times overload': 'at least 95% of capacity',
    'recovery after overload or store outage': 'within 10 s',
    'latency added to a streamed answer': 'p99 at most 3 ms',
}

# Suspected, not isolated: shown with a measure that does not meet its target.
CAUSE = (
    'no; suspected: running batch generations are not preempted, so that '
    'an interactive request waits until one ends and frees its slot'
)

Row = dict[str, Any]


def compare(only: str, folder: Path) -> dict[str, Row]:
    """Run the measures with paired seeds and return all rows.

    With `only`, the rows of the other measures are those of the last run.
    """
    path = folder / 'bench.json'
    rows: dict[str, Row] = {}
    if only and path.exists():
        rows = msgspec.json.decode(path.read_bytes())
    for name, run in MEASURES.items():
        if only in ('', name):
            rows |= run()
    for name, target in NOT_RUN.items():
        rows[name] = {
            'target': target,
            'naive': None,
            'real': None,
            'spread': None,
            'met': False,
            'note': 'not run',
        }
    return rows


def _row(target: str, values: dict[str, list[float]], bound: float) -> Row:
    """Return medians, the range of the real one, and whether all meet it."""
    row: Row = {'target': target}
    for variant in VARIANTS:
        row[variant] = round(statistics.median(values[variant]), 3)
    real = values['real']
    row['spread'] = [round(min(real), 3), round(max(real), 3)]
    row['met'] = max(real) <= bound
    return row


def _times(variant: str, seed: int) -> dict[int, float]:
    """Return the least of some rounds; other processes only add time.

    Each round runs all sizes, so that a busy moment of the machine does not
    fall on one size alone.
    """
    times = {size: float('inf') for size in SIZES}
    for _ in range(ROUNDS):
        for size in SIZES:
            times[size] = min(times[size], measure(variant, size, seed))
    return times


def _time() -> dict[str, Row]:
    names = {'naive': 'naive', 'real': PolicySettings().routing}
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    table: dict[str, dict[str, float]] = {v: {} for v in VARIANTS}
    for seed in SEEDS:
        for variant in VARIANTS:
            times = _times(names[variant], seed)
            ratios[variant].append(times[SIZES[-1]] / times[SIZES[0]])
            table[variant] = {str(s): round(t, 1) for s, t in times.items()}
            logger.info('routing time {} {}', variant, table[variant])
    row = _row('at most 1.5', ratios, 1.5)
    row['microseconds'] = table
    return {'CPU time of a routing decision, 7,800 servers to 10': row}


def _level() -> dict[str, Row]:
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS:
        for variant in VARIANTS:
            ratio = asyncio.run(busiest_to_mean(variant, seed))
            ratios[variant].append(ratio)
            logger.info('busiest to mean {} {:.3f}', variant, ratio)
    row = _row('at most 1.15', ratios, 1.15)
    return {'busiest server to mean, reports 2 s late, 12 hosts': row}


def _poison() -> dict[str, Row]:
    crashed: dict[str, list[float]] = {v: [] for v in VARIANTS}
    refused: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:2]:
        for variant in VARIANTS:
            dead, lost = asyncio.run(poisoned_engines(variant, seed))
            crashed[variant].append(dead)
            refused[variant].append(lost)
            logger.info('poison {}: {} engines, {} lost', variant, dead, lost)
    return {
        'engines crashed by one poison request': _row('at most 2', crashed, 2),
        'legitimate requests not answered beside poison': _row(
            'none', refused, 0
        ),
    }


def _prefixes() -> dict[str, Row]:
    shares: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:2]:
        for variant in VARIANTS:
            share = asyncio.run(prefix_hits(variant, seed))
            shares[variant].append(share)
            logger.info('prefix hits {} {:.3f}', variant, share)
    row = _row('at least 0.9', shares, 1.0)
    row['met'] = min(shares['real']) >= 0.9
    return {'prefix cache hits relative to an oracle': row}


def _interactive() -> dict[str, Row]:
    shares: dict[str, list[float]] = {v: [] for v in VARIANTS}
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:1]:
        for variant in VARIANTS:
            share, ratio = asyncio.run(beside_batch(variant, seed))
            shares[variant].append(share)
            ratios[variant].append(ratio)
            logger.info('interactive {} {:.3f} {:.2f}', variant, share, ratio)
    row = _row('at least 0.999', shares, 1.0)
    row['met'] = min(shares['real']) >= 0.999
    slow = _row('at most 1.5', ratios, 1.5)
    for found in (row, slow):
        if not found['met']:
            found['note'] = CAUSE
    return {
        'interactive on time, batch at 10 times capacity': row,
        'interactive p99 to idle, batch at 10 times capacity': slow,
    }


MEASURES: dict[str, Callable[[], dict[str, Row]]] = {
    'routing_time': _time,
    'level': _level,
    'poison': _poison,
    'prefixes': _prefixes,
    'interactive': _interactive,
}


def write(rows: dict[str, Row], folder: Path) -> None:
    """Write bench.json, the table bench.md and the plot bench.png."""
    text = msgspec.json.format(msgspec.json.encode(rows), indent=1)
    (folder / 'bench.json').write_bytes(text + b'\n')
    lines = [
        '# Real policies against naive ones',
        '',
        'Command: `anvilcove bench compare`, seeds 1 to 3; poison, prefixes',
        '1 and 2, interactive 1.',
        'Medians; the spread is that of the real policies.',
        '',
        '| measure | target | naive | real | spread | met |',
        '|---|---|---|---|---|---|',
    ]
    for name, row in rows.items():
        met = row.get('note') or ('yes' if row['met'] else 'no')
        cells = [row['target'], row['naive'], row['real'], row['spread'], met]
        shown = ['' if cell is None else str(cell) for cell in cells]
        lines.append(f'| {name} | {" | ".join(shown)} |')
    (folder / 'bench.md').write_text('\n'.join(lines) + '\n')
    _plot(rows, folder / 'bench.png')


def _plot(rows: dict[str, Row], path: Path) -> None:
    # Imported here: only this command needs it.
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    for row in rows.values():
        for variant, times in row.get('microseconds', {}).items():
            sizes = [int(size) for size in times]
            axes.plot(sizes, list(times.values()), marker='o', label=variant)
    axes.set_xscale('log')
    axes.set_ylim(bottom=0)
    axes.set_xlabel('known servers')
    axes.set_ylabel('microseconds a decision')
    axes.legend()
    figure.savefig(path)
