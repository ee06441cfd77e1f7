"""Read the report that the users' bench prints of a sweep."""

import re

from anvilcove.reports.sweep import (
    CONNECTIONS,
    MEMORY_MB,
    PROCESSOR_PERCENT,
    Series,
    Sweep,
    SweepError,
)

DAY_LINE = re.compile(
    r'^sweep-(?P<label>\d+)\s+(?P<hosts>\d+)/(?P<servers>\d+)\s+\S+\s+'
    r'(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)\s+(?P<refused>[\d.]+)\s+'
    r'(?P<failed>[\d.]+)\s'
)
HEADING = re.compile(r'own machines\s*$')
SIZES_LINE = re.compile(r'^\s+((?:\d+\s+)+)power\s+at\s+(\d+)\s*$')
VALUE = re.compile(r'(-?[\d.]+) / (-?[\d.]+)')
FIGURE_LINE = re.compile(
    r'^(?P<name>\S.*?)\s{2,}(?P<values>(?:-?[\d.]+ / -?[\d.]+\s+)+)'
    r'(?P<power>-?[\d.]+)\s+(?P<target>-?[\d.]+)\s*$'
)

QUANTITY_BY_NAME = {
    'daemon: processor %': PROCESSOR_PERCENT,
    'daemon: memory MB': MEMORY_MB,
    'daemon: connections': CONNECTIONS,
}


def read_sweep(text: str) -> Sweep:
    """Parse the printed report, or raise SweepError."""
    sweep = Sweep()
    in_table = False
    for line in text.splitlines():
        if match := DAY_LINE.match(line):
            hosts = int(match['hosts'])
            sweep.served_by_hosts[hosts] = float(match['served'])
            sweep.servers_by_hosts[hosts] = int(match['servers'])
        elif HEADING.search(line):
            in_table = True
        elif match := SIZES_LINE.match(line):
            sweep.sizes = [int(size) for size in match[1].split()]
            sweep.target = int(match[2])
        elif in_table and (match := FIGURE_LINE.match(line)):
            pairs = VALUE.findall(match['values'])
            name = match['name'].strip()
            sweep.series.append(
                Series(
                    name=name,
                    middle=[float(middle) for middle, _ in pairs],
                    busiest=[float(busiest) for _, busiest in pairs],
                    power=float(match['power']),
                    at_target=float(match['target']),
                    quantity=QUANTITY_BY_NAME.get(name, ''),
                )
            )
    _check(sweep)
    return sweep


def _check(sweep: Sweep) -> None:
    if not sweep.sizes or not sweep.series:
        raise SweepError('the report has no table of figures by size')
    if len(sweep.served_by_hosts) != len(sweep.sizes):
        raise SweepError(
            f'{len(sweep.served_by_hosts)} days for {len(sweep.sizes)} sizes'
        )
    for series in sweep.series:
        if len(series.middle) != len(sweep.sizes):
            raise SweepError(
                f'{series.name}: {len(series.middle)} figures for '
                f'{len(sweep.sizes)} sizes'
            )
