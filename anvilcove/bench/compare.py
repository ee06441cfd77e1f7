"""Compare the default policies with the naive ones."""

import asyncio
import statistics
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from anvilcove.bench.policy_sites import (
    busiest_to_mean,
    interactive_beside_batch,
    poison_effects,
    prefix_hit_ratio,
)
from anvilcove.bench.routing_time import SIZES, measure
from anvilcove.settings.daemon import PolicySettings

SEEDS = (1, 2, 3)
TIMING_ROUNDS = 4
VARIANTS = ('naive', 'real')
# Measures of section 1.7 of the design that are not implemented yet.
UNIMPLEMENTED_MEASURES = {
    'goodput during 3-times overload': 'at least 95% of capacity',
    'recovery after overload or store outage': 'within 10 s',
    'latency added to a streamed answer': 'p99 at most 3 ms',
}

# Shown with a measure that misses its target; the cause is suspected, but no
# experiment has isolated it.
SUSPECTED_CAUSE = (
    'no; suspected: running batch generations are not preempted, so that '
    'an interactive request waits until one ends and frees its slot'
)

Row = dict[str, Any]


def compare(only: str, folder: Path) -> dict[str, Row]:
    """Run the measures, each variant with the same seeds, and return all rows.

    With `only`, run one measure and take the other rows from bench.json.
    """
    path = folder / 'bench.json'
    rows: dict[str, Row] = {}
    if only and path.exists():
        rows = msgspec.json.decode(path.read_bytes())
    for name, run in MEASURES.items():
        if only in ('', name):
            rows |= run()
    for name, target in UNIMPLEMENTED_MEASURES.items():
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
    """Return medians, the range of `real`, and whether it meets `bound`.

    The bound is met if no value of the real variant exceeds it.
    """
    row: Row = {'target': target}
    for variant in VARIANTS:
        row[variant] = round(statistics.median(values[variant]), 3)
    real = values['real']
    row['spread'] = [round(min(real), 3), round(max(real), 3)]
    row['met'] = max(real) <= bound
    return row


def _measure_routing_times(variant: str, seed: int) -> dict[int, float]:
    """Return the least CPU time of several rounds for each size.

    The minimum is used because other processes can only add time. Each round
    runs all sizes, so that a moment of high load does not affect one only.
    """
    times = {size: float('inf') for size in SIZES}
    for _ in range(TIMING_ROUNDS):
        for size in SIZES:
            times[size] = min(times[size], measure(variant, size, seed))
    return times


def _compare_routing_time() -> dict[str, Row]:
    names = {'naive': 'naive', 'real': PolicySettings().routing}
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    table: dict[str, dict[str, float]] = {v: {} for v in VARIANTS}
    for seed in SEEDS:
        for variant in VARIANTS:
            times = _measure_routing_times(names[variant], seed)
            ratios[variant].append(times[SIZES[-1]] / times[SIZES[0]])
            table[variant] = {str(s): round(t, 1) for s, t in times.items()}
            logger.info(
                'routing CPU time, microseconds by servers: {} {}',
                variant,
                table[variant],
            )
    row = _row('at most 1.5', ratios, 1.5)
    row['microseconds'] = table
    return {'CPU time of a routing decision, 7,800 servers to 10': row}


def _compare_balance() -> dict[str, Row]:
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS:
        for variant in VARIANTS:
            ratio = asyncio.run(busiest_to_mean(variant, seed))
            ratios[variant].append(ratio)
            logger.info('busiest server to mean: {} {:.3f}', variant, ratio)
    row = _row('at most 1.15', ratios, 1.15)
    return {'busiest server to mean, reports 2 s late, 12 hosts': row}


def _compare_poison() -> dict[str, Row]:
    crashed: dict[str, list[float]] = {v: [] for v in VARIANTS}
    unanswered_by_variant: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:2]:
        for variant in VARIANTS:
            crashes, unanswered = asyncio.run(poison_effects(variant, seed))
            crashed[variant].append(crashes)
            unanswered_by_variant[variant].append(unanswered)
            logger.info(
                'poison {}: {} engines crashed, {} other requests unanswered',
                variant,
                crashes,
                unanswered,
            )
    return {
        'engines crashed by one poison request': _row('at most 2', crashed, 2),
        'legitimate requests not answered beside poison': _row(
            'none', unanswered_by_variant, 0
        ),
    }


def _compare_prefix_hits() -> dict[str, Row]:
    shares: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:2]:
        for variant in VARIANTS:
            share = asyncio.run(prefix_hit_ratio(variant, seed))
            shares[variant].append(share)
            logger.info(
                'prefix hits relative to an oracle: {} {:.3f}', variant, share
            )
    row = _row('at least 0.9', shares, 1.0)
    row['met'] = min(shares['real']) >= 0.9
    return {'prefix cache hits relative to an oracle': row}


def _compare_interactive() -> dict[str, Row]:
    shares: dict[str, list[float]] = {v: [] for v in VARIANTS}
    ratios: dict[str, list[float]] = {v: [] for v in VARIANTS}
    for seed in SEEDS[:1]:
        for variant in VARIANTS:
            share, ratio = asyncio.run(interactive_beside_batch(variant, seed))
            shares[variant].append(share)
            ratios[variant].append(ratio)
            logger.info(
                'interactive beside batch: {} on time {:.3f}, '
                'p99 to idle {:.2f}',
                variant,
                share,
                ratio,
            )
    row = _row('at least 0.999', shares, 1.0)
    row['met'] = min(shares['real']) >= 0.999
    latency_row = _row('at most 1.5', ratios, 1.5)
    for found in (row, latency_row):
        if not found['met']:
            found['note'] = SUSPECTED_CAUSE
    return {
        'interactive on time, batch at 10 times capacity': row,
        'interactive p99 to idle, batch at 10 times capacity': latency_row,
    }


MEASURES: dict[str, Callable[[], dict[str, Row]]] = {
    'routing_time': _compare_routing_time,
    'level': _compare_balance,
    'poison': _compare_poison,
    'prefixes': _compare_prefix_hits,
    'interactive': _compare_interactive,
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
    # Imported here, because only this command needs matplotlib.
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
