"""Steps for the capacity page."""

import subprocess
import sys
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parents[2]
REPORT = """\
day                  own/srv  score  worth served refused failed  weakest part
sweep-10               12/99   0.53  0.526  0.966   0.000  0.000  worst class
sweep-30              30/303   0.56  0.565  0.949   0.000  0.000  worst windows
sweep-100            99/1002   0.28  0.281  0.753   0.000  0.065  worst class

middle / busiest or longest, by own machines
                               10           30          100  power  at 2167
daemon: processor %    5.1 / 18.2   4.8 / 21.1   4.3 / 34.6   0.28  81.8
daemon: memory MB     50.1 / 60.0  45.4 / 62.1  40.4 / 62.2  -0.04  62.2
config acked, ms      36.0 / 36.0  35.0 / 36.0  56.0 / 56.0   0.05  65.3
power: the busiest grows as machines to this power
"""
CHANGES = {
    'the report is empty': lambda text: b'',
    'a day is missing': lambda text: text.replace('sweep-30', '-').encode(),
    'a figure of a size is missing': lambda text: text.replace(
        '50.1 / 60.0  ', ''
    ).encode(),
    'the report is not text': lambda text: b'\xff\xfe' + text.encode(),
}


@given('a report of a sweep at 10, 30 and 100 hosts')
def write_report(context):
    """Write the report."""
    context.report = context.folder / 'report.txt'
    context.report.write_text(REPORT)
    context.page = context.folder / 'page.md'


@when('the capacity page is written from it')
def write_page(context):
    """Run the program."""
    context.result = subprocess.run(
        [
            sys.executable,
            '-m',
            'anvilcove',
            'bench',
            'capacity',
            f'--sweep={context.report}',
            f'--measurements={context.folder}',
            f'--page={context.page}',
        ],
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
    )


@when('{change} and the capacity page is written from it')
def change_report(context, change):
    """Damage the report first."""
    context.report.write_bytes(CHANGES[change](REPORT))
    write_page(context)


@then('the page has the row "{row}"')
def check_row(context, row):
    """Look for the line."""
    assert context.result.returncode == 0, context.result.stderr
    assert row in context.page.read_text().splitlines()


@then('the program ends with status 2 and says "{reason}"')
def check_refused(context, reason):
    """Check the message."""
    assert context.result.returncode == 2, context.result.stderr
    assert reason in context.result.stderr, context.result.stderr


@then('no page was written')
def check_no_page(context):
    """Check that neither the page nor the figures exist."""
    assert not context.page.exists()
    assert not (context.folder / 'capacity.json').exists()
