"""Reports: of a run of `anvilcove demo`, and of steps from collected logs."""

import sys
from pathlib import Path

from absl import flags
from msgspec import json, to_builtins

from anvilcove.cli.log_files import log_files
from anvilcove.cli.registry import program
from anvilcove.reports.log_lines import read_records
from anvilcove.reports.step_rows import as_lines, step_rows
from anvilcove.reports.steps import LogTimelines, build_timelines

FLAGS = flags.FLAGS
flags.DEFINE_boolean('json', False, 'Print the report as JSON.')
flags.DEFINE_string('chart', '', 'PNG file for a chart of engines and steps.')

USAGE = (
    'usage: anvilcove report RUN_DIR\n'
    '       anvilcove report steps --logs FILE [FILE...] [--json] '
    '[--chart FILE]'
)


@program(
    'report',
    'Write RUN_DIR/report.html, or print how the time of steps divides: '
    'anvilcove report RUN_DIR | anvilcove report steps --logs FILE [FILE...]',
)
def report(arguments: list[str]) -> int:
    """Print a report; return 2 if its input cannot be used."""
    if arguments and arguments[0] == 'steps':
        return _report_steps(log_files(arguments[1:]))
    if len(arguments) != 1:
        print(USAGE, file=sys.stderr)
        return 2
    return _report_run(Path(arguments[0]))


def _report_run(folder: Path) -> int:
    if not (folder / 'record.json').exists():
        print(
            f'{folder}: no record.json; allowed: the folder of a run of '
            '`anvilcove demo`',
            file=sys.stderr,
        )
        return 2
    try:
        # Imported here, because plots need the optional extra `reports`.
        from anvilcove.demo.page import write_report
    except ImportError as error:
        return _extra_missing(error)
    print(write_report(folder.absolute()))
    return 0


def _report_steps(files: list[str]) -> int:
    if not files:
        print(USAGE, file=sys.stderr)
        return 2
    try:
        records = read_records(Path(name) for name in files)
    except OSError as error:
        print(error, file=sys.stderr)
        return 2
    timelines = build_timelines(records)
    if not timelines.steps:
        print('the logs hold no step', file=sys.stderr)
        return 1
    rows = step_rows(timelines)
    if FLAGS.json:
        print(json.encode(to_builtins(rows)).decode())
    else:
        print('\n'.join(as_lines(rows)))
    return _write_chart(timelines) if FLAGS.chart else 0


def _write_chart(timelines: LogTimelines) -> int:
    try:
        # Imported here, because plots need the optional extra `reports`.
        from anvilcove.reports.steps_chart import write_chart
    except ImportError as error:
        return _extra_missing(error)
    write_chart(timelines, Path(FLAGS.chart))
    return 0


def _extra_missing(error: ImportError) -> int:
    print(
        f"{error}; install it with: pip install '.[reports]'",
        file=sys.stderr,
    )
    return 2
