"""Generate the capacity page from the measured slopes."""

from pathlib import Path
from typing import Any

import msgspec

from anvilcove.bench.slopes import Slope
from anvilcove.bench.subsets import SubsetLoss

TEMPLATE = Path(__file__).with_name('capacity_page.md')
TARGET_SIZES = {
    'today': {'daemons': 12, 'servers': 12, 'classes': 4},
    '200 daemons': {'daemons': 200, 'servers': 710, 'classes': 20},
    '2,200 daemons': {'daemons': 2_200, 'servers': 7_800, 'classes': 100},
}
# In the planned design with cells, a daemon gossips with the hosts of its cell
# and knows this many servers, whatever the size of the system.
HOSTS_PER_CELL = 24
SERVERS_PER_DAEMON = 64
BASE_SIZES = {'daemons': 0, 'servers': 16, 'classes': 3}
BUDGETS = {
    'control_bytes': (9_000.0, 'control traffic, B/s'),
    'processor': (0.012, 'processor time when idle, cores'),
    'resident_mb': (64.0, 'resident memory, MB'),
}
STORE_READS_PER_S = 2_000.0
STORE_WRITES_PER_S = 300.0
VALUE_LABELS = {
    'control_bytes': 'control traffic, B/s a daemon',
    'control_messages': 'control messages, 1/s a daemon',
    'processor': 'processor time, cores a daemon',
    'resident_mb': 'resident memory, MB a daemon',
    'store_reads': 'store reads, 1/s a daemon',
    'store_writes': 'store writes, 1/s a daemon',
    'revision_s': 'revision in force everywhere, s',
    'leaving_s': 'leaving mark known everywhere, s',
}


class Measurements(msgspec.Struct):
    """Contents of slopes.json."""

    command: str
    date: str
    slopes: list[Slope]
    subsets: list[SubsetLoss]
    subset_seeds: list[int]
    points: list[dict[str, Any]]

    def find_slope(self, value: str, size: str) -> Slope:
        """Return the linear fit of a value over a size."""
        return next(
            s for s in self.slopes if (s.value, s.size) == (value, size)
        )

    def estimate(self, value: str, sizes: dict[str, int]) -> float:
        """Extrapolate a value per daemon to other sizes with the slopes."""
        result = self.find_slope(value, 'daemons').at_zero
        for size, count in sizes.items():
            slope = self.find_slope(value, size).per_unit
            result += max(slope, 0.0) * (count - BASE_SIZES[size])
        return result


def _format(value: float) -> str:
    if value == 0:
        return '0'
    if abs(value) >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _slope_table(measured: Measurements) -> list[str]:
    lines = [
        '| value | size | per unit | at zero | spread |',
        '|---|---|---|---|---|',
    ]
    for slope in measured.slopes:
        cells = (slope.per_unit, slope.at_zero, slope.spread)
        lines.append(
            f'| {VALUE_LABELS[slope.value]} | {slope.size} | '
            + ' | '.join(_format(cell) for cell in cells)
            + ' |'
        )
    return lines


def _budget_verdict(value: float, budget: float) -> str:
    return 'over' if value > budget else 'within'


def _daemon_table(measured: Measurements) -> list[str]:
    lines = [
        '| a daemon spends | budget | form | '
        + ' | '.join(TARGET_SIZES)
        + ' | verdict |',
        '|---|---|---|' + '---|' * len(TARGET_SIZES) + '---|',
    ]
    for value, (budget, name) in BUDGETS.items():
        built = [
            measured.estimate(value, sizes) for sizes in TARGET_SIZES.values()
        ]
        planned = [
            measured.estimate(
                value,
                {
                    'daemons': min(sizes['daemons'], HOSTS_PER_CELL),
                    'servers': min(sizes['servers'], SERVERS_PER_DAEMON),
                    'classes': sizes['classes'],
                },
            )
            for sizes in TARGET_SIZES.values()
        ]
        for form, row in (('as built', built), ('with cells', planned)):
            verdicts = ', '.join(_budget_verdict(cell, budget) for cell in row)
            lines.append(
                f'| {name} | {_format(budget)} | {form} | '
                + ' | '.join(_format(cell) for cell in row)
                + f' | {verdicts} |'
            )
    return lines


