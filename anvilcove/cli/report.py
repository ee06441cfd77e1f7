"""Write an HTML report of a run of `anvilcove demo`."""

import sys
from pathlib import Path

from anvilcove.cli.registry import program


@program('report', 'Write RUN_DIR/report.html: anvilcove report RUN_DIR')
def report(arguments: list[str]) -> int:
    """Write the report and print its path.

    Return 2 if the folder holds no run or the plots cannot be drawn.
    """
    if len(arguments) != 1:
        print('usage: anvilcove report RUN_DIR', file=sys.stderr)
        return 2
    folder = Path(arguments[0])
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
        print(
            f"{error}; install it with: pip install '.[reports]'",
            file=sys.stderr,
        )
        return 2
    print(write_report(folder.absolute()))
    return 0