def _store_table(measured: Measurements) -> list[str]:
    lines = [
        '| whole system, idle | budget | '
        + ' | '.join(TARGET_SIZES)
        + ' | verdict |',
        '|---|---|' + '---|' * len(TARGET_SIZES) + '---|',
    ]
    for value, budget in (
        ('store_reads', STORE_READS_PER_S),
        ('store_writes', STORE_WRITES_PER_S),
    ):
        if value == 'store_writes':
            # Idle daemons write only to renew leases. Each lease has one
            # holder, so the sum over all daemons does not grow.
            pairs = measured.find_slope(value, 'daemons').points
            row = [max(x * y for x, y in pairs)] * len(TARGET_SIZES)
        else:
            row = [
                measured.estimate(value, sizes) * sizes['daemons']
                for sizes in TARGET_SIZES.values()
            ]
        verdicts = ', '.join(_budget_verdict(cell, budget) for cell in row)
        lines.append(
            f'| {VALUE_LABELS[value].split(",")[0]}, 1/s | {_format(budget)} '
            '| ' + ' | '.join(_format(c) for c in row) + f' | {verdicts} |'
        )
    return lines


def _request_lines(measured: Measurements) -> list[str]:
    slope = measured.find_slope('processor', 'requests_per_s')
    per_request_ms = slope.per_unit * 1_000
    cores = slope.per_unit * 81_000 / 2_200
    return [
        f'One request to a plain service costs {_format(per_request_ms)} ms '
        f'of processor time (spread of the fit {_format(slope.spread)} '
        'cores). At 81,000 requests a second over 2,200 daemons, 37 a second '
        f'each, that is {_format(cores)} cores a daemon. This is work for '
        'callers and not control.',
    ]


def _subset_table(measured: Measurements) -> list[str]:
    lines = [
        '| servers known to a daemon | busiest server to the mean | spread |',
        '|---|---|---|',
    ]
    lines += [
        f'| {loss.known} | {_format(loss.busiest_to_mean)} | '
        f'{_format(loss.spread)} |'
        for loss in measured.subsets
    ]
    return lines


def write_page(source: Path, target: Path) -> None:
    """Generate the page `target` from slopes.json."""
    measured = msgspec.json.decode(source.read_bytes(), type=Measurements)
    text = TEMPLATE.read_text().format(
        command=measured.command,
        date=measured.date,
        slope_table='\n'.join(_slope_table(measured)),
        daemon_table='\n'.join(_daemon_table(measured)),
        store_table='\n'.join(_store_table(measured)),
        request_lines='\n'.join(_request_lines(measured)),
        subset_table='\n'.join(_subset_table(measured)),
        subset_seeds=', '.join(str(s) for s in measured.subset_seeds),
        cell_hosts=HOSTS_PER_CELL,
        known_servers=SERVERS_PER_DAEMON,
    )
    target.write_text(text)


def write_plots(folder: Path) -> None:
    """Plot each value with its fit over each size to slopes.png."""
    # Imported here, because a daemon must not load matplotlib.
    from matplotlib import use

    use('Agg')
    from matplotlib import pyplot

    measured = msgspec.json.decode(
        (folder / 'slopes.json').read_bytes(), type=Measurements
    )
    sizes = ['daemons', 'servers', 'classes', 'requests_per_s']
    values = list(VALUE_LABELS)
    figure, axes = pyplot.subplots(
        len(values), len(sizes), figsize=(14, 20), layout='constrained'
    )
    for row, value in enumerate(values):
        for column, size in enumerate(sizes):
            slope = measured.find_slope(value, size)
            xs = [x for x, _ in slope.points]
            axis = axes[row][column]
            axis.plot(xs, [y for _, y in slope.points], 'o')
            axis.plot(xs, [slope.at_zero + slope.per_unit * x for x in xs])
            axis.set_xlabel(size)
            axis.set_title(VALUE_LABELS[value], fontsize=8)
            axis.set_ylim(0, 1.2 * max(y for _, y in slope.points))
    figure.savefig(folder / 'slopes.png', dpi=70)
    pyplot.close(figure)
